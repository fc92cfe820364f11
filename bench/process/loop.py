"""Run events in the order of a scripted clock."""

import heapq
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

ORIGIN = datetime(2026, 1, 1, tzinfo=UTC)


class EventLoop:
    """Hold events that are yet to come; no time passes between them."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._n_events = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> datetime:
        """Return the scripted time."""
        return ORIGIN + timedelta(seconds=self.now_s)

    def call_at(self, at_s: float, callback: Callable[[], None]) -> None:
        """Run a callback at a time."""
        self._n_events += 1
        heapq.heappush(self._events, (at_s, self._n_events, callback))

    def call_in(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        self.call_at(self.now_s + delay_s, callback)

    def run(self, is_done: Callable[[], bool], limit_s: float) -> None:
        """Run events until done; raise TimeoutError after the limit."""
        while self._events and not is_done():
            self.now_s, _, callback = heapq.heappop(self._events)
            if self.now_s > limit_s:
                raise TimeoutError(f"measurement has not ended after {limit_s} s")
            callback()
