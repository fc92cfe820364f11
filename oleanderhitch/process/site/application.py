"""The state machine of a site's group: routing, registered stores, turns, budgets.

The class implements `oleanderhitch.process.groups.application.Application`.
"""

from collections.abc import Callable, Iterator
from datetime import datetime, timedelta
from functools import singledispatch
from pathlib import Path

import gevent
import logbook
from gevent.util import wrap_errors
from msgspec import Struct, field

from oleanderhitch.connection.codec import Codec, make_codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.groups.application import REPEATABLE_ERRORS
from oleanderhitch.process.repair import messages as repair
from oleanderhitch.process.repair import registry
from oleanderhitch.process.repair.messages import StoreRecord
from oleanderhitch.process.repair.registry import RegistryState
from oleanderhitch.process.replication.snapshot_data import SnapshotData
from oleanderhitch.process.replication.snapshot_sink import SnapshotSink
from oleanderhitch.process.site import messages as site
from oleanderhitch.process.site.messages import (
    EMPTY_ROUTING,
    CommandRefused,
    GetRouting,
    PublishRouting,
    RoutingAccepted,
    RoutingFound,
)
from oleanderhitch.process.site.snapshot import (
    NewContents,
    ReceivedSnapshot,
    SiteSnapshot,
    load_site_snapshot,
    make_content_sink,
)
from oleanderhitch.program.turns import core as turns
from oleanderhitch.program.turns import messages as turn_messages
from oleanderhitch.program.turns.content_files import (
    ContentDirectory,
    StoredContent,
    make_content_directory,
)
from oleanderhitch.program.turns.core import TurnsState, is_expiry_due
from oleanderhitch.program.turns.messages import ExpireTurns
from oleanderhitch.program.turns.snapshot import (
    SNAPSHOT_RECORDS,
    SavedTurns,
    list_records,
    restore_record,
)
from oleanderhitch.request.ids import RequestId

EXPIRY_CHECK_INTERVAL = timedelta(seconds=5)
# A snapshot may exceed the frame size limit, so it is a sequence of frames that the
# decoder reads in pieces of this size.
SNAPSHOT_PIECE_BYTES = 1024 * 1024

log = logbook.Logger("site")

ChangeCallback = Callable[[], None]


class SiteState(Struct):
    """The replicated state, owned by the group's task."""

    routing: RoutingFound = EMPTY_ROUTING
    registry: RegistryState = field(default_factory=RegistryState)
    turns: TurnsState = field(default_factory=TurnsState)


def make_site_codec() -> Codec:
    """Return the codec for the commands, reads and results of a site's group."""
    return make_codec(
        (
            *site.COMMANDS,
            *site.READS,
            *site.RESULTS,
            *repair.COMMANDS,
            *repair.READS,
            *repair.RESULTS,
            *turn_messages.COMMANDS,
            *turn_messages.READS,
            *turn_messages.RESULTS,
        )
    )


@singledispatch
def apply(command: object, state: SiteState) -> object:
    """Apply a command or read and return its result."""
    raise TypeError(f"site has no command {type(command).__name__}")


@apply.register
def _(command: PublishRouting, state: SiteState) -> object:
    if command.version > state.routing.version:
        state.routing = RoutingFound(command.version, command.content)
    return RoutingAccepted(state.routing.version)


@apply.register
def _(command: GetRouting, state: SiteState) -> object:
    return state.routing


@apply.register
def _(command: repair.GetRetirement, state: SiteState) -> object:
    return registry.find_standing(command, state.registry)


def _apply_to_registry(command: object, state: SiteState) -> object:
    return registry.apply(command, state.registry)


def _apply_to_turns(command: object, state: SiteState) -> object:
    return turns.apply(command, state.turns)


for _command in repair.COMMANDS:
    apply.register(_command, _apply_to_registry)
for _command in (*turn_messages.COMMANDS, *turn_messages.READS):
    apply.register(_command, _apply_to_turns)


class SiteApplication:
    """Decodes commands, applies them and encodes their results.

    The callbacks run after a change of the routing or of the registered stores.
    """

    def __init__(
        self,
        contents: ContentDirectory,
        on_routing_change: ChangeCallback,
        on_registry_change: ChangeCallback,
    ) -> None:
        self._contents = contents
        self._codec = make_site_codec()
        self._snapshot_codec = make_codec(
            (RoutingFound, StoreRecord, *SNAPSHOT_RECORDS)
        )
        self._state = SiteState()
        self._on_routing_change = on_routing_change
        self._on_registry_change = on_registry_change
        self._next_expiry_check_at: datetime | None = None

    @property
    def routing(self) -> RoutingFound:
        """The routing configuration in this replica's state."""
        return self._state.routing

    @property
    def n_turns(self) -> int:
        """The number of turns in this replica's state."""
        return len(self._state.turns.turns)

    @property
    def records(self) -> tuple[StoreRecord, ...]:
        """The registered stores in this replica's state."""
        return tuple(self._state.registry.records.values())

    def apply(self, command: bytes) -> bytes:
        """Return the encoded result of a committed command."""
        return self._encode_result(self._apply(command))

    def replay(self, command: bytes) -> None:
        """Apply a committed command without returning its result."""
        self._state.turns.include_history = False
        try:
            self._apply(command)
        finally:
            self._state.turns.include_history = True

    def read(self, query: bytes) -> bytes:
        """Return the encoded result of a read."""
        return self._encode_result(self._apply(query))

    def _encode_result(self, result: object) -> bytes:
        try:
            return self._codec.encode(result)
        except MalformedFrameError as error:
            # The command is committed, whether its result fits into a frame or not.
            return self._codec.encode(CommandRefused(str(error)))

    def take_snapshot(self) -> SiteSnapshot:
        """Return the whole state; contents that are in memory go to a new file."""
        new_contents = NewContents(self._contents.make_file())
        places = [
            _find_place(turn.content, request, new_contents)
            for request, turn in self._state.turns.turns.items()
        ]
        records = (
            self._state.routing,
            *self._state.registry.records.values(),
            *list_records(
                self._state.turns, [(place.n_bytes, place.checksum) for place in places]
            ),
        )
        index = b"".join(self._snapshot_codec.encode(record) for record in records)
        return SiteSnapshot(index, places, new_contents)

    def load_snapshot(self, stored: bytes) -> SiteSnapshot:
        """Replace the whole state; raise OleanderhitchError if it is damaged."""
        snapshot = load_site_snapshot(stored, self._contents)
        self._restore(self._decode_index(snapshot.index), iter(snapshot.contents))
        return snapshot

    def make_snapshot_sink(self) -> SnapshotSink:
        """Return a sink that writes to a file of contents."""
        return make_content_sink(self._contents)

    def restore_snapshot(self, data: SnapshotData) -> SiteSnapshot:
        """Replace the whole state; raise OleanderhitchError if it is damaged.

        The contents are checked in a thread and stay in the file.
        """
        assert isinstance(data, ReceivedSnapshot)
        index = data.read_index()
        records = self._decode_index(index)
        sizes = [
            (turn.n_bytes, turn.checksum)
            for record in records
            if isinstance(record, SavedTurns)
            for turn in record.turns
        ]
        places = gevent.get_hub().threadpool.apply(
            wrap_errors(OleanderhitchError, data.locate_contents), (len(index), sizes)
        )
        if isinstance(places, OleanderhitchError):
            raise places
        self._restore(records, iter(places))
        return SiteSnapshot(index, places, received_file=data.file)

    def remove_unused_files(self) -> None:
        """Start to delete the files that an earlier process left half written."""
        contents = [turn.content for turn in self._state.turns.turns.values()]
        self._contents.remove_unused(
            {
                place.file.number
                for place in contents
                if isinstance(place, StoredContent)
            }
        )

    def confirm_snapshot(self, data: SnapshotData) -> None:
        """Read the contents that a synced snapshot has from its files from now on."""
        assert isinstance(data, SiteSnapshot)
        if data.received_file is not None:
            self._contents.release(data.received_file)
            # A replica takes no snapshot while it restores one.
            self._contents.remove_unused(data.file_numbers)
        if data.new_contents is None:
            return
        turns = self._state.turns.turns
        for request, place in data.new_contents.places.items():
            if request in turns:
                turns[request].content = place
        newest = data.new_contents.file.number
        data.new_contents = None
        self._contents.remove_others(data.file_numbers, newest)

    def join_removal(self) -> None:
        """Wait until the files that no snapshot refers to are deleted."""
        self._contents.join_removal()

    def _decode_index(self, index: bytes) -> list[object]:
        decoder = self._snapshot_codec.make_decoder()
        return [
            record
            for start in range(0, len(index), SNAPSHOT_PIECE_BYTES)
            for record in decoder.feed(index[start : start + SNAPSHOT_PIECE_BYTES])
        ]

    def _restore(self, records: list[object], contents: Iterator[object]) -> None:
        state = SiteState()
        for record in records:
            _restore_record(record, state, contents)
        self._state = state
        self._on_routing_change()
        self._on_registry_change()

    def make_leader_commands(self, now: datetime) -> list[bytes]:
        """Return an expiry command if a turn is due to expire."""
        if self._next_expiry_check_at is not None and now < self._next_expiry_check_at:
            return []
        self._next_expiry_check_at = now + EXPIRY_CHECK_INTERVAL
        if not is_expiry_due(self._state.turns, now):
            return []
        return [self._codec.encode(ExpireTurns(now))]

    def _apply(self, frame: bytes) -> object:
        version = self._state.routing.version
        records = dict(self._state.registry.records)
        try:
            result = apply(self._codec.decode(frame), self._state)
        except (MalformedFrameError, TypeError) as error:
            # Every replica refuses a malformed command; raising would stop them all.
            return CommandRefused(str(error))
        except REPEATABLE_ERRORS as error:
            log.error("command refused after an unexpected error", error=repr(error))
            return CommandRefused(repr(error))
        if self._state.routing.version != version:
            self._on_routing_change()
        if self._state.registry.records != records:
            self._on_registry_change()
        return result


@singledispatch
def _find_place(
    content: object, request: RequestId, new_contents: NewContents
) -> StoredContent:
    """Return the place of a turn's content, a new one if it is in memory."""
    raise TypeError(f"{type(content).__name__} is not the content of a turn")


@_find_place.register
def _(
    content: StoredContent, request: RequestId, new_contents: NewContents
) -> StoredContent:
    return content


@_find_place.register(bytes)
@_find_place.register(memoryview)
def _(
    content: bytes | memoryview, request: RequestId, new_contents: NewContents
) -> StoredContent:
    return new_contents.add(request, content)


@singledispatch
def _restore_record(
    record: object, state: SiteState, contents: Iterator[object]
) -> None:
    restore_record(record, state.turns, contents)


@_restore_record.register
def _(record: RoutingFound, state: SiteState, contents: Iterator[object]) -> None:
    state.routing = record


@_restore_record.register
def _(record: StoreRecord, state: SiteState, contents: Iterator[object]) -> None:
    state.registry.records[record.host] = record


def make_site_application(
    contents: Path,
    on_routing_change: ChangeCallback,
    on_registry_change: ChangeCallback,
) -> SiteApplication:
    """Return the application of a site's group with an empty state.

    The contents of turns are kept in the given directory; raise OSError if it can't be
    used.
    """
    return SiteApplication(
        make_content_directory(contents), on_routing_change, on_registry_change
    )
