"""Spread requests of many entry hosts over endpoints that cost about the same.

Answers the herd: all entry hosts learn the same loads a quarter of a second late. If
each took the cheapest endpoint, all arrivals of that time would meet at one.
"""

from collections.abc import Sequence

from oleanderhitch.process.placement.records import (
    Endpoint,
    PlacementState,
    has_idle_connection,
)

# What one more request in the batch costs, which another entry host may have sent
# unseen: 80 output tokens at the overhead of a batch, for it and half for the others.
ENGINE_COST_TOLERANCE_MS = 5.0
# A call of a plain service that runs there costs more than the whole difference may be,
# so only endpoints with the same number of calls count as alike.
PLAIN_COST_TOLERANCE_MS = 1.0


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
