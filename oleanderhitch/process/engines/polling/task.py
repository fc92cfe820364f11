"""Poll engines and tell the tasks that follow them."""

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
from oleanderhitch.process.engines.polling.messages import EventGapSeen, NotifyFollowers
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.metrics.core import Metrics, make_metrics
from oleanderhitch.process.metrics.states import Counter
from oleanderhitch.process.task import Task, make_task

TICK_INTERVAL = timedelta(milliseconds=100)


class PollingTask:
    """Poll the engines it is told of by EnginesChanged."""

    def __init__(
        self,
        followers: tuple[Address, ...],
        pools: urllib3.PoolManager,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._followers = followers
        self._metrics = metrics
        self._task: Task[PollingState] = make_task(
            "polling", make_polling_state(), handle, self._perform, clock, TICK_INTERVAL
        )
        self._client = make_engine_client(self._task, pools, clock)

    def send(self, message: object) -> None:
        """Queue a message; raise MailboxFullError when there is no room."""
        self._task.send(message)

    def start(self) -> None:
        """Start polling."""
        self._client.start()
        self._task.start()

    def stop(self) -> None:
        """End polling after the messages that wait."""
        self._task.stop()

    def _perform(self, effect: object) -> None:
        if isinstance(effect, NotifyFollowers) and isinstance(
            effect.message, EventGapSeen
        ):
            self._metrics.count(Counter.CACHE_EVENT_GAPS)
        _perform(effect, self._client, self._followers)


@singledispatch
def _perform(
    effect: object, client: EngineClient, followers: tuple[Address, ...]
) -> None:
    raise TypeError(f"polling has no effect {type(effect).__name__}")


@_perform.register
def _(effect: CallEngine, client: EngineClient, followers: tuple[Address, ...]) -> None:
    client.send(effect)


@_perform.register
def _(
    effect: NotifyFollowers, client: EngineClient, followers: tuple[Address, ...]
) -> None:
    for follower in followers:
        follower.send(effect.message)


def make_polling_task(
    followers: tuple[Address, ...],
    pools: urllib3.PoolManager,
    clock: Clock,
    metrics: Metrics | None = None,
) -> PollingTask:
    """Return the polling task, not started yet."""
    return PollingTask(followers, pools, clock, metrics or make_metrics())
