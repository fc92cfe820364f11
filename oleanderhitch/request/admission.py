"""Admission control of an entry host: limits, fair shares and location rules.

Limits apply to a single entry host. `divide_limit` computes one host's part of a limit
that is configured for all entry hosts together.
"""

import math
from collections import Counter
from collections.abc import Mapping
from datetime import datetime, timedelta
from enum import Enum
from functools import singledispatch
from typing import TypeVar

from msgspec import Struct, field
from msgspec.structs import replace

from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.ids import RequestId
from oleanderhitch.values import Value
from oleanderhitch.version.ids import DataCentreName, PoolId, RegionName

Key = TypeVar("Key")

# Fraction of a pool's limit from which accounts are held to their fair share. Below it,
# an account may use the capacity that others leave idle.
FAIR_SHARE_THRESHOLD = 0.8
# A full token bucket is equal to a new one. Full buckets are evicted in bulk once there
# are this many buckets in total, plus two for each account with running requests.
N_BUCKETS_MIN = 1_024
# Weight of a new sample in the moving average of request durations.
DURATION_EWMA_WEIGHT = 0.05
RETRY_AFTER_MIN = timedelta(milliseconds=100)
RETRY_AFTER_MAX = timedelta(seconds=60)


class RejectionReason(Enum):
    """The rule by which a request was rejected."""

    LOCATION = "placement"
    ACCOUNT_RATE = "account_rate"
    ACCOUNT_CONCURRENCY = "account_concurrency"
    PROGRAM_CONCURRENCY = "program_concurrency"
    POOL_CONCURRENCY = "pool_concurrency"
    FAIR_SHARE = "fair_share"


class Limit(Value, frozen=True):
    """Limits on concurrent requests and on request rate; None means unlimited.

    `n_burst` requests may start at once before the rate limits further ones.
    """

    n_concurrent: int | None = None
    requests_per_s: float | None = None
    n_burst: int = 1


class LocationRule(Value, frozen=True):
    """Where an account's work may run; an empty set allows all locations."""

    regions: frozenset[RegionName] = frozenset()
    data_centres: frozenset[DataCentreName] = frozenset()


class AdmissionRules(Value, frozen=True):
    """Limits and location rules of an accepted configuration."""

    default_account: Limit = Limit()
    default_program: Limit = Limit()
    default_pool: Limit = Limit()
    accounts: Mapping[AccountId, Limit] = field(default_factory=dict)
    pools: Mapping[PoolId, Limit] = field(default_factory=dict)
    location_rules: Mapping[AccountId, LocationRule] = field(default_factory=dict)


class AdmitRequest(Value, frozen=True):
    """Requests the admission of a request."""

    request: RequestId
    account: AccountId
    program: ProgramId
    pool: PoolId
    region: RegionName
    data_centre: DataCentreName


class EndAdmission(Value, frozen=True):
    """Reports that an admitted request has ended."""

    request: RequestId


class AdmissionRulesChanged(Value, frozen=True):
    """Replaces the rules; requests that are running are not affected."""

    rules: AdmissionRules


class RequestAdmitted(Value, frozen=True):
    """Reports that the request may start."""

    request: RequestId


class AdmissionRejected(Value, frozen=True):
    """Reports that the request was rejected and has not run."""

    request: RequestId
    reason: RejectionReason
    detail: str
    retry_after: timedelta | None


Effect = RequestAdmitted | AdmissionRejected


class AdmittedRequest(Struct):
    """An admitted request that is still running."""

    message: AdmitRequest
    started_at: datetime


class TokenBucket(Struct):
    """Token bucket that limits the request rate of one account."""

    n_tokens: float
    refilled_at: datetime


class AdmissionState(Struct):
    """Running requests and rate limits of one entry host.

    The `n_by_*` counters count running requests.
    """

    rules: AdmissionRules
    running: dict[RequestId, AdmittedRequest] = field(default_factory=dict)
    n_by_account: Counter[AccountId] = field(default_factory=Counter)
    n_by_program: Counter[ProgramId] = field(default_factory=Counter)
    n_by_pool: Counter[PoolId] = field(default_factory=Counter)
    n_by_pool_account: dict[PoolId, Counter[AccountId]] = field(default_factory=dict)
    buckets: dict[AccountId, TokenBucket] = field(default_factory=dict)
    mean_duration: timedelta = timedelta(seconds=1)


def make_admission_state(rules: AdmissionRules) -> AdmissionState:
    """Return the state of an entry host without running requests."""
    return AdmissionState(rules)


def divide_limit(limit: Limit, n_entry_hosts: int) -> Limit:
    """Return one entry host's part of a limit on all entry hosts together.

    The concurrency limit is rounded up, so that a small limit never becomes 0.
    """
    n_concurrent = limit.n_concurrent
    if n_concurrent is not None:
        n_concurrent = max(1, math.ceil(n_concurrent / n_entry_hosts))
    rate = limit.requests_per_s
    return replace(
        limit,
        n_concurrent=n_concurrent,
        requests_per_s=None if rate is None else rate / n_entry_hosts,
    )


def is_location_allowed(
    rules: AdmissionRules,
    account: AccountId,
    region: RegionName,
    data_centre: DataCentreName,
) -> bool:
    """Return whether an account's work may run in a region and data centre."""
    rule = rules.location_rules.get(account, LocationRule())
    if rule.regions and region not in rule.regions:
        return False
    return not rule.data_centres or data_centre in rule.data_centres


@singledispatch
def handle(message: object, state: AdmissionState, now: datetime) -> list[Effect]:
    """Handle a message and return its effects."""
    raise TypeError(f"admission does not support message type {type(message).__name__}")


@handle.register
def _(message: AdmitRequest, state: AdmissionState, now: datetime) -> list[Effect]:
    if message.request in state.running:
        return [RequestAdmitted(message.request)]
    rejected = (
        _check_location(state, message)
        or _check_concurrency(state, message)
        or _check_fair_share(state, message)
        or _check_rate(state, message, now)
    )
    if rejected is not None:
        return [rejected]
    state.running[message.request] = AdmittedRequest(message, now)
    _update_counts(state, message, 1)
    return [RequestAdmitted(message.request)]


@handle.register
def _(message: EndAdmission, state: AdmissionState, now: datetime) -> list[Effect]:
    ended = state.running.pop(message.request, None)
    if ended is not None:
        _update_counts(state, ended.message, -1)
        error = now - ended.started_at - state.mean_duration
        state.mean_duration += DURATION_EWMA_WEIGHT * error
    return []


@handle.register
def _(
    message: AdmissionRulesChanged, state: AdmissionState, now: datetime
) -> list[Effect]:
    state.rules = message.rules
    return []


def _update_counts(state: AdmissionState, message: AdmitRequest, change: int) -> None:
    account_counts = state.n_by_pool_account.setdefault(message.pool, Counter())
    _add_to_counter(state.n_by_account, message.account, change)
    _add_to_counter(state.n_by_program, message.program, change)
    _add_to_counter(state.n_by_pool, message.pool, change)
    _add_to_counter(account_counts, message.account, change)
    if not account_counts:
        del state.n_by_pool_account[message.pool]


def _add_to_counter(counter: Counter[Key], key: Key, change: int) -> None:
    counter[key] += change
    if counter[key] == 0:
        del counter[key]


def _check_location(
    state: AdmissionState, message: AdmitRequest
) -> AdmissionRejected | None:
    if is_location_allowed(
        state.rules, message.account, message.region, message.data_centre
    ):
        return None
    # A retry cannot succeed under these rules, so no delay is suggested.
    return AdmissionRejected(
        message.request,
        RejectionReason.LOCATION,
        f"work of account {message.account} may not run in data centre "
        f"{message.data_centre} of region {message.region}; "
        "use a pool in a place that the rules allow",
        None,
    )


def _check_concurrency(
    state: AdmissionState, message: AdmitRequest
) -> AdmissionRejected | None:
    checks = (
        (
            RejectionReason.ACCOUNT_CONCURRENCY,
            f"account {message.account}",
            state.n_by_account[message.account],
            _get_account_limit(state.rules, message.account).n_concurrent,
        ),
        (
            RejectionReason.PROGRAM_CONCURRENCY,
            f"program {message.program}",
            state.n_by_program[message.program],
            state.rules.default_program.n_concurrent,
        ),
        (
            RejectionReason.POOL_CONCURRENCY,
            f"pool {message.pool}",
            state.n_by_pool[message.pool],
            _get_pool_limit(state.rules, message.pool).n_concurrent,
        ),
    )
    for reason, name, n_running, limit in checks:
        if limit is not None and n_running >= limit:
            return AdmissionRejected(
                message.request,
                reason,
                f"{name} runs {n_running} requests; at most {limit} are allowed",
                _estimate_retry_after(state, n_running),
            )
    return None


def _check_fair_share(
    state: AdmissionState, message: AdmitRequest
) -> AdmissionRejected | None:
    limit = _get_pool_limit(state.rules, message.pool).n_concurrent
    if limit is None or state.n_by_pool[message.pool] < FAIR_SHARE_THRESHOLD * limit:
        return None
    account_counts = state.n_by_pool_account.get(message.pool, Counter())
    n_accounts = len(account_counts) + (message.account not in account_counts)
    share = math.ceil(limit / n_accounts)
    n_running = account_counts[message.account]
    if n_running < share:
        return None
    return AdmissionRejected(
        message.request,
        RejectionReason.FAIR_SHARE,
        f"pool {message.pool} is nearly full and account {message.account} runs "
        f"{n_running} requests there; its share is {share}",
        _estimate_retry_after(state, n_running),
    )


def _check_rate(
    state: AdmissionState, message: AdmitRequest, now: datetime
) -> AdmissionRejected | None:
    limit = _get_account_limit(state.rules, message.account)
    rate = limit.requests_per_s
    if rate is None:
        return None
    bucket = _refill_bucket(state, message.account, limit, now)
    if bucket.n_tokens >= 1.0:
        bucket.n_tokens -= 1.0
        return None
    wait_s = (1.0 - bucket.n_tokens) / rate if rate > 0 else math.inf
    return AdmissionRejected(
        message.request,
        RejectionReason.ACCOUNT_RATE,
        f"account {message.account} sends more than {rate} requests a second",
        _clamp_retry_after(wait_s),
    )


def _refill_bucket(
    state: AdmissionState, account: AccountId, limit: Limit, now: datetime
) -> TokenBucket:
    bucket = state.buckets.get(account)
    if bucket is None:
        _evict_full_buckets(state, now)
        bucket = state.buckets[account] = TokenBucket(float(limit.n_burst), now)
    elapsed_s = max(0.0, (now - bucket.refilled_at).total_seconds())
    n_refilled = elapsed_s * (limit.requests_per_s or 0.0)
    bucket.n_tokens = min(float(limit.n_burst), bucket.n_tokens + n_refilled)
    bucket.refilled_at = now
    return bucket


def _evict_full_buckets(state: AdmissionState, now: datetime) -> None:
    if len(state.buckets) < N_BUCKETS_MIN + 2 * len(state.n_by_account):
        return
    state.buckets = {
        account: bucket
        for account, bucket in state.buckets.items()
        if not _is_full(_get_account_limit(state.rules, account), bucket, now)
    }


def _is_full(limit: Limit, bucket: TokenBucket, now: datetime) -> bool:
    elapsed_s = (now - bucket.refilled_at).total_seconds()
    n_refilled = elapsed_s * (limit.requests_per_s or 0.0)
    return bucket.n_tokens + n_refilled >= limit.n_burst


def _get_account_limit(rules: AdmissionRules, account: AccountId) -> Limit:
    return rules.accounts.get(account, rules.default_account)


def _get_pool_limit(rules: AdmissionRules, pool: PoolId) -> Limit:
    return rules.pools.get(pool, rules.default_pool)


def _estimate_retry_after(state: AdmissionState, n_running: int) -> timedelta:
    """Return the expected time until the next running request ends."""
    return _clamp_retry_after(state.mean_duration.total_seconds() / max(1, n_running))


def _clamp_retry_after(seconds: float) -> timedelta:
    if seconds >= RETRY_AFTER_MAX.total_seconds():
        return RETRY_AFTER_MAX
    return max(RETRY_AFTER_MIN, timedelta(seconds=seconds))
