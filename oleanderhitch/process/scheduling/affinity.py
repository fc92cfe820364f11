"""Track cached prefixes and decide how long a request waits for one."""

from oleanderhitch.process.explaining.states import CostPart
from oleanderhitch.process.scheduling import health
from oleanderhitch.process.scheduling.messages import EnqueueRequest
from oleanderhitch.process.scheduling.records import CachedPrefix, Endpoint, PoolState
from oleanderhitch.process.scheduling.states import Health
from oleanderhitch.program.ids import ProgramId

# Seconds of each component; endpoints are compared by the sum.
CostSeconds = tuple[float, float, float]
COST_PARTS = (CostPart.PREFILL_BACKLOG, CostPart.BATCH_DELAY, CostPart.CACHE_LOAD)


def find_holder(
    state: PoolState, enqueue: EnqueueRequest
) -> tuple[Endpoint | None, int]:
    """Return the usable endpoint that caches most prefix tokens, and their number."""
    best: Endpoint | None = None
    n_best = 0
    for name in enqueue.holders:
        endpoint = state.endpoints.get(name)
        if endpoint is None or name in enqueue.excluded:
            continue
        n_cached = _count_cached_tokens(endpoint, enqueue)
        if (
            n_cached > 0
            and n_cached >= n_best
            and _is_usable(state, endpoint, n_cached)
        ):
            best, n_best = endpoint, n_cached
    return best, n_best


def get_affinity_wait_s(state: PoolState, n_cached_tokens: int) -> float:
    """Return how many seconds to wait for the endpoint that saves the prefill."""
    saved_s = n_cached_tokens * state.averages.prefill_s_per_token
    return min(
        state.settings.affinity_wait_limit_s,
        saved_s * state.settings.affinity_wait_factor,
    )


def record_prefix(
    state: PoolState,
    endpoint: Endpoint,
    program: ProgramId,
    n_tokens: int,
    now_s: float,
) -> None:
    """Record a cached prefix and evict idle and least recently used ones."""
    if endpoint.cache_capacity_tokens <= 0:
        return
    previous = endpoint.cached_prefixes.pop(program, None)
    if previous is not None:
        endpoint.n_cached_tokens -= previous.n_tokens
        n_tokens = max(n_tokens, previous.n_tokens)
    endpoint.cached_prefixes[program] = CachedPrefix(n_tokens, now_s)
    endpoint.n_cached_tokens += n_tokens
    idle_since_s = now_s - state.settings.cache_idle_limit_s
    while endpoint.cached_prefixes:
        oldest, cached = next(iter(endpoint.cached_prefixes.items()))
        is_full = endpoint.n_cached_tokens > endpoint.cache_capacity_tokens
        if not is_full and cached.last_used_s >= idle_since_s:
            return
        del endpoint.cached_prefixes[oldest]
        endpoint.has_evicted_prefix = True
        endpoint.n_cached_tokens -= cached.n_tokens


def add_prefill(
    state: PoolState, endpoint: Endpoint, n_tokens: int, now_s: float
) -> None:
    """Add prompt tokens to the prefill backlog of an endpoint."""
    seconds = n_tokens * state.averages.prefill_s_per_token
    endpoint.prefill_done_s = max(now_s, endpoint.prefill_done_s) + seconds


def get_cost_s(state: PoolState, endpoint: Endpoint, now_s: float) -> CostSeconds:
    """Return the components of the cost of a request without a cached prefix."""
    backlog_s = (
        max(0.0, endpoint.prefill_done_s - now_s) * state.settings.prefill_weight
    )
    batch_s = state.averages.slot_s * endpoint.n_in_flight / endpoint.n_slots
    cache_load_s = state.settings.cache_load_weight_s * get_cache_load(endpoint)
    return backlog_s, batch_s, cache_load_s


def get_cache_load(endpoint: Endpoint) -> float:
    """Return the estimated fill ratio of an endpoint's prefix cache."""
    if endpoint.cache_capacity_tokens <= 0:
        return 0.0
    return endpoint.n_cached_tokens / endpoint.cache_capacity_tokens


def _is_usable(state: PoolState, endpoint: Endpoint, n_cached_tokens: int) -> bool:
    if endpoint.health is Health.PROBATION:
        saved_s = n_cached_tokens * state.averages.prefill_s_per_token
        worthwhile_wait_s = saved_s * state.settings.affinity_wait_factor
        return worthwhile_wait_s > health.get_slowdown_cost_s(state, endpoint)
    return endpoint.health is Health.HEALTHY


def _count_cached_tokens(endpoint: Endpoint, enqueue: EnqueueRequest) -> int:
    cached = endpoint.cached_prefixes.get(enqueue.program)
    if cached is not None:
        return min(cached.n_tokens, enqueue.prompt_tokens)
    return 0 if endpoint.has_evicted_prefix else enqueue.prompt_tokens
