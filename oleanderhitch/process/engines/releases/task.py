"""Run the task that releases cached prefixes at engines."""

from datetime import timedelta
from functools import singledispatch

import urllib3

from oleanderhitch.process.clock import Clock
from oleanderhitch.process.engines.client import EngineClient, make_engine_client
from oleanderhitch.process.engines.messages import CallEngine
from oleanderhitch.process.engines.releases.core import (
    ReleasesState,
    handle,
    make_releases_state,
)
from oleanderhitch.process.engines.releases.messages import (
    CheckPrograms,
    ListOpenReleases,
    RecordConfirmation,
)
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.metrics.core import Metrics, make_metrics
from oleanderhitch.process.metrics.states import Counter, Gauge
from oleanderhitch.process.task import Task, make_task

TICK_INTERVAL = timedelta(milliseconds=200)


class ReleasesTask:
    """Releases cached prefixes at engines; queries about programs go to shards."""

    def __init__(
        self,
        shard_client: Address,
        pool_manager: urllib3.PoolManager,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._shard_client = shard_client
        self._metrics = metrics
        self._state = make_releases_state()
        self._task: Task[ReleasesState] = make_task(
            "releases",
            self._state,
            handle,
            self._perform,
            clock,
            TICK_INTERVAL,
        )
        self._client = make_engine_client(self._task, pool_manager, clock)

    def send(self, message: object) -> None:
        """Enqueue a message; raise MailboxFullError if the mailbox is full."""
        self._task.send(message)

    def start(self) -> None:
        """Start releasing prefixes."""
        self._client.start()
        self._task.start()

    def stop(self) -> None:
        """Stop the task after the queued messages."""
        self._task.stop()

    def _perform(self, effect: object) -> None:
        self._metrics.set_gauge(Gauge.OPEN_RELEASES, len(self._state.open_releases))
        if isinstance(effect, RecordConfirmation):
            self._metrics.count(Counter.RELEASES, "confirmed")
        _perform(effect, self._client, self._shard_client)


@singledispatch
def _perform(effect: object, client: EngineClient, shard_client: Address) -> None:
    raise TypeError(f"releases does not support effect type {type(effect).__name__}")


@_perform.register
def _(effect: CallEngine, client: EngineClient, shard_client: Address) -> None:
    client.send(effect)


@_perform.register(CheckPrograms)
@_perform.register(ListOpenReleases)
@_perform.register(RecordConfirmation)
def _(effect: object, client: EngineClient, shard_client: Address) -> None:
    shard_client.send(effect)


def make_releases_task(
    shard_client: Address,
    pool_manager: urllib3.PoolManager,
    clock: Clock,
    metrics: Metrics | None = None,
) -> ReleasesTask:
    """Return the releases task, not started yet.

    `shard_client` receives ListOpenReleases, CheckPrograms and RecordConfirmation.
    """
    return ReleasesTask(shard_client, pool_manager, clock, metrics or make_metrics())
