"""HTTP server for callers of the WSGI application."""

import json
from datetime import timedelta

import bottle
import gevent

from oleanderhitch.connection.caller.parsing import BODY_LIMIT_BYTES
from oleanderhitch.connection.caller.rendering import render_error
from oleanderhitch.connection.caller.wsgi import make_wsgi_service
from oleanderhitch.connection.http.budget import ServerBudget, make_server_budget
from oleanderhitch.connection.http.messages import (
    HttpResponse,
    RequestFault,
    RequestRejected,
)
from oleanderhitch.connection.http.server import (
    CountRefusal,
    HttpServer,
    ignore_refusal,
    make_http_server,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.clock import Clock, make_system_clock
from oleanderhitch.request.states import Outcome, Reason
from oleanderhitch.version.routes.configuration import CallerLimits

# Callers may be far away and keep their connections for a minute.
LIMITS = CallerLimits(
    body_bytes=BODY_LIMIT_BYTES,
    header_timeout=timedelta(seconds=10),
    idle_timeout=timedelta(seconds=75),
)
STOP_TIMEOUT = timedelta(seconds=5)
STOP_POLL_INTERVAL = timedelta(milliseconds=50)
RETRY_TIME = timedelta(seconds=1)

REASONS = {
    RequestFault.BODY_TOO_LARGE: Reason.BODY_TOO_LARGE,
    RequestFault.NO_MEMORY: Reason.LIMIT_EXCEEDED,
}


class CallerServer:
    """Owner of the server that runs the application for callers."""

    def __init__(self, server: HttpServer, clock: Clock) -> None:
        self._server = server
        self._clock = clock

    @property
    def http_server(self) -> HttpServer:
        """The server that owns the connections."""
        return self._server

    def start(self) -> None:
        """Start to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Close the socket; calls in progress get STOP_TIMEOUT to finish."""
        self._server.stop()
        self._server.drain_connections()
        until = self._clock.now() + STOP_TIMEOUT
        while self._server.n_active_requests and self._clock.now() < until:
            gevent.sleep(STOP_POLL_INTERVAL.total_seconds())


def render_rejection(rejection: RequestRejected) -> HttpResponse:
    """Return the response to a request that is not run, in the documented format."""
    retry_after = RETRY_TIME if rejection.fault is RequestFault.NO_MEMORY else None
    document = render_error(
        REASONS.get(rejection.fault, Reason.BAD_REQUEST),
        rejection.detail,
        Outcome.NOT_RUN,
        retry_after,
    )
    headers = [("content-type", "application/json")]
    if retry_after is not None:
        headers.append(("retry-after", str(round(retry_after.total_seconds()))))
    return HttpResponse(
        rejection.fault.value, json.dumps(document).encode(), tuple(headers)
    )


def make_caller_server(
    listen: HostAddress,
    app: bottle.Bottle,
    budget: ServerBudget | None = None,
    count_refusal: CountRefusal = ignore_refusal,
) -> CallerServer:
    """Return a server that has not been started."""
    clock = make_system_clock()
    server = make_http_server(
        listen,
        make_wsgi_service(app),
        clock,
        lambda: LIMITS,
        budget or make_server_budget(None, None),
        count_refusal,
        render_rejection,
    )
    return CallerServer(server, clock)
