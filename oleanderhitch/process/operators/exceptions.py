"""Define the errors of the operators' client."""

from oleanderhitch.exceptions import UnavailableError


class DeploymentUnreachableError(UnavailableError):
    """The deployment did not reply in time."""
