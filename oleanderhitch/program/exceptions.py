"""Define the errors of program shards."""

from oleanderhitch.exceptions import OleanderhitchError, UnavailableError


class HistoryUnavailableError(UnavailableError):
    """Signal that the history files cannot be written or read for now."""


class HistoryCorruptError(OleanderhitchError):
    """Signal a history record that is not what was written.

    The replica must be restored from a snapshot and the log.
    """


class SnapshotError(OleanderhitchError):
    """Signal a snapshot that is not whole."""
