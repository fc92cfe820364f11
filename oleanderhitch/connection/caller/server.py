"""WSGI server for callers."""

import bottle
import logbook
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from oleanderhitch.connection.addresses import parse_address
from oleanderhitch.connection.ids import HostAddress

# A caller's connection stays open while its call is queued and runs. This many open
# calls use about a third of the 128 MB of memory that a node has.
N_CONNECTIONS_LIMIT = 2000
STOP_TIMEOUT_S = 5

log = logbook.Logger("caller")


class _ErrorLog:
    """File-like object that passes the WSGI server's errors to the log."""

    def write(self, text: str) -> None:
        """Log a text unless it is blank."""
        if text.strip():
            log.warning(text.strip())

    def writelines(self, lines: list[str]) -> None:
        """Log each text."""
        for line in lines:
            self.write(line)

    def flush(self) -> None:
        """Do nothing; the texts are not buffered."""


class NoDelayHandler(WSGIHandler):  # type: ignore[misc]
    """Sets TCP_NODELAY so that each chunk of an answer is sent immediately.

    With Nagle's algorithm a chunk waits until the caller's host acknowledges the
    preceding one, which it delays by 40 ms.
    """

    def __init__(self, accepted: socket.socket, remote: object, server: object) -> None:
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(accepted, remote, server)


class CallerServer:
    """Owner of the listening socket for callers."""

    def __init__(self, listen: HostAddress, app: bottle.Bottle) -> None:
        self._server = WSGIServer(
            parse_address(listen),
            app,
            spawn=Pool(N_CONNECTIONS_LIMIT),
            log=None,
            error_log=_ErrorLog(),
            handler_class=NoDelayHandler,
        )

    def start(self) -> None:
        """Start to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Close the socket; calls in progress get STOP_TIMEOUT_S seconds to finish."""
        self._server.stop(timeout=STOP_TIMEOUT_S)


def make_caller_server(listen: HostAddress, app: bottle.Bottle) -> CallerServer:
    """Return a server that has not been started."""
    return CallerServer(listen, app)
