"""Open listening and client sockets with the TCP options of this system."""

from collections.abc import Callable
from datetime import timedelta

from gevent import socket

from oleanderhitch.connection.addresses import parse_address
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.values import Value

BACKLOG_CONNECTIONS = 1024
# Without this timeout, TCP would go on retransmitting over a path that drops all
# packets, for minutes. A live peer acknowledges within a few milliseconds, so single
# lost packets are tolerated.
UNACKNOWLEDGED_DATA_TIMEOUT = timedelta(seconds=2)
# Keepalive probes detect an idle connection whose path no longer delivers packets.
KEEPALIVE_IDLE_TIME = timedelta(seconds=1)
KEEPALIVE_INTERVAL = timedelta(seconds=1)
N_KEEPALIVE_PROBES = 2


# Returns received bytes, none once the endpoint has ended the connection in good order.
# Takes their largest number; raises OSError if the connection is broken.
Receive = Callable[[int], bytes]


class EndpointSocket(Value, frozen=True):
    """A socket connected to an endpoint, and whether another host passes its bytes on.

    The endpoint may be connected in a few ways; each opens a socket like this one.
    `receive` reads what the endpoint sends, which may not be what the socket receives.
    """

    connected: socket.socket
    receive: Receive
    is_relayed: bool = False


def open_listener(address: HostAddress) -> socket.socket:
    """Return a listening socket.

    Raise OSError, or InvalidInputError if the address is malformed.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(parse_address(address))
    listener.listen(BACKLOG_CONNECTIONS)
    return listener


def open_connection(address: HostAddress, timeout: timedelta) -> socket.socket:
    """Return a connected socket.

    Raise OSError, or InvalidInputError if the address is malformed.
    """
    connected = socket.create_connection(
        parse_address(address), timeout.total_seconds()
    )
    set_tcp_options(connected)
    return connected


def set_tcp_options(connected: socket.socket) -> None:
    """Disable Nagle's algorithm and detect a path that drops all packets."""
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, int(KEEPALIVE_IDLE_TIME.total_seconds())),
        (socket.TCP_KEEPINTVL, int(KEEPALIVE_INTERVAL.total_seconds())),
        (socket.TCP_KEEPCNT, N_KEEPALIVE_PROBES),
        (
            socket.TCP_USER_TIMEOUT,
            int(UNACKNOWLEDGED_DATA_TIMEOUT / timedelta(milliseconds=1)),
        ),
    ):
        connected.setsockopt(socket.IPPROTO_TCP, option, value)
