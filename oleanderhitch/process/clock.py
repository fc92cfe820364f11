"""Provide the clock interface and the clock of the system."""

import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Source of the current time for tasks and decision code."""

    def now(self) -> datetime:
        """Return the current time in UTC."""


class SystemClock:
    """Wall clock time at construction plus the monotonic time elapsed since.

    A step of the host's wall clock must not shorten or extend a lease.
    """

    def __init__(self) -> None:
        self._offset_s = datetime.now(UTC).timestamp() - time.monotonic()

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return datetime.fromtimestamp(self._offset_s + time.monotonic(), UTC)


def make_system_clock() -> Clock:
    """Return a clock that steps of the host's wall clock do not affect."""
    return SystemClock()
