"""Call back at a time that usually moves later before it is reached."""

from collections.abc import Callable
from datetime import datetime, timedelta

import gevent

from oleanderhitch.process.clock import Clock


class Alarm:
    """Owner of one timer of the event loop.

    A timer that fires early is started again for the rest, so that moving the time
    later costs nothing. A timeout for each wait would cost a timer for each message.
    """

    def __init__(self, on_due: Callable[[], None], clock: Clock) -> None:
        self._on_due = on_due
        self._clock = clock
        self._due_at: datetime | None = None
        self._fires_at: datetime | None = None
        self._timer: gevent.hub.loop.timer | None = None

    def set(self, due_at: datetime | None) -> None:
        """Call back at this time instead of the one set before; None for never.

        The callback runs in the event loop and must not block.
        """
        self._due_at = due_at
        if due_at is not None and (self._fires_at is None or due_at < self._fires_at):
            self._start(due_at, self._clock.now())

    def advance(self, due_at: datetime) -> None:
        """Call back at this time, unless the time that is set is earlier."""
        if self._due_at is None or due_at < self._due_at:
            self.set(due_at)

    def close(self) -> None:
        """Release the timer; the alarm must not be set again."""
        self._due_at = None
        self._release()

    def _start(self, due_at: datetime, now: datetime) -> None:
        self._release()
        delay = max(timedelta(0), due_at - now)
        self._fires_at = due_at
        self._timer = gevent.get_hub().loop.timer(delay.total_seconds())
        # The time of the event loop may be old, and the timer would fire early.
        self._timer.start(self._fire, update=True)

    def _release(self) -> None:
        self._fires_at = None
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None

    def _fire(self) -> None:
        self._release()
        if self._due_at is None:
            return
        now = self._clock.now()
        if now < self._due_at:
            self._start(self._due_at, now)
        else:
            self._due_at = None
            self._on_due()


def make_alarm(on_due: Callable[[], None], clock: Clock) -> Alarm:
    """Return an alarm that is not set yet."""
    return Alarm(on_due, clock)
