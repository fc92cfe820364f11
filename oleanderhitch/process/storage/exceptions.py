"""Define the errors of durable storage."""

from oleanderhitch.exceptions import OleanderhitchError


class StorageError(OleanderhitchError):
    """The data directory can't be used."""


class CorruptLogError(StorageError):
    """The log has damage that a crash during a write can't have caused."""


class CorruptSnapshotError(StorageError):
    """A snapshot file is truncated, malformed or fails its checksum."""


class DirectoryInUseError(StorageError):
    """Another process has locked the data directory."""
