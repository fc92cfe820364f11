"""The data of snapshots, as replicas hold and transfer it."""

from functools import singledispatch
from typing import Protocol


class SnapshotData(Protocol):
    """Encoded state of a state machine, of which replicas transfer one part at a time.

    `bytes` is one implementation; another one reads the parts from files.
    """

    def __len__(self) -> int:
        """Return the size in bytes."""

    def __getitem__(self, part: slice, /) -> bytes:
        """Return a part without a step."""


@singledispatch
def count_stored_bytes(data: SnapshotData) -> int:
    """Return how many bytes are written whenever a snapshot is stored."""
    return len(data)
