"""Guard against two leaders, or two uses of a credit, that exceed a limit together."""

from datetime import timedelta

import pytest
from msgspec.structs import replace

from oleanderhitch.process.address import Address
from oleanderhitch.process.groups.messages import GroupAnswer
from oleanderhitch.process.ids import CallId, ReplicaId, Term
from oleanderhitch.process.metrics.core import make_metrics
from oleanderhitch.process.quotas.messages import (
    CreditDemand,
    CreditReply,
    CreditRequest,
    GetLedger,
    LedgerHandedOver,
    LedgerId,
    QuotaBounds,
    ReturnedCredits,
)
from oleanderhitch.process.replication.contacts import LeaderContacts
from oleanderhitch.process.replication.messages import LeaderContact
from oleanderhitch.process.site.lender_silence import READ_VALIDITY, SILENCE_DURATION
from oleanderhitch.process.site.messages import RoutingFound
from oleanderhitch.process.site.peer_codec import make_site_peer_codec
from oleanderhitch.process.site.quota_ledger import QuotaLedger, make_quota_ledger
from oleanderhitch.process.site.quota_lender import QuotaLender, make_quota_lender
from oleanderhitch.program.ids import AccountId
from oleanderhitch.version.routes.accounts import Account
from oleanderhitch.version.routes.configuration import (
    RouteTable,
    RoutingConfiguration,
    make_route_table,
)
from oleanderhitch.version.routes.ids import RoutingVersion
from tests.process.site.test_subscribers import ManualClock

NOW = ManualClock().now()
MS = timedelta(milliseconds=1)
BOUNDS = QuotaBounds(timedelta(seconds=5), 0.1, 20)
ACCOUNT = Account(AccountId("a"), (), None, 10.0, 10.0)
LEDGER = LedgerId(7)
ALL = CreditRequest(1, (CreditDemand(ACCOUNT.account, 1000, 0),))


def make_full_ledger() -> QuotaLedger:
    """Return a ledger with a full bucket for the account."""
    ledger = make_quota_ledger(LEDGER, BOUNDS, NOW)
    ledger.apply_limits([], NOW)
    ledger.apply_limits([ACCOUNT], NOW)
    return ledger


def count_lent(ledger: QuotaLedger, *returns: ReturnedCredits, at_ms: int) -> int:
    """Return how many credits a ledger lends at a time at most."""
    request = CreditRequest(1, ALL.demands, returns)
    return ledger.lend(request, NOW + at_ms * MS).loans[0].n_running


def test_unused_credits_can_be_lent_again() -> None:
    """Guard against a limit that is lost to hosts that ask for too much."""
    ledger = make_full_ledger()
    n_lent = count_lent(ledger, at_ms=0)
    assert n_lent > 10
    unused = ReturnedCredits(ACCOUNT.account, LEDGER, 0, n_lent)
    # The slot of the loan began with a full bucket, which has no room for them.
    assert count_lent(ledger, unused, at_ms=100) <= 1
    later = ReturnedCredits(ACCOUNT.account, LEDGER, 100, 1)
    assert count_lent(ledger, later, at_ms=200) == 2


def test_credits_of_another_ledger_or_of_a_full_bucket_are_not_taken_back() -> None:
    """Guard against credits that return to a bucket that was full without them."""
    ledger = make_full_ledger()
    n_lent = count_lent(ledger, at_ms=0)
    count_lent(ledger, at_ms=100)
    other = ReturnedCredits(ACCOUNT.account, LedgerId(8), 100, n_lent)
    assert count_lent(ledger, other, at_ms=200) <= 1
    full = make_full_ledger()
    one = CreditRequest(1, (CreditDemand(ACCOUNT.account, 1, 0),))
    full.lend(one, NOW)
    full.find_level(ACCOUNT.account, NOW + 2000 * MS)
    returned = ReturnedCredits(ACCOUNT.account, LEDGER, 0, 1)
    assert count_lent(full, returned, at_ms=2000) <= n_lent


def test_returned_credits_leave_less_room_for_others() -> None:
    """Guard against a bucket that would have been full if neither had been lent."""
    ledger = make_full_ledger()
    for at_ms, n_credits in ((0, 7), (100, 5), (200, 5), (1000, 10)):
        request = CreditRequest(1, (CreditDemand(ACCOUNT.account, n_credits, 0),))
        assert ledger.lend(request, NOW + at_ms * MS).loans[0].n_running == n_credits
    first, second = (
        ReturnedCredits(ACCOUNT.account, LEDGER, at_ms, 5) for at_ms in (100, 200)
    )
    # The first five fit. With them, the bucket had room for two more at 1000 ms.
    assert count_lent(ledger, first, second, at_ms=1000) == 7


class _Host:
    """Records the replies to an entry host, and reads that wait for an answer."""

    def __init__(self) -> None:
        self.replies: list[CreditReply] = []
        self.reads: list[Address] = []

    def send(self, message: object) -> None:
        """Record a reply."""
        assert isinstance(message, CreditReply)
        self.replies.append(message)

    def ask(self, lender: QuotaLender) -> int:
        """Return how many credits a lender lends, after a read if it needs one."""
        lender.handle_request(ALL, self)
        self.answer_reads()
        return sum(loan.n_running for loan in self.replies[-1].loans)

    def answer_reads(self) -> None:
        """Answer all reads."""
        while self.reads:
            self.reads.pop().send(GroupAnswer(CallId(0), b""))


def test_quota_without_a_tolerance_can_be_used() -> None:
    """Guard against credits that have expired when they arrive."""
    ledger = make_quota_ledger(LEDGER, QuotaBounds(timedelta(seconds=5), 0, 0), NOW)
    ledger.apply_limits([], NOW)
    ledger.apply_limits([ACCOUNT], NOW)
    loan = ledger.lend(ALL, NOW).loans[0]
    assert loan.ttl_ms >= 100
    n_late = (
        ACCOUNT.requests_per_s * loan.ttl_ms / 1000 if ACCOUNT.requests_per_s else 0
    )
    assert 0 < loan.n_running <= ACCOUNT.n_burst - n_late


@pytest.mark.parametrize("over", [0.05, 0.1, 0.4])
def test_loans_in_advance_keep_to_their_part_of_the_tolerance(over: float) -> None:
    """Guard against a limit that is exceeded where the platform's window is short."""
    bounds = QuotaBounds(timedelta(seconds=1), over, 0)
    ledger = make_quota_ledger(LEDGER, bounds, NOW)
    account = replace(ACCOUNT, requests_per_s=100.0, n_burst=100.0)
    ledger.apply_limits([account], NOW)
    assert count_lent(ledger, at_ms=0) <= over * 200 / 4


def test_lower_limit_does_not_count_loans_in_advance_of_the_higher_one() -> None:
    """Guard against half a minute of refusals after a limit was lowered."""
    ledger = make_full_ledger()
    ledger.apply_limits([replace(ACCOUNT, requests_per_s=319.0)], NOW)
    assert count_lent(ledger, at_ms=0)
    ledger.apply_limits([replace(ACCOUNT, requests_per_s=1.0)], NOW)
    assert count_lent(ledger, at_ms=2000) >= 2


@pytest.mark.parametrize(
    ("requests_per_s", "n_burst"), [(1.0, 1e20), (1e308, 0.0), (5e-324, 1e308)]
)
def test_limits_of_any_size_can_be_lent(requests_per_s: float, n_burst: float) -> None:
    """Guard against one account's limit that loses the replies for all accounts."""
    ledger = make_full_ledger()
    extreme = replace(ACCOUNT, requests_per_s=requests_per_s, n_burst=n_burst)
    slow = replace(ACCOUNT, requests_per_s=5e-324)
    for account in (extreme, slow, extreme):
        ledger.apply_limits([account], NOW)
        for demand in (CreditDemand(ACCOUNT.account, 5, 5, 5), ALL.demands[0]):
            reply = ledger.lend(CreditRequest(1, (demand,)), NOW + SILENCE_DURATION)
            assert make_site_peer_codec().encode(reply)
            assert abs(reply.loans[0].delay_ms) * MS < timedelta.max


def read_routing(content: bytes) -> RouteTable:
    """Return a configuration with one account."""
    version = RoutingVersion(1)
    return make_route_table(RoutingConfiguration(version, (), {}, accounts=(ACCOUNT,)))


def make_lender(clock: ManualClock, host: _Host) -> QuotaLender:
    """Return the lender of a store whose reads the host answers."""
    routing = RoutingFound(RoutingVersion(1), b"")
    return make_quota_lender(
        BOUNDS,
        lambda: routing,
        read_routing,
        host.reads.append,
        lambda request: None,
        clock,
        make_metrics(),
    )


class _Inbox(list[object]):
    """Reply address that keeps what it gets."""

    def send(self, message: object) -> None:
        """Keep a message."""
        self.append(message)


def make_leader(clock: ManualClock, host: _Host, term: int) -> QuotaLender:
    """Return a lender whose silence has just ended."""
    lender = make_lender(clock, host)
    lender.handle_leadership_change(True, Term(term))
    clock.time += SILENCE_DURATION
    return lender


def test_ledger_is_handed_over_once_and_without_a_silence() -> None:
    """Guard against refusals after each move of a leader, and loans of two leaders."""
    clock, host, inbox = ManualClock(), _Host(), _Inbox()
    old, new = make_leader(clock, host, 3), make_lender(clock, host)
    clock.time += timedelta(seconds=1)
    assert host.ask(old) > 10
    old.handle_ledger_request(GetLedger(Term(5)), inbox)
    assert not inbox, "the leader of term 4 may have lent"
    old.handle_leadership_change(False, Term(3))
    assert old.has_ledger_to_hand_over
    clock.time += timedelta(seconds=1)
    assert not old.has_ledger_to_hand_over, "a stop waits for nobody"
    assert host.ask(old) == 0
    new.handle_leadership_change(True, Term(4))
    for _ in range(2):
        old.handle_ledger_request(GetLedger(Term(4)), inbox)
    (handed_over,) = inbox
    assert isinstance(handed_over, LedgerHandedOver)
    new.handle_ledger(handed_over)
    # One second has filled the bucket since the loan of all that was in it.
    assert 9 <= host.ask(new) <= 11
    new.handle_ledger(handed_over)
    assert host.ask(new) <= 1, "the ledger was taken over twice"
    old.handle_leadership_change(True, Term(3))
    assert host.ask(old) == 0, "the ledger was kept"


def test_cancelled_transfer_keeps_the_ledger() -> None:
    """Guard against refusals after a transfer that did not take place."""
    clock, host = ManualClock(), _Host()
    lender = make_leader(clock, host, 3)
    clock.time += timedelta(seconds=1)
    for is_leader, n_lent_min in ((False, 0), (True, 10)):
        lender.handle_leadership_change(is_leader, Term(3))
        assert (host.ask(lender) > n_lent_min) == is_leader


def test_leader_lends_only_after_a_read_and_a_silence() -> None:
    """Guard against a deposed leader that lends beside its successor."""
    clock, host = ManualClock(), _Host()
    lender = make_lender(clock, host)
    lender.handle_request(ALL, host)
    lender.handle_leadership_change(True, Term(1))
    lender.handle_request(ALL, host)
    assert [reply.is_lending for reply in host.replies] == [False, False]
    clock.time += SILENCE_DURATION + timedelta(seconds=1)
    lender.handle_request(ALL, host)
    assert len(host.replies) == 2, "lent before a read"
    host.answer_reads()
    # The bucket was empty when the silence ended.
    assert host.replies[-1].is_lending
    assert 10 <= host.replies[-1].loans[0].n_running <= 11
    clock.time += READ_VALIDITY
    lender.handle_request(ALL, host)
    assert len(host.replies) == 3, "lent without a read of late"
    lender.handle_leadership_change(False, Term(1))
    assert not host.replies[-1].is_lending


VOTERS = tuple(ReplicaId(f"s{number}") for number in range(3))


def report(lender: QuotaLender, voter: int, age_ms: int, term: int = 4) -> None:
    """Let a voter report its last contact with an earlier leader."""
    contact = LeaderContact(VOTERS[voter], Term(term), age_ms, VOTERS)
    lender.handle_contact(contact, is_own=voter == 0)


def test_silence_counts_from_the_last_contact_of_a_majority() -> None:
    """Guard against half a second without credits after each loss of a leader.

    Also guard against a leader that lends while the one before may still do.
    """
    clock, host = ManualClock(), _Host()
    lender = make_lender(clock, host)
    lender.handle_leadership_change(True, Term(4))
    report(lender, 0, 5000)
    report(lender, 1, 9000, term=3)
    assert host.ask(lender) == 0, "a voter of another term counts"
    report(lender, 2, 450)
    assert host.ask(lender) == 0, "another majority may have confirmed its read"
    assert host.replies[-1].lends_in_ms == 50
    clock.time += 50 * MS
    host.ask(lender)
    assert host.replies[-1].is_lending
    # Its bucket has been empty then, also if another voter reports an earlier time.
    report(lender, 1, 9000)
    clock.time += 100 * MS
    assert host.ask(lender) <= 2


def test_contact_with_the_new_leader_does_not_count() -> None:
    """Guard against silences that begin anew with the first heartbeat of a term."""
    contacts = LeaderContacts(started_at=NOW)
    assert contacts.find_before(Term(4)) == NOW
    contacts.record(Term(3), NOW + MS)
    contacts.record(Term(4), NOW + 2 * MS)
    contacts.record(Term(4), NOW + 3 * MS)
    assert contacts.find_before(Term(4)) == NOW + MS
    assert contacts.find_before(Term(5)) == NOW + 3 * MS
    assert contacts.find_before(Term(3)) is None
