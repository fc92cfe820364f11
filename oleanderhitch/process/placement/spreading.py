"""Spread requests of many entry hosts over endpoints that cost about the same.

Answers the herd: all entry hosts learn the same loads a quarter of a second late. If
each took the cheapest endpoint, all arrivals of that time would meet at one. The more
arrivals of other hosts go unseen, the less the known loads say, and the wider the
choice is. Load interpretation (Dahlin, 1999) is the usual name.
"""

from collections.abc import Sequence
from datetime import datetime, timedelta

from oleanderhitch.process.placement.records import (
    Endpoint,
    PlacementState,
    ServiceQueue,
    find_peer_load,
    has_idle_connection,
)

# What one more request in the batch costs, which another entry host may have sent
# unseen: 80 output tokens at the overhead of a batch, for it and half for the others.
ENGINE_COST_TOLERANCE_MS = 5.0
# A call of a plain service that runs there costs more than the whole difference may be,
# so only endpoints with the same number of calls count as alike.
PLAIN_COST_TOLERANCE_MS = 1.0


# Entry hosts check their loads for changes at this interval, so that a report is older
# by half of it than its arrival here, on average.
REPORT_DELAY = timedelta(milliseconds=125)
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
    endpoints: Sequence[Endpoint], queue: ServiceQueue, now: datetime
) -> float:
    """Return how many requests other hosts have probably sent since their reports.

    As many begin as end: the running ones, for each mean duration.
    """
    if not queue.mean_duration:
        return 0.0
    n_unseen = 0.0
    for endpoint in endpoints:
        load = find_peer_load(endpoint, now)
        if load is not None and endpoint.peer_load_at is not None:
            age = now - endpoint.peer_load_at + REPORT_DELAY
            n_unseen += load.n_running * (age / queue.mean_duration)
    return n_unseen


def choose_endpoint(
    endpoints: Sequence[Endpoint],
    costs_ms: Sequence[float],
    unseen_ms: float,
    is_engine: bool,
    state: PlacementState,
) -> Endpoint:
    """Return one of the endpoints, so that all hosts together level their costs.

    `unseen_ms` is what the unseen requests add to the costs. Spent on the cheapest
    endpoints, they raise these to one level; each gets as much as it lacks.
    """
    level_ms = find_level_ms(costs_ms, unseen_ms)
    tolerance_ms = ENGINE_COST_TOLERANCE_MS if is_engine else PLAIN_COST_TOLERANCE_MS
    if level_ms - min(costs_ms) <= tolerance_ms:
        alike = choose_alike(endpoints, costs_ms, is_engine, state)
        return state.random_source.choice(alike)
    weights = [max(0.0, level_ms - cost_ms) for cost_ms in costs_ms]
    return state.random_source.choices(endpoints, weights)[0]


def find_level_ms(costs_ms: Sequence[float], added_ms: float) -> float:
    """Return the level to which additional costs raise the lowest costs."""
    ranked = sorted(costs_ms)
    total_ms = added_ms
    for n_below, cost_ms in enumerate(ranked):
        if n_below and total_ms / n_below <= cost_ms:
            return total_ms / n_below
        total_ms += cost_ms
    return total_ms / len(ranked)


def choose_alike(
    endpoints: Sequence[Endpoint],
    costs_ms: Sequence[float],
    is_engine: bool,
    state: PlacementState,
) -> list[Endpoint]:
    """Return the cheapest endpoint and those that cost about the same.

    If some are in the own data centre, only those: the others cost traffic. Of these,
    the ones with an idle connection of this host, if there are any: each host keeps to
    a part of the endpoints while they are alike, and opens fewer connections.
    """
    tolerance_ms = ENGINE_COST_TOLERANCE_MS if is_engine else PLAIN_COST_TOLERANCE_MS
    limit_ms = min(costs_ms) + tolerance_ms
    alike = [
        endpoint
        for endpoint, cost_ms in zip(endpoints, costs_ms, strict=True)
        if cost_ms <= limit_ms
    ]
    local = [item for item in alike if item.listed.data_centre == state.data_centre]
    near = local or alike
    return [item for item in near if has_idle_connection(item, state)] or near
