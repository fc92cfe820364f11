"""Guard against leases that last longer than the proof they are based on."""

import time
from datetime import UTC, datetime, timedelta

import pytest

from oleanderhitch.process.clock import make_boot_clock, make_system_clock
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.site.currency import (
    BeginRead,
    CurrencyState,
    HelloArrived,
    LeadershipObserved,
    ReadNumber,
)
from oleanderhitch.process.site.currency import handle as handle_currency
from oleanderhitch.process.site.messages import HelloNumber, RoutingFound, SiteStatus
from oleanderhitch.process.site.subscription.core import (
    InstallRouting,
    LogLeaseChange,
    RenewLease,
    SeedsConfigured,
    SendHello,
    StatusReceived,
    SubscriptionState,
    handle,
)
from oleanderhitch.process.site.subscription.installed_state import InstalledState
from oleanderhitch.process.site.subscription.lease import (
    N_SENT_HELLOS_LIMIT,
    Lease,
    LeaseRenewal,
    LeaseState,
    make_lease_terms,
)
from oleanderhitch.version.routes.ids import NO_ROUTING, RoutingVersion
from tests.process.site.test_subscribers import ManualClock
from tests.request.forwarding.test_identity import make_table

NOW = datetime(2026, 1, 1, tzinfo=UTC)
TERMS = make_lease_terms(timedelta(seconds=5))
LEADER = NodeId("s1")
SECOND = timedelta(seconds=1)


def make_subscription(first_number: int = 100) -> SubscriptionState:
    """Return the state of an entry host that needs leases and knows the leader."""
    renewal = LeaseRenewal(TERMS, HelloNumber(first_number))
    state = SubscriptionState(NodeId("entry"), {LEADER}, renewal=renewal)
    handle(StatusReceived(LEADER, make_status()), state, NOW)
    return state


def make_status(
    confirmed: HelloNumber | None = None, routing: int | None = None
) -> SiteStatus:
    """Return the status of a leader."""
    found = None if routing is None else RoutingFound(RoutingVersion(routing), b"")
    return SiteStatus((), found, None, None, (), confirmed_hello=confirmed)


def send_hello(state: SubscriptionState, at: datetime) -> HelloNumber | None:
    """Let a regular hello be due; return its number."""
    state.next_hello_at = at
    effects = handle(Tick(), state, at)
    (hello,) = [effect.hello for effect in effects if isinstance(effect, SendHello)]
    return hello.number


def renew(
    state: SubscriptionState, number: HelloNumber | None, at: datetime
) -> list[object]:
    """Return the leases that the confirmation of a hello gives."""
    effects = handle(make_status(number), state, at)
    return [effect.lease for effect in effects if isinstance(effect, RenewLease)]


def test_lease_begins_when_the_confirmed_hello_was_sent() -> None:
    """Guard against a lease from the arrival of a status that was late."""
    state = make_subscription()
    number = send_hello(state, NOW)
    assert renew(state, number, NOW + SECOND) == [Lease(NOW, NO_ROUTING)]


def test_reordered_and_foreign_confirmations_give_no_lease() -> None:
    """Guard against an older lease, and one that an earlier process asked for."""
    state = make_subscription()
    first, second = send_hello(state, NOW), send_hello(state, NOW + SECOND)
    assert renew(state, HelloNumber(7), NOW + SECOND) == []
    assert renew(state, second, NOW + SECOND) == [Lease(NOW + SECOND, NO_ROUTING)]
    assert renew(state, first, NOW + SECOND) == []
    assert renew(state, second, NOW + SECOND) == []


def test_routing_is_installed_before_the_lease_on_it() -> None:
    """Guard against a lease that counts for the table that is replaced."""
    state = make_subscription()
    number = send_hello(state, NOW)
    effects = handle(make_status(number, routing=3), state, NOW)
    kinds = [type(effect) for effect in effects]
    assert kinds.index(InstallRouting) < kinds.index(RenewLease)
    assert RenewLease(Lease(NOW, RoutingVersion(3))) in effects


def test_sent_hellos_are_bounded() -> None:
    """Guard against memory that grows while no store answers."""
    state = make_subscription()
    assert state.renewal is not None
    for number in range(3 * N_SENT_HELLOS_LIMIT):
        send_hello(state, NOW + number * timedelta(milliseconds=10))
    assert len(state.renewal.sent_hellos) == N_SENT_HELLOS_LIMIT
    send_hello(state, NOW + 60 * SECOND)
    assert len(state.renewal.sent_hellos) == 1


def test_first_lease_waits_for_nothing_but_the_election() -> None:
    """Guard against hosts that start with the stores and wait for their next hello.

    Their first hello took 250 ms, another one after the election up to 250 ms, and a
    read that a new leader rejected was repeated after 200 ms.
    """
    renewal = LeaseRenewal(TERMS, HelloNumber(100))
    state = SubscriptionState(NodeId("entry"), renewal=renewal)
    (hello,) = [
        effect.hello
        for effect in handle(SeedsConfigured((LEADER,)), state, NOW)
        if isinstance(effect, SendHello)
    ]
    assert hello.number is not None
    store = CurrencyState()
    assert handle_currency(HelloArrived(hello.node, hello.number), store, NOW) == []
    elected_at = NOW + SECOND / 5
    read = BeginRead(ReadNumber(1))
    assert handle_currency(LeadershipObserved(True), store, elected_at) == [read]
    assert store.covered == {hello.node: hello.number}
    assert renew(state, hello.number, elected_at) == [Lease(NOW, NO_ROUTING)]


def test_named_leader_is_asked_at_once_after_a_transfer() -> None:
    """Guard against hosts that go on asking the leader before, or wait for a tick."""
    state = make_subscription()
    state.asked_stores = {LEADER, NodeId("s2")}
    status = SiteStatus((), None, None, None, leader=NodeId("s2"))
    effects = handle(StatusReceived(LEADER, status), state, NOW)
    hellos = [effect for effect in effects if isinstance(effect, SendHello)]
    assert [hello.stores for hello in hellos] == [(NodeId("s2"),)]


def test_confirmation_without_loads_comes_from_the_leader() -> None:
    """Guard against hosts that search for a leader after each confirmation of it."""
    state = make_subscription()
    number = send_hello(state, NOW)
    status = SiteStatus((), None, None, None, confirmed_hello=number)
    handle(StatusReceived(LEADER, status), state, NOW + SECOND)
    assert (state.leader, state.leader_seen_at) == (LEADER, NOW + SECOND)


def test_loss_and_gain_of_a_lease_are_logged_once() -> None:
    """Guard against a host that refuses all keys without a word, or floods its log."""
    state = make_subscription()
    effects = handle(make_status(send_hello(state, NOW)), state, NOW)
    for number in range(3):
        effects += handle(Tick(), state, NOW + 4 * SECOND + number * SECOND)
    at = NOW + 9 * SECOND
    effects += handle(make_status(send_hello(state, at)), state, at)
    changes = [effect.event for effect in effects if isinstance(effect, LogLeaseChange)]
    assert changes == ["lease gained", "lease lost", "lease gained"]


def test_lease_ends_during_a_suspension() -> None:
    """Guard against a host that wakes up and serves keys that were removed."""
    clock = ManualClock()
    state = InstalledState(clock, TERMS)
    table = make_table()
    state.install(table)
    assert state.lease_state is LeaseState.LAPSED
    state.renew_lease(Lease(clock.time, table.version))
    assert state.lease_state is LeaseState.FRESH
    clock.time += TERMS.fresh_duration
    assert state.lease_state is LeaseState.VALID
    clock.time += timedelta(hours=1)
    assert state.lease_state is LeaseState.LAPSED
    # A routing whose installation failed leaves the older table without a lease.
    state.renew_lease(Lease(clock.time, RoutingVersion(table.version + 1)))
    assert state.lease_state is LeaseState.LAPSED


def test_boot_clock_counts_suspensions_and_ignores_steps(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against leases on a clock that stands still or that someone sets."""
    boot_s = 1000.0
    monkeypatch.setattr(time, "clock_gettime", lambda clock: boot_s)
    monkeypatch.setattr(time, "monotonic", lambda: 500.0)
    boot_clock, system_clock = make_boot_clock(), make_system_clock()
    started_at, system_started_at = boot_clock.now(), system_clock.now()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    boot_s += 60
    assert boot_clock.now() - started_at == timedelta(seconds=60)
    assert system_clock.now() == system_started_at
