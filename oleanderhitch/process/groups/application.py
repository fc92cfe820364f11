"""Define what a replicated group needs of the state machine it carries."""

from datetime import datetime
from typing import Protocol


class Application(Protocol):
    """Apply encoded commands in log order; every replica must agree."""

    def apply(self, command: bytes) -> bytes:
        """Return the encoded result of a committed command."""

    def replay(self, command: bytes) -> None:
        """Apply a committed command whose result nobody reads."""

    def read(self, query: bytes) -> bytes:
        """Return the encoded answer to a read that changes nothing."""

    def take_snapshot(self) -> bytes:
        """Return the whole state in encoded form."""

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""

    def make_leader_commands(self, now: datetime) -> list[bytes]:
        """Return encoded commands that the leader should propose by itself."""
