"""Decide when to read the list of endpoints and what to do with the result."""

from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct

from oleanderhitch.process.directory.messages import (
    EndpointList,
    ListedEndpoint,
    ListVersion,
)
from oleanderhitch.process.messages import Tick
from oleanderhitch.values import Value

# The list itself lags by up to 1 s, so with this interval a leaving endpoint stops
# getting new work well within 3 s.
READ_INTERVAL = timedelta(milliseconds=800)
# Delay after a refused or failed read, so that all readers together stay below the
# platform's rate limit.
RETRY_INTERVAL = timedelta(milliseconds=500)


class SetReaderTerm(Value, frozen=True):
    """Makes this process read the list, or stop reading if `term` is None.

    A store reads in the term of its leadership; a list of a higher term is newer.
    """

    term: int | None


class ListReadSucceeded(Value, frozen=True):
    """Reports the endpoints of a complete read."""

    endpoints: tuple[ListedEndpoint, ...]


class ListReadFailed(Value, frozen=True):
    """Reports that a read failed."""

    reason: str


class ReadList(Value, frozen=True):
    """Requests one read of the list."""


class NotifySubscriber(Value, frozen=True):
    """Sends a list to the subscriber."""

    endpoint_list: EndpointList


class LogReadStatus(Value, frozen=True):
    """Logs that reads started to fail or succeed again."""

    event: str
    detail: str


class DirectoryState(Struct):
    """The last list and the schedule of reads; owned by the directory task.

    `term` is None while this process must not read. `number` is the number of the last
    list, and `has_read` is set once a read has succeeded in this term.
    """

    term: int | None = None
    number: int = 0
    endpoints: tuple[ListedEndpoint, ...] = ()
    has_read: bool = False
    is_reading: bool = False
    is_failing: bool = False
    next_read_at: datetime | None = None


@singledispatch
def handle(message: object, state: DirectoryState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(f"directory does not support message type {type(message).__name__}")


@handle.register
def _(message: SetReaderTerm, state: DirectoryState, now: datetime) -> list[object]:
    if message.term == state.term:
        return []
    state.term = message.term
    state.has_read = False
    state.next_read_at = None
    return _read_if_due(state, now)


@handle.register
def _(message: Tick, state: DirectoryState, now: datetime) -> list[object]:
    return _read_if_due(state, now)


@handle.register
def _(message: ListReadSucceeded, state: DirectoryState, now: datetime) -> list[object]:
    state.is_reading = False
    state.next_read_at = now + READ_INTERVAL
    if state.term is None:
        return []
    effects: list[object] = []
    if state.is_failing:
        state.is_failing = False
        effects.append(LogReadStatus("list of endpoints readable again", ""))
    if not state.has_read or message.endpoints != state.endpoints:
        state.has_read = True
        state.endpoints = message.endpoints
        state.number += 1
    # An unchanged list is passed on too, since subscribers check a list's age.
    version = ListVersion(state.term, state.number)
    effects.append(NotifySubscriber(EndpointList(version, state.endpoints)))
    return effects


@handle.register
def _(message: ListReadFailed, state: DirectoryState, now: datetime) -> list[object]:
    state.is_reading = False
    state.next_read_at = now + RETRY_INTERVAL
    if state.is_failing:
        return []
    state.is_failing = True
    return [LogReadStatus("list of endpoints not readable", message.reason)]


def _read_if_due(state: DirectoryState, now: datetime) -> list[object]:
    is_due = state.next_read_at is None or now >= state.next_read_at
    if state.term is None or state.is_reading or not is_due:
        return []
    state.is_reading = True
    return [ReadList()]
