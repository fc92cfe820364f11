"""Compare the pace of endpoints, to find those that neighbours slow down."""

from dataclasses import dataclass
from datetime import datetime, timedelta
from statistics import median_low

MILLISECOND = timedelta(milliseconds=1)
# Weight of a new observation; a slowdown shows after three or four of them.
NEW_SHARE = 0.3
# An endpoint that gets no work is not observed, so that its record fades: after
# this it is taken to be as fast as its peers again.
MEMORY = timedelta(seconds=2)
# Batches differ between endpoints; only what exceeds this ratio is a slowdown.
SLOW_RATIO = 1.5


@dataclass(slots=True)
class Pace:
    """Hold the mean pause between events of an endpoint."""

    mean_ms: float | None = None
    observed_at: datetime | None = None


def note_pause(pace: Pace, pause: timedelta, now: datetime) -> None:
    """Take account of an observed pause."""
    pause_ms = pause / MILLISECOND
    if pace.mean_ms is None or not _is_recent(pace, now):
        pace.mean_ms = pause_ms
    else:
        pace.mean_ms += (pause_ms - pace.mean_ms) * NEW_SHARE
    pace.observed_at = now


def get_typical_ms(paces: list[Pace], now: datetime) -> float | None:
    """Return the pause of a typical endpoint, if any was observed lately."""
    known = [
        pace.mean_ms
        for pace in paces
        if pace.mean_ms is not None and _is_recent(pace, now)
    ]
    return median_low(known) if known else None


def get_slowness(pace: Pace, typical_ms: float | None, now: datetime) -> float:
    """Return how many times slower than its peers an endpoint is, 1 or more."""
    if pace.mean_ms is None or not typical_ms or not _is_recent(pace, now):
        return 1.0
    ratio = pace.mean_ms / typical_ms
    return ratio if ratio > SLOW_RATIO else 1.0


def _is_recent(pace: Pace, now: datetime) -> bool:
    return pace.observed_at is not None and now - pace.observed_at < MEMORY
