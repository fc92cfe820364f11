"""Give orders to engines in a task of its own."""

from datetime import timedelta
from functools import singledispatch

import urllib3

from oleanderhitch.process.clock import Clock
from oleanderhitch.process.engines.client import EngineClient, make_engine_client
from oleanderhitch.process.engines.messages import CallEngine
from oleanderhitch.process.engines.orders.core import (
    OrdersState,
    handle,
    make_orders_state,
)
from oleanderhitch.process.engines.orders.messages import StepDown
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.task import Task, make_task

TICK_INTERVAL = timedelta(milliseconds=200)


class OrdersTask:
    """Give orders while this process leads; `leader` learns of StepDown."""

    def __init__(
        self,
        leader: Address,
        store_bytes_per_s: float,
        pools: urllib3.PoolManager,
        clock: Clock,
    ) -> None:
        self._leader = leader
        self._task: Task[OrdersState] = make_task(
            "orders",
            make_orders_state(store_bytes_per_s),
            handle,
            self._perform,
            clock,
            TICK_INTERVAL,
        )
        self._client = make_engine_client(self._task, pools, clock)

    def send(self, message: object) -> None:
        """Queue a message; raise MailboxFullError when there is no room."""
        self._task.send(message)

    def start(self) -> None:
        """Start; orders are given only after LeadershipGained."""
        self._client.start()
        self._task.start()

    def stop(self) -> None:
        """End after the messages that wait."""
        self._task.stop()

    def _perform(self, effect: object) -> None:
        _perform(effect, self._client, self._leader)


@singledispatch
def _perform(effect: object, client: EngineClient, leader: Address) -> None:
    raise TypeError(f"orders have no effect {type(effect).__name__}")


@_perform.register
def _(effect: CallEngine, client: EngineClient, leader: Address) -> None:
    client.send(effect)


@_perform.register
def _(effect: StepDown, client: EngineClient, leader: Address) -> None:
    leader.send(effect)


def make_orders_task(
    leader: Address,
    store_bytes_per_s: float,
    pools: urllib3.PoolManager,
    clock: Clock,
) -> OrdersTask:
    """Return the task, not started yet."""
    return OrdersTask(leader, store_bytes_per_s, pools, clock)
