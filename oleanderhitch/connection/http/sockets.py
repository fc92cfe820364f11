"""Open listening and connecting sockets with the options that all need."""

from datetime import timedelta

from gevent import socket

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.addresses import parse_address

BACKLOG_CONNECTIONS = 1024
# A path that swallows packets shows only by an own time limit; a live peer
# acknowledges within a few milliseconds, so that this tolerates lost packets.
UNACKNOWLEDGED_LIMIT = timedelta(seconds=2)
# Probes find an idle connection whose path went silent.
PROBE_AFTER = timedelta(seconds=1)
PROBE_INTERVAL = timedelta(seconds=1)
N_PROBES = 2


def open_listener(address: HostAddress) -> socket.socket:
    """Return a listening socket; raise OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(parse_address(address))
    listener.listen(BACKLOG_CONNECTIONS)
    return listener


def open_connection(address: HostAddress, timeout: timedelta) -> socket.socket:
    """Return a connected socket; raise OSError."""
    connected = socket.create_connection(
        parse_address(address), timeout.total_seconds()
    )
    set_options(connected)
    return connected


def set_options(connected: socket.socket) -> None:
    """Send small pieces at once and notice a silent path."""
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, int(PROBE_AFTER.total_seconds())),
        (socket.TCP_KEEPINTVL, int(PROBE_INTERVAL.total_seconds())),
        (socket.TCP_KEEPCNT, N_PROBES),
        (
            socket.TCP_USER_TIMEOUT,
            int(UNACKNOWLEDGED_LIMIT / timedelta(milliseconds=1)),
        ),
    ):
        connected.setsockopt(socket.IPPROTO_TCP, option, value)
