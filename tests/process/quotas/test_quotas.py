"""Guard against accounts that exceed their quota, or can't use it.

Pattern: an account that sends several times its usual rate at many entry hosts.
"""

from collections.abc import Callable
from datetime import datetime, timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from oleanderhitch.process.quotas.core import BATCH_INTERVAL, handle
from oleanderhitch.process.quotas.messages import CreditReply, LedgerId
from oleanderhitch.process.quotas.records import (
    N_ACCOUNTS_MAX,
    QuotasState,
    SentRequest,
)
from oleanderhitch.process.site.quota_ledger import (
    ADVANCE_DURATION,
    Bucket,
    make_quota_ledger,
)
from oleanderhitch.program.ids import AccountId
from oleanderhitch.request.ids import HolderId
from oleanderhitch.version.routes.accounts import Account
from tests.process.quotas.fleet import BOUNDS, LINK_DELAY, MS, NOW, QuotaFleet

LARGE = Account(AccountId("large"), (), None, 319.0, 319.0)
SMALL = Account(AccountId("small"), (), None, 1.0, 1.0)
SECOND = timedelta(seconds=1)
N_HOSTS = 4
# Its quota is small enough that the steps of a test exceed it many times.
MEDIUM = Account(AccountId("medium"), (), None, 20.0, 5.0)
# Hosts are flooded in all steps. What happens to the granted requests is part of them.
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("send at once"), st.integers(1, 10)),
        st.tuples(st.just("send late"), st.integers(1, 20)),
        st.tuples(st.just("give up"), st.integers(1, 10)),
        st.tuples(st.just("wait"), st.sampled_from([5, 20, 60, 120])),
        st.tuples(st.just("lose link"), st.integers(0, N_HOSTS - 1)),
        st.tuples(st.just("restore links"), st.none()),
        st.tuples(st.just("delay"), st.sampled_from([2, 50, 140, 400])),
        st.tuples(st.just("restart"), st.integers(0, N_HOSTS - 1)),
        st.tuples(st.just("elect"), st.none()),
        st.tuples(st.just("depose"), st.none()),
        st.tuples(st.just("hand over"), st.sampled_from([0, 30, 400])),
        st.tuples(st.just("raise"), st.sampled_from([1.0, 1.5, 3.0])),
    ),
    min_size=10,
    max_size=30,
)


class _Play:
    """Performs the steps of a property test."""

    def __init__(self) -> None:
        self.fleet = QuotaFleet(N_HOSTS, SMALL, MEDIUM)
        self.fleet.elect()
        self.fleet.fill()

    def perform(self, step: str, value: object) -> None:
        """Perform a step."""
        getattr(self, f"_{step.replace(' ', '_')}")(value)

    def _flood(self, n_rounds: int, act: Callable[[], None]) -> None:
        """Let requests arrive at all hosts, and act on granted ones, each 50 ms."""
        for _ in range(n_rounds):
            for host in range(N_HOSTS):
                for account in (MEDIUM.account, SMALL.account):
                    for _ in range(3):
                        self.fleet.arrive(host, account, self.fleet.now)
            for _ in range(10):
                self.fleet.run(self.fleet.now + 5 * MS)
                act()

    def _wait(self, n_rounds: int) -> None:
        for _ in range(n_rounds):
            self.fleet.run(self.fleet.now + 50 * MS)

    def _send_at_once(self, n_rounds: int) -> None:
        def act() -> None:
            for holder in list(self.fleet.granted):
                self.fleet.send_granted(holder)

        self._flood(n_rounds, act)

    def _send_late(self, n_rounds: int) -> None:
        def act() -> None:
            for holder, (_, granted) in list(self.fleet.granted.items()):
                if granted.expires_at <= self.fleet.now + 5 * MS:
                    self.fleet.send_granted(holder)

        self._flood(n_rounds, act)

    def _give_up(self, n_rounds: int) -> None:
        def act() -> None:
            for holder in list(self.fleet.granted):
                self.fleet.give_up(holder)

        self._flood(n_rounds, act)

    def _lose_link(self, host: int) -> None:
        self.fleet.lost_links.add(host)

    def _restore_links(self, _: None) -> None:
        self.fleet.lost_links.clear()

    def _delay(self, n_ms: int) -> None:
        self.fleet.link_delay = n_ms * MS

    def _restart(self, host: int) -> None:
        self.fleet.hosts[host] = type(self.fleet.hosts[host])(self.fleet.random)
        for holder, (its_host, _) in list(self.fleet.granted.items()):
            if its_host == host:
                del self.fleet.granted[holder]

    def _elect(self, _: None) -> None:
        self.fleet.elect()

    def _depose(self, _: None) -> None:
        self.fleet.depose()

    def _hand_over(self, n_ms: int) -> None:
        self.fleet.hand_over(n_ms * MS)

    def _raise(self, factor: float) -> None:
        # The bound is that of the highest limit, so that it holds at any time.
        highest = replace(MEDIUM, requests_per_s=20.0 * factor)
        lowest = replace(MEDIUM, requests_per_s=20.0 / factor)
        for accounts in ((lowest, SMALL), (SMALL,), (highest, SMALL)):
            assert self.fleet.ledger is not None
            self.fleet.ledger.apply_limits(accounts, self.fleet.now)
        best = self.fleet.accounts[MEDIUM.account]
        if (highest.requests_per_s or 0) > (best.requests_per_s or 0):
            self.fleet.accounts[MEDIUM.account] = highest


def make_bucket(account: Account) -> Bucket:
    """Return the bucket that a ledger makes for an account."""
    ledger = make_quota_ledger(LedgerId(0), BOUNDS, NOW)
    ledger.apply_limits([account], NOW)
    return ledger.buckets[account.account]


@given(STEPS)
def test_no_window_has_more_than_the_quota_allows(
    steps: list[tuple[str, object]],
) -> None:
    """Guard against credits that are lent, used or returned twice, or used late."""
    play = _Play()
    for step, value in steps:
        play.perform(step, value)
    play.perform("send at once", 1)
    for account in play.fleet.accounts.values():
        name, rate = account.account, account.requests_per_s or 0.0
        assert play.fleet.count_most(name) <= play.fleet.get_allowed(name)
        # What the ledger promises is less, and holds for windows of any length.
        bucket = make_bucket(account)
        for window in (SECOND / 5, SECOND, 5 * SECOND):
            late = window + bucket.ttl + ADVANCE_DURATION
            allowed = bucket.capacity + rate * late.total_seconds()
            assert play.fleet.count_most(name, window) <= allowed + 1


def test_wait_for_an_endpoint_uses_no_more_of_the_limit() -> None:
    """Guard against requests that use up a credit each time theirs has expired."""
    fleet = QuotaFleet(4, LARGE)
    fleet.elect()
    fleet.fill()
    rate = LARGE.requests_per_s or 0.0
    n_requests = int(5 * rate)
    for number in range(n_requests):
        fleet.arrive(number % 4, "large", NOW + number / rate * SECOND)
    while fleet.now < NOW + 7 * SECOND:
        fleet.run(fleet.now + 5 * MS)
        for holder, (_, granted) in list(fleet.granted.items()):
            # Each waits for 0.5 s for an endpoint, and needs another credit then.
            if fleet.now < fleet.get_arrival(holder) + 500 * MS:
                continue
            if granted.expires_at <= fleet.now:
                fleet.renew(holder)
            else:
                fleet.send_granted(holder)
    assert len(fleet.sent[LARGE.account]) >= 0.95 * n_requests


def play_demand(
    fleet: QuotaFleet, account: str, requests_per_s: float, duration: timedelta
) -> int:
    """Let requests arrive at random at uneven hosts, and send them when they may.

    Return their number.
    """
    at = start = fleet.now
    n_arrived = 0
    weights = [1 + number % 8 for number in range(len(fleet.hosts))]
    while True:
        at += timedelta(seconds=fleet.random.expovariate(requests_per_s))
        if at > start + duration:
            break
        (host,) = fleet.random.choices(range(len(fleet.hosts)), weights)
        fleet.arrive(host, account, at)
        n_arrived += 1
    while fleet.now < start + duration + SECOND:
        fleet.run(fleet.now + 5 * MS)
        for holder in list(fleet.granted):
            fleet.send_granted(holder)
    return n_arrived


@pytest.mark.parametrize("account", [LARGE, SMALL, replace(LARGE, n_burst=0.0)])
@pytest.mark.parametrize("load", [0.95, 6.0])
def test_uneven_demand_uses_the_limit(account: Account, load: float) -> None:
    """Guard against credits that hosts hold while others refuse requests."""
    fleet = QuotaFleet(70, account)
    fleet.elect()
    rate = account.requests_per_s or 0.0
    duration = max(15 * SECOND, 200 / rate * SECOND)
    n_arrived = play_demand(fleet, account.account, load * rate, duration)
    n_sent = len(fleet.sent[account.account])
    assert n_sent >= 0.95 * min(n_arrived, rate * duration.total_seconds())
    assert fleet.count_most(account.account) <= fleet.get_allowed(account.account)


def test_requests_below_the_limit_wait_one_round_trip_at_most() -> None:
    """Guard against waits and refusals of accounts that keep to their limit."""
    fleet = QuotaFleet(68, LARGE, SMALL)
    fleet.elect()
    fleet.fill()
    play_demand(fleet, "large", 0.8 * 319, 10 * SECOND)
    play_demand(fleet, "small", 0.5, 20 * SECOND)
    assert not fleet.refused
    assert max(fleet.waits) <= 2 * LINK_DELAY + BATCH_INTERVAL
    assert sum(wait == timedelta(0) for wait in fleet.waits) > 0


def test_first_requests_of_a_term_wait_for_a_bucket_that_fills() -> None:
    """Guard against refusals below the limit after each loss of a leader.

    Also guard against a queue of requests that the limit can't serve in time.
    """
    fleet = QuotaFleet(2, MEDIUM)
    fleet.elect()
    # The bucket gets ten credits in the half second that they may wait.
    for number in range(8):
        fleet.arrive(number % 2, "medium", NOW + number * MS)
    fleet.run(NOW + 500 * MS)
    assert not fleet.refused
    assert len(fleet.granted) == 8
    for _ in range(40):
        fleet.arrive(0, "medium", fleet.now)
    fleet.run(fleet.now + 20 * MS)
    assert 20 <= len(fleet.refused) <= 40
    # After the time in which it fills, nothing waits for more than a loan in advance.
    fleet.run(fleet.now + 3 * SECOND)
    n_before = len(fleet.refused) + len(fleet.granted)
    for _ in range(100):
        fleet.arrive(0, "medium", fleet.now)
    fleet.run(fleet.now + ADVANCE_DURATION + 20 * MS)
    assert len(fleet.refused) + len(fleet.granted) - n_before == 100


def test_flood_of_one_account_costs_others_nothing() -> None:
    """Guard against a flood that uses the credits or the questions of others."""
    fleet = QuotaFleet(4, LARGE, SMALL)
    fleet.elect()
    fleet.fill()
    for number in range(8000):
        fleet.arrive(number % 4, "large", NOW + number * MS / 2)
    for number in range(4):
        fleet.arrive(number, "small", NOW + number * SECOND)
    fleet.run(NOW + 5 * SECOND)
    assert fleet.n_refused["small"] == 0
    assert fleet.n_refused["large"] > 4000


@pytest.mark.parametrize("load", [0.9, 6.0])
def test_messages_of_a_host_do_not_grow_with_the_hosts(load: float) -> None:
    """Guard against a cost for each host that grows with the number of hosts."""
    counts = []
    for n_hosts in (30, 100, 300):
        # Each host gets the same requests, and the limit grows with the hosts.
        account = replace(LARGE, requests_per_s=4.0 * n_hosts, n_burst=4.0 * n_hosts)
        fleet = QuotaFleet(n_hosts, account)
        fleet.elect()
        play_demand(fleet, "large", load * 4 * n_hosts, 4 * SECOND)
        counts.append(fleet.n_messages / n_hosts)
    assert max(counts) <= 1.1 * min(counts)
    assert max(counts) <= 1.2 * 4 * 4 * load


class _Programs:
    """Programs of several turns, which fail with the first turn that is refused."""

    def __init__(self, fleet: QuotaFleet, account: Account, n_turns: int) -> None:
        self._fleet = fleet
        self._account = account.account
        self._n_turns = n_turns
        self._turns: dict[HolderId, tuple[str, int]] = {}
        self.n_begun = self.n_completed = self.n_broken = 0

    def play(self, programs_per_s: float, duration: timedelta) -> None:
        """Begin programs at random hosts, and go on with those that were begun."""
        random, start = self._fleet.random, self._fleet.now
        at = start
        while True:
            at += timedelta(seconds=random.expovariate(programs_per_s))
            if at > start + duration:
                break
            self._arrive(f"p{self.n_begun}-{at.timestamp()}", 1, at)
        while self._fleet.now < start + duration:
            self._fleet.run(self._fleet.now + 5 * MS)
            for holder in list(self._fleet.granted):
                self._fleet.send_granted(holder)
                self._continue(*self._turns.pop(holder))
            for holder in self._fleet.refused:
                self.n_broken += self._turns.pop(holder)[1] > 1
            self._fleet.refused.clear()

    def _arrive(self, program: str, turn: int, at: datetime) -> None:
        host = self._fleet.random.randrange(len(self._fleet.hosts))
        holder = self._fleet.arrive(host, self._account, at, program, turn > 1)
        self._turns[holder] = program, turn

    def _continue(self, program: str, turn: int) -> None:
        self.n_begun += turn == 1
        self.n_completed += turn == self._n_turns
        if turn < self._n_turns:
            self._arrive(program, turn + 1, self._fleet.now + 250 * MS)


@pytest.mark.parametrize("account", [LARGE, MEDIUM])
def test_whole_programs_are_served_above_the_limit(account: Account) -> None:
    """Guard against a flood of which no program gets all of its turns."""
    fleet = QuotaFleet(20, account)
    fleet.elect()
    programs, n_turns = _Programs(fleet, account, 6), 6
    capacity = (account.requests_per_s or 0.0) / n_turns
    programs.play(0.7 * capacity, 20 * SECOND)
    assert programs.n_broken <= 0.02 * programs.n_begun
    n_before = programs.n_completed
    programs.play(6 * capacity, 20 * SECOND)
    n_completed = programs.n_completed - n_before
    assert n_completed >= 0.85 * capacity * 20
    assert programs.n_broken <= 0.1 * n_completed


def test_credits_expire_by_the_time_of_the_question() -> None:
    """Guard against slow links that make credits valid for longer."""
    fleet = QuotaFleet(1, SMALL)
    fleet.elect()
    fleet.fill()
    fleet.link_delay = 70 * MS
    fleet.arrive(0, "small", NOW)
    fleet.run(NOW + SECOND)
    ((_, granted),) = fleet.granted.values()
    assert granted.expires_at <= NOW + make_bucket(SMALL).ttl


def test_nothing_is_kept_of_ended_requests() -> None:
    """Guard against memory that grows with the requests of accounts at rest."""
    fleet = QuotaFleet(1, SMALL, LARGE)
    fleet.elect()
    fleet.fill()
    for number in range(200):
        fleet.arrive(0, "small", NOW + number * 1.1 * SECOND)
    fleet.run(NOW + 220 * SECOND)
    (state,) = fleet.hosts
    assert len(state.granted) <= 10
    assert not state.active and not state.sent and not state.scheduled


def test_host_without_a_leader_refuses_in_time_and_recovers() -> None:
    """Guard against callers that are told of a quota while nobody counts."""
    fleet = QuotaFleet(1, SMALL)
    fleet.elect()
    fleet.fill()
    fleet.lost_links.add(0)
    fleet.arrive(0, "small", NOW)
    fleet.arrive(0, "small", NOW + 400 * MS)
    fleet.run(NOW + 600 * MS)
    assert (fleet.n_unanswered, fleet.n_refused["small"]) == (1, 0)
    fleet.lost_links.clear()
    fleet.run(NOW + 850 * MS)
    assert len(fleet.granted) == 1


def test_accounts_of_earlier_configurations_are_forgotten() -> None:
    """Guard against growth with each account that a configuration ever had."""
    state = QuotasState(Random(0))
    in_use = AccountId("in use")
    state.get_account(in_use).pending.add(1)
    state.sent[1] = SentRequest(NOW, (in_use, AccountId("0")))
    for number in range(2 * N_ACCOUNTS_MAX):
        state.get_account(AccountId(str(number)))
        state.drop_idle()
    assert len(state.accounts) <= N_ACCOUNTS_MAX
    assert in_use in state.accounts
    # A late answer may name one of them.
    handle(CreditReply(1, False), state, NOW)
    assert not state.sent
