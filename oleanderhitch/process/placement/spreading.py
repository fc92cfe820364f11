"""Spread requests of many entry hosts over endpoints that cost about the same.

Answers the herd: all entry hosts learn the same loads a quarter of a second late. If
each took the cheapest endpoint, all arrivals of that time would meet at one. The more
arrivals of other hosts go unseen, the less the known loads say, and the wider the
choice is. Load interpretation (Dahlin, 1999) is the usual name.
"""

from collections.abc import Sequence
from datetime import datetime, timedelta
from math import expm1

from oleanderhitch.process.placement.records import (
    Endpoint,
    PlacementState,
    ServiceQueue,
    count_running,
    find_peer_load,
)
from oleanderhitch.version.ids import DataCentreName

# What one more request in the batch costs, which another entry host may have sent
# unseen: 80 output tokens at the overhead of a batch, for it and half for the others.
ENGINE_COST_TOLERANCE_MS = 5.0
# A call of a plain service that runs there costs more than the whole difference may be,
# so only endpoints with the same number of calls count as alike.
PLAIN_COST_TOLERANCE_MS = 1.0


# Entry hosts check their loads for changes at this interval, so that a report is older
# by half of it than its arrival here, on average.
REPORT_DELAY = timedelta(milliseconds=125)
# Loads of so many mean durations ago say nothing; the choice is then random.
N_DURATIONS_MAX = 5.0
# The number of unseen requests at one engine is out by about this many, so that a
# smaller difference of the expected costs is none. In a trial 2 served more programs
# in time than 0 and 4.
N_UNSEEN_ERROR = 2.0
# Weight of the duration of one more request in the mean.
DURATION_WEIGHT = 0.1


def observe_duration(queue: ServiceQueue, duration: timedelta) -> None:
    """Add the time that a completed request held its endpoint to the mean."""
    mean = queue.mean_duration
    if mean is None:
        queue.mean_duration = duration
    else:
        queue.mean_duration = mean + (duration - mean) * DURATION_WEIGHT


def count_unseen(
    endpoints: Sequence[Endpoint],
    queue: ServiceQueue,
    state: PlacementState,
    now: datetime,
) -> float:
    """Return how many requests other hosts have probably sent since their reports.

    As many begin as end. Of the reported ones and of the unseen ones some have ended, a
    share of 1/e in each mean duration; the number is related to the reported ones that
    still run, since only these tell endpoints apart.
    """
    if not queue.mean_duration or not state.has_many_hosts:
        return 0.0
    n_unseen = 0.0
    for endpoint in endpoints:
        load = find_peer_load(endpoint, now)
        if load is not None and endpoint.peer_load_at is not None:
            age = now - endpoint.peer_load_at + REPORT_DELAY
            n_durations = min(age / queue.mean_duration, N_DURATIONS_MAX)
            n_unseen += load.n_running * expm1(n_durations)
    return n_unseen


def choose_endpoint(
    endpoints: Sequence[Endpoint],
    costs_ms: Sequence[float],
    n_unseen: float,
    added_cost_ms: float,
    state: PlacementState,
    is_engine: bool,
    now: datetime,
) -> Endpoint:
    """Return one of the endpoints, so that all hosts together level their loads.

    Spent on the least loaded endpoints, the unseen requests raise these to one level;
    each gets as much as it lacks. What only this request gains at an endpoint, such as
    its cached prompt, draws no others there and goes first.
    """
    if not n_unseen:
        alike = choose_alike(endpoints, costs_ms, state.data_centre, is_engine)
        return state.random_source.choice(alike)
    missing = list_unseen(endpoints, n_unseen, now)
    expected_ms = [
        cost_ms + n_missing * added_cost_ms
        for cost_ms, n_missing in zip(costs_ms, missing, strict=True)
    ]
    error_ms = N_UNSEEN_ERROR * added_cost_ms if is_engine and n_unseen >= 1 else 0.0
    alike = choose_alike(endpoints, expected_ms, state.data_centre, is_engine, error_ms)
    missing_at = dict(zip(map(id, endpoints), missing, strict=True))
    weights = [missing_at[id(endpoint)] for endpoint in alike]
    if sum(weights) <= 0:
        return state.random_source.choice(alike)
    return state.random_source.choices(alike, weights)[0]


def list_unseen(
    endpoints: Sequence[Endpoint], n_unseen: float, now: datetime
) -> list[float]:
    """Return how many of the unseen requests each endpoint has probably got."""
    loads = [float(count_running(endpoint, now)) for endpoint in endpoints]
    level = find_level(loads, n_unseen)
    return [max(0.0, level - load) for load in loads]


def find_level(loads: Sequence[float], n_added: float) -> float:
    """Return the level to which additional requests raise the lowest loads."""
    total = n_added
    for n_below, load in enumerate(sorted(loads)):
        if n_below and total / n_below <= load:
            return total / n_below
        total += load
    return total / len(loads)


def choose_alike(
    endpoints: Sequence[Endpoint],
    costs_ms: Sequence[float],
    data_centre: DataCentreName,
    is_engine: bool,
    error_ms: float = 0.0,
) -> list[Endpoint]:
    """Return the cheapest endpoint and those that cost about the same.

    If some are in the own data centre, only those: the others cost traffic.
    """
    tolerance_ms = ENGINE_COST_TOLERANCE_MS if is_engine else PLAIN_COST_TOLERANCE_MS
    limit_ms = min(costs_ms) + max(tolerance_ms, error_ms)
    alike = [
        endpoint
        for endpoint, cost_ms in zip(endpoints, costs_ms, strict=True)
        if cost_ms <= limit_ms
    ]
    local = [item for item in alike if item.listed.data_centre == data_centre]
    return local or alike
