"""Run decision code in a greenlet that owns its state and its mailbox."""

from collections.abc import Callable, Iterable
from datetime import UTC, datetime, timedelta
from traceback import format_exc
from typing import Generic, TypeVar

import gevent
import logbook

from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.address import MailboxFullError
from oleanderhitch.process.alarm import Alarm, make_alarm
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.mailbox import (
    MAILBOX_CAPACITY_MESSAGES,
    Mailbox,
    make_mailbox,
)
from oleanderhitch.process.messages import StopTask, Tick

State = TypeVar("State")

# Innermost frames of an unexpected error that are logged.
TRACE_LIMIT_FRAMES = 4

# Result of FindNextTick: no tick is needed before the next message.
NO_TICK = datetime.max.replace(tzinfo=UTC)


class _TickDue:
    """Wakes a task that waits for a message, since a tick may be due."""


_TICK_DUE = _TickDue()

Handle = Callable[[object, State, datetime], Iterable[object]]
Perform = Callable[[object], None]
# Returns the time of the next tick, NO_TICK, or None to use the tick interval.
FindNextTick = Callable[[State], datetime | None]


class Task(Generic[State]):
    """Handles one message at a time and performs the resulting effects."""

    def __init__(
        self,
        name: str,
        state: State,
        handle: Handle[State],
        perform: Perform,
        clock: Clock,
        mailbox: Mailbox,
        tick_interval: timedelta | None,
        find_next_tick: FindNextTick[State] | None,
    ) -> None:
        self._name = name
        self._state = state
        self._handle = handle
        self._perform = perform
        self._clock = clock
        self._mailbox = mailbox
        self._tick_interval = tick_interval
        self._find_next_tick = find_next_tick
        self._greenlet: gevent.Greenlet | None = None
        self._log = logbook.Logger(name)

    @property
    def name(self) -> str:
        """The name, which is also the log channel of the task."""
        return self._name

    def send(self, message: object) -> None:
        """Enqueue a message; raise MailboxFullError if the mailbox is full."""
        self._mailbox.send(message)

    def start(self) -> None:
        """Start the greenlet that handles messages."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the task after the messages that are already queued."""
        self._mailbox.send(StopTask())

    def join(self, timeout: timedelta | None = None) -> None:
        """Wait until the task has ended or the timeout has passed."""
        if self._greenlet is not None:
            self._greenlet.join(None if timeout is None else timeout.total_seconds())

    def _run(self) -> None:
        alarm = make_alarm(self._wake, self._clock)
        try:
            self._handle_messages(alarm)
        finally:
            alarm.close()

    def _handle_messages(self, alarm: Alarm) -> None:
        next_tick: datetime | None = None
        while True:
            next_tick = self._schedule_tick(next_tick)
            alarm.set(next_tick)
            message = self._mailbox.receive()
            if isinstance(message, StopTask):
                return
            now = self._clock.now()
            if message is not _TICK_DUE:
                self._handle_message(message, now)
            if next_tick is not None and now >= next_tick:
                self._handle_message(Tick(), self._clock.now())
                next_tick = None

    def _wake(self) -> None:
        try:
            self._mailbox.send(_TICK_DUE)
        except MailboxFullError:
            # The task has messages to handle and checks for a tick after each.
            self._log.debug("mailbox is full while a tick is due")

    def _schedule_tick(self, scheduled: datetime | None) -> datetime | None:
        requested = (
            None if self._find_next_tick is None else self._find_next_tick(self._state)
        )
        if requested is not None:
            return None if requested == NO_TICK else requested
        if self._tick_interval is None:
            return None
        return scheduled or self._clock.now() + self._tick_interval

    def _handle_message(self, message: object, now: datetime) -> None:
        try:
            self._handle_and_perform(message, now)
        except Exception as error:
            # Without its task a process would go on with that part missing.
            self._log.error(
                "unexpected error; the message is dropped",
                message_type=type(message).__name__,
                error=repr(error),
                trace=format_exc(limit=-TRACE_LIMIT_FRAMES),
            )

    def _handle_and_perform(self, message: object, now: datetime) -> None:
        for effect in self._handle(message, self._state, now):
            try:
                self._perform(effect)
            except OleanderhitchError as error:
                # One unreachable peer must not stop the task that serves all others;
                # decision code detects the failure by its own timeout.
                self._log.warning("could not perform {}: {}", type(effect), error)


def make_task(
    name: str,
    state: State,
    handle: Handle[State],
    perform: Perform,
    clock: Clock,
    tick_interval: timedelta | None = None,
    capacity_messages: int = MAILBOX_CAPACITY_MESSAGES,
    find_next_tick: FindNextTick[State] | None = None,
) -> Task[State]:
    """Return a task that is not started yet.

    Ticks occur at the time that `find_next_tick` returns, otherwise at the interval. A
    task without either gets no ticks and uses no CPU time while idle.
    """
    mailbox = make_mailbox(name, capacity_messages)
    return Task(
        name, state, handle, perform, clock, mailbox, tick_interval, find_next_tick
    )
