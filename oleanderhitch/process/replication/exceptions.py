"""Define the errors of the replicated log."""

from oleanderhitch.exceptions import OleanderhitchError


class ReplicationError(OleanderhitchError):
    """Signal a fault of the replicated log."""


class LogInvariantError(ReplicationError):
    """Signal a step that would break the agreement of committed logs."""
