"""Decide where a prefix is kept and how long a request waits for it."""

from oleanderhitch.process.scheduling import health
from oleanderhitch.process.scheduling.messages import EnqueueRequest
from oleanderhitch.process.scheduling.records import Endpoint, PoolState, Resident
from oleanderhitch.process.scheduling.states import Health
from oleanderhitch.program.ids import ProgramId


def find_holder(
    state: PoolState, enqueue: EnqueueRequest
) -> tuple[Endpoint | None, int]:
    """Return the endpoint worth using that holds most of the prefix, and how much."""
    best: Endpoint | None = None
    n_best = 0
    for name in enqueue.holders:
        endpoint = state.endpoints.get(name)
        if endpoint is None or name in enqueue.excluded:
            continue
        n_cached = _count_cached(endpoint, enqueue)
        if (
            n_cached > 0
            and n_cached >= n_best
            and _is_usable(state, endpoint, n_cached)
        ):
            best, n_best = endpoint, n_cached
    return best, n_best


def get_wait_s(state: PoolState, n_cached_tokens: int) -> float:
    """Return how long the saved prefill is worth waiting for."""
    saved_s = n_cached_tokens * state.averages.prefill_s_per_token
    return min(
        state.settings.affinity_wait_limit_s,
        saved_s * state.settings.affinity_wait_factor,
    )


def remember_prefix(
    state: PoolState,
    endpoint: Endpoint,
    program: ProgramId,
    n_tokens: int,
    now_s: float,
) -> None:
    """Record that an endpoint keeps a prefix, least recently used out first."""
    if endpoint.cache_tokens <= 0:
        return
    known = endpoint.residents.pop(program, None)
    if known is not None:
        endpoint.resident_tokens -= known.n_tokens
        n_tokens = max(n_tokens, known.n_tokens)
    endpoint.residents[program] = Resident(n_tokens, now_s)
    endpoint.resident_tokens += n_tokens
    idle_since_s = now_s - state.settings.cache_idle_limit_s
    while endpoint.residents:
        oldest, resident = next(iter(endpoint.residents.items()))
        is_full = endpoint.resident_tokens > endpoint.cache_tokens
        if not is_full and resident.used_s >= idle_since_s:
            return
        del endpoint.residents[oldest]
        endpoint.has_dropped_prefix = True
        endpoint.resident_tokens -= resident.n_tokens


def add_prefill(
    state: PoolState, endpoint: Endpoint, n_tokens: int, now_s: float
) -> None:
    """Record the prompt tokens that an endpoint has to compute."""
    seconds = n_tokens * state.averages.prefill_s_per_token
    endpoint.prefilled_s = max(now_s, endpoint.prefilled_s) + seconds


def get_cost_s(state: PoolState, endpoint: Endpoint, now_s: float) -> float:
    """Return the seconds that a new prefix would lose at an endpoint."""
    backlog_s = max(0.0, endpoint.prefilled_s - now_s) * state.settings.prefill_weight
    batch_s = state.averages.slot_s * endpoint.n_in_flight / endpoint.n_slots
    memory_s = state.settings.cache_load_weight_s * get_memory_load(endpoint)
    return backlog_s + batch_s + memory_s


def get_memory_load(endpoint: Endpoint) -> float:
    """Return the part of an endpoint's prefix memory that is thought in use."""
    if endpoint.cache_tokens <= 0:
        return 0.0
    return endpoint.resident_tokens / endpoint.cache_tokens


def _is_usable(state: PoolState, endpoint: Endpoint, n_cached_tokens: int) -> bool:
    if endpoint.health is Health.PROBATION:
        saved_s = n_cached_tokens * state.averages.prefill_s_per_token
        worth_s = saved_s * state.settings.affinity_wait_factor
        return worth_s > health.get_slowness_s(state, endpoint)
    return endpoint.health is Health.HEALTHY


def _count_cached(endpoint: Endpoint, enqueue: EnqueueRequest) -> int:
    resident = endpoint.residents.get(enqueue.program)
    if resident is not None:
        return min(resident.n_tokens, enqueue.prompt_tokens)
    return 0 if endpoint.has_dropped_prefix else enqueue.prompt_tokens
