"""Decide how many new programs of an account may begin while it is over its limit.

Answers accounts that begin more programs than their limit can complete: each program
needs several requests, so that a limit that is shared by the requests of all programs
completes few of them. Requests of programs in progress come first, and new programs
begin as fast as the limit can complete them.
"""

import math
from datetime import datetime, timedelta

from msgspec import Struct

# Time over which the demand of an account is measured.
DEMAND_MEMORY = timedelta(seconds=1)
# Time over which the requests for each program are measured. Programs take seconds, so
# that their later requests come that long after their first.
PROGRAM_MEMORY = timedelta(seconds=20)
# Longer programs are taken to be this long, so that some always begin.
N_REQUESTS_MAX = 50.0
# Standard deviations by which the number of new programs has to exceed the expected one
# to show that an account is over its limit.
N_DEVIATIONS = 3
# Share of a bucket that is kept for programs in progress while demand exceeds a limit.
# Their requests come at random, and one that is refused can cost a whole program.
RESERVED_SHARE = 0.25


class _DecayingCount(Struct):
    """A count whose older part loses weight."""

    memory: timedelta
    value: float = 0.0
    counted_at: datetime | None = None

    def add(self, n: int, now: datetime) -> None:
        """Count."""
        self.value = self.get(now) + n
        self.counted_at = now

    def get(self, now: datetime) -> float:
        """Return the count."""
        if self.counted_at is None:
            return 0.0
        return self.value * math.exp(-((now - self.counted_at) / self.memory))


class ProgramPace(Struct):
    """What is measured of an account, and how many programs may begin."""

    new: _DecayingCount
    running_lately: _DecayingCount
    running: _DecayingCount
    begun: _DecayingCount
    n_programs: float = 0.0
    filled_at: datetime | None = None
    # Whether more programs began lately than the limit can complete.
    is_over: bool = False

    def count_demand(self, n_running: int, n_new: int, now: datetime) -> None:
        """Count requests, whether they get credits or not."""
        self.new.add(n_new, now)
        self.running_lately.add(n_running, now)
        self.running.add(n_running, now)

    def count_served(self, n_running: int, n_new: int, now: datetime) -> None:
        """Count requests that an entry host had credits for."""
        self.count_demand(n_running, n_new, now)
        self.begun.add(n_new, now)
        self.n_programs = max(0.0, self.n_programs - n_new)

    def limit_new(
        self,
        n_new: int,
        level: float,
        requests_per_s: float,
        capacity: float,
        now: datetime,
    ) -> int:
        """Return how many of the new programs may begin.

        `level` and `capacity` are those of the bucket, without the requests of programs
        in progress.
        """
        n_requests = self._get_requests_per_program(now)
        n_programs_max = max(1.0, capacity / n_requests)
        elapsed = timedelta(0) if self.filled_at is None else now - self.filled_at
        n_filled = elapsed.total_seconds() * requests_per_s / n_requests
        self.n_programs = min(n_programs_max, self.n_programs + n_filled)
        self.filled_at = now
        is_above = self._is_above(level, requests_per_s, capacity, now)
        self.is_over = n_requests > 1 and is_above
        if self.is_over:
            n_free = math.floor(level - capacity * RESERVED_SHARE)
            n_new = max(0, min(n_new, math.floor(self.n_programs), n_free))
        self.begun.add(n_new, now)
        self.n_programs = max(0.0, self.n_programs - n_new)
        return n_new

    def _is_above(
        self, level: float, requests_per_s: float, capacity: float, now: datetime
    ) -> bool:
        """Return whether more programs begin than the limit can complete.

        Their later requests come too late to show it, and show it only once credits
        are scarce.
        """
        n_seconds = DEMAND_MEMORY.total_seconds()
        n_expected = requests_per_s * n_seconds / self._get_requests_per_program(now)
        n_unlikely = n_expected + N_DEVIATIONS * math.sqrt(n_expected) + 1
        if self.new.get(now) > n_unlikely:
            return True
        n_demanded = self.new.get(now) + self.running_lately.get(now)
        return level < capacity / 2 and n_demanded > requests_per_s * n_seconds

    def get_wait(self, requests_per_s: float, now: datetime) -> timedelta:
        """Return after what time another program may begin."""
        n_missing = max(0.0, 1 - self.n_programs)
        wait_s = n_missing * self._get_requests_per_program(now) / requests_per_s
        return timedelta(seconds=wait_s)

    def _get_requests_per_program(self, now: datetime) -> float:
        begun = max(1.0, self.begun.get(now))
        return min(N_REQUESTS_MAX, 1 + self.running.get(now) / begun)


def make_program_pace() -> ProgramPace:
    """Return the pace of an account of which nothing is known."""
    return ProgramPace(
        _DecayingCount(DEMAND_MEMORY),
        _DecayingCount(DEMAND_MEMORY),
        _DecayingCount(PROGRAM_MEMORY),
        _DecayingCount(PROGRAM_MEMORY),
    )
