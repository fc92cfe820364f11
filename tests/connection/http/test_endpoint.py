"""Guard against answers of other requests, lost ends and stale connections."""

from collections.abc import Callable, Iterator
from datetime import timedelta

import gevent
import pytest
from gevent import socket

from oleanderhitch.connection.http.endpoint import Exchange, make_endpoint_connection
from oleanderhitch.connection.http.messages import (
    ExchangeFailed,
    Headers,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
    find_header,
)
from oleanderhitch.connection.http.pool import (
    CancelExchange,
    StartExchange,
    make_connection_pool,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.mailbox import Mailbox, make_mailbox

WAIT = timedelta(seconds=2)
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n"
Script = Callable[[socket.socket, int], None]


class Endpoint:
    """Serve each connection by a script that gets the connection's number."""

    def __init__(self, script: Script) -> None:
        self.n_connections = 0
        self._script = script
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self._greenlet = gevent.spawn(self._run)

    @property
    def address(self) -> HostAddress:
        """Return the address that the endpoint listens at."""
        ip, port = self._listener.getsockname()
        return HostAddress(f"{ip}:{port}")

    def stop(self) -> None:
        """Accept no more connections."""
        self._greenlet.kill()
        self._listener.close()

    def _run(self) -> None:
        while True:
            accepted, _ = self._listener.accept()
            self.n_connections += 1
            gevent.spawn(self._script, accepted, self.n_connections)


def answer(identifier: int, body: bytes) -> bytes:
    """Return the bytes of an answer to a request id."""
    return (
        b"HTTP/1.1 200 OK\r\nX-Id: %d\r\nContent-Length: %d\r\n\r\n"
        % (identifier, len(body))
    ) + body


@pytest.fixture
def serve() -> Iterator[Callable[[Script], Endpoint]]:
    """Return a function that starts an endpoint, which ends with the test."""
    started: list[Endpoint] = []

    def start(script: Script) -> Endpoint:
        endpoint = Endpoint(script)
        started.append(endpoint)
        return endpoint

    yield start
    for endpoint in started:
        endpoint.stop()


class Client:
    """Start exchanges over a pool and collect what comes back."""

    def __init__(self) -> None:
        self.pool = make_connection_pool(make_endpoint_connection, make_system_clock())
        self.pool.start()

    def start(self, address: HostAddress, number: int, identifier: int = 1) -> Mailbox:
        """Return the mailbox of an exchange."""
        mailbox = make_mailbox("test")

        def is_answer(headers: Headers) -> bool:
            return find_header(headers, "x-id") == str(identifier)

        exchange = Exchange(number, REQUEST, mailbox, is_answer)
        self.pool.send(StartExchange(address, exchange))
        return mailbox


def collect(mailbox: Mailbox) -> tuple[bytes, object]:
    """Return the body and the last message of an exchange."""
    body = b""
    while True:
        message = mailbox.receive(WAIT)
        if isinstance(message, ResponseBody):
            body += message.data
        elif not isinstance(message, ResponseHead):
            return body, message


def test_connection_is_used_again(serve: Callable[[Script], Endpoint]) -> None:
    """New connections are dear, so that a kept one serves the next request."""

    def script(connected: socket.socket, number: int) -> None:
        while connected.recv(4096):
            connected.sendall(answer(1, b"ok"))

    endpoint = serve(script)
    client = Client()
    for number in (1, 2):
        body, end = collect(client.start(endpoint.address, number))
        assert (body, end) == (b"ok", ResponseEnd(number, True))
        gevent.sleep(0.01)
    assert endpoint.n_connections == 1


def test_late_answer_of_another_request_is_skipped(
    serve: Callable[[Script], Endpoint],
) -> None:
    """An answer that another request's id marks must not reach this caller."""

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(4096)
        connected.sendall(answer(9, b"other") + answer(1, b"own"))

    endpoint = serve(script)
    client = Client()
    body, end = collect(client.start(endpoint.address, 1))
    assert (body, end) == (b"own", ResponseEnd(1, True))


def test_connection_with_surplus_bytes_is_not_used_again(
    serve: Callable[[Script], Endpoint],
) -> None:
    """Bytes after a complete answer belong to no request."""

    def script(connected: socket.socket, number: int) -> None:
        while connected.recv(4096):
            connected.sendall(answer(1, b"%d" % number))
            gevent.sleep(0.01)
            connected.sendall(answer(1, b"again"))

    endpoint = serve(script)
    client = Client()
    assert collect(client.start(endpoint.address, 1))[0] == b"1"
    gevent.sleep(0.05)
    body, end = collect(client.start(endpoint.address, 2))
    # The stale connection is found before anything is sent on it.
    assert body == b""
    assert isinstance(end, ExchangeFailed)
    assert not end.was_sent
    assert collect(client.start(endpoint.address, 3))[0] == b"2"


def test_answer_that_is_cut_off_is_no_answer(
    serve: Callable[[Script], Endpoint],
) -> None:
    """A truncated answer must not look complete."""

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(4096)
        connected.sendall(answer(1, b"whole")[:-2])
        connected.close()

    endpoint = serve(script)
    _, end = collect(Client().start(endpoint.address, 1))
    assert isinstance(end, ExchangeFailed)
    assert end.was_sent


def test_refused_connection_has_sent_nothing() -> None:
    """A request that reached nobody may go to another endpoint."""
    closed = socket.socket()
    closed.bind(("127.0.0.1", 0))
    address = HostAddress(f"127.0.0.1:{closed.getsockname()[1]}")
    closed.close()
    _, end = collect(Client().start(address, 1))
    assert isinstance(end, ExchangeFailed)
    assert not end.was_sent


def test_cancelled_exchange_closes_its_connection(
    serve: Callable[[Script], Endpoint],
) -> None:
    """An endpoint sees by the close that nobody waits for its work."""
    closed: list[bytes] = []

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(4096)
        closed.append(connected.recv(4096))

    endpoint = serve(script)
    client = Client()
    client.start(endpoint.address, 1)
    gevent.sleep(0.05)
    client.pool.send(CancelExchange(1))
    gevent.sleep(0.05)
    assert closed == [b""]


def test_answer_before_the_body_is_read_ends_the_connection(
    serve: Callable[[Script], Endpoint],
) -> None:
    """The rest of a body must not be read as the next request."""

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(10)
        connected.sendall(answer(1, b"early"))
        gevent.sleep(1)

    endpoint = serve(script)
    pool = make_connection_pool(make_endpoint_connection, make_system_clock())
    pool.start()
    for number in (1, 2):
        mailbox = make_mailbox("test")
        request = REQUEST + b"x" * 20_000_000
        exchange = Exchange(number, request, mailbox, lambda headers: True)
        pool.send(StartExchange(endpoint.address, exchange))
        assert collect(mailbox)[0] == b"early"
        gevent.sleep(0.05)
    assert endpoint.n_connections == 2


def test_exchange_that_meets_the_end_of_an_idle_connection_fails_at_once(
    serve: Callable[[Script], Endpoint],
) -> None:
    """A request must not wait for a connection that has just timed out."""

    def script(connected: socket.socket, number: int) -> None:
        while connected.recv(4096):
            connected.sendall(answer(1, b"ok"))

    endpoint = serve(script)
    connection = make_endpoint_connection(endpoint.address, make_mailbox("owner"))
    connection.start()
    mailbox = make_mailbox("test")
    connection.send(Exchange(1, REQUEST, mailbox, lambda headers: True))
    assert collect(mailbox)[0] == b"ok"
    connection.cancel()
    gevent.sleep(0.01)
    connection.send(Exchange(2, REQUEST, mailbox, lambda headers: True))
    _, end = collect(mailbox)
    assert isinstance(end, ExchangeFailed)
    assert (end.was_sent, end.was_reused_connection) == (False, True)
