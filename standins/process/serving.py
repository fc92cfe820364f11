"""Serve a stand-in until SIGTERM, then wait for the requests in progress."""

import signal
from datetime import timedelta

import bottle
import gevent
import logbook
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from oleanderhitch.exceptions import InvalidInputError
from standins.connection.common_http import RequestCounter, SocketHandler

DRAIN_TIMEOUT = timedelta(seconds=30)
log = logbook.Logger("standin")


def parse_listen_address(listen: str) -> tuple[str, int]:
    """Return the address and port of `IP:PORT`; raise InvalidInputError."""
    address, _, port = listen.rpartition(":")
    if not address or not port.isdigit():
        raise InvalidInputError(
            f"--listen is {listen!r}; give an IP address and a port as 127.0.0.1:8100"
        )
    return address, int(port)


def make_server(app: bottle.Bottle, listen: str) -> WSGIServer:
    """Return a server that has not been started."""
    server = WSGIServer(
        parse_listen_address(listen), app, log=None, handler_class=SocketHandler
    )
    server.request_counter = RequestCounter()
    return server


def serve_until_signal(server: WSGIServer, name: str) -> None:
    """Serve until SIGTERM or SIGINT, then wait for the requests in progress."""
    stop_requested = Event()
    watchers = [
        gevent.signal_handler(number, stop_requested.set)
        for number in (signal.SIGTERM, signal.SIGINT)
    ]
    server.start()
    log.info("{} listening on {}:{}", name, server.server_host, server.server_port)
    stop_requested.wait()
    log.info("{} stopping; waiting for requests in progress", name)
    server.close()
    if not server.request_counter.wait_until_idle(DRAIN_TIMEOUT):
        log.warning(
            "{} interrupting requests in progress after {}", name, DRAIN_TIMEOUT
        )
    for watcher in watchers:
        watcher.cancel()


def start_logging() -> None:
    """Log records of level info and above to standard error."""
    logbook.StderrHandler(level=logbook.INFO).push_application()
