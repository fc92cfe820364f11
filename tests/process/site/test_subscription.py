"""Guard against outdated routing and lists that an entry host installs."""

from datetime import UTC, datetime, timedelta

from msgspec.structs import replace

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.messages import LinkDown, LinkUp
from oleanderhitch.process.directory.messages import EndpointList, ListVersion
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.site.messages import RoutingFound, SiteStatus
from oleanderhitch.process.site.subscription.core import (
    HELLO_INTERVAL,
    InstallEndpoints,
    InstallRouting,
    LinkStores,
    ListReadLocally,
    SendHello,
    SetLocalReader,
    StatusReceived,
    SubscriptionState,
    handle,
)
from oleanderhitch.version.routes.ids import RoutingVersion

NOW = datetime(2026, 1, 1, tzinfo=UTC)


def make_status(
    routing: int | None = None,
    version: ListVersion | None = None,
    has_list: bool = True,
    stores: tuple[str, ...] = (),
) -> SiteStatus:
    """Return a store's status with the given routing and list versions."""
    routing_found = None
    if routing is not None:
        routing_found = RoutingFound(RoutingVersion(routing), b"")
    endpoints = EndpointList(version, ()) if version and has_list else None
    return SiteStatus(tuple(map(NodeId, stores)), routing_found, version, endpoints)


def list_effects(
    state: SubscriptionState, message: object, effect_type: type, at: datetime = NOW
) -> list[object]:
    """Handle a message and return its effects of one type."""
    return [
        effect
        for effect in handle(message, state, at)
        if isinstance(effect, effect_type)
    ]


def test_older_routing_is_never_installed() -> None:
    """Guard against a store with outdated state that undoes a newer version."""
    state = SubscriptionState(NodeId("entry"))
    assert list_effects(state, make_status(routing=7), InstallRouting)
    assert not list_effects(state, make_status(routing=5), InstallRouting)
    assert not list_effects(state, make_status(routing=7), InstallRouting)


def test_list_of_an_earlier_term_is_ignored() -> None:
    """Guard against the list of a replaced leader, which may still send it."""
    state = SubscriptionState(NodeId("entry"))
    assert list_effects(state, make_status(version=ListVersion(4, 1)), InstallEndpoints)
    assert not list_effects(
        state, make_status(version=ListVersion(3, 9)), InstallEndpoints
    )


def test_entry_host_reads_the_list_itself_without_a_confirmation() -> None:
    """Guard against leaving endpoints that are missed while stores are unreachable."""
    state = SubscriptionState(NodeId("entry"))
    version = ListVersion(4, 1)
    handle(make_status(version=version), state, NOW)
    late = NOW + timedelta(seconds=3)
    assert list_effects(state, Tick(), SetLocalReader, late) == [SetLocalReader(True)]
    own = ListReadLocally(EndpointList(ListVersion(0, 1), ()))
    assert list_effects(state, own, InstallEndpoints, late)
    effects = handle(make_status(version=version), state, late)
    assert SetLocalReader(False) in effects
    assert [type(effect) for effect in effects if isinstance(effect, InstallEndpoints)]


def test_confirmed_list_is_not_stale() -> None:
    """Guard against reading a list again that a store confirms as unchanged."""
    state = SubscriptionState(NodeId("entry"))
    version = ListVersion(4, 1)
    handle(make_status(version=version), state, NOW)
    late = NOW + timedelta(seconds=3)
    handle(make_status(version=version, has_list=False), state, late)
    assert not list_effects(state, Tick(), SetLocalReader, late)


def test_new_stores_are_linked_once() -> None:
    """Guard against a lack of links to stores that the settings do not name."""
    state = SubscriptionState(NodeId("entry"))
    assert list_effects(state, make_status(stores=("s1", "s2")), LinkStores)
    assert not list_effects(state, make_status(stores=("s1",)), LinkStores)


def test_most_hellos_go_to_the_leader_only() -> None:
    """Guard against messages that grow with entry hosts times stores.

    Without a leader all stores get each hello, so that the next leader is found.
    """
    state = SubscriptionState(NodeId("entry"))
    leader = NodeId("s2")

    def list_receivers(n_ticks: int, start: datetime) -> list[NodeId | None]:
        ticks = [
            list_effects(state, Tick(), SendHello, start + n * HELLO_INTERVAL)
            for n in range(n_ticks)
        ]
        return [hello.store for hellos in ticks for hello in hellos]

    assert list_receivers(4, NOW) == [None] * 4
    status = replace(make_status(), other_loads=())
    handle(StatusReceived(leader, status), state, NOW)
    later = NOW + timedelta(seconds=10)
    assert list_receivers(4, later) == [None, leader, None, leader]
    handle(LinkUp(HostAddress(leader)), state, later)
    handle(LinkDown(HostAddress(leader), "ended"), state, later)
    assert list_receivers(4, later + timedelta(seconds=10)) == [None] * 4
