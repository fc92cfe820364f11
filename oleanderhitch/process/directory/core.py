"""Decide when to read the list of endpoints and what a reading means."""

from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.process.directory.messages import (
    EndpointList,
    ListedEndpoint,
    ListVersion,
)
from oleanderhitch.process.messages import Tick

# The list lags by up to a second by itself; reading it this often keeps a
# leaving endpoint from new work well within three seconds.
READ_INTERVAL = timedelta(milliseconds=800)
# A refused or failed reading is tried again after this, so that all readers
# together stay below the rate that the platform allows.
RETRY_INTERVAL = timedelta(milliseconds=500)


@dataclass(frozen=True, slots=True)
class ReaderAppointed:
    """Say from which term on this process reads the list, or that it stops."""

    term: int | None


@dataclass(frozen=True, slots=True)
class ListRead:
    """Bring the endpoints that a whole reading named."""

    endpoints: tuple[ListedEndpoint, ...]


@dataclass(frozen=True, slots=True)
class ListUnread:
    """Say that a reading failed."""

    reason: str


@dataclass(frozen=True, slots=True)
class ReadList:
    """Read the list once."""


@dataclass(frozen=True, slots=True)
class TellList:
    """Hand a list to all who follow it."""

    found: EndpointList


@dataclass(frozen=True, slots=True)
class LogReading:
    """Log that readings fail, or work again."""

    event: str
    detail: str


@dataclass(slots=True)
class DirectoryState:
    """Hold the last reading; the directory's task owns it."""

    term: int | None = None
    number: int = 0
    endpoints: tuple[ListedEndpoint, ...] = ()
    has_read: bool = False
    is_reading: bool = False
    is_failing: bool = False
    due_at: datetime | None = None


@singledispatch
def handle(message: object, state: DirectoryState, now: datetime) -> list[object]:
    """Return the effects of a message."""
    raise TypeError(f"directory has no message {type(message).__name__}")


@handle.register
def _(message: ReaderAppointed, state: DirectoryState, now: datetime) -> list[object]:
    if message.term == state.term:
        return []
    state.term = message.term
    state.has_read = False
    state.due_at = None
    return _read_if_due(state, now)


@handle.register
def _(message: Tick, state: DirectoryState, now: datetime) -> list[object]:
    return _read_if_due(state, now)


@handle.register
def _(message: ListRead, state: DirectoryState, now: datetime) -> list[object]:
    state.is_reading = False
    state.due_at = now + READ_INTERVAL
    if state.term is None:
        return []
    effects: list[object] = []
    if state.is_failing:
        state.is_failing = False
        effects.append(LogReading("list of endpoints readable again", ""))
    if not state.has_read or message.endpoints != state.endpoints:
        state.has_read = True
        state.endpoints = message.endpoints
        state.number += 1
    # A reading without a change is told too, since its age counts.
    version = ListVersion(state.term, state.number)
    effects.append(TellList(EndpointList(version, state.endpoints)))
    return effects


@handle.register
def _(message: ListUnread, state: DirectoryState, now: datetime) -> list[object]:
    state.is_reading = False
    state.due_at = now + RETRY_INTERVAL
    if state.is_failing:
        return []
    state.is_failing = True
    return [LogReading("list of endpoints not readable", message.reason)]


def _read_if_due(state: DirectoryState, now: datetime) -> list[object]:
    is_due = state.due_at is None or now >= state.due_at
    if state.term is None or state.is_reading or not is_due:
        return []
    state.is_reading = True
    return [ReadList()]
