"""Estimate the failure rate of endpoints."""

from datetime import datetime, timedelta

from msgspec import Struct

# Endpoint faults last some seconds, so older attempts lose their weight.
HALF_LIFE = timedelta(seconds=3)
# Assumed successes that are added to the observed attempts, so that a single failure
# yields a rate of 9 in 100 only.
N_PRIOR_SUCCESSES = 10.0


class Reliability(Struct):
    """Exponentially decaying counts of failed and successful attempts."""

    n_failed: float = 0.0
    n_succeeded: float = 0.0
    updated_at: datetime | None = None


def record_attempt(reliability: Reliability, has_failed: bool, now: datetime) -> None:
    """Count an attempt that has failed or succeeded."""
    decay = _get_decay(reliability, now)
    reliability.n_failed = reliability.n_failed * decay + has_failed
    reliability.n_succeeded = reliability.n_succeeded * decay + (not has_failed)
    reliability.updated_at = now


def get_failure_rate(reliability: Reliability, now: datetime) -> float:
    """Return the estimated share of attempts that fail, 0 to 1."""
    decay = _get_decay(reliability, now)
    n_failed = reliability.n_failed * decay
    n_succeeded = reliability.n_succeeded * decay
    return n_failed / (n_failed + n_succeeded + N_PRIOR_SUCCESSES)


def _get_decay(reliability: Reliability, now: datetime) -> float:
    if reliability.updated_at is None:
        return 0.0
    age = max(now - reliability.updated_at, timedelta(0))
    return float(0.5 ** (age / HALF_LIFE))
