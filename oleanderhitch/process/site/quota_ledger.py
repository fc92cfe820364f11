"""Lend the credits that the limits of client accounts allow to all entry hosts.

Answers accounts that send several times their usual rate at many entry hosts: a limit
holds for all hosts together, so one place has to count, and a host that has lost its
path to that place must not spend more than it was lent.

Each account has a token bucket. A loan is taken from it when it is made, and its
credits expire soon, so that requests are sent within the credits' lifetime of a moment
at which the bucket allowed them. A window of any length then has at most the credits
of the bucket in that window and in one lifetime before it.
"""

import math
from collections import deque
from collections.abc import Iterable
from datetime import datetime, timedelta

from msgspec import Struct, field
from msgspec.structs import replace

from oleanderhitch.process.ids import Term
from oleanderhitch.process.quotas.messages import (
    BucketLevel,
    CreditDemand,
    CreditLoan,
    CreditReply,
    CreditRequest,
    LedgerHandedOver,
    LedgerId,
    QuotaBounds,
    ReturnedCredits,
)
from oleanderhitch.process.site.program_pace import ProgramPace, make_program_pace
from oleanderhitch.program.ids import AccountId
from oleanderhitch.version.routes.accounts import Account

# Parts of what the platform allows above a quota. Credits that are used late take half
# of it at most. A larger burst takes what is left of three quarters, so that requests
# that come at random, at a rate below the limit, find credits. The rest is for loans in
# advance and rounding.
LATE_USE_SHARE = 0.5
USED_SHARE = 0.75
CREDIT_TTL_MAX = timedelta(seconds=3)
# Credits that expire before the reply has arrived are of no use. Where the tolerance
# allows less, the late use takes a part of the burst.
CREDIT_TTL_MIN = timedelta(milliseconds=100)
# Credits that become available within this time are lent in advance, which costs less
# than a refusal and a retry; no more than a quarter of the tolerance allows.
ADVANCE_DURATION = timedelta(milliseconds=100)
# Credits for requests that have not arrived yet are lent only from a bucket that has
# more than this share of its credits.
AHEAD_LEVEL_SHARE = 0.25
# Refused requests are counted over about this time to tell when capacity is expected.
REFUSAL_MEMORY = timedelta(seconds=1)
RETRY_MIN = timedelta(milliseconds=50)
RETRY_MAX = timedelta(seconds=3)
# Requests that have waited for a leader use up the credits of the time after it. For
# this long after the beginning of a ledger, others wait instead of being refused.
FILL_DURATION = timedelta(seconds=3)
# Highest levels are kept for slots of time, which bounds their number, and for as long
# as credits can return: requests wait for an endpoint for some seconds.
PEAK_SLOT = timedelta(milliseconds=50)
RETURN_DURATION_MAX = timedelta(seconds=10)
N_PEAKS = int(RETURN_DURATION_MAX / PEAK_SLOT)
# An account that was removed or had no limit for this long starts with a full bucket.
BUCKET_TTL = timedelta(seconds=60)
# Levels are sent as 64-bit integers, and waits have to be representable durations.
# Limits beyond these bounds act like them: no account sends that much, and one request
# in eleven days is none.
REQUESTS_PER_S_MIN = 1e-6
REQUESTS_PER_S_MAX = 1e9
N_BURST_MAX = 1e9
MILLISECOND = timedelta(milliseconds=1)


def get_tolerance(account: Account, bounds: QuotaBounds) -> float:
    """Return the requests that an account may send above its quota in a window."""
    quota = (account.requests_per_s or 0) * bounds.window.total_seconds()
    return bounds.over * (quota + account.n_burst) + bounds.slack


class _Peak(Struct):
    """The highest level of a bucket in a slot of time."""

    slot: int
    level: float


class Bucket(Struct):
    """The credits of an account. Loans in advance make the level negative."""

    requests_per_s: float
    capacity: float
    ttl: timedelta
    n_advance_max: float
    level: float
    filled_at: datetime
    # When the limit ended, or the account was removed.
    ended_at: datetime | None = None
    peaks: deque[_Peak] = field(default_factory=lambda: deque(maxlen=N_PEAKS + 1))
    n_refused: float = 0.0
    refused_at: datetime | None = None
    pace: ProgramPace = field(default_factory=make_program_pace)

    def fill(self, now: datetime) -> None:
        """Add the credits of the time since the last call."""
        elapsed_s = (now - self.filled_at).total_seconds()
        if elapsed_s > 0:
            level = self.level + elapsed_s * self.requests_per_s
            self.level = min(self.capacity, level)
            self.filled_at = now

    def take(self, n_credits: int, slot: int) -> None:
        """Take credits, and record the level before for credits that return."""
        if self.peaks and self.peaks[-1].slot == slot:
            self.peaks[-1].level = max(self.peaks[-1].level, self.level)
        else:
            self.peaks.append(_Peak(slot, self.level))
        self.level -= n_credits

    def put_back(self, n_credits: int, lent_slot: int, slot: int) -> None:
        """Add unused credits as if they had never been lent.

        The bucket would have had no room for some of them if it has been almost full
        since then.
        """
        if slot - lent_slot >= N_PEAKS:
            return
        since = [peak for peak in self.peaks if peak.slot >= lent_slot]
        highest = max((self.level, *(peak.level for peak in since)))
        n_credits = max(0, min(n_credits, math.floor(self.capacity - highest)))
        self.level += n_credits
        for peak in since:
            peak.level += n_credits

    def count_refused(self, n_requests: int, now: datetime) -> None:
        """Count refused requests."""
        self.n_refused = self._get_recently_refused(now) + n_requests
        self.refused_at = now

    def get_retry_time(self, now: datetime) -> timedelta:
        """Return after what time a refused request can expect a credit."""
        n_credits = max(1 - self.level, self._get_recently_refused(now))
        wait_s = min(n_credits / self.requests_per_s, RETRY_MAX.total_seconds())
        return max(timedelta(seconds=wait_s), RETRY_MIN)

    def get_credit_time(self) -> timedelta:
        """Return after what time the next credit can be lent in advance."""
        n_credits = 1 - self.level - self.n_advance_max
        wait_s = min(n_credits / self.requests_per_s, RETRY_MAX.total_seconds())
        return max(timedelta(seconds=wait_s), RETRY_MIN)

    def _get_recently_refused(self, now: datetime) -> float:
        if self.refused_at is None:
            return 0.0
        return self.n_refused * math.exp(-((now - self.refused_at) / REFUSAL_MEMORY))


class QuotaLedger(Struct):
    """The buckets of all accounts with a limit; lives as long as a leader leads.

    The buckets are empty at `lends_from`, since nothing is known of the loans of the
    leader before, unless that leader has handed its ledger over.
    """

    ledger: LedgerId
    bounds: QuotaBounds
    lends_from: datetime
    buckets: dict[AccountId, Bucket] = field(default_factory=dict)
    has_limits: bool = False

    def apply_limits(self, accounts: Iterable[Account], now: datetime) -> None:
        """Apply the limits of a configuration."""
        limited = {
            account.account: account
            for account in accounts
            if account.requests_per_s is not None
        }
        for name, bucket in list(self.buckets.items()):
            bucket.fill(now)
            if name not in limited:
                bucket.ended_at = bucket.ended_at or now
                if now - bucket.ended_at > BUCKET_TTL:
                    del self.buckets[name]
        for name, account in limited.items():
            known = self.buckets.get(name)
            bucket = self._make_bucket(account, now)
            if known is not None:
                # Loans in advance under a higher limit could last for minutes.
                level = max(known.level, -bucket.n_advance_max)
                bucket.level = min(level, bucket.capacity)
                bucket.peaks = known.peaks
                bucket.pace = known.pace
            self.buckets[name] = bucket
        self.has_limits = True

    def lend(self, request: CreditRequest, now: datetime) -> CreditReply:
        """Take credits back and lend those that the limits allow."""
        for returned in request.returns:
            self._take_back(returned, now)
        loans = tuple(self._lend(demand, now) for demand in request.demands)
        return CreditReply(request.number, True, self.ledger, loans)

    def hand_over(self, term: Term, now: datetime) -> LedgerHandedOver:
        """Return what the leader of the next term needs to go on with this ledger."""
        for bucket in self.buckets.values():
            bucket.fill(now)
        buckets = tuple(
            BucketLevel(name, bucket.requests_per_s, bucket.capacity, bucket.level)
            for name, bucket in self.buckets.items()
        )
        lends_from_ms = -math.floor((now - self.lends_from) / MILLISECOND)
        return LedgerHandedOver(term, lends_from_ms, self.has_limits, buckets)

    def find_level(self, account: AccountId, now: datetime) -> float | None:
        """Return the credits of an account, None without a limit."""
        bucket = self.buckets.get(account)
        if bucket is None:
            return None
        bucket.fill(now)
        return bucket.level

    def _make_bucket(self, account: Account, now: datetime) -> Bucket:
        assert account.requests_per_s is not None
        rate = min(max(account.requests_per_s, REQUESTS_PER_S_MIN), REQUESTS_PER_S_MAX)
        n_burst = min(account.n_burst, N_BURST_MAX)
        account = replace(account, requests_per_s=rate, n_burst=n_burst)
        tolerance = get_tolerance(account, self.bounds)
        ttl_s = LATE_USE_SHARE * tolerance / rate
        ttl_s = min(ttl_s, CREDIT_TTL_MAX.total_seconds())
        n_late_max = max(0.0, n_burst + USED_SHARE * tolerance - 1)
        ttl_s = max(ttl_s, min(CREDIT_TTL_MIN.total_seconds(), n_late_max / rate))
        ttl = timedelta(seconds=ttl_s)
        n_extra = USED_SHARE * tolerance - ttl_s * rate
        capacity = max(1.0, n_burst + n_extra)
        n_advance_max = min(
            rate * ADVANCE_DURATION.total_seconds(), (1 - USED_SHARE) * tolerance
        )
        level, filled_at = 0.0, self.lends_from
        if self.has_limits:
            level, filled_at = capacity, now
        return Bucket(rate, capacity, ttl, n_advance_max, level, filled_at)

    def _take_back(self, returned: ReturnedCredits, now: datetime) -> None:
        bucket = self.buckets.get(returned.account)
        if bucket is None or returned.ledger != self.ledger:
            return
        bucket.fill(now)
        lent_slot = self._get_slot(returned.lent_ms)
        slot = self._get_slot(self._get_ms(now))
        bucket.put_back(returned.n_credits, lent_slot, slot)

    def _lend(self, demand: CreditDemand, now: datetime) -> CreditLoan:
        bucket = self.buckets.get(demand.account)
        lent_ms = self._get_ms(now)
        if bucket is None or bucket.ended_at is not None:
            return CreditLoan(
                demand.account,
                demand.n_running,
                demand.n_new,
                demand.n_ahead,
                lent_ms,
                int(CREDIT_TTL_MAX / MILLISECOND),
            )
        bucket.fill(now)
        n_available = max(0, math.floor(bucket.level + bucket.n_advance_max))
        n_running = min(demand.n_running, n_available)
        bucket.pace.count_served(demand.n_served_running, demand.n_served_new, now)
        n_first = demand.n_running - demand.n_renewed
        bucket.pace.count_demand(n_first, demand.n_new - demand.n_new_again, now)
        n_new = bucket.pace.limit_new(
            min(demand.n_new, n_available - n_running),
            bucket.level - n_running,
            bucket.requests_per_s,
            bucket.capacity,
            now,
        )
        n_left = math.floor(
            bucket.level - n_running - n_new - bucket.capacity * AHEAD_LEVEL_SHARE
        )
        n_ahead = 0
        if not bucket.pace.is_over:
            n_ahead = max(0, min(demand.n_ahead, n_left))
        bucket.take(n_running + n_new + n_ahead, self._get_slot(lent_ms))
        n_refused = demand.n_running + demand.n_new - n_running - n_new
        retry = timedelta(0)
        fill_ms = self._get_fill_ms(bucket, now) if n_refused else 0
        if fill_ms:
            retry = bucket.get_credit_time()
        elif n_refused:
            bucket.count_refused(n_refused, now)
            wait = bucket.pace.get_wait(bucket.requests_per_s, now)
            retry = max(bucket.get_retry_time(now), min(wait, RETRY_MAX))
        delay_ms = math.ceil(max(0.0, -bucket.level) / bucket.requests_per_s * 1000)
        return CreditLoan(
            demand.account,
            n_running,
            n_new,
            n_ahead,
            lent_ms,
            int(bucket.ttl / MILLISECOND),
            delay_ms,
            int(retry / MILLISECOND),
            math.floor(bucket.level),
            fill_ms,
        )

    def _get_fill_ms(self, bucket: Bucket, now: datetime) -> int:
        """Return in what time a bucket that was empty gets a credit, 0 afterwards.

        An account that begins more programs than its limit can complete is refused at
        once.
        """
        if bucket.pace.is_over or now >= self.lends_from + FILL_DURATION:
            return 0
        return math.ceil(1000 / bucket.requests_per_s)

    def _get_ms(self, now: datetime) -> int:
        return int((now - self.lends_from) / MILLISECOND)

    def _get_slot(self, lent_ms: int) -> int:
        return lent_ms // int(PEAK_SLOT / MILLISECOND)


def make_quota_ledger(
    ledger: LedgerId, bounds: QuotaBounds, lends_from: datetime
) -> QuotaLedger:
    """Return a ledger that has no limits yet."""
    return QuotaLedger(ledger, bounds, lends_from)


def continue_ledger(
    ledger: LedgerId, bounds: QuotaBounds, handed_over: LedgerHandedOver, now: datetime
) -> QuotaLedger:
    """Return a ledger that goes on with the buckets of the term before.

    They have not filled while the message was on its way. Credits that the term before
    has lent do not return, since their peaks are not known.
    """
    buckets = {
        bucket.account: Bucket(
            bucket.requests_per_s,
            bucket.capacity,
            timedelta(0),
            0.0,
            bucket.level,
            now,
        )
        for bucket in handed_over.buckets
    }
    lends_from = now + handed_over.lends_from_ms * MILLISECOND
    return QuotaLedger(ledger, bounds, lends_from, buckets, handed_over.has_limits)
