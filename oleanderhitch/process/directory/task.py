"""Run the directory core in a task that reads the list in a separate greenlet."""

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
    ListReadFailed,
    ListReadSucceeded,
    LogReadStatus,
    NotifySubscriber,
    ReadList,
    handle,
)
from oleanderhitch.process.directory.messages import EndpointList, ListedEndpoint
from oleanderhitch.process.task import Task, make_task

TICK_INTERVAL = timedelta(milliseconds=200)

FetchList = Callable[[], tuple[ListedEndpoint, ...]]
NotifySubscriberFunction = Callable[[EndpointList], None]

log = logbook.Logger("directory")


def make_directory_task(
    fetch: FetchList, notify_subscriber: NotifySubscriberFunction, clock: Clock
) -> Task[DirectoryState]:
    """Return the task that reads the list and passes it to the subscriber.

    `fetch` raises UnavailableError if the list cannot be read.
    """

    def perform(effect: object) -> None:
        _perform(effect, fetch, notify_subscriber, task)

    state = DirectoryState()
    task = make_task("directory", state, handle, perform, clock, TICK_INTERVAL)
    return task


@singledispatch
def _perform(
    effect: object,
    fetch: FetchList,
    notify_subscriber: NotifySubscriberFunction,
    task: Address,
) -> None:
    raise TypeError(f"directory does not support effect type {type(effect).__name__}")


@_perform.register
def _(
    effect: ReadList,
    fetch: FetchList,
    notify_subscriber: NotifySubscriberFunction,
    task: Address,
) -> None:
    gevent.spawn(_read, fetch, task)


def _read(fetch: FetchList, task: Address) -> None:
    try:
        message: object = ListReadSucceeded(fetch())
    except OleanderhitchError as error:
        message = ListReadFailed(str(error))
    except Exception as error:
        # Without a message the next read would never start.
        log.error("unexpected error", error=repr(error))
        message = ListReadFailed(repr(error))
    task.send(message)


@_perform.register
def _(
    effect: NotifySubscriber,
    fetch: FetchList,
    notify_subscriber: NotifySubscriberFunction,
    task: Address,
) -> None:
    notify_subscriber(effect.endpoint_list)


@_perform.register
def _(
    effect: LogReadStatus,
    fetch: FetchList,
    notify_subscriber: NotifySubscriberFunction,
    task: Address,
) -> None:
    log.warning(effect.event, reason=effect.detail)
