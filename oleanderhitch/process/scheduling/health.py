"""Detect slow endpoints from the time per token of their attempts.

An endpoint whose time per token is well above the pool's median is put on probation:
until its probes are normal again, it gets more than single probes only if a request
would lose more time elsewhere.
"""

import math
from bisect import bisect_left, insort

from oleanderhitch.process.scheduling import limits
from oleanderhitch.process.scheduling.messages import ReleaseSlot
from oleanderhitch.process.scheduling.records import Averages, Endpoint, PoolState
from oleanderhitch.process.scheduling.states import Health

# The median of fewer endpoints doesn't show which of them is slow.
N_COMPARED_ENDPOINTS_MIN = 3
# In shorter outputs, the time of a single batch step dominates.
N_OUTPUT_TOKENS_MIN = 4
# Least weight of a new observation in the mean slot time.
SLOT_TIME_WEIGHT_MIN = 0.05
# Shorter prefills are not used to estimate the prefill rate.
N_COMPUTED_PROMPT_TOKENS_MIN = 64
PREFILL_DECREASE_WEIGHT = 0.1
PREFILL_INCREASE_WEIGHT = 0.01


def record_release(
    state: PoolState, endpoint: Endpoint, release: ReleaseSlot, now_s: float
) -> None:
    """Update the averages and the endpoint's time per token after an attempt."""
    _update_averages(state, release)
    observation = _find_observation(release)
    if observation is None or endpoint.health is Health.LEAVING:
        return
    n_tokens, seconds = observation
    endpoint.observations.append((now_s, n_tokens, seconds))
    _update_s_per_token(state, endpoint, now_s)


def should_start_probation(state: PoolState, endpoint: Endpoint, now_s: float) -> bool:
    """Return whether recent observations are well above the pool's median."""
    if endpoint.health is not Health.HEALTHY or not _is_probation_allowed(state):
        return False
    recent = _list_recent(state, endpoint, now_s)
    if len(recent) < state.settings.n_slow_observations:
        return False
    return _exceeds_median(state, endpoint, state.settings.slow_factor)


def has_recovered(state: PoolState, endpoint: Endpoint) -> bool:
    """Return whether the observations since the start of probation are normal."""
    if len(endpoint.observations) < state.settings.n_recovery_observations:
        return False
    return not _exceeds_median(state, endpoint, state.settings.recovered_factor)


def start_probation(state: PoolState, endpoint: Endpoint, now_s: float) -> None:
    """Put an endpoint on probation and discard its earlier observations."""
    endpoint.health = Health.PROBATION
    endpoint.last_probe_s = now_s
    endpoint.observations.clear()
    state.probation[endpoint.endpoint] = None


def end_probation(state: PoolState, endpoint: Endpoint) -> None:
    """Take an endpoint off probation."""
    if endpoint.health is Health.PROBATION:
        endpoint.health = Health.HEALTHY
    state.probation.pop(endpoint.endpoint, None)


def is_probe_due(state: PoolState, endpoint: Endpoint, now_s: float) -> bool:
    """Return whether an endpoint on probation may get a probe."""
    is_due = now_s - endpoint.last_probe_s >= state.settings.probe_interval_s
    return is_due and endpoint.n_in_flight == 0


def accepts_overflow(state: PoolState, endpoint: Endpoint) -> bool:
    """Return whether waiting in the queue costs more than using a slow endpoint."""
    cost_s = get_slowdown_cost_s(state, endpoint)
    return limits.get_estimated_wait_s(state) > state.settings.overflow_factor * cost_s


def get_slowdown_cost_s(state: PoolState, endpoint: Endpoint) -> float:
    """Return the extra seconds that an average attempt takes at a slow endpoint.

    They are infinite while there is no median to compare the endpoint with.
    """
    median = find_median_s_per_token(state)
    if median is None or endpoint.s_per_token is None or not median:
        return math.inf
    return max(0.0, endpoint.s_per_token / median - 1.0) * state.averages.slot_s


def remove_from_median(state: PoolState, endpoint: Endpoint) -> None:
    """Exclude an endpoint from the pool's median."""
    if endpoint.s_per_token is not None:
        del state.sorted_s_per_token[
            bisect_left(state.sorted_s_per_token, endpoint.s_per_token)
        ]
        endpoint.s_per_token = None


def find_median_s_per_token(state: PoolState) -> float | None:
    """Return the low median of the endpoints' seconds per token."""
    if len(state.sorted_s_per_token) < N_COMPARED_ENDPOINTS_MIN:
        return None
    return state.sorted_s_per_token[(len(state.sorted_s_per_token) - 1) // 2]


def _is_probation_allowed(state: PoolState) -> bool:
    n_endpoints = len(state.endpoints)
    if n_endpoints < N_COMPARED_ENDPOINTS_MIN:
        return False
    return len(state.probation) < max(
        1, int(state.settings.probation_limit * n_endpoints)
    )


def _exceeds_median(state: PoolState, endpoint: Endpoint, factor: float) -> bool:
    median = find_median_s_per_token(state)
    if median is None or endpoint.s_per_token is None:
        return False
    return endpoint.s_per_token > factor * median


def _find_observation(release: ReleaseSlot) -> tuple[int, float] | None:
    seconds = release.duration.total_seconds()
    if release.first_token is None:
        # Plain services have no tokens; a whole call counts as one token.
        return (1, seconds) if release.is_success else None
    if release.n_output_tokens < N_OUTPUT_TOKENS_MIN:
        return None
    return release.n_output_tokens, seconds - release.first_token.total_seconds()


def _list_recent(
    state: PoolState, endpoint: Endpoint, now_s: float
) -> list[tuple[float, int, float]]:
    oldest_s = now_s - state.settings.slow_window_s
    return [
        observation
        for observation in endpoint.observations
        if observation[0] >= oldest_s
    ]


def _update_s_per_token(state: PoolState, endpoint: Endpoint, now_s: float) -> None:
    recent = _list_recent(state, endpoint, now_s)
    n_tokens = sum(observation[1] for observation in recent)
    seconds = sum(observation[2] for observation in recent)
    remove_from_median(state, endpoint)
    endpoint.s_per_token = seconds / n_tokens
    insort(state.sorted_s_per_token, endpoint.s_per_token)


def _update_averages(state: PoolState, release: ReleaseSlot) -> None:
    if not release.is_success:
        return
    averages = state.averages
    averages.n_observed += 1
    # The first observations replace the defaults quickly.
    weight = max(SLOT_TIME_WEIGHT_MIN, 1.0 / averages.n_observed)
    averages.slot_s += weight * (release.duration.total_seconds() - averages.slot_s)
    _update_prefill_rate(averages, release)


def _update_prefill_rate(averages: Averages, release: ReleaseSlot) -> None:
    n_tokens = release.n_computed_prompt_tokens
    if release.first_token is None or n_tokens < N_COMPUTED_PROMPT_TOKENS_MIN:
        return
    error = release.first_token.total_seconds() / n_tokens
    error -= averages.prefill_s_per_token
    # The time to the first token includes time in the engine's own queue, so lower
    # observations are closer to the prefill rate and get more weight.
    weight = PREFILL_DECREASE_WEIGHT if error < 0.0 else PREFILL_INCREASE_WEIGHT
    averages.prefill_s_per_token += weight * error
