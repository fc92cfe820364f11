"""Sinks for the pieces of a snapshot that another replica sends."""

from typing import Protocol

from oleanderhitch.process.replication.snapshot_data import SnapshotData
from oleanderhitch.process.storage.disk import Disk


class SnapshotSink(Protocol):
    """Takes the pieces of a snapshot of another replica, in order.

    All methods but `discard` run in a thread, one at a time.
    """

    def append(self, piece: bytes, disk: Disk) -> None:
        """Add a piece; raise OSError."""

    def finish(self, disk: Disk) -> SnapshotData:
        """Make the pieces durable and return them as one; raise OSError."""

    def discard(self) -> None:
        """Free whatever the pieces take, since they are not used."""


class MemorySink:
    """Sink for snapshots that are small enough to be held in memory."""

    def __init__(self) -> None:
        self._data = bytearray()

    def append(self, piece: bytes, disk: Disk) -> None:
        """Add a piece."""
        self._data += piece

    def finish(self, disk: Disk) -> SnapshotData:
        """Return the pieces as one; they become durable as part of the snapshot."""
        return bytes(self._data)

    def discard(self) -> None:
        """Do nothing; the memory is freed with the sink."""


def make_memory_sink() -> SnapshotSink:
    """Return an empty sink in memory."""
    return MemorySink()
