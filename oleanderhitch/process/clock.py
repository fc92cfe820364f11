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


class BootClock:
    """Wall clock time at construction plus the time elapsed since the host started.

    It counts the time for which the host was suspended, which the monotonic clock does
    not, and is not affected when the wall clock is set. What other hosts rely on to end
    after a time has to be measured by it.
    """

    def __init__(self) -> None:
        self._offset_s = datetime.now(UTC).timestamp() - _get_boot_time_s()

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return datetime.fromtimestamp(self._offset_s + _get_boot_time_s(), UTC)


def _get_boot_time_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def make_boot_clock() -> Clock:
    """Return a clock that also counts the time for which the host is suspended."""
    return BootClock()


def make_system_clock() -> Clock:
    """Return a clock that steps of the host's wall clock do not affect."""
    return SystemClock()
