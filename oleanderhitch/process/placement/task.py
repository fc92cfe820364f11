"""Run the placement task of an entry host."""

from collections.abc import Callable
from datetime import datetime, timedelta
from functools import singledispatch
from random import Random

import logbook
from msgspec import Struct

from oleanderhitch.process.address import Address
from oleanderhitch.process.caches.messages import ReadCache
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.crashes.messages import CrashesObserved
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter, Gauge
from oleanderhitch.process.placement.core import handle
from oleanderhitch.process.placement.crashes import ContentServed, EndpointCrashed
from oleanderhitch.process.placement.effects import (
    AskLeader,
    LogEndpointLeaving,
    LogOverload,
    LogPermitLeft,
    LogRateLimit,
    QueryCache,
    ReportPrefixes,
    ReportQueueLength,
    ReportSpeedCounts,
    SendReply,
)
from oleanderhitch.process.placement.records import PlacementState
from oleanderhitch.process.task import NO_TICK, Task, make_task
from oleanderhitch.version.ids import DataCentreName

TICK_INTERVAL = timedelta(milliseconds=50)

log = logbook.Logger("placement")


def make_placement_task(
    node: NodeId,
    data_centre: DataCentreName,
    caches: Address,
    tell_subscription: Callable[[object], None],
    clock: Clock,
    random_source: Random,
    metrics: Metrics,
    is_ramp_up_enabled: bool = False,
) -> Task[PlacementState]:
    """Return the task that selects endpoints for the requests of one entry host."""

    def perform(effect: object) -> None:
        _perform(effect, dependencies)

    state = PlacementState(data_centre, node, random_source)
    state.is_ramp_up_enabled = is_ramp_up_enabled
    task = make_task(
        "placement",
        state,
        handle,
        perform,
        clock,
        TICK_INTERVAL,
        find_next_tick=_find_next_tick,
    )
    dependencies = _Dependencies(caches, tell_subscription, task, metrics)
    return task


class _Dependencies(Struct):
    """Collaborators that the effects of placement act on."""

    caches: Address
    tell_subscription: Callable[[object], None]
    task: Address
    metrics: Metrics


def _find_next_tick(state: PlacementState) -> datetime | None:
    return None if state.has_waiting or state.permit_requests else NO_TICK


@singledispatch
def _perform(effect: object, dependencies: _Dependencies) -> None:
    raise TypeError(f"placement does not support effect type {type(effect).__name__}")


@_perform.register
def _(effect: SendReply, dependencies: _Dependencies) -> None:
    effect.reply_address.send(effect.message)


@_perform.register
def _(effect: QueryCache, dependencies: _Dependencies) -> None:
    dependencies.caches.send(ReadCache(effect.endpoint, dependencies.task))


@_perform.register
def _(effect: AskLeader, dependencies: _Dependencies) -> None:
    dependencies.tell_subscription(effect.request)


@_perform.register
def _(effect: LogEndpointLeaving, dependencies: _Dependencies) -> None:
    log.info("endpoint announced its stop", endpoint=effect.endpoint)


@_perform.register
def _(effect: LogPermitLeft, dependencies: _Dependencies) -> None:
    log.info(
        "permit returned for its request", permit=effect.permit, holder=effect.holder
    )


@_perform.register
def _(effect: EndpointCrashed, dependencies: _Dependencies) -> None:
    log.warning(
        "endpoint crashed",
        endpoint=effect.endpoint,
        contents={
            record.fingerprint: trace.n_points
            for record in effect.records
            for trace in record.crashes.values()
        },
    )
    dependencies.tell_subscription(CrashesObserved(effect.records))


@_perform.register
def _(effect: ContentServed, dependencies: _Dependencies) -> None:
    dependencies.tell_subscription(effect)


@_perform.register
def _(effect: LogOverload, dependencies: _Dependencies) -> None:
    log.info(
        "requests refused early",
        service=effect.service,
        n_refused=effect.n_refused,
        n_waiting=effect.n_waiting,
        freed_per_s=effect.freed_per_s,
    )


@_perform.register
def _(effect: ReportQueueLength, dependencies: _Dependencies) -> None:
    dependencies.metrics.set_gauge(Gauge.QUEUE_LENGTH, effect.n_waiting, effect.service)


@_perform.register
def _(effect: LogRateLimit, dependencies: _Dependencies) -> None:
    log.info(
        "rate limit of an endpoint changed",
        endpoint=effect.endpoint,
        requests_per_s=effect.requests_per_s,
    )


@_perform.register
def _(effect: ReportPrefixes, dependencies: _Dependencies) -> None:
    for knowledge, number in effect.counts:
        dependencies.metrics.count(Counter.PREFIXES, knowledge.value, number)


@_perform.register
def _(effect: ReportSpeedCounts, dependencies: _Dependencies) -> None:
    dependencies.metrics.set_gauge(Gauge.SLOW_ENDPOINTS, effect.n_slow)
    dependencies.metrics.set_gauge(Gauge.RAMPING_ENDPOINTS, effect.n_ramping)
