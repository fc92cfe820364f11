"""Guard against entries that go back to older routing or lists."""

from datetime import UTC, datetime, timedelta

from oleanderhitch.process.directory.messages import EndpointList, ListVersion
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.site.messages import RoutingFound, SiteStatus
from oleanderhitch.process.site.subscription.core import (
    InstallEndpoints,
    InstallRouting,
    LinkStores,
    ListReadLocally,
    SetLocalReader,
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
    """Return what a store tells."""
    found = None
    if routing is not None:
        found = RoutingFound(RoutingVersion(routing), b"")
    endpoints = EndpointList(version, ()) if version and has_list else None
    return SiteStatus(tuple(map(NodeId, stores)), found, version, endpoints)


def run(
    state: SubscriptionState, message: object, kind: type, at: datetime = NOW
) -> list[object]:
    """Return the effects of a type."""
    return [one for one in handle(message, state, at) if isinstance(one, kind)]


def test_routing_never_goes_back() -> None:
    """A store that is behind must not undo a newer version."""
    state = SubscriptionState(NodeId("entry"))
    assert run(state, make_status(routing=7), InstallRouting)
    assert not run(state, make_status(routing=5), InstallRouting)
    assert not run(state, make_status(routing=7), InstallRouting)


def test_list_of_an_earlier_term_is_ignored() -> None:
    """A leader that was replaced may still tell its list."""
    state = SubscriptionState(NodeId("entry"))
    assert run(state, make_status(version=ListVersion(4, 1)), InstallEndpoints)
    assert not run(state, make_status(version=ListVersion(3, 9)), InstallEndpoints)


def test_entry_reads_by_itself_when_it_hears_no_list() -> None:
    """Leaving endpoints must be noticed while the stores are out of reach."""
    state = SubscriptionState(NodeId("entry"))
    version = ListVersion(4, 1)
    handle(make_status(version=version), state, NOW)
    late = NOW + timedelta(seconds=3)
    assert run(state, Tick(), SetLocalReader, late) == [SetLocalReader(True)]
    own = ListReadLocally(EndpointList(ListVersion(0, 1), ()))
    assert run(state, own, InstallEndpoints, late)
    effects = handle(make_status(version=version), state, late)
    assert SetLocalReader(False) in effects
    assert [type(one) for one in effects if isinstance(one, InstallEndpoints)]


def test_confirmed_list_counts_as_heard() -> None:
    """A list without change is current as long as its reader says so."""
    state = SubscriptionState(NodeId("entry"))
    version = ListVersion(4, 1)
    handle(make_status(version=version), state, NOW)
    late = NOW + timedelta(seconds=3)
    handle(make_status(version=version, has_list=False), state, late)
    assert not run(state, Tick(), SetLocalReader, late)


def test_new_stores_are_linked_once() -> None:
    """An entry must reach stores that its settings do not name."""
    state = SubscriptionState(NodeId("entry"))
    assert run(state, make_status(stores=("s1", "s2")), LinkStores)
    assert not run(state, make_status(stores=("s1",)), LinkStores)
