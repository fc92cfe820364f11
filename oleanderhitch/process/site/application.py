"""The state machine of a site's group: routing, registered stores, turns, budgets.

The class implements `oleanderhitch.process.groups.application.Application`.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.connection.codec import Codec, make_codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.process.repair import messages as repair
from oleanderhitch.process.repair import registry
from oleanderhitch.process.repair.messages import StoreRecord
from oleanderhitch.process.repair.registry import RegistryState
from oleanderhitch.process.site import messages as site
from oleanderhitch.process.site.messages import (
    EMPTY_ROUTING,
    CommandRefused,
    GetRouting,
    PublishRouting,
    RoutingAccepted,
    RoutingFound,
)
from oleanderhitch.program.turns import core as turns
from oleanderhitch.program.turns import messages as turn_messages
from oleanderhitch.program.turns.core import TurnsState, is_expiry_due
from oleanderhitch.program.turns.messages import ExpireTurns
from oleanderhitch.program.turns.snapshot import (
    SNAPSHOT_RECORDS,
    list_records,
    restore_record,
)

EXPIRY_CHECK_INTERVAL = timedelta(seconds=5)
# A snapshot may exceed the frame size limit, so it is a sequence of frames that the
# decoder reads in pieces of this size.
SNAPSHOT_PIECE_BYTES = 1024 * 1024

ChangeCallback = Callable[[], None]


@dataclass(slots=True)
class SiteState:
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
for _command in turn_messages.COMMANDS:
    apply.register(_command, _apply_to_turns)


class SiteApplication:
    """Decodes commands, applies them and encodes their results.

    The callbacks run after a change of the routing or of the registered stores.
    """

    def __init__(
        self, on_routing_change: ChangeCallback, on_registry_change: ChangeCallback
    ) -> None:
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
        return self._codec.encode(self._apply(command))

    def replay(self, command: bytes) -> None:
        """Apply a committed command without returning its result."""
        self._apply(command)

    def read(self, query: bytes) -> bytes:
        """Return the encoded result of a read."""
        return self._codec.encode(self._apply(query))

    def take_snapshot(self) -> bytes:
        """Return the whole state as a sequence of frames."""
        records = (
            self._state.routing,
            *self._state.registry.records.values(),
            *list_records(self._state.turns),
        )
        return b"".join(self._snapshot_codec.encode(record) for record in records)

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the whole state; raise MalformedFrameError if data is damaged."""
        state = SiteState()
        decoder = self._snapshot_codec.make_decoder()
        for start in range(0, len(data), SNAPSHOT_PIECE_BYTES):
            for record in decoder.feed(data[start : start + SNAPSHOT_PIECE_BYTES]):
                _restore_record(record, state)
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
        if self._state.routing.version != version:
            self._on_routing_change()
        if self._state.registry.records != records:
            self._on_registry_change()
        return result


@singledispatch
def _restore_record(record: object, state: SiteState) -> None:
    restore_record(record, state.turns)


@_restore_record.register
def _(record: RoutingFound, state: SiteState) -> None:
    state.routing = record


@_restore_record.register
def _(record: StoreRecord, state: SiteState) -> None:
    state.registry.records[record.host] = record


def make_site_application(
    on_routing_change: ChangeCallback, on_registry_change: ChangeCallback
) -> SiteApplication:
    """Return the application of a site's group with an empty state."""
    return SiteApplication(on_routing_change, on_registry_change)
