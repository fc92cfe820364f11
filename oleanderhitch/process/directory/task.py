"""Run the directory, whose readings happen in a greenlet of their own."""

from collections.abc import Callable
from datetime import timedelta
from functools import singledispatch

import gevent
import logbook

from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.directory.core import (
    DirectoryState,
    ListRead,
    ListUnread,
    LogReading,
    ReadList,
    TellList,
    handle,
)
from oleanderhitch.process.directory.messages import EndpointList, ListedEndpoint
from oleanderhitch.process.task import Task, make_task

TICK_INTERVAL = timedelta(milliseconds=200)

FetchList = Callable[[], tuple[ListedEndpoint, ...]]
TellFollowers = Callable[[EndpointList], None]

log = logbook.Logger("directory")


def make_directory_task(
    fetch: FetchList, tell: TellFollowers, clock: Clock
) -> Task[DirectoryState]:
    """Return the task that reads the list; fetch raises UnavailableError."""

    def perform(effect: object) -> None:
        _perform(effect, fetch, tell, task)

    state = DirectoryState()
    task = make_task("directory", state, handle, perform, clock, TICK_INTERVAL)
    return task


@singledispatch
def _perform(
    effect: object, fetch: FetchList, tell: TellFollowers, task: Address
) -> None:
    raise TypeError(f"directory has no effect {type(effect).__name__}")


@_perform.register
def _(effect: ReadList, fetch: FetchList, tell: TellFollowers, task: Address) -> None:
    gevent.spawn(_read, fetch, task)


def _read(fetch: FetchList, task: Address) -> None:
    try:
        message: object = ListRead(fetch())
    except OleanderhitchError as error:
        message = ListUnread(str(error))
    task.send(message)


@_perform.register
def _(effect: TellList, fetch: FetchList, tell: TellFollowers, task: Address) -> None:
    tell(effect.found)


@_perform.register
def _(effect: LogReading, fetch: FetchList, tell: TellFollowers, task: Address) -> None:
    log.warning(effect.event, reason=effect.detail)
