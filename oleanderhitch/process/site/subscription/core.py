"""Decide what an entry takes of what the stores tell it."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.connection.peer.messages import LinkDown, LinkUp
from oleanderhitch.process.directory.messages import EndpointList, ListVersion
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.messages import (
    EndpointLoad,
    LoadsFound,
)
from oleanderhitch.process.site.messages import EntryHello, RoutingFound, SiteStatus
from oleanderhitch.version.routes.ids import NO_ROUTING, RoutingVersion

# An idle entry needs no more; one with work tells its loads more often, since the
# entries choose endpoints by the loads that all of them cause.
HELLO_INTERVAL = timedelta(milliseconds=600)
LOADED_HELLO_INTERVAL = timedelta(milliseconds=250)
# The stores tell the list at least once a second; an entry that hears nothing
# for longer reads it by itself, so that leaving endpoints are noticed in time.
LIST_AGE_LIMIT = timedelta(milliseconds=2000)
# Term of the lists that an entry reads by itself; every store's term is higher.
OWN_TERM = 0


@dataclass(frozen=True, slots=True)
class StoresKnown:
    """Name stores that the settings or other stores know."""

    stores: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class ListReadByEntry:
    """Bring a list that this entry has read by itself."""

    found: EndpointList


@dataclass(frozen=True, slots=True)
class SayHello:
    """Send this entry's hello to a store, or to all that are known."""

    hello: EntryHello


@dataclass(frozen=True, slots=True)
class InstallRouting:
    """Use a routing configuration from now on."""

    found: RoutingFound


@dataclass(frozen=True, slots=True)
class InstallEndpoints:
    """Use a list of endpoints from now on."""

    found: EndpointList


@dataclass(frozen=True, slots=True)
class LinkStores:
    """Keep links to these stores."""

    stores: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class AppointReader:
    """Begin or cease to read the list by itself."""

    is_reader: bool


@dataclass(frozen=True, slots=True)
class AskLoads:
    """Ask placement which loads this entry causes."""


@dataclass(frozen=True, slots=True)
class TellLoads:
    """Tell placement which loads all other entries cause."""

    loads: tuple[EndpointLoad, ...]


@dataclass(frozen=True, slots=True)
class LogLink:
    """Log that a store is lost or reached again."""

    event: str
    store: str
    reason: str


@dataclass(slots=True)
class FollowerState:
    """Hold what an entry has heard; the follower's task owns it."""

    node: NodeId
    stores: set[NodeId] = field(default_factory=set)
    linked: set[str] = field(default_factory=set)
    routing: RoutingVersion = NO_ROUTING
    list_version: ListVersion | None = None
    list_heard_at: datetime | None = None
    is_reader: bool = False
    loads: tuple[EndpointLoad, ...] = ()
    hello_due_at: datetime | None = None


@singledispatch
def handle(message: object, state: FollowerState, now: datetime) -> list[object]:
    """Return the effects of a message."""
    raise TypeError(f"follower has no message {type(message).__name__}")


@handle.register
def _(message: Tick, state: FollowerState, now: datetime) -> list[object]:
    if state.list_heard_at is None:
        state.list_heard_at = now
    is_old = now - state.list_heard_at > LIST_AGE_LIMIT
    effects: list[object] = [AskLoads()]
    if state.hello_due_at is None or now >= state.hello_due_at:
        effects.extend(_make_hellos(state))
        state.hello_due_at = now + HELLO_INTERVAL
    if is_old and not state.is_reader:
        state.is_reader = True
        effects.append(AppointReader(True))
    return effects


@handle.register
def _(message: LoadsFound, state: FollowerState, now: datetime) -> list[object]:
    is_new = message.loads != state.loads
    state.loads = message.loads
    if not is_new:
        return []
    state.hello_due_at = now + HELLO_INTERVAL
    return _make_hellos(state)


@handle.register
def _(message: StoresKnown, state: FollowerState, now: datetime) -> list[object]:
    return _learn_stores(message.stores, state)


@handle.register
def _(message: SiteStatus, state: FollowerState, now: datetime) -> list[object]:
    effects = _learn_stores(message.stores, state)
    if message.routing is not None and message.routing.version > state.routing:
        state.routing = message.routing.version
        effects.append(InstallRouting(message.routing))
        # The stores learn at once which version this entry has.
        effects.extend(_make_hellos(state))
    if message.endpoints is not None:
        effects.extend(_take_list(message.endpoints, False, state, now))
    elif message.list_version is not None:
        effects.extend(_confirm_list(message.list_version, state, now))
    if message.other_loads is not None:
        effects.append(TellLoads(message.other_loads))
    return effects


@handle.register
def _(message: ListReadByEntry, state: FollowerState, now: datetime) -> list[object]:
    if not state.is_reader:
        return []
    return _take_list(message.found, True, state, now)


@handle.register
def _(message: LinkUp, state: FollowerState, now: datetime) -> list[object]:
    state.linked.add(message.peer)
    effects = _make_hellos(state)
    effects.append(LogLink("store reached", message.peer, ""))
    return effects


@handle.register
def _(message: LinkDown, state: FollowerState, now: datetime) -> list[object]:
    if message.peer not in state.linked:
        return []
    state.linked.discard(message.peer)
    return [LogLink("store lost", message.peer, message.reason)]


def _make_hellos(state: FollowerState) -> list[object]:
    hello = EntryHello(state.node, state.routing, state.list_version, state.loads)
    return [SayHello(hello)]


def _learn_stores(stores: tuple[NodeId, ...], state: FollowerState) -> list[object]:
    if state.stores.issuperset(stores):
        return []
    state.stores.update(stores)
    return [LinkStores(tuple(sorted(state.stores)))]


def _confirm_list(
    version: ListVersion, state: FollowerState, now: datetime
) -> list[object]:
    if version != state.list_version:
        return []
    state.list_heard_at = now
    if not state.is_reader:
        return []
    state.is_reader = False
    return [AppointReader(False)]


def _take_list(
    found: EndpointList, is_own: bool, state: FollowerState, now: datetime
) -> list[object]:
    known = state.list_version
    is_old = state.list_heard_at is None or now - state.list_heard_at > LIST_AGE_LIMIT
    is_newer = known is None or found.version > known
    if not is_newer and found.version != known and not is_old and not is_own:
        return []
    effects: list[object] = []
    state.list_heard_at = now
    if not is_own and state.is_reader:
        state.is_reader = False
        effects.append(AppointReader(False))
    if found.version != known:
        state.list_version = found.version
        effects.append(InstallEndpoints(found))
    return effects
