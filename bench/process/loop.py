"""Event loop of a discrete-event simulation."""

import heapq
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

ORIGIN = datetime(2026, 1, 1, tzinfo=UTC)


class EventLoop:
    """Runs callbacks at their simulated times; the clock jumps from one to the next."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._last_event_number = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> datetime:
        """The simulated time."""
        return ORIGIN + timedelta(seconds=self.now_s)

    def call_at(self, at_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a time."""
        self._last_event_number += 1
        heapq.heappush(self._events, (at_s, self._last_event_number, callback))

    def call_in(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now_s + delay_s, callback)

    def run(self, is_done: Callable[[], bool], limit_s: float) -> None:
        """Run callbacks until `is_done()` holds or none is left.

        Raise TimeoutError if the next callback lies beyond the limit.
        """
        while self._events and not is_done():
            self.now_s, _, callback = heapq.heappop(self._events)
            if self.now_s > limit_s:
                raise TimeoutError(f"simulation not done after {limit_s} simulated s")
            callback()
