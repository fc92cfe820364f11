"""Accept callers' connections and start a task for each."""

from collections.abc import Callable
from datetime import datetime, timedelta

import gevent
import logbook
from gevent import socket

from oleanderhitch.connection.http.caller import (
    CallerConnection,
    GetLimits,
    Serve,
    make_caller_connection,
)
from oleanderhitch.connection.http.sockets import open_listener
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.clock import Clock
from oleanderhitch.version.routes.configuration import CallerLimits

# Leaves time for connections to close when descriptors run out.
ACCEPT_PAUSE = timedelta(milliseconds=50)

log = logbook.Logger("server")


class HttpServer:
    """Own a listening socket and the tasks of the connections it accepted."""

    def __init__(
        self, listen: HostAddress, serve: Serve, get_limits: GetLimits, clock: Clock
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
        """Return the number of requests under way."""
        return sum(connection.is_serving for connection in self._connections)

    def start(self) -> None:
        """Listen; raise OSError."""
        self._listener = open_listener(self._listen)
        self._acceptor = gevent.spawn(self._accept)

    def drain_connections(self) -> None:
        """Close each connection after the answer under way, idle ones at once."""
        self._is_stopping = True
        for connection in list(self._connections):
            connection.close_idle()

    def stop(self) -> None:
        """Close the listening socket."""
        if self._acceptor is not None:
            self._acceptor.kill()
        if self._listener is not None:
            self._listener.close()

    def _accept(self) -> None:
        assert self._listener is not None
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError as error:
                log.error("could not accept a connection", reason=str(error))
                gevent.sleep(ACCEPT_PAUSE.total_seconds())
                continue
            gevent.spawn(self._run, accepted)

    def _run(self, accepted: socket.socket) -> None:
        connection = make_caller_connection(
            accepted,
            self._serve,
            self._get_limits,
            self._get_is_stopping,
            self._get_now,
        )
        self._connections.add(connection)
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
    serve: Serve,
    clock: Clock,
    get_limits: Callable[[], CallerLimits] = CallerLimits,
) -> HttpServer:
    """Return a server that is not started yet."""
    return HttpServer(listen, serve, get_limits, clock)
