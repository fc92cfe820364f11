"""Compare event latencies to find endpoints that noisy neighbours slow down."""

from datetime import datetime, timedelta
from statistics import median_low

from msgspec import Struct

MILLISECOND = timedelta(milliseconds=1)
# Weight of a new observation; detects a slowdown after three or four of them.
EWMA_WEIGHT = 0.3
# An endpoint without requests yields no observations; after this time it counts as
# being as fast as the others, so that it gets requests again.
OBSERVATION_TTL = timedelta(seconds=2)
# Smaller differences come from the batch sizes of the endpoints.
SLOWDOWN_RATIO_MIN = 1.5


class LatencyAverage(Struct):
    """Exponentially weighted mean time between the stream events of an endpoint."""

    mean_ms: float | None = None
    observed_at: datetime | None = None


def record_latency(average: LatencyAverage, latency: timedelta, now: datetime) -> None:
    """Add an observation to the average."""
    latency_ms = latency / MILLISECOND
    if average.mean_ms is None or not _is_recent(average, now):
        average.mean_ms = latency_ms
    else:
        average.mean_ms += (latency_ms - average.mean_ms) * EWMA_WEIGHT
    average.observed_at = now


def find_median_ms(averages: list[LatencyAverage], now: datetime) -> float | None:
    """Return the low median of the recent averages in ms, or None without any."""
    recent_ms = [
        average.mean_ms
        for average in averages
        if average.mean_ms is not None and _is_recent(average, now)
    ]
    return median_low(recent_ms) if recent_ms else None


def get_slowdown(
    average: LatencyAverage, median_ms: float | None, now: datetime
) -> float:
    """Return the ratio of an average to the median, or 1 if it is not slowed down."""
    if average.mean_ms is None or not median_ms or not _is_recent(average, now):
        return 1.0
    ratio = average.mean_ms / median_ms
    return ratio if ratio > SLOWDOWN_RATIO_MIN else 1.0


def _is_recent(average: LatencyAverage, now: datetime) -> bool:
    return (
        average.observed_at is not None and now - average.observed_at < OBSERVATION_TTL
    )
