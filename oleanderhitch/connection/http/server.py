"""HTTP server that starts a task for each connection that it accepts."""

from collections.abc import Callable
from datetime import datetime, timedelta

import gevent
import logbook
from gevent import socket

from oleanderhitch.connection.http.caller import (
    CallerConnection,
    GetLimits,
    ServeRequest,
    make_caller_connection,
)
from oleanderhitch.connection.http.sockets import open_listener
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.clock import Clock
from oleanderhitch.version.routes.configuration import CallerLimits

# When file descriptors run out, gives open connections time to close.
ACCEPT_RETRY_DELAY = timedelta(milliseconds=50)

log = logbook.Logger("server")


class HttpServer:
    """Owner of a listening socket and of the accepted connections' tasks."""

    def __init__(
        self,
        listen: HostAddress,
        serve: ServeRequest,
        get_limits: GetLimits,
        clock: Clock,
    ) -> None:
        self._listen = listen
        self._serve = serve
        self._get_limits = get_limits
        self._clock = clock
        self._connections: set[CallerConnection] = set()
        self._listener: socket.socket | None = None
        self._acceptor: gevent.Greenlet | None = None
        self._is_stopping = False

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
        """Accept the connections that wait and close the listening socket."""
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
            self._serve_connection(accepted)

    def _serve_connection(self, accepted: socket.socket) -> None:
        connection = make_caller_connection(
            accepted,
            self._serve,
            self._get_limits,
            self._get_is_stopping,
            self._get_now,
        )
        self._connections.add(connection)
        gevent.spawn(self._run, connection)

    def _run(self, connection: CallerConnection) -> None:
        try:
            connection.run()
        finally:
            self._connections.discard(connection)

    def _get_is_stopping(self) -> bool:
        return self._is_stopping

    def _get_now(self) -> datetime:
        return self._clock.now()


def make_http_server(
    listen: HostAddress,
    serve: ServeRequest,
    clock: Clock,
    get_limits: Callable[[], CallerLimits] = CallerLimits,
) -> HttpServer:
    """Return a server that has not been started."""
    return HttpServer(listen, serve, get_limits, clock)
