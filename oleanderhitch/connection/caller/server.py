"""Listen for callers."""

import bottle
import logbook
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.addresses import parse_address

# Callers hold their connection while a call waits and runs; at 128 MB for a
# node this many open calls use about a third of it.
CONNECTION_LIMIT = 2000
STOP_TIMEOUT_S = 5

log = logbook.Logger("caller")


class _LineLog:
    """Pass the server's error lines to the log."""

    def write(self, text: str) -> None:
        """Log a text that is not empty."""
        if text.strip():
            log.warning(text.strip())

    def writelines(self, lines: list[str]) -> None:
        """Log several texts."""
        for line in lines:
            self.write(line)

    def flush(self) -> None:
        """Do nothing; the log writes by itself."""


class NoDelayHandler(WSGIHandler):  # type: ignore[misc]
    """Send each piece of an answer at once.

    With Nagle's algorithm a piece waits for the caller's acknowledgement of the
    one before, which the caller's host delays by 40 ms.
    """

    def __init__(self, accepted: socket.socket, remote: object, server: object) -> None:
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(accepted, remote, server)


class CallerServer:
    """Own the listening socket for callers."""

    def __init__(self, listen: HostAddress, app: bottle.Bottle) -> None:
        self._server = WSGIServer(
            parse_address(listen),
            app,
            spawn=Pool(CONNECTION_LIMIT),
            log=None,
            error_log=_LineLog(),
            handler_class=NoDelayHandler,
        )

    def start(self) -> None:
        """Listen for callers."""
        self._server.start()

    def stop(self) -> None:
        """Close the socket; answers on their way get a few seconds."""
        self._server.stop(timeout=STOP_TIMEOUT_S)


def make_caller_server(listen: HostAddress, app: bottle.Bottle) -> CallerServer:
    """Return a server that is not started yet."""
    return CallerServer(listen, app)
