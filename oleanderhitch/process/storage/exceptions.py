"""Define the errors of durable storage."""

from oleanderhitch.exceptions import OleanderhitchError


class StorageError(OleanderhitchError):
    """Signal a data directory that can't be used."""


class CorruptLogError(StorageError):
    """Signal damage that a crash can't explain."""


class CorruptSnapshotError(StorageError):
    """Signal a snapshot file that fails its checksum."""


class DirectoryInUseError(StorageError):
    """Signal that another process holds the data directory."""
