"""Guard against outdated routing and lists that an entry host installs."""

from datetime import UTC, datetime, timedelta

import pytest
from msgspec.structs import replace

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.messages import LinkDown, LinkUp
from oleanderhitch.process.crashes.messages import (
    CONVICTION,
    CrashesObserved,
    CrashRecord,
    CrashTrace,
)
from oleanderhitch.process.directory.messages import EndpointList, ListVersion
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.messages import SendPermitRequest
from oleanderhitch.process.site.messages import RoutingFound, SiteStatus
from oleanderhitch.process.site.subscription.core import (
    HELLO_INTERVAL,
    AskForPermit,
    InstallEndpoints,
    InstallRouting,
    LinkStores,
    ListReadLocally,
    ReportCrashes,
    ReportPermit,
    SendHello,
    SetLocalReader,
    StatusReceived,
    SubscriptionState,
    handle,
)
from oleanderhitch.request.ids import RequestFingerprint
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


def list_receivers(
    state: SubscriptionState, n_ticks: int, start: datetime
) -> list[tuple[NodeId, ...]]:
    """Return the stores that get the hello of each tick; ticks are far apart."""
    ticks = [
        list_effects(state, Tick(), SendHello, start + n * HELLO_INTERVAL)
        for n in range(n_ticks)
    ]
    return [hello.stores for hellos in ticks for hello in hellos]


def make_leader_status() -> SiteStatus:
    """Return the status of a store that leads."""
    return replace(make_status(), other_loads=())


def test_hellos_go_to_the_leader_only() -> None:
    """Guard against messages that grow with entry hosts times stores."""
    state = SubscriptionState(NodeId("entry"))
    leader = NodeId("s2")
    stores = tuple(f"s{n}" for n in range(24))
    handle(make_status(stores=stores), state, NOW)
    handle(StatusReceived(leader, make_leader_status()), state, NOW)
    hellos = []
    for n in range(4):
        at = NOW + n * HELLO_INTERVAL
        hellos.extend(list_effects(state, Tick(), SendHello, at))
        handle(StatusReceived(leader, make_leader_status()), state, at)
    assert [hello.stores for hello in hellos] == [(leader,)] * 4


def test_a_few_stores_at_a_time_are_asked_for_the_leader() -> None:
    """Guard against a storm of messages, or a leader that is not found, after a loss.

    All stores are asked in the end, since any of them may be the only one that answers.
    """
    state = SubscriptionState(NodeId("entry"))
    stores = tuple(f"s{n}" for n in range(24))
    handle(make_status(stores=stores), state, NOW)
    asked = list_receivers(state, 8, NOW)
    assert [len(receivers) for receivers in asked] == [3] * 8
    assert {store for receivers in asked for store in receivers} == set(stores)


def test_the_named_leader_gets_a_hello_at_once() -> None:
    """Guard against an entry host that finds a new leader after an interval or more."""
    state = SubscriptionState(NodeId("entry"))
    handle(make_status(stores=("s1", "s2", "s3", "s4", "s5")), state, NOW)
    (asked,) = list_receivers(state, 1, NOW)
    named = next(s for s in sorted(state.stores) if s not in asked)
    status = StatusReceived(asked[0], replace(make_status(), leader=named))
    (hello,) = list_effects(state, status, SendHello)
    assert hello.stores == (named,)  # type: ignore[attr-defined]
    again = StatusReceived(asked[1], replace(make_status(), leader=named))
    assert not list_effects(state, again, SendHello)


@pytest.mark.parametrize("is_deposed", [False, True])
def test_a_lost_leader_is_replaced(is_deposed: bool) -> None:
    """Guard against hellos to a store that leads no more, or does not answer."""
    state = SubscriptionState(NodeId("entry"))
    leader = NodeId("s2")
    handle(make_status(stores=("s1", "s2", "s3", "s4", "s5")), state, NOW)
    handle(StatusReceived(leader, make_leader_status()), state, NOW)
    later = NOW + timedelta(milliseconds=100 if is_deposed else 2000)
    if is_deposed:
        handle(StatusReceived(leader, make_status()), state, later)
    assert len(list_receivers(state, 1, later)[0]) == 3
    handle(StatusReceived(NodeId("s4"), make_leader_status()), state, later)
    assert list_receivers(state, 1, later + HELLO_INTERVAL) == [(NodeId("s4"),)]
    handle(LinkUp(HostAddress("s4")), state, later)
    handle(LinkDown(HostAddress("s4"), "ended"), state, later)
    assert len(list_receivers(state, 1, later)[0]) == 3


LEADER_STATUS = replace(make_status(), other_loads=())


def test_question_for_a_send_goes_to_the_leader_or_is_answered_at_once() -> None:
    """Guard against requests that wait for a leader that is not known."""
    state = SubscriptionState(NodeId("entry"))
    request = SendPermitRequest(1, ())
    (effect,) = handle(request, state, NOW)
    assert isinstance(effect, ReportPermit)
    assert not effect.reply.is_leader
    handle(StatusReceived(NodeId("s1"), LEADER_STATUS), state, NOW)
    assert handle(request, state, NOW) == [AskForPermit(NodeId("s1"), request)]


def test_crashes_reach_the_leader_at_once_and_each_new_leader() -> None:
    """Guard against evidence that waits for the next hello or ends with a leader."""
    state = SubscriptionState(NodeId("entry"))
    content = RequestFingerprint("content")
    record = CrashRecord(content, {"e1/1": CrashTrace(CONVICTION, 0, 0)})
    handle(StatusReceived(NodeId("s1"), LEADER_STATUS), state, NOW)
    reported, hello = handle(CrashesObserved((record,)), state, NOW)
    only = frozenset({content})
    assert reported == ReportCrashes(only, only)
    assert isinstance(hello, SendHello)
    assert hello.hello.crashes == (record,)
    knowing = replace(LEADER_STATUS, crashes_digest=state.crashes.digest)
    handle(StatusReceived(NodeId("s1"), knowing), state, NOW)
    (hello,) = list_effects(state, Tick(), SendHello, NOW + HELLO_INTERVAL)
    assert isinstance(hello, SendHello)
    assert hello.hello.crashes == ()
    handle(StatusReceived(NodeId("s2"), LEADER_STATUS), state, NOW)
    (hello,) = list_effects(state, Tick(), SendHello, NOW + 2 * HELLO_INTERVAL)
    assert isinstance(hello, SendHello)
    (sent,) = hello.hello.crashes
    assert (sent.fingerprint, list(sent.crashes)) == (content, ["e1/1"])
