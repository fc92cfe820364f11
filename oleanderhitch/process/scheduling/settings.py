"""Define the settings of a pool's queue."""

from oleanderhitch.values import Value


class PoolSettings(Value, frozen=True):
    """Limits and weights of one pool's queue.

    Each rule can be turned off by itself; docs/measurements.md shows its effect.
    """

    # Queue length and refusals.
    n_waiting_limit: int = 50_000
    retry_after_min_s: float = 1.0
    refuses_early: bool = True
    # The estimated wait ignores the rank of a request, so a request is refused only if
    # the estimate exceeds its time to the deadline by this factor.
    early_refusal_factor: float = 2.0

    # Order. All terms are seconds of rank, so that a request is never overtaken by one
    # that arrives later by more than the sum of the limits.
    fair_share_limit_s: float = 8.0
    new_program_penalty_s: float = 10.0
    # The queue counts as long with more than this many requests per slot.
    long_queue_per_slot: float = 0.25
    cached_bonus_limit_s: float = 4.0

    # Waiting for the endpoint that caches the prefix.
    affinity_wait_limit_s: float = 8.0
    # Longest wait per second of saved prefill. A prefill elsewhere also delays the
    # prompts behind it and evicts other prefixes, so it costs more than its own time.
    affinity_wait_factor: float = 8.0
    # A prefix that is idle for longer counts as evicted.
    cache_idle_limit_s: float = 120.0

    # Cost of a full prefix cache in the choice of an endpoint.
    cache_load_weight_s: float = 1.0
    # Cost per second of an endpoint's prefill backlog.
    prefill_weight: float = 1.0
    # Highest priority number sent to engines; lower numbers are served first.
    priority_limit: int = 7

    # Slow endpoints. Factors compare the time per token with the pool's median, over
    # the observations of the last `slow_window_s`. Probation starts with at least
    # `n_slow_observations` and ends with at least `n_recovery_observations`;
    # `probation_limit` is the share of the endpoints that may be on probation.
    slow_factor: float = 1.8
    recovered_factor: float = 1.4
    slow_window_s: float = 4.0
    n_slow_observations: int = 3
    n_recovery_observations: int = 2
    probation_limit: float = 0.34
    probe_interval_s: float = 2.0
    # An endpoint on probation gets more than probes if the wait in the queue exceeds
    # the extra time of an attempt there by this factor.
    overflow_factor: float = 1.0

    # Hedges and retries.
    # Hedges start while less than this share of the pool's slots is in use; in a
    # loaded pool they delay other requests.
    hedge_load_limit: float = 0.5
    # Retries and hedges that each successful attempt adds to the budget, and the most
    # that the budget holds.
    retry_budget_ratio: float = 0.1
    retry_budget_limit: float = 32.0
