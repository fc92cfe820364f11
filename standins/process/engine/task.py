"""Greenlet that owns the state of an engine and runs its batch."""

from datetime import timedelta

import gevent

from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.mailbox import Mailbox, make_mailbox
from standins.process.engine.batch import step
from standins.process.engine.core import handle
from standins.process.engine.state import (
    EngineSettings,
    EngineState,
    make_engine_state,
)
from standins.request.messages import SendMessage


class EngineTask:
    """Runs the steps of the batch when they are due and handles messages in between."""

    def __init__(self, state: EngineState, clock: Clock, mailbox: Mailbox) -> None:
        self._state = state
        self._clock = clock
        self._mailbox = mailbox

    def send(self, message: object) -> None:
        """Queue a message; raise MailboxFullError if the mailbox is full."""
        self._mailbox.send(message)

    def start(self) -> None:
        """Start the greenlet."""
        gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            message = self._mailbox.receive(self._get_receive_timeout())
            if message is not None:
                self._perform(handle(message, self._state, self._clock.now()))
            next_step_at = self._state.next_step_at
            if next_step_at is not None and self._clock.now() >= next_step_at:
                self._perform(step(self._state, self._clock.now()))

    def _get_receive_timeout(self) -> timedelta | None:
        if self._state.next_step_at is None:
            return None
        return max(timedelta(0), self._state.next_step_at - self._clock.now())

    def _perform(self, effects: list[SendMessage]) -> None:
        for effect in effects:
            try:
                effect.address.send(effect.message)
            except UnavailableError:
                # The mailbox of a slow connection is full; the client can attach again
                # at the offset that it has reached.
                continue


def make_engine_task(settings: EngineSettings, clock: Clock) -> EngineTask:
    """Return an engine task that has not been started."""
    return EngineTask(make_engine_state(settings), clock, make_mailbox("engine"))
