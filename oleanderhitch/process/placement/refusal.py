"""Refuse waiting requests that can't be served in time, and say when to come back.

Answers a queue that can't drain: requests that wait out their time in vain come back
too late to be served anywhere, and those behind them wait in vain as well. It also
answers the return of refused callers, who must not all come back at the same moment.

The rate at which a service's slots become free for this entry host is measured while
requests wait, since grants to an empty queue show how many requests arrive and not how
many could be served. A refusal goes by the highest rate that the grants are consistent
with, so that few measurements refuse little, and after a pause nothing.
"""

from datetime import datetime, timedelta
from math import sqrt
from random import Random

from oleanderhitch.process.placement.messages import AcquireEndpoint, RequestStage
from oleanderhitch.process.placement.ordering import (
    N_GRANTS_PER_AGED,
    sort_waiting,
)
from oleanderhitch.process.placement.records import DrainRate, ServiceQueue
from oleanderhitch.values import Value

# Bursts last some seconds, and so do the slots that others take.
DRAIN_HALF_LIFE = timedelta(seconds=2)
# The slots that other entry hosts free show in a report each 250 ms; two reports.
OBSERVED_TIME_MIN = timedelta(milliseconds=500)
# Placement has a tick each 50 ms while requests wait. A longer gap is a host that stood
# still, and that it granted nothing then says nothing about slots.
OBSERVATION_GAP_MAX = timedelta(milliseconds=250)
# Standard deviations by which the true rate may exceed the measured one. A wrong
# refusal costs a running program more than a wait in vain. A new program loses only
# time by either, so for it the measured rate counts as it is. A request that has run
# before is never refused early: its refusal is an unknown outcome.
N_DEVIATIONS = {
    RequestStage.IN_PROGRESS: 1.0,
    RequestStage.STANDALONE: 1.0,
    RequestStage.NEW_PROGRAM: 0.0,
}
# Half a core serves fewer requests in the time that one may wait, about 1.5 s.
N_WAITING_LIMIT = 256
# Callers honour no more than this share of the time that they have left.
RETRY_AFTER_SHARE = 1 / 3
# Longer times say only that hardly any slot becomes free.
DRAIN_MAX_S = 60.0
# Retries are spread at random up to this multiple of the expected time.
RETRY_SPREAD = 1.5


class HopelessRequest(Value, frozen=True):
    """A waiting request that can't be served in time, and those that go before it."""

    message: AcquireEndpoint
    n_ahead: int


def observe_time(drain: DrainRate, now: datetime) -> None:
    """Count the time since the last observation, if requests were waiting."""
    if drain.observed_at is not None:
        gap = now - drain.observed_at
        weight = 0.5 ** (gap / DRAIN_HALF_LIFE)
        drain.n_grants *= weight
        drain.waiting_s *= weight
        if drain.is_waiting:
            drain.waiting_s += min(gap, OBSERVATION_GAP_MAX).total_seconds()
    drain.observed_at = now


def observe_grant(drain: DrainRate) -> None:
    """Count a grant, if requests are waiting."""
    if drain.is_waiting:
        drain.n_grants += 1


def find_highest_rate_per_s(drain: DrainRate, n_deviations: float) -> float | None:
    """Return the highest rate that the grants are consistent with, None if unknown.

    Grants are counted as independent events, whose number has its square root as its
    standard deviation; one more may just have been missed.
    """
    if drain.waiting_s < OBSERVED_TIME_MIN.total_seconds():
        return None
    n_highest = drain.n_grants + n_deviations * sqrt(drain.n_grants + 1) + 1
    return n_highest / drain.waiting_s


def list_hopeless(queue: ServiceQueue, now: datetime) -> list[HopelessRequest]:
    """Return the waiting requests that get no slot before their deadlines.

    The first in line always stays, so that there is something to measure.
    """
    rates_per_s = {}
    for stage, n_deviations in N_DEVIATIONS.items():
        rate_per_s = find_highest_rate_per_s(queue.drain, n_deviations)
        if rate_per_s is None or not queue.drain.is_waiting:
            return []
        rates_per_s[stage] = rate_per_s
    least_s = min(message.deadline - now for message in queue.waiting).total_seconds()
    if len(queue.waiting) <= min(rates_per_s.values()) * least_s:
        return []
    hopeless = []
    n_ahead = 0
    for message in sort_waiting(queue, now):
        n_before = n_ahead
        if message is queue.waiting[0]:
            # The next grant by age is its own.
            n_before = min(n_ahead, N_GRANTS_PER_AGED)
        rate_per_s = rates_per_s.get(message.stage)
        time_left_s = (message.deadline - now).total_seconds()
        if rate_per_s and n_before and n_before + 1 > rate_per_s * time_left_s:
            hopeless.append(HopelessRequest(message, n_ahead))
        else:
            n_ahead += 1
    return hopeless


def find_surplus(queue: ServiceQueue, now: datetime) -> AcquireEndpoint | None:
    """Return the last in order if more requests wait than a queue may hold."""
    if len(queue.waiting) <= N_WAITING_LIMIT:
        return None
    refusable = [
        message for message in sort_waiting(queue, now) if message.stage in N_DEVIATIONS
    ]
    return refusable[-1] if refusable else None


def find_retry_after(
    drain: DrainRate, n_ahead: int, time_left: timedelta, random_source: Random
) -> timedelta | None:
    """Return when a refused caller should come back, None without measurements.

    It is the time in which the requests ahead get their slots, spread at random, and at
    most the share of the caller's time that callers honour.
    """
    if drain.waiting_s < OBSERVED_TIME_MIN.total_seconds():
        return None
    longest = max(time_left, timedelta(0)) * RETRY_AFTER_SHARE / RETRY_SPREAD
    drain_time = find_drain_time(drain, n_ahead)
    drain_time = longest if drain_time is None else min(drain_time, longest)
    return drain_time * random_source.uniform(1.0, RETRY_SPREAD)


def find_drain_time(drain: DrainRate, n_ahead: int) -> timedelta | None:
    """Return when the requests ahead and the next one should have their slots.

    None without grants to measure it by.
    """
    if not drain.n_grants:
        return None
    drain_s = (n_ahead + 1) * drain.waiting_s / drain.n_grants
    return timedelta(seconds=min(drain_s, DRAIN_MAX_S))


def describe_drain(drain: DrainRate) -> str:
    """Return the measured rate for the text of a refusal."""
    if not drain.waiting_s:
        return "an unknown number of slots"
    return f"{drain.n_grants / drain.waiting_s:.1f} slots"
