"""Run the task that reads the prefix caches of engines."""

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
    CancelCacheRequest,
    LogCacheReadFailure,
    ReportAnnouncements,
    SendCacheContents,
    SendCacheRequest,
    handle,
)
from oleanderhitch.process.caches.dialect import CacheDialect
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.placement.messages import (
    CacheContentsReported,
    StopAnnounced,
)
from oleanderhitch.process.task import NO_TICK, Task, make_task

TICK_INTERVAL = timedelta(milliseconds=200)

log = logbook.Logger("caches")


def make_caches_task(
    dialect: CacheDialect, connection_pool: Address, clock: Clock
) -> Task[CachesState]:
    """Return a task, not started yet, that reads caches over pooled connections."""

    def perform(effect: object) -> None:
        _perform(effect, dialect, connection_pool, task)

    task = make_task(
        "caches",
        CachesState(),
        handle,
        perform,
        clock,
        TICK_INTERVAL,
        find_next_tick=_find_next_tick,
    )
    return task


def _find_next_tick(state: CachesState) -> datetime | None:
    return None if state.pending_reads else NO_TICK


@singledispatch
def _perform(
    effect: object, dialect: CacheDialect, connection_pool: Address, task: Address
) -> None:
    raise TypeError(f"caches does not support effect type {type(effect).__name__}")


@_perform.register
def _(
    effect: SendCacheRequest,
    dialect: CacheDialect,
    connection_pool: Address,
    task: Address,
) -> None:
    request = render_request(dialect.make_request(effect.address))
    exchange = Exchange(effect.exchange_id, request, task, dialect.find_owner)
    connection_pool.send(
        StartExchange(effect.address, exchange, needs_new_connection=True)
    )


@_perform.register
def _(
    effect: CancelCacheRequest,
    dialect: CacheDialect,
    connection_pool: Address,
    task: Address,
) -> None:
    connection_pool.send(CancelExchange(effect.exchange_id))


@_perform.register
def _(
    effect: ReportAnnouncements,
    dialect: CacheDialect,
    connection_pool: Address,
    task: Address,
) -> None:
    if dialect.is_leaving(effect.headers):
        endpoint = effect.request.endpoint
        announced = StopAnnounced(endpoint.endpoint, endpoint.born_ms)
        effect.request.reply_address.send(announced)


@_perform.register
def _(
    effect: SendCacheContents,
    dialect: CacheDialect,
    connection_pool: Address,
    task: Address,
) -> None:
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
    report = CacheContentsReported(endpoint.endpoint, endpoint.born_ms, parts)
    effect.request.reply_address.send(report)


@_perform.register
def _(
    effect: LogCacheReadFailure,
    dialect: CacheDialect,
    connection_pool: Address,
    task: Address,
) -> None:
    log.warning("cache not read", endpoint=effect.endpoint, reason=effect.reason)
