"""Define the settings of a pool's queue."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Hold the limits and weights of one pool's queue.

    Each rule can be turned off by itself; docs/measurements.md has the effect.
    """

    # Queue bounds and refusal.
    n_waiting_limit: int = 50_000
    retry_after_floor_s: float = 1.0
    refuses_early: bool = True
    # A request may overtake the estimate by its rank, so that only an estimate
    # that misses the deadline by this factor is taken as a certain miss.
    early_refusal_factor: float = 2.0

    # Order. All terms are seconds of seniority, so that a request is never
    # passed by one that came later than the sum of the limits.
    fair_share_limit_s: float = 8.0
    new_program_penalty_s: float = 10.0
    # The queue is long when it holds this many requests per slot.
    long_queue_per_slot: float = 0.25
    cached_bonus_limit_s: float = 4.0

    # Waiting for the endpoint that holds the prefix.
    affinity_wait_limit_s: float = 8.0
    # A prefill elsewhere also delays the prompts behind it and evicts prefixes
    # of others, so that it costs more than the time of the request itself.
    affinity_wait_factor: float = 8.0
    # An idle prefix is taken as evicted after this time.
    cache_idle_limit_s: float = 120.0

    # What a full prefix memory counts when an endpoint is chosen.
    cache_load_weight_s: float = 1.0
    # What a second of prompts that an endpoint has yet to compute counts.
    prefill_weight: float = 1.0
    # The highest number that engines get as priority; lower is served first.
    priority_limit: int = 7

    # Slowed endpoints.
    slow_factor: float = 1.8
    recovered_factor: float = 1.4
    slow_window_s: float = 4.0
    n_slow_observations: int = 3
    n_recovery_observations: int = 2
    probation_limit: float = 0.34
    probe_interval_s: float = 2.0
    # A slowed endpoint is used beyond probes when the queue costs more than
    # this many times what its slowness costs.
    overflow_factor: float = 1.0

    # Hedges and retries.
    # Hedges start while less than this part of the pool's slots is in use;
    # in a loaded pool they delay the work of others.
    hedge_load_limit: float = 0.5
    retry_budget_ratio: float = 0.1
    retry_budget_limit: float = 32.0
