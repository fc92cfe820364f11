"""Calls to operations of plain services, and lookups of their answers by key."""

from datetime import timedelta
from urllib.parse import quote

import gevent
import urllib3

from oleanderhitch.connection.endpoint.attempt_context import (
    ANSWER_LIMIT_BYTES,
    AttemptContext,
)
from oleanderhitch.connection.endpoint.exceptions import EndpointStatusError
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
from oleanderhitch.connection.http.memory import MemoryShare
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.clock import Clock
from oleanderhitch.request.messages import ChunkReceived, ServiceWork, StreamEnded

INITIAL_LOOKUP_DELAY = timedelta(milliseconds=100)
LOOKUP_DELAY_MAX = timedelta(seconds=2)


def call_service(context: AttemptContext, work: ServiceWork) -> None:
    """Call an operation; send the response body and the end to the request.

    Raise EndpointStatusError for a status other than success, ConnectFailedError if the
    call was not sent, and ConnectionLostError if its connection failed.
    """
    context.check_deadline()
    status, body = _call_operation(context, work)
    if 200 <= status < 300:
        context.send_to_request(ChunkReceived(context.call.attempt, 0, body))
        context.send_to_request(StreamEnded(context.call.attempt, 0, 0, 0))
        return
    is_final = 400 <= status < 500
    if is_final:
        # The error response is the service's answer, so the caller gets its body.
        context.send_to_request(ChunkReceived(context.call.attempt, 0, body))
    raise EndpointStatusError(status, body, is_final)


def look_up_operation(
    lookup: LookUpOperation,
    pool_manager: urllib3.PoolManager,
    timeouts: EndpointTimeouts,
    clock: Clock,
    share: MemoryShare,
) -> OperationFound | OperationNotFound:
    """Return the answer that a service stored under an idempotency key.

    An operation that is still running has no answer yet, so the lookup is retried
    until the deadline. No answer by then doesn't prove that it didn't run.
    """
    delay = INITIAL_LOOKUP_DELAY
    while True:
        result = _look_up_once(lookup, pool_manager, timeouts, share)
        if isinstance(result, OperationFound):
            return result
        if clock.now() + delay >= lookup.deadline:
            return result
        gevent.sleep(delay.total_seconds())
        delay = min(delay * 2, LOOKUP_DELAY_MAX)


def _call_operation(context: AttemptContext, work: ServiceWork) -> tuple[int, bytes]:
    pool_manager = context.pool_manager
    if not context.call.is_idempotent:
        # The service may close an idle connection while the call is sent, and it would
        # be unknown whether the call ran. A new connection avoids this.
        pool_manager = make_pool_manager()
    try:
        return _post_operation(context, work, pool_manager)
    finally:
        if pool_manager is not context.pool_manager:
            pool_manager.clear()


def _post_operation(
    context: AttemptContext, work: ServiceWork, pool_manager: urllib3.PoolManager
) -> tuple[int, bytes]:
    response = open_response(
        pool_manager,
        "POST",
        context.make_url(f"/v1/operations/{quote(work.operation, safe='')}"),
        context.bound_by_deadline(context.timeouts.connect),
        context.time_left,
        work.body,
        {
            "Content-Type": "application/json",
            "Idempotency-Key": context.call.request,
            **context.call.trace,
        },
    )
    try:
        body = read_whole(
            response, context.time_left, ANSWER_LIMIT_BYTES, context.share
        )
    except BaseException:
        response.close()
        raise
    return response.status, body


def _look_up_once(
    lookup: LookUpOperation,
    pool_manager: urllib3.PoolManager,
    timeouts: EndpointTimeouts,
    share: MemoryShare,
) -> OperationFound | OperationNotFound:
    key = quote(lookup.request, safe="")
    url = f"http://{lookup.address}/v1/operations/by-key/{key}"
    timeout = timeouts.between_chunks
    try:
        response = open_response(pool_manager, "GET", url, timeouts.connect, timeout)
        body = read_whole(response, timeout, ANSWER_LIMIT_BYTES, share)
    except OleanderhitchError as error:
        return OperationNotFound(lookup.request, str(error))
    if response.status in (404, 501) or response.status >= 500:
        reason = f"look-up answered with status {response.status}"
        return OperationNotFound(lookup.request, reason)
    return OperationFound(lookup.request, response.status, body)
