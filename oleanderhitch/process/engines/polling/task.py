"""Run the task that polls engines and notifies its subscribers."""

from datetime import timedelta
from functools import singledispatch

import urllib3

from oleanderhitch.process.clock import Clock
from oleanderhitch.process.engines.client import EngineClient, make_engine_client
from oleanderhitch.process.engines.messages import CallEngine
from oleanderhitch.process.engines.polling.core import (
    PollingState,
    handle,
    make_polling_state,
)
from oleanderhitch.process.engines.polling.messages import (
    EventGapDetected,
    NotifySubscribers,
)
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.metrics.core import Metrics, make_metrics
from oleanderhitch.process.metrics.states import Counter
from oleanderhitch.process.task import Task, make_task

TICK_INTERVAL = timedelta(milliseconds=100)


class PollingTask:
    """Polls the engines of the last EnginesChanged."""

    def __init__(
        self,
        subscribers: tuple[Address, ...],
        pool_manager: urllib3.PoolManager,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._subscribers = subscribers
        self._metrics = metrics
        self._task: Task[PollingState] = make_task(
            "polling", make_polling_state(), handle, self._perform, clock, TICK_INTERVAL
        )
        self._client = make_engine_client(self._task, pool_manager, clock)

    def send(self, message: object) -> None:
        """Enqueue a message; raise MailboxFullError if the mailbox is full."""
        self._task.send(message)

    def start(self) -> None:
        """Start polling."""
        self._client.start()
        self._task.start()

    def stop(self) -> None:
        """Stop polling after the queued messages."""
        self._task.stop()

    def _perform(self, effect: object) -> None:
        if isinstance(effect, NotifySubscribers) and isinstance(
            effect.message, EventGapDetected
        ):
            self._metrics.count(Counter.CACHE_EVENT_GAPS)
        _perform(effect, self._client, self._subscribers)


@singledispatch
def _perform(
    effect: object, client: EngineClient, subscribers: tuple[Address, ...]
) -> None:
    raise TypeError(f"polling does not support effect type {type(effect).__name__}")


@_perform.register
def _(
    effect: CallEngine, client: EngineClient, subscribers: tuple[Address, ...]
) -> None:
    client.send(effect)


@_perform.register
def _(
    effect: NotifySubscribers, client: EngineClient, subscribers: tuple[Address, ...]
) -> None:
    for subscriber in subscribers:
        subscriber.send(effect.message)


def make_polling_task(
    subscribers: tuple[Address, ...],
    pool_manager: urllib3.PoolManager,
    clock: Clock,
    metrics: Metrics | None = None,
) -> PollingTask:
    """Return the polling task, not started yet."""
    return PollingTask(subscribers, pool_manager, clock, metrics or make_metrics())
