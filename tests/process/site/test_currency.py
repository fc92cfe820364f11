"""Guard against confirmations of routing that may not be the newest."""

from datetime import UTC, datetime, timedelta

from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.site.currency import (
    N_WAITING_MAX,
    READ_INTERVAL,
    READ_TIMEOUT,
    BeginRead,
    ConfirmHellos,
    CurrencyState,
    HelloArrived,
    LeadershipObserved,
    ReadCompleted,
    ReadFailed,
    ReadNumber,
    handle,
)
from oleanderhitch.process.site.messages import EntryHello, HelloNumber
from oleanderhitch.version.routes.ids import NO_ROUTING, RoutingVersion
from tests.process.site.test_subscribers import (
    FakeEntryHost,
    make_subscribers_and_clock,
)

NOW = datetime(2026, 1, 1, tzinfo=UTC)
VERSION = RoutingVersion(7)


def make_leader() -> CurrencyState:
    """Return the state of a store that leads."""
    state = CurrencyState()
    handle(LeadershipObserved(True), state, NOW)
    return state


def make_hello(node: str, number: int) -> HelloArrived:
    """Return the report of a hello."""
    return HelloArrived(NodeId(node), HelloNumber(number))


def complete(state: CurrencyState, read: int, at: datetime = NOW) -> list[object]:
    """Return the effects of the completion of a read."""
    return handle(ReadCompleted(ReadNumber(read), VERSION), state, at)


def test_read_confirms_only_hellos_that_arrived_before_it_began() -> None:
    """Guard against a read that missed what was accepted before a hello was sent."""
    state = make_leader()
    assert handle(make_hello("a", 1), state, NOW) == [BeginRead(ReadNumber(1))]
    assert handle(make_hello("a", 2), state, NOW) == []
    assert handle(make_hello("b", 5), state, NOW) == []
    assert complete(state, 1) == [ConfirmHellos({NodeId("a"): HelloNumber(1)}, VERSION)]
    # One read confirms the hellos of all hosts, and reads are apart.
    assert handle(Tick(), state, NOW) == []
    assert state.next_tick_at == NOW + READ_INTERVAL
    later = NOW + READ_INTERVAL
    assert handle(Tick(), state, later) == [BeginRead(ReadNumber(2))]
    hellos = {NodeId("a"): HelloNumber(2), NodeId("b"): HelloNumber(5)}
    assert complete(state, 2, later) == [ConfirmHellos(hellos, VERSION)]


def test_read_of_a_deposed_leader_confirms_nothing() -> None:
    """Guard against the late reply of a read from before another store led."""
    state = make_leader()
    handle(make_hello("a", 1), state, NOW)
    handle(LeadershipObserved(False), state, NOW)
    assert handle(make_hello("a", 2), state, NOW) == []
    assert complete(state, 1) == []
    handle(LeadershipObserved(True), state, NOW)
    assert complete(state, 1) == []
    later = NOW + READ_INTERVAL
    assert handle(make_hello("a", 3), state, later) == [BeginRead(ReadNumber(2))]
    assert complete(state, 1, later) == []


def test_failed_and_lost_reads_are_repeated() -> None:
    """Guard against hosts that lose their leases since one reply is missing."""
    state = make_leader()
    handle(make_hello("a", 1), state, NOW)
    assert handle(ReadFailed(ReadNumber(1)), state, NOW) == []
    at = NOW + READ_INTERVAL
    assert handle(Tick(), state, at) == [BeginRead(ReadNumber(2))]
    handle(make_hello("b", 1), state, at)
    assert handle(Tick(), state, at + READ_INTERVAL) == []
    at += READ_TIMEOUT
    assert handle(Tick(), state, at) == [BeginRead(ReadNumber(3))]
    assert complete(state, 2, at) == []
    hellos = {NodeId("a"): HelloNumber(1), NodeId("b"): HelloNumber(1)}
    assert complete(state, 3, at) == [ConfirmHellos(hellos, VERSION)]


def test_status_confirms_a_hello_only_with_the_routing_that_was_read() -> None:
    """Guard against a lease of a host on an older version."""
    subscribers, clock = make_subscribers_and_clock()
    entry = FakeEntryHost("a", subscribers)
    hello = EntryHello(entry.node, NO_ROUTING, None, number=HelloNumber(4))
    subscribers.handle_hello(hello, entry)
    hellos = {entry.node: HelloNumber(4), NodeId("gone"): HelloNumber(1)}
    subscribers.confirm_hellos(ConfirmHellos(hellos, VERSION))
    assert entry.received[-1].confirmed_hello is None
    subscribers.confirm_current()
    # This store has applied version 7 only.
    clock.time += timedelta(milliseconds=1)
    subscribers.confirm_hellos(ConfirmHellos(hellos, RoutingVersion(8)))
    assert entry.received[-1].confirmed_hello is None
    subscribers.confirm_hellos(ConfirmHellos(hellos, VERSION))
    status = entry.received[-1]
    assert status.confirmed_hello == 4
    assert status.routing is not None
    assert status.routing.version == VERSION


def test_hellos_of_reads_without_a_reply_are_bounded() -> None:
    """Guard against growth while no read completes and other hosts come."""
    state = make_leader()
    at = NOW
    for number in range(3 * N_WAITING_MAX):
        if number % N_WAITING_MAX == 0:
            at += READ_TIMEOUT
        handle(make_hello(f"n{number}", number), state, at)
    handle(LeadershipObserved(False), state, at)
    assert len(state.waiting) == N_WAITING_MAX
    assert NodeId(f"n{number}") in state.waiting


def test_hello_that_a_read_covered_is_as_old_as_the_latest_of_its_host() -> None:
    """Guard against the loss of a host's latest hello where too many wait."""
    state = make_leader()
    for node, number in (("a", 1), ("b", 2), ("a", 3)):
        handle(make_hello(node, number), state, NOW)
    handle(LeadershipObserved(False), state, NOW)
    assert list(state.waiting) == [NodeId("b"), NodeId("a")]
    assert state.waiting[NodeId("a")] == HelloNumber(3)
