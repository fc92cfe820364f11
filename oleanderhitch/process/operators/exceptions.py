"""Define the errors of the operators' client."""

from oleanderhitch.exceptions import UnavailableError


class DeploymentUnreachableError(UnavailableError):
    """Signal that no store answered in time."""
