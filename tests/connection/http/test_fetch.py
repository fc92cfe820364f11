"""Guard against pages that are cut, late or from nobody."""

from collections.abc import Iterator
from datetime import timedelta

import gevent
import pytest
from gevent import socket

from oleanderhitch.connection.http.fetch import fetch
from oleanderhitch.connection.http.messages import HttpRequest
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import UnavailableError

LIMIT = timedelta(milliseconds=300)
REQUEST = HttpRequest("GET", "/page", (("host", "h"),), b"")


@pytest.fixture
def server() -> Iterator[tuple[HostAddress, list[bytes | None]]]:
    """Return an address and the answers that are given there, in order.

    The connection closes after an answer; None stands for silence.
    """
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    answers: list[bytes | None] = []
    silent: list[socket.socket] = []

    def run() -> None:
        while True:
            accepted, _ = listener.accept()
            accepted.recv(4096)
            answer = answers.pop(0)
            if answer is None:
                silent.append(accepted)
                continue
            accepted.sendall(answer)
            accepted.close()

    greenlet = gevent.spawn(run)
    yield HostAddress(f"127.0.0.1:{listener.getsockname()[1]}"), answers
    greenlet.kill()
    listener.close()


def test_whole_page_is_returned(
    server: tuple[HostAddress, list[bytes | None]],
) -> None:
    """The status decides what a page is worth, so that it comes with the body."""
    address, answers = server
    answers.append(b"HTTP/1.1 429 Busy\r\ncontent-length: 3\r\n\r\nabc")
    response = fetch(address, REQUEST, LIMIT)
    assert (response.status, response.body) == (429, b"abc")


@pytest.mark.parametrize(
    "answer",
    [b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc", b"nonsense\r\n", None],
)
def test_page_that_does_not_come_whole_is_refused(
    server: tuple[HostAddress, list[bytes | None]], answer: bytes | None
) -> None:
    """A cut, unreadable or missing page must end the reading in time."""
    address, answers = server
    answers.append(answer)
    with pytest.raises(UnavailableError):
        fetch(address, REQUEST, LIMIT)


def test_nobody_listens() -> None:
    """A platform that is down must not hold the reader up."""
    free = socket.socket()
    free.bind(("127.0.0.1", 0))
    address = HostAddress(f"127.0.0.1:{free.getsockname()[1]}")
    free.close()
    with pytest.raises(UnavailableError):
        fetch(address, REQUEST, LIMIT)
