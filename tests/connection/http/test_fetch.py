"""Guard against incomplete responses and servers that don't respond."""

from collections.abc import Iterator
from datetime import timedelta

import gevent
import pytest
from gevent import socket

from oleanderhitch.connection.http.fetch import fetch
from oleanderhitch.connection.http.messages import HttpRequest
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import UnavailableError

TIMEOUT = timedelta(milliseconds=300)
REQUEST = HttpRequest("GET", "/page", (("host", "h"),), b"")


@pytest.fixture
def server() -> Iterator[tuple[HostAddress, list[bytes | None]]]:
    """Return an address and the list of responses that a server there sends.

    The server closes the connection after a response. For None it sends nothing and
    keeps the connection open.
    """
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    responses: list[bytes | None] = []
    open_sockets: list[socket.socket] = []

    def run() -> None:
        while True:
            accepted, _ = listener.accept()
            accepted.recv(4096)
            response = responses.pop(0)
            if response is None:
                open_sockets.append(accepted)
                continue
            accepted.sendall(response)
            accepted.close()

    greenlet = gevent.spawn(run)
    yield HostAddress(f"127.0.0.1:{listener.getsockname()[1]}"), responses
    greenlet.kill()
    listener.close()


def test_complete_response_is_returned_with_its_status(
    server: tuple[HostAddress, list[bytes | None]],
) -> None:
    """Guard against a body without the status that distinguishes an error from data."""
    address, responses = server
    responses.append(b"HTTP/1.1 429 Busy\r\ncontent-length: 3\r\n\r\nabc")
    response = fetch(address, REQUEST, TIMEOUT)
    assert (response.status, response.body) == (429, b"abc")


@pytest.mark.parametrize(
    "response",
    [b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc", b"nonsense\r\n", None],
)
def test_incomplete_response_raises(
    server: tuple[HostAddress, list[bytes | None]], response: bytes | None
) -> None:
    """Guard against a client that accepts or waits for an incomplete response."""
    address, responses = server
    responses.append(response)
    with pytest.raises(UnavailableError):
        fetch(address, REQUEST, TIMEOUT)


def test_refused_connection_raises() -> None:
    """Guard against a client that blocks while the server is down."""
    unused = socket.socket()
    unused.bind(("127.0.0.1", 0))
    address = HostAddress(f"127.0.0.1:{unused.getsockname()[1]}")
    unused.close()
    with pytest.raises(UnavailableError):
        fetch(address, REQUEST, TIMEOUT)
