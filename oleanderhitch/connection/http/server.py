"""HTTP server that starts a task for each connection that it accepts."""

from collections.abc import Callable
from contextlib import suppress
from datetime import datetime, timedelta

import gevent
import gevent.event
import logbook
from gevent import socket

from oleanderhitch.connection.http.budget import RefusalLog, ServerBudget
from oleanderhitch.connection.http.caller import (
    CallerConnection,
    GetLimits,
    ServeRequest,
    make_caller_connection,
)
from oleanderhitch.connection.http.memory import TrafficMemory, make_traffic_memory
from oleanderhitch.connection.http.messages import (
    HttpResponse,
    RequestFault,
    RequestRejected,
)
from oleanderhitch.connection.http.rendering import render_response
from oleanderhitch.connection.http.sockets import open_listener
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.clock import Clock
from oleanderhitch.version.routes.configuration import CallerLimits

# When file descriptors run out, gives open connections time to close.
ACCEPT_RETRY_DELAY = timedelta(milliseconds=50)

# Where connections run out, a new one without a request is kept for this long. Ordinary
# callers send theirs at once; the next connections wait in the backlog meanwhile.
UNUSED_CONNECTION_TIME = timedelta(milliseconds=100)
# A connection without a request closes within a few turns of the loop.
EVICTION_TIMEOUT = timedelta(seconds=1)
# A crowd has left by then, or the connections that it holds have been closed.
RETRY_AFTER = ("retry-after", "1")
TOO_MANY_CONNECTIONS = "too many connections"

RenderRejection = Callable[[RequestRejected], HttpResponse]
CountRefusal = Callable[[str], None]

log = logbook.Logger("server")


def render_rejection(rejection: RequestRejected) -> HttpResponse:
    """Return the response to a request that is not served, as plain text."""
    is_overload = rejection.fault is RequestFault.NO_MEMORY
    return HttpResponse(
        rejection.fault.value,
        rejection.detail.encode(),
        (RETRY_AFTER,) if is_overload else (),
    )


def ignore_refusal(reason: str) -> None:
    """Count a refusal nowhere."""


class HttpServer:
    """Owner of a listening socket and of the accepted connections' tasks."""

    def __init__(
        self,
        listen: HostAddress,
        serve: ServeRequest,
        get_limits: GetLimits,
        clock: Clock,
        budget: ServerBudget,
        count_refusal: CountRefusal,
        render: RenderRejection,
    ) -> None:
        self._listen = listen
        self._serve = serve
        self._get_limits = get_limits
        self._clock = clock
        self._budget = budget
        self._count_refusal = count_refusal
        self._render_rejection = render
        self._refusal_log = RefusalLog()
        self._connections: set[CallerConnection] = set()
        # Those that have not brought a whole request, oldest first.
        self._new_connections: dict[CallerConnection, datetime] = {}
        self._listener: socket.socket | None = None
        self._acceptor: gevent.Greenlet | None = None
        self._is_stopping = False
        self._has_stopped = False
        self._has_closed = gevent.event.Event()

    @property
    def n_connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    @property
    def is_stopping(self) -> bool:
        """Whether connections close after their current response."""
        return self._is_stopping

    @property
    def memory(self) -> TrafficMemory:
        """The budget that holds the requests of all connections."""
        return self._budget.memory

    @property
    def n_active_requests(self) -> int:
        """The number of connections with a request in progress or on its way."""
        return sum(connection.is_busy for connection in self._connections)

    def start(self) -> None:
        """Start to accept connections; raise OSError if listening fails."""
        self._listener = open_listener(self._listen)
        self._acceptor = gevent.spawn(self._accept)

    def drain_connections(self) -> None:
        """Close each connection after its current response, idle ones immediately."""
        self._is_stopping = True
        for connection in list(self._connections):
            connection.close_idle()

    def end_requests(self) -> None:
        """Let all requests in progress get their last response at once."""
        for connection in list(self._connections):
            connection.end_request()

    def stop(self) -> None:
        """Accept the connections that wait and close the listening socket.

        Without room, those are refused at once, or the stop would wait for each.
        """
        self._has_stopped = True
        if self._acceptor is not None:
            self._acceptor.kill()
        if self._listener is not None:
            self._accept_waiting(self._listener)
            self._listener.close()
            self._listener = None

    def _accept_waiting(self, listener: socket.socket) -> None:
        # Closing the listener would reset connections that callers count as open.
        listener.settimeout(0)
        while True:
            try:
                accepted, _ = listener.accept()
            except OSError:
                return
            self._serve_connection(accepted)

    def _accept(self) -> None:
        assert self._listener is not None
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError as error:
                log.error("could not accept a connection", reason=str(error))
                gevent.sleep(ACCEPT_RETRY_DELAY.total_seconds())
                continue
            try:
                self._serve_connection(accepted)
            except gevent.GreenletExit:
                # The stop came while this one waited for room.
                self._serve_connection(accepted)
                raise

    def _serve_connection(self, accepted: socket.socket) -> None:
        if len(self._connections) >= self._budget.n_connections:
            self._make_room()
            if len(self._connections) >= self._budget.n_connections:
                self._refuse_connection(accepted)
                return
        connection = make_caller_connection(accepted, self._serve, self)
        self._connections.add(connection)
        self._new_connections[connection] = self._clock.now()
        gevent.spawn(self._run, connection)

    def _make_room(self) -> None:
        """Close a connection without a request in progress, if there is one."""
        connection = self._find_evictable()
        if connection is None and not self._has_stopped:
            # All without a request are new: ordinary callers send theirs at once.
            gevent.sleep(UNUSED_CONNECTION_TIME.total_seconds())
            connection = self._find_evictable()
        if connection is None:
            return
        self._record_refusal("CONNECTION_EVICTED", TOO_MANY_CONNECTIONS)
        connection.evict()
        self._has_closed.clear()
        self._has_closed.wait(EVICTION_TIMEOUT.total_seconds())

    def _find_evictable(self) -> CallerConnection | None:
        """Return the connection that others need least, or None.

        The oldest without a request goes first, then the one that is idle for longest.
        """
        latest = self._clock.now() - UNUSED_CONNECTION_TIME
        for connection, accepted_at in self._new_connections.items():
            if accepted_at > latest:
                break
            if connection.is_evictable:
                return connection
        return min(
            (c for c in self._connections if c.is_evictable and c.last_served_at),
            key=_get_last_served_at,
            default=None,
        )

    def _refuse_connection(self, accepted: socket.socket) -> None:
        self._record_refusal("CONNECTION_REFUSED", TOO_MANY_CONNECTIONS)
        rejection = RequestRejected(RequestFault.NO_MEMORY, TOO_MANY_CONNECTIONS)
        response = render_response(self._render_rejection(rejection), True)
        accepted.settimeout(0)
        with suppress(OSError):
            accepted.send(response)
        accepted.close()

    def _run(self, connection: CallerConnection) -> None:
        try:
            connection.run()
        finally:
            self._connections.discard(connection)
            self._new_connections.pop(connection, None)
            self._has_closed.set()

    # Methods of ConnectionOwner.

    def get_limits(self) -> CallerLimits:
        """Return the limits in force."""
        return self._get_limits()

    def get_now(self) -> datetime:
        """Return the current time."""
        return self._clock.now()

    def handle_first_request(self, connection: CallerConnection) -> None:
        """Record that a connection has brought a whole request."""
        self._new_connections.pop(connection, None)

    def make_rejection(self, rejection: RequestRejected) -> HttpResponse:
        """Return the response to a request that is not served, and count it."""
        self._record_refusal(rejection.fault.name, rejection.detail)
        return self._render_rejection(rejection)

    def _record_refusal(self, reason: str, detail: str) -> None:
        self._count_refusal(reason)
        n_suppressed = self._refusal_log.find_n_suppressed(reason, self._clock.now())
        if n_suppressed is not None:
            log.info(
                "caller refused",
                reason=reason,
                detail=detail,
                n_suppressed=n_suppressed,
            )


def _get_last_served_at(connection: CallerConnection) -> datetime:
    assert connection.last_served_at is not None
    return connection.last_served_at


def make_http_server(
    listen: HostAddress,
    serve: ServeRequest,
    clock: Clock,
    get_limits: Callable[[], CallerLimits] = CallerLimits,
    budget: ServerBudget | None = None,
    count_refusal: CountRefusal = ignore_refusal,
    render: RenderRejection = render_rejection,
) -> HttpServer:
    """Return a server that has not been started."""
    budget = budget or ServerBudget(make_traffic_memory())
    return HttpServer(listen, serve, get_limits, clock, budget, count_refusal, render)
