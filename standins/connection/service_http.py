"""HTTP interface of the service stand-in."""

import uuid
from functools import singledispatch
from typing import Any

import bottle
import gevent

from oleanderhitch.process.mailbox import Address
from standins.connection.common_http import (
    add_common_routes,
    drop_connection,
    send_request,
    wait_for_disconnect,
    write_response,
)
from standins.process.service.core import OperationCompleted
from standins.request.ids import IdempotencyKey, OperationName
from standins.request.messages import (
    GetCounts,
    GetResponseByKey,
    Response,
    RunOperation,
)
from standins.request.states import FaultKind


def make_service_app(service: Address) -> bottle.Bottle:
    """Return the WSGI application of a plain service."""
    app = bottle.Bottle()
    add_common_routes(app, service)

    @app.post("/v1/operations/<operation>")
    def _(operation: str) -> Any:
        key = bottle.request.get_header("Idempotency-Key") or uuid.uuid4().hex
        body = bottle.request.body.read()
        result = send_request(
            service,
            lambda address: RunOperation(
                OperationName(operation), IdempotencyKey(key), body, address
            ),
        )
        return _write_result(result)

    @app.get("/v1/operations/by-key/<key>")
    def _(key: str) -> str:
        make_query = lambda address: GetResponseByKey(IdempotencyKey(key), address)  # noqa: E731
        return write_response(send_request(service, make_query))

    @app.get("/v1/counts")
    def _() -> str:
        return write_response(send_request(service, GetCounts))

    return app


@singledispatch
def _write_result(result: object) -> Any:
    return write_response(result)


@_write_result.register
def _(result: OperationCompleted) -> Any:
    gevent.sleep(result.duration.total_seconds())
    if result.fault.kind is FaultKind.SILENT:
        wait_for_disconnect()
    if result.fault.kind in (FaultKind.DROP_ANSWER, FaultKind.SILENT):
        drop_connection()
        return ""
    if result.fault.kind is FaultKind.DIE_MID_STREAM:
        return _write_truncated_response(result.response)
    return write_response(result.response)


def _write_truncated_response(response: Response) -> Any:
    body = write_response(response).encode()
    bottle.response.set_header("Content-Length", str(len(body)))
    yield body[: len(body) // 2]
    drop_connection()
