"""Define the settings of a pool's queue."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Hold the limits and weights of one pool's queue."""

    n_waiting_limit: int = 50_000
    retry_after_full: timedelta = timedelta(seconds=2)
