"""Run the task that sends orders to engines."""

from datetime import datetime, timedelta
from functools import singledispatch

import urllib3

from oleanderhitch.process.clock import Clock
from oleanderhitch.process.engines.client import EngineClient, make_engine_client
from oleanderhitch.process.engines.messages import (
    CallEngine,
    EngineCallFailed,
    OrderAccepted,
    OrderRefused,
    SendOrder,
)
from oleanderhitch.process.engines.orders.core import (
    OrdersState,
    handle,
    make_orders_state,
)
from oleanderhitch.process.engines.orders.messages import NewerLeaderDetected
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.metrics.core import Metrics, make_metrics
from oleanderhitch.process.metrics.states import Counter
from oleanderhitch.process.task import Task, make_task

TICK_INTERVAL = timedelta(milliseconds=200)


class OrdersTask:
    """Sends orders while this process is leader.

    `subscriber` receives NewerLeaderDetected.
    """

    def __init__(
        self,
        subscriber: Address,
        weight_store_bytes_per_s: float,
        pool_manager: urllib3.PoolManager,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._subscriber = subscriber
        self._metrics = metrics
        self._task: Task[OrdersState] = make_task(
            "orders",
            make_orders_state(weight_store_bytes_per_s),
            self._handle,
            self._perform,
            clock,
            TICK_INTERVAL,
        )
        self._client = make_engine_client(self._task, pool_manager, clock)

    def send(self, message: object) -> None:
        """Enqueue a message; raise MailboxFullError if the mailbox is full."""
        self._task.send(message)

    def start(self) -> None:
        """Start the task; it sends orders only after OrdersLeadershipGained."""
        self._client.start()
        self._task.start()

    def stop(self) -> None:
        """Stop the task after the queued messages."""
        self._task.stop()

    def _handle(
        self, message: object, state: OrdersState, now: datetime
    ) -> list[object]:
        _count_order_result(message, self._metrics)
        return handle(message, state, now)

    def _perform(self, effect: object) -> None:
        _perform(effect, self._client, self._subscriber)


@singledispatch
def _count_order_result(message: object, metrics: Metrics) -> None:
    """Count a message that is the result of an order."""


@_count_order_result.register
def _(message: OrderAccepted, metrics: Metrics) -> None:
    metrics.count(Counter.ORDERS, "taken")


@_count_order_result.register
def _(message: OrderRefused, metrics: Metrics) -> None:
    metrics.count(Counter.ORDERS, "refused")


@_count_order_result.register
def _(message: EngineCallFailed, metrics: Metrics) -> None:
    if isinstance(message.request, SendOrder):
        metrics.count(Counter.ORDERS, "failed")


@singledispatch
def _perform(effect: object, client: EngineClient, subscriber: Address) -> None:
    raise TypeError(f"orders does not support effect type {type(effect).__name__}")


@_perform.register
def _(effect: CallEngine, client: EngineClient, subscriber: Address) -> None:
    client.send(effect)


@_perform.register
def _(effect: NewerLeaderDetected, client: EngineClient, subscriber: Address) -> None:
    subscriber.send(effect)


def make_orders_task(
    subscriber: Address,
    weight_store_bytes_per_s: float,
    pool_manager: urllib3.PoolManager,
    clock: Clock,
    metrics: Metrics | None = None,
) -> OrdersTask:
    """Return the orders task, not started yet."""
    return OrdersTask(
        subscriber,
        weight_store_bytes_per_s,
        pool_manager,
        clock,
        metrics or make_metrics(),
    )
