"""The state machine that a replicated group runs for a program shard.

The class implements `oleanderhitch.process.groups.application.Application`.
"""

from datetime import datetime, timedelta

import logbook

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.process.groups.application import REPEATABLE_ERRORS
from oleanderhitch.process.replication.snapshot_data import SnapshotData
from oleanderhitch.process.replication.snapshot_sink import (
    SnapshotSink,
    make_memory_sink,
)
from oleanderhitch.program.core import ENDED_PROGRAM_RETENTION, apply, make_shard_state
from oleanderhitch.program.entries import ShardState
from oleanderhitch.program.history import HistoryStore
from oleanderhitch.program.lifecycle import is_expiry_due
from oleanderhitch.program.messages import COMMANDS, READS, ExpirePrograms, Refused
from oleanderhitch.program.snapshot import (
    encode_snapshot,
    make_snapshot_codec,
    restore_snapshot,
)
from oleanderhitch.program.states import RefusalReason

EXPIRY_INTERVAL = timedelta(seconds=10)

log = logbook.Logger("programs")


class ProgramApplication:
    """Decodes commands, applies them and encodes their results."""

    def __init__(self, codec: Codec, state: ShardState) -> None:
        self._codec = codec
        self._snapshot_codec = make_snapshot_codec()
        self._state = state
        self._next_expiry_check_at: datetime | None = None

    def apply(self, command: bytes) -> bytes:
        """Return the encoded result of a committed command.

        A malformed command is refused, by every replica in the same way.
        """
        return self._execute(command, COMMANDS)

    def replay(self, command: bytes) -> None:
        """Apply a committed command without returning its result."""
        try:
            message = self._codec.decode(command)
        except MalformedFrameError:
            return
        if isinstance(message, COMMANDS):
            self._state.include_history = False
            try:
                apply(message, self._state)
            except REPEATABLE_ERRORS as error:
                _log_refusal(error)
            finally:
                self._state.include_history = True

    def read(self, query: bytes) -> bytes:
        """Return the encoded result of a read."""
        return self._execute(query, READS)

    def take_snapshot(self) -> bytes:
        """Return the whole shard, including its history, as a snapshot."""
        return encode_snapshot(self._state, self._snapshot_codec)

    def load_snapshot(self, stored: bytes) -> SnapshotData:
        """Replace the whole shard; raise SnapshotError if the data is damaged."""
        return self.restore_snapshot(stored)

    def make_snapshot_sink(self) -> SnapshotSink:
        """Return a sink in memory."""
        return make_memory_sink()

    def restore_snapshot(self, data: SnapshotData) -> SnapshotData:
        """Replace the whole shard; raise SnapshotError if the data is damaged."""
        restore_snapshot(self._state, data[:], self._snapshot_codec)
        return data

    def confirm_snapshot(self, data: SnapshotData) -> None:
        """Do nothing, since a snapshot has the whole shard."""

    def make_leader_commands(self, now: datetime) -> list[bytes]:
        """Return an expiry command if a program is due to expire."""
        next_check_at = self._next_expiry_check_at
        if next_check_at is not None and now < next_check_at:
            return []
        self._next_expiry_check_at = now + EXPIRY_INTERVAL
        if not is_expiry_due(self._state, now):
            return []
        return [self._codec.encode(ExpirePrograms(now))]

    def _execute(self, body: bytes, accepted: tuple[type, ...]) -> bytes:
        try:
            message = self._codec.decode(body)
        except MalformedFrameError as error:
            return self._refuse(f"malformed command: {error}")
        if not isinstance(message, accepted):
            return self._refuse(f"{type(message).__name__} is not accepted here")
        try:
            return self._codec.encode(apply(message, self._state))
        except MalformedFrameError as error:
            return self._refuse(str(error))
        except REPEATABLE_ERRORS as error:
            _log_refusal(error)
            return self._refuse(repr(error))

    def _refuse(self, detail: str) -> bytes:
        return self._codec.encode(Refused(RefusalReason.INVALID_COMMAND, detail))


def _log_refusal(error: Exception) -> None:
    log.error("command refused after an unexpected error: {!r}", error)


def make_program_application(
    codec: Codec,
    history: HistoryStore | None = None,
    retention: timedelta = ENDED_PROGRAM_RETENTION,
) -> ProgramApplication:
    """Return the application of one shard; the codec must support MESSAGES.

    History is kept in memory unless a store is given.
    """
    return ProgramApplication(codec, make_shard_state(history, retention))
