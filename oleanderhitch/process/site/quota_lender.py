"""Let only the one leader of the site lend the credits of client accounts.

A leader lends while a read through the group has shown recently that no other store has
become the leader. Its successor lends nothing until all such reads are too old, with
buckets that are empty then, so that the loans of both are those of one bucket. Reports
of the voters show when that was.

A leader that is still there when its successor is elected, as after a planned transfer,
ends its ledger and hands it over instead.
"""

import math
import uuid
from collections.abc import Callable
from datetime import datetime, timedelta

import logbook
from msgspec import Struct

from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.messages import GroupAnswer
from oleanderhitch.process.ids import Term
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter
from oleanderhitch.process.quotas.messages import (
    CreditReply,
    CreditRequest,
    GetLedger,
    LedgerHandedOver,
    LedgerId,
    QuotaBounds,
)
from oleanderhitch.process.replication.messages import NO_TERM, LeaderContact
from oleanderhitch.process.site.lender_silence import (
    READ_VALIDITY,
    SILENCE_DURATION,
    LenderSilence,
)
from oleanderhitch.process.site.messages import RoutingFound
from oleanderhitch.process.site.quota_ledger import (
    QuotaLedger,
    continue_ledger,
    make_quota_ledger,
)
from oleanderhitch.version.routes.configuration import RouteTable
from oleanderhitch.version.routes.ids import NO_ROUTING

# Reads that are older are followed by another one at the next request.
READ_INTERVAL = timedelta(milliseconds=100)
# Entry hosts ask again after this time.
HELD_TTL = timedelta(milliseconds=150)
# A few for each entry host of the largest deployment.
N_HELD_MAX = 2000
MILLISECOND = timedelta(milliseconds=1)
# A read without an answer for this long was lost.
READ_TIMEOUT = timedelta(seconds=1)

log = logbook.Logger("quotas")


class _HeldRequest(Struct):
    """A request that waits for a read."""

    request: CreditRequest
    reply_address: Address
    received_at: datetime


class _ReadReplyAddress:
    """Reply address of a read that began at a time."""

    def __init__(self, lender: "QuotaLender", began_at: datetime) -> None:
        self._lender = lender
        self._began_at = began_at

    def send(self, message: object) -> None:
        """Report whether the read has succeeded."""
        self._lender.handle_read(self._began_at, isinstance(message, GroupAnswer))


class QuotaLender:
    """Owner of the ledger of a store while it leads, and until its successor asks."""

    def __init__(
        self,
        bounds: QuotaBounds | None,
        get_routing: Callable[[], RoutingFound],
        read_routing: Callable[[bytes], RouteTable],
        request_read: Callable[[Address], None],
        request_ledger: Callable[[GetLedger], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._bounds = bounds
        self._get_routing = get_routing
        self._read_routing = read_routing
        self._request_read = request_read
        self._request_ledger = request_ledger
        self._clock = clock
        self._is_leader = False
        self._led_until: datetime | None = None
        # The last term in which this store led, and its ledger.
        self._term = NO_TERM
        self._ledger: QuotaLedger | None = None
        self._silence = LenderSilence()
        self._applied = NO_ROUTING
        self._read_began_at: datetime | None = None
        self._confirmed_at: datetime | None = None
        self._held: list[_HeldRequest] = []

    @property
    def has_ledger_to_hand_over(self) -> bool:
        """Whether a successor may still ask; it has a silence for it."""
        if self._ledger is None or self._is_leader or self._led_until is None:
            return False
        return self._clock.now() - self._led_until < SILENCE_DURATION

    def handle_leadership_change(self, is_leader: bool, term: Term) -> None:
        """Stop lending, or begin with an empty ledger unless the term goes on."""
        self._refuse_held()
        if self._is_leader and not is_leader:
            self._led_until = self._clock.now()
        self._is_leader = is_leader
        self._read_began_at = self._confirmed_at = None
        if not is_leader or self._bounds is None:
            return
        if term == self._term and self._ledger is not None:
            # A transfer was cancelled, and no successor has asked for the ledger.
            return
        self._silence = LenderSilence()
        lends_from = self._clock.now() + SILENCE_DURATION
        self._begin(term, make_quota_ledger(_make_id(), self._bounds, lends_from))
        self._request_ledger(GetLedger(term))

    def handle_ledger_request(self, request: GetLedger, reply_address: Address) -> None:
        """End the ledger of the term before, and hand it over to the new leader.

        The loans of both leaders are those of one ledger then. Another term in between
        may have lent as well.
        """
        if self._ledger is None or request.term != self._term + 1:
            return
        handed_over = self._ledger.hand_over(request.term, self._clock.now())
        self._refuse_held()
        self._ledger = None
        log.info("limits of accounts handed over", term=request.term)
        reply_address.send(handed_over)

    def handle_ledger(self, handed_over: LedgerHandedOver) -> None:
        """Go on with the ledger of the term before, if this leader has lent nothing."""
        now = self._clock.now()
        ledger = self._ledger
        if ledger is None or self._bounds is None or not self._is_leader:
            return
        if handed_over.term != self._term or now >= ledger.lends_from:
            return
        self._begin(
            self._term, continue_ledger(_make_id(), self._bounds, handed_over, now)
        )
        log.info(
            "limits of accounts taken over",
            term=self._term,
            n_limited=len(handed_over.buckets),
        )

    def handle_contact(self, contact: LeaderContact, is_own: bool = False) -> None:
        """Lend earlier if a majority lost its earlier leaders before the election."""
        ledger = self._ledger
        if ledger is None or not self._is_leader or contact.term != self._term:
            return
        now = self._clock.now()
        age = timedelta(milliseconds=contact.age_ms)
        self._silence.quiet_since[contact.replica] = now - age
        if is_own:
            self._silence.voters = contact.voters
        end = self._silence.find_end()
        if end is not None and end < ledger.lends_from and now < ledger.lends_from:
            ledger.lends_from = end

    def _begin(self, term: Term, ledger: QuotaLedger) -> None:
        self._term, self._ledger = term, ledger
        self._applied = NO_ROUTING

    def handle_request(self, request: CreditRequest, reply_address: Address) -> None:
        """Reply to an entry host, once a read shows that this store may lend."""
        now = self._clock.now()
        if not self._is_leader or self._ledger is None:
            reply_address.send(CreditReply(request.number, is_lending=False))
            return
        if now < self._ledger.lends_from:
            lends_in_ms = math.ceil((self._ledger.lends_from - now) / MILLISECOND)
            reply_address.send(
                CreditReply(request.number, False, lends_in_ms=lends_in_ms)
            )
            return
        if self._is_confirmed(now):
            self._lend(self._ledger, request, reply_address, now)
        elif len(self._held) < N_HELD_MAX:
            self._held.append(_HeldRequest(request, reply_address, now))
        self._read_if_due(now)

    def handle_read(self, began_at: datetime, is_success: bool) -> None:
        """Answer the requests that wait for the read."""
        if began_at != self._read_began_at:
            return
        self._read_began_at = None
        if not is_success:
            self._refuse_held()
            return
        now = self._clock.now()
        self._confirmed_at = began_at
        if not self._is_leader or self._ledger is None or not self._is_confirmed(now):
            return
        held, self._held = self._held, []
        for waiting in held:
            if now - waiting.received_at < HELD_TTL:
                self._lend(self._ledger, waiting.request, waiting.reply_address, now)

    def _is_confirmed(self, now: datetime) -> bool:
        return (
            self._confirmed_at is not None and now - self._confirmed_at < READ_VALIDITY
        )

    def _read_if_due(self, now: datetime) -> None:
        is_reading = (
            self._read_began_at is not None and now - self._read_began_at < READ_TIMEOUT
        )
        is_recent = (
            self._confirmed_at is not None and now - self._confirmed_at < READ_INTERVAL
        )
        if not is_reading and not is_recent:
            self._read_began_at = now
            self._request_read(_ReadReplyAddress(self, now))

    def _lend(
        self,
        ledger: QuotaLedger,
        request: CreditRequest,
        reply_address: Address,
        now: datetime,
    ) -> None:
        routing = self._get_routing()
        if routing.version != self._applied:
            self._applied = routing.version
            accounts = self._read_routing(routing.content).configuration.accounts or ()
            ledger.apply_limits(accounts, now)
            log.info(
                "limits of accounts applied",
                version=routing.version,
                n_limited=sum(
                    account.requests_per_s is not None for account in accounts
                ),
            )
        reply = ledger.lend(request, now)
        n_lent = sum(loan.n_running + loan.n_new + loan.n_ahead for loan in reply.loans)
        self._metrics.count(Counter.CREDITS_LENT, n=n_lent)
        reply_address.send(reply)

    def _refuse_held(self) -> None:
        held, self._held = self._held, []
        for waiting in held:
            reply = CreditReply(waiting.request.number, is_lending=False)
            waiting.reply_address.send(reply)


def _make_id() -> LedgerId:
    # Restarted leaders must not take each other's credits back.
    return LedgerId(uuid.uuid4().int >> 66)


def make_quota_lender(
    bounds: QuotaBounds | None,
    get_routing: Callable[[], RoutingFound],
    read_routing: Callable[[bytes], RouteTable],
    request_read: Callable[[Address], None],
    request_ledger: Callable[[GetLedger], None],
    clock: Clock,
    metrics: Metrics,
) -> QuotaLender:
    """Return the lender of a store; without bounds it lends nothing."""
    return QuotaLender(
        bounds,
        get_routing,
        read_routing,
        request_read,
        request_ledger,
        clock,
        metrics,
    )
