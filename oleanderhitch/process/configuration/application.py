"""The state machine that the replicated configuration group runs.

The class implements `oleanderhitch.process.groups.application.Application`.
"""

from collections.abc import Iterator, Sequence
from datetime import datetime
from functools import singledispatch

import logbook

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.process.configuration import messages
from oleanderhitch.process.configuration.core import (
    ConfigurationState,
    StoredAnswer,
    apply,
    make_configuration_accepted,
    make_configuration_state,
    read,
)
from oleanderhitch.process.configuration.messages import (
    ConfigurationCallRefused,
    Publish,
    PublishRecord,
    PublishRefused,
)
from oleanderhitch.process.groups.application import REPEATABLE_ERRORS
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.replication.snapshot_data import SnapshotData
from oleanderhitch.process.replication.snapshot_sink import (
    SnapshotSink,
    make_memory_sink,
)
from oleanderhitch.values import Value
from oleanderhitch.version.checks import Fault
from oleanderhitch.version.compile import compile_configuration
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.documents import ConfigurationDocument, Document
from oleanderhitch.version.exceptions import InvalidConfigurationError
from oleanderhitch.version.ids import ConfigurationVersion, DocumentName

# A snapshot may exceed the frame size limit, so it is a sequence of frames that the
# decoder reads in pieces of this size.
SNAPSHOT_PIECE_BYTES = 1024 * 1024

log = logbook.Logger("configuration")


class ConfigurationSnapshotHead(Value, frozen=True):
    """The first frame of a snapshot; documents, records and stored results follow."""

    version: ConfigurationVersion
    removals: dict[DocumentName, ConfigurationVersion]


SNAPSHOT_MESSAGES: tuple[type, ...] = (
    ConfigurationSnapshotHead,
    ConfigurationDocument,
    PublishRecord,
    StoredAnswer,
)


class ConfigurationApplication:
    """Decodes the commands and reads of the group and encodes their results.

    The subscriber gets ConfigurationAccepted after each new version and after a
    snapshot is restored.
    """

    def __init__(self, state: ConfigurationState, subscriber: Address | None) -> None:
        self._state = state
        self._subscriber = subscriber
        self._codec = make_codec(messages.MESSAGES)
        self._snapshot_codec = make_codec(SNAPSHOT_MESSAGES)
        self._last_compiled: Configuration | None = None

    def apply(self, command: bytes) -> bytes:
        """Return the encoded result of a committed command."""
        version = self._state.version
        try:
            result = apply(self._codec.decode(command), self._state)
        except (MalformedFrameError, TypeError) as error:
            # Every replica refuses a malformed command; raising would stop them all.
            result = ConfigurationCallRefused(str(error))
        except REPEATABLE_ERRORS as error:
            log.error("command refused after an unexpected error: {!r}", error)
            result = ConfigurationCallRefused(repr(error))
        if self._state.version != version:
            self._notify_subscriber()
        return self._encode_result(result)

    def replay(self, command: bytes) -> None:
        """Apply a committed command without returning its result."""
        self.apply(command)

    def read(self, query: bytes) -> bytes:
        """Return the encoded result of a read."""
        try:
            result = read(self._codec.decode(query), self._state)
        except (MalformedFrameError, TypeError) as error:
            result = ConfigurationCallRefused(str(error))
        return self._encode_result(result)

    def _encode_result(self, result: object) -> bytes:
        try:
            return self._codec.encode(result)
        except MalformedFrameError as error:
            # The command is committed, whether its result fits into a frame or not.
            return self._codec.encode(ConfigurationCallRefused(str(error)))

    def find_refusal(self, command: bytes) -> bytes | None:
        """Return the encoded refusal of a command, or None if it may be proposed.

        The store that receives a command calls this before the command is proposed.
        Documents are validated here and not in `apply`, so that replicas of releases
        with different checks still apply the log identically.
        """
        try:
            message = self._codec.decode(command)
        except MalformedFrameError as error:
            return self._codec.encode(ConfigurationCallRefused(str(error)))
        if not isinstance(message, Publish):
            reason = f"{type(message).__name__} is not a command"
            return self._codec.encode(ConfigurationCallRefused(reason))
        faults = self._find_faults(message)
        if not faults:
            return None
        return self._codec.encode(PublishRefused(message.publish, tuple(faults)))

    def take_snapshot(self) -> bytes:
        """Return the whole state as a sequence of frames."""
        return b"".join(
            self._snapshot_codec.encode(message)
            for message in _list_snapshot_messages(self._state)
        )

    def load_snapshot(self, stored: bytes) -> SnapshotData:
        """Replace the whole state with that of a stored snapshot."""
        return self.restore_snapshot(stored)

    def make_snapshot_sink(self) -> SnapshotSink:
        """Return a sink in memory."""
        return make_memory_sink()

    def restore_snapshot(self, data: SnapshotData) -> SnapshotData:
        """Replace the whole state with that of a snapshot."""
        restored = make_configuration_state()
        decoder = self._snapshot_codec.make_decoder()
        for start in range(0, len(data), SNAPSHOT_PIECE_BYTES):
            for message in decoder.feed(data[start : start + SNAPSHOT_PIECE_BYTES]):
                _restore_message(message, restored)
        self._state = restored
        self._last_compiled = None
        self._notify_subscriber()
        return data

    def confirm_snapshot(self, data: SnapshotData) -> None:
        """Do nothing, since a snapshot has the whole state."""

    def make_leader_commands(self, now: datetime) -> list[bytes]:
        """Return no commands, since only operators change the configuration."""
        return []

    def _find_faults(self, publish: Publish) -> Sequence[Fault]:
        state = self._state
        is_resend = publish.publish in state.results
        if is_resend or publish.base_version != state.version:
            return ()
        documents: dict[DocumentName, Document] = {
            name: document
            for name, document in state.documents.items()
            if name not in publish.removed
        }
        documents.update({draft.name: draft for draft in publish.documents})
        try:
            self._last_compiled = compile_configuration(
                state.version, tuple(documents.values()), self._last_compiled
            )
        except InvalidConfigurationError as error:
            return error.faults
        return ()

    def _notify_subscriber(self) -> None:
        if self._subscriber is not None:
            self._subscriber.send(make_configuration_accepted(self._state))


def make_configuration_application(
    subscriber: Address | None = None,
) -> ConfigurationApplication:
    """Return the application of the configuration group with an empty state."""
    return ConfigurationApplication(make_configuration_state(), subscriber)


def _list_snapshot_messages(state: ConfigurationState) -> Iterator[object]:
    yield ConfigurationSnapshotHead(state.version, dict(state.removals))
    yield from state.documents.values()
    yield from state.records
    yield from state.results.values()


@singledispatch
def _restore_message(message: object, state: ConfigurationState) -> None:
    raise TypeError(
        f"configuration snapshot does not support message type {type(message).__name__}"
    )


@_restore_message.register
def _(message: ConfigurationSnapshotHead, state: ConfigurationState) -> None:
    state.version = message.version
    state.removals = message.removals


@_restore_message.register
def _(message: ConfigurationDocument, state: ConfigurationState) -> None:
    state.documents[message.name] = message


@_restore_message.register
def _(message: PublishRecord, state: ConfigurationState) -> None:
    state.records.append(message)


@_restore_message.register
def _(message: StoredAnswer, state: ConfigurationState) -> None:
    state.results[message.publish] = message
