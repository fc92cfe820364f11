"""Exceptions raised by program shards."""

from oleanderhitch.exceptions import OleanderhitchError, UnavailableError


class HistoryUnavailableError(UnavailableError):
    """Raised when the history files cannot be written or read at the moment."""


class HistoryCorruptError(OleanderhitchError):
    """Raised when a history record is damaged or belongs to another program.

    The replica must be restored from a snapshot and the log.
    """


class SnapshotError(OleanderhitchError):
    """Raised when a snapshot is incomplete or damaged."""
