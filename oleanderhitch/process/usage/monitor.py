"""Measure the memory of a process and the delay of its event loop."""

import os
from datetime import timedelta
from pathlib import Path

import gevent

from oleanderhitch.process.clock import Clock
from oleanderhitch.values import Value

PROBE_INTERVAL = timedelta(milliseconds=50)
# The second field is the resident memory in pages.
STATM_PATH = Path("/proc/self/statm")


class ProcessUsage(Value, frozen=True):
    """Resident memory now and at its peak, and the longest delay of the event loop.

    Memory is None where the system hides it.
    """

    memory_bytes: int | None
    peak_memory_bytes: int | None
    loop_delay: timedelta


class UsageMonitor:
    """Owner of a greenlet that samples the memory and the delay of the event loop."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loop_delay = timedelta(0)
        self._peak_memory_bytes: int | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to sample."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop measuring."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def take(self) -> ProcessUsage:
        """Return the usage and start new maxima."""
        memory_bytes = self._sample_memory()
        usage = ProcessUsage(memory_bytes, self._peak_memory_bytes, self._loop_delay)
        self._loop_delay = timedelta(0)
        self._peak_memory_bytes = memory_bytes
        return usage

    def _sample_memory(self) -> int | None:
        memory_bytes = _read_memory()
        if memory_bytes is not None:
            self._peak_memory_bytes = max(self._peak_memory_bytes or 0, memory_bytes)
        return memory_bytes

    def _run(self) -> None:
        while True:
            due_at = self._clock.now() + PROBE_INTERVAL
            gevent.sleep(PROBE_INTERVAL.total_seconds())
            self._loop_delay = max(self._loop_delay, self._clock.now() - due_at)
            self._sample_memory()


def _read_memory() -> int | None:
    try:
        n_pages = int(STATM_PATH.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return n_pages * os.sysconf("SC_PAGE_SIZE")


def make_usage_monitor(clock: Clock) -> UsageMonitor:
    """Return a monitor that is not started yet."""
    return UsageMonitor(clock)
