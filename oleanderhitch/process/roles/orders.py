"""Let the leader of the configuration group send orders to engines under a lease.

An order may be in transit for longer than a confirmation of the leadership is valid, so
orders have a longer lease of their own. A new leader waits for the whole lease of its
predecessor before it sends an order to an engine that does not check fencing numbers.
"""

from collections import Counter
from datetime import timedelta
from functools import singledispatch

import logbook
from msgspec import Struct

from oleanderhitch.connection.endpoint.transport import make_pool_manager
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.engines.messages import EnginesChanged
from oleanderhitch.process.engines.orders import messages as orders
from oleanderhitch.process.engines.orders.task import OrdersTask, make_orders_task
from oleanderhitch.process.leadership.core import CLOCK_DRIFT_MARGIN
from oleanderhitch.process.membership.messages import (
    LeadershipConfirmed,
    LeadershipGained,
    LeadershipLost,
)
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.replication.replica import ReplicationTiming
from oleanderhitch.process.roles.engines import list_engines
from oleanderhitch.version.configuration import Configuration

# An order is in transit for at most ORDER_SEND_TIMEOUT, which is 2 s. The rest covers
# slow confirmations of the leadership.
ORDERS_LEASE_DURATION = timedelta(seconds=10)
# Time after the start of a confirmed read in which no other store can lead. The orders'
# lease is counted from the start of the same read.
LEADER_LEASE_DURATION = ReplicationTiming().election_timeout_min - CLOCK_DRIFT_MARGIN

log = logbook.Logger("orders")


class EngineOrders(Struct):
    """Runs the orders task and passes it leadership changes and declared engines."""

    task: OrdersTask
    clock: Clock

    def start(self) -> None:
        """Start the task, which sends no order before this store leads."""
        self.task.start()

    def stop(self) -> None:
        """Stop the task."""
        self.task.stop()

    def send(self, message: object) -> None:
        """Pass a leadership change of the configuration group to the task."""
        orders_message = translate_leadership(message, self.clock)
        self.task.send(orders_message)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Send the declared engines and the demand for their models to the task.

        The demand for a model is the number of engines that declare it.
        """
        engines = tuple(
            engine
            for endpoint in configuration.endpoints.values()
            for engine in list_engines(endpoint.kind, endpoint)
        )
        n_engines_by_model = Counter(
            model for engine in engines for model in engine.models
        )
        self.task.send(EnginesChanged(engines))
        self.task.send(
            orders.DemandReported(
                tuple(
                    orders.ModelDemand(
                        model, n_engines, configuration.get_weight_bytes(model)
                    )
                    for model, n_engines in n_engines_by_model.items()
                )
            )
        )


@singledispatch
def translate_leadership(message: object, clock: Clock) -> object:
    """Return the message of the orders task for a leadership change."""
    raise TypeError(
        f"engine orders do not support message type {type(message).__name__}"
    )


@translate_leadership.register
def _(message: LeadershipGained, clock: Clock) -> object:
    # The previous leader may have confirmed its leadership until just now.
    previous_lease_until = clock.now() + ORDERS_LEASE_DURATION
    lease_until = (
        message.valid_until
        - LEADER_LEASE_DURATION
        + ORDERS_LEASE_DURATION
        - CLOCK_DRIFT_MARGIN
    )
    return orders.OrdersLeadershipGained(
        message.term, previous_lease_until, lease_until
    )


@translate_leadership.register
def _(message: LeadershipConfirmed, clock: Clock) -> object:
    lease_until = (
        message.valid_until
        - LEADER_LEASE_DURATION
        + ORDERS_LEASE_DURATION
        - CLOCK_DRIFT_MARGIN
    )
    return orders.OrdersLeadershipConfirmed(message.term, lease_until)


@translate_leadership.register
def _(message: LeadershipLost, clock: Clock) -> object:
    return orders.OrdersLeadershipLost()


class _NewerLeaderLogger:
    """Logs that an engine has received the fencing number of a newer leader."""

    def send(self, message: object) -> None:
        """Log the message; the replication ends the older leadership on its own."""
        log.warning("an engine has received a newer fencing number: {}", message)


def make_engine_orders(
    weight_store_bytes_per_s: float, clock: Clock, metrics: Metrics
) -> EngineOrders:
    """Return the engine orders, not started yet."""
    task = make_orders_task(
        _NewerLeaderLogger(),
        weight_store_bytes_per_s,
        make_pool_manager(),
        clock,
        metrics,
    )
    return EngineOrders(task, clock)
