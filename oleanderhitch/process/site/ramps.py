"""Set how many requests an endpoint that has started or recovered may run at once.

Answers many entry hosts before a cold endpoint: its first answers reach one host each,
so that the leader counts the answers that all hosts report. The limit grows by one with
each fast answer, which doubles it in the time of an answer, stays with slower answers
and halves with failures.
"""

from datetime import datetime, timedelta
from enum import Enum

from msgspec import Struct

from oleanderhitch.process.placement.messages import RampObservations
from oleanderhitch.process.placement.pace import N_ALLOWED_AT_START

# Failures of the same moment reach the leader from several hosts and halve once. Hosts
# report within 250 ms, when their loads have changed.
HALVING_INTERVAL = timedelta(milliseconds=500)
# An endpoint has failed if most of its last answers are failures. One host that can't
# reach it is outweighed by those that can.
RECENT_HALF_LIFE = timedelta(seconds=2)
N_FAILED_MIN = 3.0
# A ramp of an endpoint that gets no requests ends, since no answer can end it.
IDLE_TTL = timedelta(seconds=60)


class RampChange(Enum):
    """What an observation has changed about the ramp of an endpoint."""

    NONE = "none"
    BEGUN = "ramp of an endpoint begun"
    ENDED = "ramp of an endpoint ended"


class Ramp(Struct):
    """The ramp of an endpoint; `n_allowed` is 0 outside of a ramp."""

    n_allowed: int = 0
    has_begun: bool = False
    halved_at: datetime | None = None
    observed_at: datetime | None = None
    n_failed: float = 0.0
    n_answered: float = 0.0

    def observe(self, observed: RampObservations, now: datetime) -> RampChange:
        """Count the answers and failures that an entry host reports."""
        was_limited = self.n_allowed > 0
        self._count(observed, now)
        is_limited = self.n_allowed > 0
        if is_limited == was_limited:
            return RampChange.NONE
        return RampChange.BEGUN if is_limited else RampChange.ENDED

    def _count(self, observed: RampObservations, now: datetime) -> None:
        if self.observed_at is not None:
            age = max(now - self.observed_at, timedelta(0))
            decay = float(0.5 ** (age / RECENT_HALF_LIFE))
            self.n_failed *= decay
            self.n_answered *= decay
        self.observed_at = now
        self.n_failed += observed.n_failed
        self.n_answered += observed.n_fast + observed.n_slow
        if self.n_allowed:
            self._adapt(observed, now)
        elif self._is_to_begin(observed):
            self.n_allowed = N_ALLOWED_AT_START
            self.halved_at = now
        self.has_begun = self.has_begun or observed.has_started

    def end_if_idle(self, now: datetime) -> None:
        """End a ramp without answers for IDLE_TTL."""
        if self.observed_at is not None and now - self.observed_at > IDLE_TTL:
            self.n_allowed = 0

    def _is_to_begin(self, observed: RampObservations) -> bool:
        """Return whether the endpoint has just started, or has failed."""
        if observed.has_started and not self.has_begun:
            return True
        return self.n_failed >= N_FAILED_MIN and self.n_failed > self.n_answered

    def _adapt(self, observed: RampObservations, now: datetime) -> None:
        is_new = self.halved_at is None or now - self.halved_at >= HALVING_INTERVAL
        if observed.n_failed and is_new:
            self.n_allowed = max(1, self.n_allowed // 2)
            self.halved_at = now
        elif not observed.n_failed:
            self.n_allowed += observed.n_fast
            if self.n_allowed >= observed.n_slots:
                self.n_allowed = 0
