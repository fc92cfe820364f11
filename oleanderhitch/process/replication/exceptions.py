"""Exceptions of the replicated log."""

from oleanderhitch.exceptions import OleanderhitchError


class ReplicationError(OleanderhitchError):
    """Base class of the replication errors."""


class LogInvariantError(ReplicationError):
    """A step would violate an invariant of the replicated log."""
