"""Provide the clock interface and the one real clock."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Tell the time to tasks and decision code."""

    def now(self) -> datetime:
        """Return the current time in UTC."""


class SystemClock:
    """Tell wall time at construction plus monotonic time since.

    A step of the host's wall clock must not shorten or extend a lease.
    """

    def __init__(self) -> None:
        self._started_at = datetime.now(UTC)
        self._origin_s = time.monotonic()

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return self._started_at + timedelta(seconds=time.monotonic() - self._origin_s)


def make_system_clock() -> Clock:
    """Return a clock that a wall clock step does not move."""
    return SystemClock()
