"""Define the interface between a replicated group and its state machine."""

from datetime import datetime
from typing import Protocol

from oleanderhitch.process.replication.snapshot_data import SnapshotData
from oleanderhitch.process.replication.snapshot_sink import SnapshotSink

# Errors that follow from the state and the command alone, so that they are the same on
# every replica and at each start. An application answers them as refusals: raising them
# would stop all replicas for good. Errors of one host, as those of its disk, are not
# among them.
REPEATABLE_ERRORS = (ArithmeticError, LookupError, ValueError, AttributeError)


class Application(Protocol):
    """State machine that applies encoded commands in log order.

    It must be deterministic, so that all replicas reach the same state.
    """

    def apply(self, command: bytes) -> bytes:
        """Return the encoded result of a committed command."""

    def replay(self, command: bytes) -> None:
        """Apply a committed command whose result is not needed."""

    def read(self, query: bytes) -> bytes:
        """Return the encoded result of a query, without a change of state."""

    def take_snapshot(self) -> SnapshotData:
        """Return the whole state in encoded form."""

    def load_snapshot(self, stored: bytes) -> SnapshotData:
        """Replace the whole state with that of a stored snapshot, and return it."""

    def make_snapshot_sink(self) -> SnapshotSink:
        """Return an empty sink for a snapshot of another replica."""

    def restore_snapshot(self, data: SnapshotData) -> SnapshotData:
        """Replace the whole state with that of another replica's snapshot.

        The data comes from a sink of this application. Return the data that is to be
        stored.
        """

    def confirm_snapshot(self, data: SnapshotData) -> None:
        """Drop whatever only earlier snapshots need, since this one is synced."""

    def make_leader_commands(self, now: datetime) -> list[bytes]:
        """Return encoded commands that the leader should propose without a caller."""
