"""Define the errors of durable storage."""

from oleanderhitch.exceptions import OleanderhitchError


class StorageError(OleanderhitchError):
    """The data directory can't be used."""


class DamagedDataError(StorageError):
    """The data directory has damage that a crash during a write can't have caused."""


class CorruptLogError(DamagedDataError):
    """The log has damage that a crash during a write can't have caused."""


class CorruptSnapshotError(DamagedDataError):
    """A snapshot file is truncated, malformed or fails its checksum."""


class DirectoryInUseError(StorageError):
    """Another process has locked the data directory."""
