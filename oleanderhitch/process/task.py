"""Run a decision core in a greenlet that owns its state and its mailbox."""

from collections.abc import Callable, Iterable
from datetime import UTC, datetime, timedelta
from typing import Generic, TypeVar

import gevent
import logbook

from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.mailbox import (
    MAILBOX_CAPACITY_MESSAGES,
    Mailbox,
    make_mailbox,
)
from oleanderhitch.process.messages import StopTask, Tick

State = TypeVar("State")

# Says that a task needs no tick until its next message.
NO_TICK = datetime.max.replace(tzinfo=UTC)

Handle = Callable[[object, State, datetime], Iterable[object]]
Perform = Callable[[object], None]
# Returns when the next tick is due, NO_TICK, or None for the tick interval.
FindNextTick = Callable[[State], datetime | None]


class Task(Generic[State]):
    """Handle one message at a time and perform the effects it calls for."""

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
        """Return the name that prefixes the task's log lines."""
        return self._name

    def send(self, message: object) -> None:
        """Queue a message for the task; raise MailboxFullError without room."""
        self._mailbox.send(message)

    def start(self) -> None:
        """Start handling messages."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ask the task to end once it has handled what waits."""
        self._mailbox.send(StopTask())

    def join(self, timeout: timedelta | None = None) -> None:
        """Wait until the task has ended."""
        if self._greenlet is not None:
            self._greenlet.join(None if timeout is None else timeout.total_seconds())

    def _run(self) -> None:
        next_tick: datetime | None = None
        while True:
            next_tick = self._plan_tick(next_tick)
            message = self._mailbox.receive(self._get_wait(next_tick))
            if isinstance(message, StopTask):
                return
            if message is not None:
                self._step(message)
            if next_tick is not None and self._clock.now() >= next_tick:
                self._step(Tick())
                next_tick = None

    def _plan_tick(self, planned: datetime | None) -> datetime | None:
        wake = (
            None if self._find_next_tick is None else self._find_next_tick(self._state)
        )
        if wake is not None:
            return None if wake == NO_TICK else wake
        if self._tick_interval is None:
            return None
        return planned or self._clock.now() + self._tick_interval

    def _get_wait(self, next_tick: datetime | None) -> timedelta | None:
        if next_tick is None:
            return None
        return max(timedelta(0), next_tick - self._clock.now())

    def _step(self, message: object) -> None:
        for effect in self._handle(message, self._state, self._clock.now()):
            try:
                self._perform(effect)
            except OleanderhitchError as error:
                # One peer that is out of reach must not stop the task that
                # serves all others; the core learns of it by its own timeout.
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

    Ticks come at the interval, or when find_next_tick says; a task that need not
    look at the time then costs nothing while it is idle.
    """
    mailbox = make_mailbox(name, capacity_messages)
    return Task(
        name, state, handle, perform, clock, mailbox, tick_interval, find_next_tick
    )
