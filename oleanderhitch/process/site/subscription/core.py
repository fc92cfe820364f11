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
LIST_MAX_AGE = timedelta(milliseconds=2000)
# Term of the lists that an entry reads by itself; every store's term is higher.
LOCAL_TERM = 0


@dataclass(frozen=True, slots=True)
class StoresDiscovered:
    """Name stores that the settings or other stores know."""

    stores: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class ListReadLocally:
    """Bring a list that this entry has read by itself."""

    endpoint_list: EndpointList


@dataclass(frozen=True, slots=True)
class SendHello:
    """Send this entry's hello to a store, or to all that are known."""

    hello: EntryHello


@dataclass(frozen=True, slots=True)
class InstallRouting:
    """Use a routing configuration from now on."""

    routing: RoutingFound


@dataclass(frozen=True, slots=True)
class InstallEndpoints:
    """Use a list of endpoints from now on."""

    endpoint_list: EndpointList


@dataclass(frozen=True, slots=True)
class LinkStores:
    """Keep links to these stores."""

    stores: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class SetLocalReader:
    """Begin or cease to read the list by itself."""

    is_reader: bool


@dataclass(frozen=True, slots=True)
class RequestLoads:
    """Ask placement which loads this entry causes."""


@dataclass(frozen=True, slots=True)
class ReportPeerLoads:
    """Tell placement which loads all other entries cause."""

    loads: tuple[EndpointLoad, ...]


@dataclass(frozen=True, slots=True)
class LogLinkChange:
    """Log that a store is lost or reached again."""

    event: str
    store: str
    reason: str


@dataclass(slots=True)
class SubscriptionState:
    """Hold what an entry has heard; the follower's task owns it."""

    node: NodeId
    stores: set[NodeId] = field(default_factory=set)
    connected_stores: set[str] = field(default_factory=set)
    routing: RoutingVersion = NO_ROUTING
    list_version: ListVersion | None = None
    list_confirmed_at: datetime | None = None
    is_reader: bool = False
    loads: tuple[EndpointLoad, ...] = ()
    next_hello_at: datetime | None = None


@singledispatch
def handle(message: object, state: SubscriptionState, now: datetime) -> list[object]:
    """Return the effects of a message."""
    raise TypeError(f"follower has no message {type(message).__name__}")


@handle.register
def _(message: Tick, state: SubscriptionState, now: datetime) -> list[object]:
    if state.list_confirmed_at is None:
        state.list_confirmed_at = now
    is_old = now - state.list_confirmed_at > LIST_MAX_AGE
    effects: list[object] = [RequestLoads()]
    if state.next_hello_at is None or now >= state.next_hello_at:
        effects.extend(_make_hellos(state))
        state.next_hello_at = now + HELLO_INTERVAL
    if is_old and not state.is_reader:
        state.is_reader = True
        effects.append(SetLocalReader(True))
    return effects


@handle.register
def _(message: LoadsFound, state: SubscriptionState, now: datetime) -> list[object]:
    is_new = message.loads != state.loads
    state.loads = message.loads
    if not is_new:
        return []
    state.next_hello_at = now + HELLO_INTERVAL
    return _make_hellos(state)


@handle.register
def _(
    message: StoresDiscovered, state: SubscriptionState, now: datetime
) -> list[object]:
    return _add_stores(message.stores, state)


@handle.register
def _(message: SiteStatus, state: SubscriptionState, now: datetime) -> list[object]:
    effects = _add_stores(message.stores, state)
    if message.routing is not None and message.routing.version > state.routing:
        state.routing = message.routing.version
        effects.append(InstallRouting(message.routing))
        # The stores learn at once which version this entry has.
        effects.extend(_make_hellos(state))
    if message.endpoints is not None:
        effects.extend(_accept_list(message.endpoints, False, state, now))
    elif message.list_version is not None:
        effects.extend(_confirm_list(message.list_version, state, now))
    if message.other_loads is not None:
        effects.append(ReportPeerLoads(message.other_loads))
    return effects


@handle.register
def _(
    message: ListReadLocally, state: SubscriptionState, now: datetime
) -> list[object]:
    if not state.is_reader:
        return []
    return _accept_list(message.endpoint_list, True, state, now)


@handle.register
def _(message: LinkUp, state: SubscriptionState, now: datetime) -> list[object]:
    state.connected_stores.add(message.peer)
    effects = _make_hellos(state)
    effects.append(LogLinkChange("store reached", message.peer, ""))
    return effects


@handle.register
def _(message: LinkDown, state: SubscriptionState, now: datetime) -> list[object]:
    if message.peer not in state.connected_stores:
        return []
    state.connected_stores.discard(message.peer)
    return [LogLinkChange("store lost", message.peer, message.reason)]


def _make_hellos(state: SubscriptionState) -> list[object]:
    hello = EntryHello(state.node, state.routing, state.list_version, state.loads)
    return [SendHello(hello)]


def _add_stores(stores: tuple[NodeId, ...], state: SubscriptionState) -> list[object]:
    if state.stores.issuperset(stores):
        return []
    state.stores.update(stores)
    return [LinkStores(tuple(sorted(state.stores)))]


def _confirm_list(
    version: ListVersion, state: SubscriptionState, now: datetime
) -> list[object]:
    if version != state.list_version:
        return []
    state.list_confirmed_at = now
    if not state.is_reader:
        return []
    state.is_reader = False
    return [SetLocalReader(False)]


def _accept_list(
    endpoint_list: EndpointList, is_local: bool, state: SubscriptionState, now: datetime
) -> list[object]:
    current_version = state.list_version
    is_stale = (
        state.list_confirmed_at is None or now - state.list_confirmed_at > LIST_MAX_AGE
    )
    is_newer = current_version is None or endpoint_list.version > current_version
    if (
        not is_newer
        and endpoint_list.version != current_version
        and not is_stale
        and not is_local
    ):
        return []
    effects: list[object] = []
    state.list_confirmed_at = now
    if not is_local and state.is_reader:
        state.is_reader = False
        effects.append(SetLocalReader(False))
    if endpoint_list.version != current_version:
        state.list_version = endpoint_list.version
        effects.append(InstallEndpoints(endpoint_list))
    return effects
