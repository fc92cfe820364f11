"""Decide whether an entry takes a request: limits, fairness and placement.

Limits hold for one entry; an entry gets its part of a limit that is meant for
all entries together with `divide_limit`.
"""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from enum import Enum
from functools import singledispatch
from typing import TypeVar

from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.ids import RequestId
from oleanderhitch.version.ids import DataCentreName, PoolId, RegionName

Key = TypeVar("Key")

# Above this part of a pool's limit an account is held to its fair share; below
# it, an account may use what others leave idle.
FAIR_SHARE_FROM = 0.8
# Buckets that are full again are forgotten in bulk above this number.
N_BUCKETS_FLOOR = 1_024
DURATION_WEIGHT = 0.05
RETRY_FLOOR = timedelta(milliseconds=100)
RETRY_LIMIT = timedelta(seconds=60)


class Rejection(Enum):
    """Say which rule keeps a request out."""

    PLACEMENT = "placement"
    ACCOUNT_RATE = "account_rate"
    ACCOUNT_CONCURRENCY = "account_concurrency"
    PROGRAM_CONCURRENCY = "program_concurrency"
    POOL_CONCURRENCY = "pool_concurrency"
    FAIR_SHARE = "fair_share"


@dataclass(frozen=True, slots=True)
class Limit:
    """Limit requests at a time and per second; None means no limit."""

    n_concurrent: int | None = None
    requests_per_s: float | None = None
    n_burst: int = 1


@dataclass(frozen=True, slots=True)
class Placement:
    """Say where an account's work may run; an empty set allows every place."""

    regions: frozenset[RegionName] = frozenset()
    data_centres: frozenset[DataCentreName] = frozenset()


@dataclass(frozen=True, slots=True)
class AdmissionRules:
    """Hold the limits and placements of an accepted configuration."""

    default_account: Limit = Limit()
    default_program: Limit = Limit()
    default_pool: Limit = Limit()
    accounts: Mapping[AccountId, Limit] = field(default_factory=dict)
    pools: Mapping[PoolId, Limit] = field(default_factory=dict)
    placements: Mapping[AccountId, Placement] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Ask whether a request may start."""

    request: RequestId
    account: AccountId
    program: ProgramId
    pool: PoolId
    region: RegionName
    data_centre: DataCentreName


@dataclass(frozen=True, slots=True)
class EndAdmission:
    """Tell that an admitted request has ended."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class AdmissionRulesChanged:
    """Replace the rules; requests that run are not affected."""

    rules: AdmissionRules


@dataclass(frozen=True, slots=True)
class RequestAdmitted:
    """Let a request start."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """Keep a request out; it has not run."""

    request: RequestId
    reason: Rejection
    detail: str
    retry_after: timedelta | None


Effect = RequestAdmitted | RequestRejected


@dataclass(slots=True)
class Admitted:
    """Hold a request that runs."""

    message: AdmitRequest
    started_at: datetime


@dataclass(slots=True)
class Bucket:
    """Hold the tokens of one account."""

    n_tokens: float
    filled_at: datetime


@dataclass(slots=True)
class AdmissionState:
    """Hold what runs at one entry."""

    rules: AdmissionRules
    running: dict[RequestId, Admitted] = field(default_factory=dict)
    by_account: Counter[AccountId] = field(default_factory=Counter)
    by_program: Counter[ProgramId] = field(default_factory=Counter)
    by_pool: Counter[PoolId] = field(default_factory=Counter)
    by_share: dict[PoolId, Counter[AccountId]] = field(default_factory=dict)
    buckets: dict[AccountId, Bucket] = field(default_factory=dict)
    mean_duration: timedelta = timedelta(seconds=1)


def make_admission_state(rules: AdmissionRules) -> AdmissionState:
    """Return the state of an entry that runs nothing."""
    return AdmissionState(rules)


def divide_limit(limit: Limit, n_entries: int) -> Limit:
    """Return one entry's part of a limit that holds for all entries."""
    n_concurrent = limit.n_concurrent
    if n_concurrent is not None:
        n_concurrent = max(1, math.ceil(n_concurrent / n_entries))
    rate = limit.requests_per_s
    return replace(
        limit,
        n_concurrent=n_concurrent,
        requests_per_s=None if rate is None else rate / n_entries,
    )


def is_place_allowed(
    rules: AdmissionRules,
    account: AccountId,
    region: RegionName,
    data_centre: DataCentreName,
) -> bool:
    """Say whether an account's work may run at a place."""
    placement = rules.placements.get(account, Placement())
    if placement.regions and region not in placement.regions:
        return False
    return not placement.data_centres or data_centre in placement.data_centres


@singledispatch
def handle(message: object, state: AdmissionState, now: datetime) -> list[Effect]:
    """Handle a message and return the effects it calls for."""
    raise TypeError(f"admission has no message {type(message).__name__}")


@handle.register
def _(message: AdmitRequest, state: AdmissionState, now: datetime) -> list[Effect]:
    if message.request in state.running:
        return [RequestAdmitted(message.request)]
    rejected = (
        _find_misplaced(state, message)
        or _find_limited(state, message)
        or _find_unfair(state, message)
        or _find_too_fast(state, message, now)
    )
    if rejected is not None:
        return [rejected]
    state.running[message.request] = Admitted(message, now)
    _count(state, message, 1)
    return [RequestAdmitted(message.request)]


@handle.register
def _(message: EndAdmission, state: AdmissionState, now: datetime) -> list[Effect]:
    ended = state.running.pop(message.request, None)
    if ended is not None:
        _count(state, ended.message, -1)
        error = now - ended.started_at - state.mean_duration
        state.mean_duration += DURATION_WEIGHT * error
    return []


@handle.register
def _(
    message: AdmissionRulesChanged, state: AdmissionState, now: datetime
) -> list[Effect]:
    state.rules = message.rules
    return []


def _count(state: AdmissionState, message: AdmitRequest, change: int) -> None:
    shares = state.by_share.setdefault(message.pool, Counter())
    _add(state.by_account, message.account, change)
    _add(state.by_program, message.program, change)
    _add(state.by_pool, message.pool, change)
    _add(shares, message.account, change)
    if not shares:
        del state.by_share[message.pool]


def _add(counter: Counter[Key], key: Key, change: int) -> None:
    counter[key] += change
    if counter[key] == 0:
        del counter[key]


def _find_misplaced(
    state: AdmissionState, message: AdmitRequest
) -> RequestRejected | None:
    if is_place_allowed(
        state.rules, message.account, message.region, message.data_centre
    ):
        return None
    # Waiting does not help, so that there is no time to retry after.
    return RequestRejected(
        message.request,
        Rejection.PLACEMENT,
        f"work of account {message.account} may not run in data centre "
        f"{message.data_centre} of region {message.region}; "
        "use a pool in a place that the rules allow",
        None,
    )


def _find_limited(
    state: AdmissionState, message: AdmitRequest
) -> RequestRejected | None:
    checks = (
        (
            Rejection.ACCOUNT_CONCURRENCY,
            f"account {message.account}",
            state.by_account[message.account],
            _get_account_limit(state.rules, message.account).n_concurrent,
        ),
        (
            Rejection.PROGRAM_CONCURRENCY,
            f"program {message.program}",
            state.by_program[message.program],
            state.rules.default_program.n_concurrent,
        ),
        (
            Rejection.POOL_CONCURRENCY,
            f"pool {message.pool}",
            state.by_pool[message.pool],
            _get_pool_limit(state.rules, message.pool).n_concurrent,
        ),
    )
    for reason, name, n_running, limit in checks:
        if limit is not None and n_running >= limit:
            return RequestRejected(
                message.request,
                reason,
                f"{name} runs {n_running} requests; at most {limit} are allowed",
                _get_retry_after(state, n_running),
            )
    return None


def _find_unfair(
    state: AdmissionState, message: AdmitRequest
) -> RequestRejected | None:
    limit = _get_pool_limit(state.rules, message.pool).n_concurrent
    if limit is None or state.by_pool[message.pool] < FAIR_SHARE_FROM * limit:
        return None
    shares = state.by_share.get(message.pool, Counter())
    n_accounts = len(shares) + (message.account not in shares)
    share = math.ceil(limit / n_accounts)
    n_running = shares[message.account]
    if n_running < share:
        return None
    return RequestRejected(
        message.request,
        Rejection.FAIR_SHARE,
        f"pool {message.pool} is nearly full and account {message.account} runs "
        f"{n_running} requests there; its share is {share}",
        _get_retry_after(state, n_running),
    )


def _find_too_fast(
    state: AdmissionState, message: AdmitRequest, now: datetime
) -> RequestRejected | None:
    limit = _get_account_limit(state.rules, message.account)
    rate = limit.requests_per_s
    if rate is None:
        return None
    bucket = _get_bucket(state, message.account, limit, now)
    if bucket.n_tokens >= 1.0:
        bucket.n_tokens -= 1.0
        return None
    missing_s = (1.0 - bucket.n_tokens) / rate if rate > 0 else math.inf
    return RequestRejected(
        message.request,
        Rejection.ACCOUNT_RATE,
        f"account {message.account} sends more than {rate} requests a second",
        _bound_retry(missing_s),
    )


def _get_bucket(
    state: AdmissionState, account: AccountId, limit: Limit, now: datetime
) -> Bucket:
    bucket = state.buckets.get(account)
    if bucket is None:
        _forget_full_buckets(state, now)
        bucket = state.buckets[account] = Bucket(float(limit.n_burst), now)
    elapsed_s = max(0.0, (now - bucket.filled_at).total_seconds())
    earned = elapsed_s * (limit.requests_per_s or 0.0)
    bucket.n_tokens = min(float(limit.n_burst), bucket.n_tokens + earned)
    bucket.filled_at = now
    return bucket


def _forget_full_buckets(state: AdmissionState, now: datetime) -> None:
    if len(state.buckets) < N_BUCKETS_FLOOR + 2 * len(state.by_account):
        return
    state.buckets = {
        account: bucket
        for account, bucket in state.buckets.items()
        if not _is_full(_get_account_limit(state.rules, account), bucket, now)
    }


def _is_full(limit: Limit, bucket: Bucket, now: datetime) -> bool:
    elapsed_s = (now - bucket.filled_at).total_seconds()
    earned = elapsed_s * (limit.requests_per_s or 0.0)
    return bucket.n_tokens + earned >= limit.n_burst


def _get_account_limit(rules: AdmissionRules, account: AccountId) -> Limit:
    return rules.accounts.get(account, rules.default_account)


def _get_pool_limit(rules: AdmissionRules, pool: PoolId) -> Limit:
    return rules.pools.get(pool, rules.default_pool)


def _get_retry_after(state: AdmissionState, n_running: int) -> timedelta:
    """Return when the next of the running requests is likely to end."""
    return _bound_retry(state.mean_duration.total_seconds() / max(1, n_running))


def _bound_retry(seconds: float) -> timedelta:
    if seconds >= RETRY_LIMIT.total_seconds():
        return RETRY_LIMIT
    return max(RETRY_FLOOR, timedelta(seconds=seconds))
