"""Call an operation of a plain service and look its answer up by key."""

from datetime import timedelta
from urllib.parse import quote

import gevent
import urllib3

from oleanderhitch.connection.endpoint.attempt_context import (
    ANSWER_LIMIT_BYTES,
    Exchange,
)
from oleanderhitch.connection.endpoint.exceptions import EndpointRefusedError
from oleanderhitch.connection.endpoint.messages import (
    EndpointTimeouts,
    LookUpOperation,
    OperationFound,
    OperationNotFound,
)
from oleanderhitch.connection.endpoint.transport import (
    make_pool_manager,
    open_response,
    read_whole,
)
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.clock import Clock
from oleanderhitch.request.messages import ChunkReceived, ServiceWork, StreamEnded

FIRST_LOOKUP_PAUSE = timedelta(milliseconds=100)
LOOKUP_PAUSE_LIMIT = timedelta(seconds=2)


def call_service(exchange: Exchange, work: ServiceWork) -> None:
    """Post the body of an answer and its end."""
    exchange.check_deadline()
    status, body = _send(exchange, work)
    if 200 <= status < 300:
        exchange.post(ChunkReceived(exchange.call.attempt, 0, body))
        exchange.post(StreamEnded(exchange.call.attempt, 0, 0, 0))
        return
    is_final = 400 <= status < 500
    if is_final:
        # The refusal is the service's answer; the caller gets its body.
        exchange.post(ChunkReceived(exchange.call.attempt, 0, body))
    raise EndpointRefusedError(status, body, is_final)


def look_up_operation(
    lookup: LookUpOperation,
    pools: urllib3.PoolManager,
    timeouts: EndpointTimeouts,
    clock: Clock,
) -> OperationFound | OperationNotFound:
    """Return the answer that a service stored under a key.

    An operation that still runs has no answer yet, so the look-up is repeated
    until the deadline; no answer by then does not prove that it did not run.
    """
    pause = FIRST_LOOKUP_PAUSE
    while True:
        found = _look_up_once(lookup, pools, timeouts)
        if isinstance(found, OperationFound):
            return found
        if clock.now() + pause >= lookup.deadline:
            return found
        gevent.sleep(pause.total_seconds())
        pause = min(pause * 2, LOOKUP_PAUSE_LIMIT)


def _send(exchange: Exchange, work: ServiceWork) -> tuple[int, bytes]:
    pools = exchange.pools
    if not exchange.call.is_idempotent:
        # A kept connection may be closed by the service just as the call goes
        # out, and the call would then be in doubt; a new one cannot.
        pools = make_pool_manager()
    try:
        return _exchange_once(exchange, work, pools)
    finally:
        if pools is not exchange.pools:
            pools.clear()


def _exchange_once(
    exchange: Exchange, work: ServiceWork, pools: urllib3.PoolManager
) -> tuple[int, bytes]:
    response = open_response(
        pools,
        "POST",
        exchange.make_url(f"/v1/operations/{quote(work.operation, safe='')}"),
        exchange.limit(exchange.timeouts.connect),
        exchange.time_left,
        work.body,
        {
            "Content-Type": "application/json",
            "Idempotency-Key": exchange.call.request,
            **exchange.call.trace,
        },
    )
    try:
        body = read_whole(response, exchange.time_left, ANSWER_LIMIT_BYTES)
    except BaseException:
        response.close()
        raise
    return response.status, body


def _look_up_once(
    lookup: LookUpOperation, pools: urllib3.PoolManager, timeouts: EndpointTimeouts
) -> OperationFound | OperationNotFound:
    key = quote(lookup.request, safe="")
    url = f"http://{lookup.address}/v1/operations/by-key/{key}"
    wait = timeouts.between_chunks
    try:
        response = open_response(pools, "GET", url, timeouts.connect, wait)
        body = read_whole(response, wait, ANSWER_LIMIT_BYTES)
    except OleanderhitchError as error:
        return OperationNotFound(lookup.request, str(error))
    if response.status in (404, 501) or response.status >= 500:
        reason = f"look-up answered with status {response.status}"
        return OperationNotFound(lookup.request, reason)
    return OperationFound(lookup.request, response.status, body)
