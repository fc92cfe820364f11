"""Run the quotas task of an entry host."""

from collections.abc import Callable
from functools import singledispatch
from random import Random

import logbook
from msgspec import Struct

from oleanderhitch.process.clock import Clock
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter, Gauge
from oleanderhitch.process.quotas.core import (
    AskForCredits,
    CountCredits,
    LogRefusals,
    SendReply,
    find_next_tick,
    handle,
)
from oleanderhitch.process.quotas.records import QuotasState
from oleanderhitch.process.task import Task, make_task

log = logbook.Logger("quotas")


class _Dependencies(Struct):
    """Collaborators that the effects of quotas act on."""

    tell_subscription: Callable[[object], None]
    metrics: Metrics


def make_quotas_task(
    tell_subscription: Callable[[object], None],
    clock: Clock,
    metrics: Metrics,
    random_source: Random,
) -> Task[QuotasState]:
    """Return the task that gets credits for the requests of one entry host."""
    dependencies = _Dependencies(tell_subscription, metrics)

    def perform(effect: object) -> None:
        _perform(effect, dependencies)

    return make_task(
        "quotas",
        QuotasState(random_source),
        handle,
        perform,
        clock,
        find_next_tick=find_next_tick,
    )


@singledispatch
def _perform(effect: object, dependencies: _Dependencies) -> None:
    raise TypeError(f"quotas do not support effect type {type(effect).__name__}")


@_perform.register
def _(effect: AskForCredits, dependencies: _Dependencies) -> None:
    dependencies.metrics.set_gauge(Gauge.CREDITS_HELD, effect.n_held)
    dependencies.tell_subscription(effect.request)


@_perform.register
def _(effect: SendReply, dependencies: _Dependencies) -> None:
    effect.reply_address.send(effect.message)


@_perform.register
def _(effect: CountCredits, dependencies: _Dependencies) -> None:
    dependencies.metrics.count(Counter.CREDITS, effect.result.value, effect.n_requests)


@_perform.register
def _(effect: LogRefusals, dependencies: _Dependencies) -> None:
    log.info(
        "requests of an account refused",
        account=effect.account,
        rule=effect.result.value,
        n_requests=effect.n_requests,
        n_held=effect.n_held,
        level=effect.level,
        retry_after_ms=round(effect.retry_after.total_seconds() * 1000),
    )
