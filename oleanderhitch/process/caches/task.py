"""Run the task that reads the caches of engines."""

from datetime import datetime, timedelta
from functools import singledispatch

import logbook

from oleanderhitch.connection.http.endpoint import Exchange
from oleanderhitch.connection.http.pool import CancelExchange, StartExchange
from oleanderhitch.connection.http.rendering import render_request
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.address import Address
from oleanderhitch.process.caches.core import (
    CachesState,
    CancelReading,
    LogFailure,
    StartReading,
    TellParts,
    handle,
)
from oleanderhitch.process.caches.dialect import CacheDialect
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.placement.messages import CacheContentsReported
from oleanderhitch.process.task import NO_TICK, Task, make_task

TICK_INTERVAL = timedelta(milliseconds=200)

log = logbook.Logger("caches")


def make_caches_task(
    dialect: CacheDialect, pool: Address, clock: Clock
) -> Task[CachesState]:
    """Return the task that reads caches over the connections of a pool."""

    def perform(effect: object) -> None:
        _perform(effect, dialect, pool, task)

    task = make_task(
        "caches",
        CachesState(),
        handle,
        perform,
        clock,
        TICK_INTERVAL,
        find_next_tick=_find_wake,
    )
    return task


def _find_wake(state: CachesState) -> datetime | None:
    return None if state.readings else NO_TICK


@singledispatch
def _perform(
    effect: object, dialect: CacheDialect, pool: Address, task: Address
) -> None:
    raise TypeError(f"reader of caches has no effect {type(effect).__name__}")


@_perform.register
def _(
    effect: StartReading, dialect: CacheDialect, pool: Address, task: Address
) -> None:
    request = render_request(dialect.make_request(effect.address))
    exchange = Exchange(effect.exchange, request, task, dialect.is_answer)
    pool.send(StartExchange(effect.address, exchange))


@_perform.register
def _(
    effect: CancelReading, dialect: CacheDialect, pool: Address, task: Address
) -> None:
    pool.send(CancelExchange(effect.exchange))


@_perform.register
def _(effect: TellParts, dialect: CacheDialect, pool: Address, task: Address) -> None:
    endpoint = effect.request.endpoint
    try:
        parts = dialect.read_parts(effect.body)
    except InvalidInputError as error:
        log.warning("cache not read", endpoint=endpoint.endpoint, reason=str(error))
        return
    log.info(
        "cache read",
        endpoint=endpoint.endpoint,
        n_parts=len(parts),
        n_tokens=sum(part.n_tokens for part in parts),
    )
    found = CacheContentsReported(endpoint.endpoint, endpoint.born_ms, parts)
    effect.request.reply.send(found)


@_perform.register
def _(effect: LogFailure, dialect: CacheDialect, pool: Address, task: Address) -> None:
    log.warning("cache not read", endpoint=effect.endpoint, reason=effect.reason)
