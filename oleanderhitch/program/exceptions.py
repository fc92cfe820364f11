"""Exceptions raised by program shards."""

from oleanderhitch.exceptions import OleanderhitchError, UnavailableError


class HistoryUnavailableError(UnavailableError):
    """The history files cannot be written or read at the moment."""


class HistoryCorruptError(OleanderhitchError):
    """A history record is damaged or belongs to another program.

    The replica must be restored from a snapshot and the log.
    """


class SnapshotError(OleanderhitchError):
    """A snapshot is incomplete or damaged."""
