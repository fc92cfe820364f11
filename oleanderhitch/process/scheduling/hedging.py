"""Limit hedges and retries.

Both use a retry budget. A hedge is a second attempt of a running idempotent request
before its deadline, while the load of the pool is low.
"""

from oleanderhitch.process.scheduling import health
from oleanderhitch.process.scheduling.records import Endpoint, Permit, PoolState


def refill_budget(state: PoolState) -> None:
    """Add `retry_budget_ratio` to the retry budget after a successful attempt."""
    state.retry_budget = min(
        state.settings.retry_budget_limit,
        state.retry_budget + state.settings.retry_budget_ratio,
    )


def spend_budget(state: PoolState) -> bool:
    """Take one attempt from the retry budget; return False if it is used up."""
    if state.retry_budget < 1.0:
        return False
    state.retry_budget -= 1.0
    return True


def add_candidates(state: PoolState, endpoint: Endpoint) -> None:
    """Add the attempts of a slow endpoint to the hedge candidates."""
    state.hedge_candidates.extend(endpoint.permits)


def is_load_below_limit(state: PoolState) -> bool:
    """Return whether the load of the pool allows hedges."""
    return len(state.permits) < state.settings.hedge_load_limit * state.n_slots


def find_candidate(state: PoolState, now_s: float) -> Permit | None:
    """Return the next running attempt that qualifies for a hedge."""
    while state.hedge_candidates:
        permit = state.permits.get(state.hedge_candidates[0])
        if permit is not None and _may_hedge(state, permit, now_s):
            return permit
        state.hedge_candidates.popleft()
    return None


def _may_hedge(state: PoolState, permit: Permit, now_s: float) -> bool:
    return (
        permit.may_hedge
        and len(state.attempts.get(permit.request, ())) == 1
        and now_s < permit.deadline_s
        and state.retry_budget >= 1.0
        and _is_worth_prefill(state, permit)
    )


def _is_worth_prefill(state: PoolState, permit: Permit) -> bool:
    # A hedge computes the whole prompt, which delays other requests as much as moving
    # the program to another endpoint does.
    prefill_s = permit.prompt_tokens * state.averages.prefill_s_per_token
    endpoint = state.endpoints[permit.endpoint]
    slowdown_cost_s = health.get_slowdown_cost_s(state, endpoint)
    return prefill_s * state.settings.affinity_wait_factor < slowdown_cost_s
