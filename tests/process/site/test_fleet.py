"""Guard against costs of a host that grow with the number of hosts.

Plays entry hosts and stores of a site without a network, on a clock of the test, and
counts what they send.
"""

from collections import deque
from datetime import UTC, datetime, timedelta

import pytest

from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.messages import EndpointLoad, LoadsFound
from oleanderhitch.process.site.load_totals import LoadTotals
from oleanderhitch.process.site.messages import RoutingFound, SiteStatus
from oleanderhitch.process.site.subscribers import Subscribers, make_subscribers
from oleanderhitch.process.site.subscription.core import (
    LOAD_CHECK_INTERVAL,
    SeedsConfigured,
    SendHello,
    StatusReceived,
    SubscriptionState,
    handle,
)
from oleanderhitch.version.ids import EndpointId
from oleanderhitch.version.routes.ids import RoutingVersion

START = datetime(2026, 1, 1, tzinfo=UTC)
N_SEEDS = 3
SETTLE_TICKS = 20
# A hello at each check, since the loads have changed, one each 600 ms, and the answers.
N_MESSAGES_PER_TICK_MAX = 3.0


class Fleet:
    """Entry hosts and stores, one of which leads, that exchange hellos and statuses."""

    def __init__(self, n_entries: int, n_stores: int) -> None:
        self.time = START
        self.nodes = tuple(NodeId(f"s{n}") for n in range(n_stores))
        self.leader: NodeId | None = self.nodes[-1]
        self.stores = {node: self._make_store(node) for node in self.nodes}
        self.entries = [SubscriptionState(NodeId(f"e{n}")) for n in range(n_entries)]
        self.n_messages = 0
        self.n_listed_stores = 0
        for entry in self.entries:
            self._run(entry, SeedsConfigured(self.nodes[:N_SEEDS]))

    def now(self) -> datetime:
        """Return the time of the test."""
        return self.time

    def elect(self, leader: NodeId | None) -> None:
        """Replace the leader."""
        for subscribers in self.stores.values():
            subscribers.handle_leadership_change(False)
        self.leader = leader
        if leader is not None:
            self.stores[leader].confirm_current()

    def play(self, n_ticks: int) -> int:
        """Let all entry hosts tick, with new loads each time; return the messages."""
        before = self.n_messages
        for number in range(n_ticks):
            self.time += LOAD_CHECK_INTERVAL
            for entry in self.entries:
                load = EndpointLoad(EndpointId("i-1"), 1 + number % 3, number)
                self._run(entry, LoadsFound((load,)))
                self._run(entry, Tick())
        return self.n_messages - before

    def _make_store(self, node: NodeId) -> Subscribers:
        subscribers = make_subscribers(
            lambda: RoutingFound(RoutingVersion(1), b""),
            lambda: self.nodes,
            lambda: self.leader,
            self,
        )
        if node == self.leader:
            subscribers.confirm_current()
        return subscribers

    def _run(self, entry: SubscriptionState, message: object) -> None:
        waiting = deque([message])
        while waiting:
            for effect in handle(waiting.popleft(), entry, self.time):
                if isinstance(effect, SendHello):
                    waiting.extend(self._answer(effect))

    def _answer(self, effect: SendHello) -> list[object]:
        statuses: list[object] = []
        for store in effect.stores:
            self.n_messages += 2
            reply = _Reply(store, statuses)
            self.stores[store].handle_hello(effect.hello, reply)
        self.n_listed_stores += sum(
            len(received.status.stores)
            for received in statuses
            if isinstance(received, StatusReceived)
        )
        return statuses


class _Reply:
    def __init__(self, store: NodeId, statuses: list[object]) -> None:
        self._store = store
        self._statuses = statuses

    def send(self, message: object) -> None:
        """Record a status of the store."""
        assert isinstance(message, SiteStatus)
        self._statuses.append(StatusReceived(self._store, message))


@pytest.mark.parametrize(("n_entries", "n_stores"), [(10, 4), (100, 24), (300, 40)])
def test_messages_of_an_entry_host_do_not_grow(n_entries: int, n_stores: int) -> None:
    """Guard against hellos to all stores: a product of entry hosts and stores."""
    fleet = Fleet(n_entries, n_stores)
    fleet.play(SETTLE_TICKS)
    fleet.n_listed_stores = 0
    n_messages = fleet.play(SETTLE_TICKS)
    per_host_and_tick = n_messages / n_entries / SETTLE_TICKS
    assert per_host_and_tick <= N_MESSAGES_PER_TICK_MAX
    assert fleet.n_listed_stores == 0


@pytest.mark.parametrize(("n_entries", "n_stores"), [(10, 4), (100, 24), (300, 40)])
def test_a_new_leader_is_found_by_all(n_entries: int, n_stores: int) -> None:
    """Guard against a fleet that finds its next leader late, or asks all stores."""
    fleet = Fleet(n_entries, n_stores)
    fleet.play(SETTLE_TICKS)
    fleet.elect(None)
    without = fleet.play(2) / n_entries
    assert without <= 2 * 2 * (N_SEEDS + 2)
    fleet.elect(fleet.nodes[0])
    fleet.play(2)
    assert all(entry.leader == fleet.nodes[0] for entry in fleet.entries)


def test_loads_are_added_up_once_per_report() -> None:
    """Guard against a sum over all entry hosts for each of their hellos."""
    totals = LoadTotals()
    endpoint = EndpointId("i-1")
    for number in range(300):
        load = EndpointLoad(endpoint, 1, 10)
        totals.report(NodeId(f"e{number}"), (load,), START)
    others = totals.list_others(NodeId("e7"), START)
    assert others == (EndpointLoad(endpoint, 299, 2990),)
    totals.report(NodeId("e7"), (), START)
    assert totals.list_others(NodeId("e7"), START) == others
    later = START + timedelta(seconds=2)
    assert totals.list_others(NodeId("e7"), later) == ()
    assert not totals.totals
    assert not totals.reports
