"""Grant free slots to waiting requests."""

import heapq
from collections.abc import Iterator
from itertools import islice

from oleanderhitch.process.scheduling import (
    affinity,
    free_index,
    health,
    hedging,
    lazy_heap,
    permits,
    queueing,
)
from oleanderhitch.process.scheduling.lazy_heap import HeapItem
from oleanderhitch.process.scheduling.messages import GrantSlot
from oleanderhitch.process.scheduling.records import (
    Endpoint,
    Permit,
    PoolState,
    QueuedRequest,
)
from oleanderhitch.process.scheduling.states import Health
from oleanderhitch.version.ids import EndpointId

# Engines serve lower priority numbers first. The number of a request grows with the
# logarithm of its uncached prompt tokens, in units of this many tokens.
PRIORITY_UNIT_TOKENS = 1_024

# Free endpoints that are compared per request. Comparing more hardly improves the
# choice, and comparing all would make a grant slower the larger the pool is.
N_CANDIDATES_LIMIT = 8
# Endpoints on probation that are examined per decision.
N_PROBE_CANDIDATES_LIMIT = 4
# Requests skipped per decision because they exclude every free endpoint.
N_SKIPPED_LIMIT = 8


def fill_endpoint(
    state: PoolState, endpoint: Endpoint, now_s: float
) -> Iterator[GrantSlot]:
    """Yield grants of an endpoint's free slots to its own and the general queue."""
    while endpoint.n_in_flight < endpoint.n_slots:
        next_item = _find_next(state, endpoint, accepts_general(state, endpoint, now_s))
        if next_item is None:
            return
        heap, item = next_item
        heapq.heappop(heap)
        yield _grant(state, state.waiting[item[2]], endpoint, now_s)


def dispatch_general(state: PoolState, now_s: float) -> Iterator[GrantSlot]:
    """Yield grants of free slots of any endpoint to the general queue."""
    skipped: list[HeapItem] = []
    while len(skipped) < N_SKIPPED_LIMIT and _has_free_slot(state, now_s):
        item = _find_first_live(state, state.general_queue)
        if item is None:
            break
        heapq.heappop(state.general_queue)
        waiting = state.waiting[item[2]]
        endpoint = _find_endpoint(state, waiting, now_s)
        if endpoint is None:
            skipped.append(item)
            continue
        yield _grant(state, waiting, endpoint, now_s)
    for item in skipped:
        heapq.heappush(state.general_queue, item)


def dispatch_hedges(state: PoolState, now_s: float) -> Iterator[GrantSlot]:
    """Yield grants of free slots to hedges while the general queue is empty."""
    while (
        state.hedge_candidates
        and state.free_endpoints.nonempty_mask
        and hedging.is_load_below_limit(state)
    ):
        if _find_first_live(state, state.general_queue) is not None:
            return
        first = hedging.find_candidate(state, now_s)
        if first is None:
            return
        endpoint = _find_hedge_endpoint(state, first)
        state.hedge_candidates.popleft()
        if endpoint is None:
            continue
        hedging.spend_budget(state)
        permit = permits.make_hedge_permit(state, first, endpoint, now_s)
        yield GrantSlot(
            state.pool,
            permit.node,
            permit.request,
            permit.endpoint,
            permit.permit,
            _get_priority(state, permit.prompt_tokens),
            True,
        )


def _grant(
    state: PoolState, waiting: QueuedRequest, endpoint: Endpoint, now_s: float
) -> GrantSlot:
    enqueue = waiting.enqueue
    del state.waiting[enqueue.request]
    if endpoint.health is Health.PROBATION:
        _record_probe(state, endpoint, now_s)
    n_cached = waiting.n_cached_tokens if waiting.holder == endpoint.endpoint else 0
    n_uncached = enqueue.prompt_tokens - n_cached
    affinity.add_prefill(state, endpoint, n_uncached, now_s)
    permit = permits.make_permit(state, waiting, endpoint, now_s)
    return GrantSlot(
        state.pool,
        enqueue.node,
        enqueue.request,
        endpoint.endpoint,
        permit.permit,
        _get_priority(state, n_uncached),
        False,
    )


def _get_priority(state: PoolState, n_uncached_tokens: int) -> int:
    n_prefill_units = n_uncached_tokens // PRIORITY_UNIT_TOKENS
    return min(state.settings.priority_limit, n_prefill_units.bit_length())


def _record_probe(state: PoolState, endpoint: Endpoint, now_s: float) -> None:
    endpoint.last_probe_s = now_s
    # Moves the endpoint to the end: the first one was probed longest ago.
    del state.probation[endpoint.endpoint]
    state.probation[endpoint.endpoint] = None


def accepts_general(state: PoolState, endpoint: Endpoint, now_s: float) -> bool:
    """Return whether an endpoint may get requests of the general queue."""
    if endpoint.n_in_flight >= endpoint.n_slots:
        return False
    if endpoint.health is Health.PROBATION:
        return health.is_probe_due(state, endpoint, now_s) or health.accepts_overflow(
            state, endpoint
        )
    return endpoint.health is Health.HEALTHY


def _has_free_slot(state: PoolState, now_s: float) -> bool:
    return (
        state.free_endpoints.nonempty_mask != 0
        or _find_probation_endpoint(state, now_s) is not None
    )


def _find_probation_endpoint(state: PoolState, now_s: float) -> Endpoint | None:
    for name in islice(state.probation, N_PROBE_CANDIDATES_LIMIT):
        endpoint = state.endpoints[name]
        if accepts_general(state, endpoint, now_s):
            return endpoint
    return None


def _find_first_live(state: PoolState, heap: list[HeapItem]) -> HeapItem | None:
    return lazy_heap.find_first_live(heap, lambda item: queueing.is_queued(state, item))


def _find_next(
    state: PoolState, endpoint: Endpoint, accepts_general: bool
) -> tuple[list[HeapItem], HeapItem] | None:
    own = _find_first_live(state, endpoint.queue)
    general = _find_first_live(state, state.general_queue) if accepts_general else None
    if general is not None and _excludes(state, general, endpoint):
        general = None
    if own is not None and (general is None or own <= general):
        return endpoint.queue, own
    return None if general is None else (state.general_queue, general)


def _excludes(state: PoolState, item: HeapItem, endpoint: Endpoint) -> bool:
    return endpoint.endpoint in state.waiting[item[2]].enqueue.excluded


def _find_endpoint(
    state: PoolState, waiting: QueuedRequest, now_s: float
) -> Endpoint | None:
    excluded = waiting.enqueue.excluded
    on_probation = _find_probation_endpoint(state, now_s)
    # An attempt at an endpoint on probation may be slow, so only a request that can be
    # hedged is sent there, unless no other endpoint is free.
    may_probe = waiting.enqueue.is_idempotent or not state.free_endpoints.nonempty_mask
    if on_probation is not None and may_probe and on_probation.endpoint not in excluded:
        return on_probation
    return min(
        list_candidates(state, excluded),
        key=lambda endpoint: sum(affinity.get_cost_s(state, endpoint, now_s)),
        default=None,
    )


def list_candidates(
    state: PoolState, excluded: tuple[EndpointId, ...]
) -> list[Endpoint]:
    """Return the free endpoints that are compared for a request."""
    names = free_index.list_least_loaded(
        state.free_endpoints, N_CANDIDATES_LIMIT + len(excluded)
    )
    return [state.endpoints[name] for name in names if name not in excluded]


def _find_hedge_endpoint(state: PoolState, first: Permit) -> Endpoint | None:
    avoided = (first.endpoint, *first.excluded)
    for name in free_index.list_least_loaded(state.free_endpoints, 1 + len(avoided)):
        if name not in avoided:
            return state.endpoints[name]
    return None
