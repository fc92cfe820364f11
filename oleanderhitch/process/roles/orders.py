"""Let the configuration leader order engines under a lease of its own.

An order may be on its way for longer than a leader is sure to lead, so orders
have a longer lease: a new leader waits for all of it before its first order.
"""

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatch

import logbook

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
from oleanderhitch.process.roles.engines import list_offers
from oleanderhitch.version.configuration import Configuration

# An order is on its way for 2 s at most; the rest covers slow confirmations.
ORDERS_LEASE = timedelta(seconds=10)
SURE_TIME = ReplicationTiming().election_timeout_min - CLOCK_DRIFT_MARGIN

log = logbook.Logger("orders")


@dataclass(slots=True)
class OrderParts:
    """Hold the orders task and translate the leadership for it."""

    task: OrdersTask
    clock: Clock

    def start(self) -> None:
        """Start the task; it orders nothing before its store leads."""
        self.task.start()

    def stop(self) -> None:
        """Stop the task."""
        self.task.stop()

    def send(self, message: object) -> None:
        """Take news of the configuration leadership."""
        translated = translate(message, self.clock)
        self.task.send(translated)

    def follow(self, configuration: Configuration) -> None:
        """Take the engines that a configuration declares and their models."""
        offers = tuple(
            offer
            for endpoint in configuration.endpoints.values()
            for offer in list_offers(endpoint.kind, endpoint)
        )
        counts = Counter(model for offer in offers for model in offer.models)
        self.task.send(EnginesChanged(offers))
        self.task.send(
            orders.DemandReported(
                tuple(
                    orders.ModelDemand(
                        model, n_engines, configuration.get_weight_bytes(model)
                    )
                    for model, n_engines in counts.items()
                )
            )
        )


@singledispatch
def translate(message: object, clock: Clock) -> object:
    """Return what the orders task learns of the leadership."""
    raise TypeError(f"orders take no {type(message).__name__}")


@translate.register
def _(message: LeadershipGained, clock: Clock) -> object:
    # The leader before may have confirmed its leadership until just now.
    previous_lease_until = clock.now() + ORDERS_LEASE
    lease_until = message.valid_until - SURE_TIME + ORDERS_LEASE - CLOCK_DRIFT_MARGIN
    return orders.LeadershipGained(message.term, previous_lease_until, lease_until)


@translate.register
def _(message: LeadershipConfirmed, clock: Clock) -> object:
    lease_until = message.valid_until - SURE_TIME + ORDERS_LEASE - CLOCK_DRIFT_MARGIN
    return orders.LeaseRenewed(message.term, lease_until)


@translate.register
def _(message: LeadershipLost, clock: Clock) -> object:
    return orders.LeadershipLost()


class _StepDownLog:
    """Log that an engine has seen a newer leader."""

    def send(self, message: object) -> None:
        """Log the message; replication itself ends the older leadership."""
        log.warning("an engine has seen a newer fencing number: {}", message)


def make_order_parts(
    store_bytes_per_s: float, clock: Clock, metrics: Metrics
) -> OrderParts:
    """Return the parts, not started yet."""
    task = make_orders_task(
        _StepDownLog(), store_bytes_per_s, make_pool_manager(), clock, metrics
    )
    return OrderParts(task, clock)
