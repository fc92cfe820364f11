"""Estimate which share of their work endpoints fail."""

from dataclasses import dataclass
from datetime import datetime, timedelta

# Faults of endpoints last some seconds; older outcomes say little.
HALF_LIFE = timedelta(seconds=3)
# Weight of the assumption that an endpoint is sound, in outcomes: one failure alone
# makes the share 9 in 100.
N_ASSUMED_SOUND = 10.0


@dataclass(slots=True)
class Reliability:
    """Count outcomes of late; older ones fade."""

    n_failed: float = 0.0
    n_served: float = 0.0
    noted_at: datetime | None = None


def note_outcome(reliability: Reliability, has_failed: bool, now: datetime) -> None:
    """Take account of how an attempt ended."""
    weight = _get_weight(reliability, now)
    reliability.n_failed = reliability.n_failed * weight + has_failed
    reliability.n_served = reliability.n_served * weight + (not has_failed)
    reliability.noted_at = now


def get_failure_share(reliability: Reliability, now: datetime) -> float:
    """Return the share of attempts that are likely to fail, 0 to 1."""
    weight = _get_weight(reliability, now)
    n_failed = reliability.n_failed * weight
    n_served = reliability.n_served * weight
    return n_failed / (n_failed + n_served + N_ASSUMED_SOUND)


def _get_weight(reliability: Reliability, now: datetime) -> float:
    if reliability.noted_at is None:
        return 0.0
    age = max(now - reliability.noted_at, timedelta(0))
    return float(0.5 ** (age / HALF_LIFE))
