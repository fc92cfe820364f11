"""Guard against swapped or truncated responses and stale connections."""

import struct
from collections.abc import Callable, Iterator
from datetime import timedelta

import gevent
import gevent.event
import pytest
from gevent import socket

from oleanderhitch.connection.http.endpoint import (
    Exchange,
    ExchangeUnsent,
    make_endpoint_connection,
)
from oleanderhitch.connection.http.messages import (
    BodyEnd,
    ExchangeFailed,
    Headers,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
    ResponseOwner,
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
from oleanderhitch.request.ids import RequestId

RECEIVE_TIMEOUT = timedelta(seconds=2)
# An endpoint may work on a cancelled request for half a second.
CANCEL_TIMEOUT = timedelta(milliseconds=500)
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n"
Script = Callable[[socket.socket, int], None]


class ScriptedEndpoint:
    """Server that runs a script on each connection, with the connection's number."""

    def __init__(self, script: Script) -> None:
        self.n_connections = 0
        self._script = script
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self._greenlet = gevent.spawn(self._run)

    @property
    def address(self) -> HostAddress:
        """The address that the endpoint listens on."""
        ip, port = self._listener.getsockname()
        return HostAddress(f"{ip}:{port}")

    def stop(self) -> None:
        """Stop accepting connections."""
        self._greenlet.kill()
        self._listener.close()

    def _run(self) -> None:
        while True:
            accepted, _ = self._listener.accept()
            self.n_connections += 1
            gevent.spawn(self._script, accepted, self.n_connections)


def make_response(request_id: int, body: bytes) -> bytes:
    """Return the bytes of a response to a request."""
    return (
        b"HTTP/1.1 200 OK\r\nX-Id: %d\r\nContent-Length: %d\r\n\r\n"
        % (request_id, len(body))
    ) + body


@pytest.fixture
def serve() -> Iterator[Callable[[Script], ScriptedEndpoint]]:
    """Return a function that starts an endpoint; it is stopped after the test."""
    started: list[ScriptedEndpoint] = []

    def start(script: Script) -> ScriptedEndpoint:
        endpoint = ScriptedEndpoint(script)
        started.append(endpoint)
        return endpoint

    yield start
    for endpoint in started:
        endpoint.stop()


class PoolClient:
    """Client that starts exchanges over a connection pool."""

    def __init__(self) -> None:
        self.pool = make_connection_pool(make_endpoint_connection, make_system_clock())
        self.pool.start()

    def start_exchange(
        self,
        address: HostAddress,
        exchange_id: int,
        request_id: int = 1,
        request: RequestId | None = None,
        has_response_body: bool = True,
    ) -> Mailbox:
        """Start an exchange and return the mailbox for its response."""
        mailbox = make_mailbox("test")

        def find_owner(headers: Headers) -> ResponseOwner:
            echoed = find_header(headers, "x-id")
            if echoed is None:
                return ResponseOwner.UNKNOWN
            if echoed == str(request_id):
                return ResponseOwner.THIS_REQUEST
            return ResponseOwner.ANOTHER_REQUEST

        exchange = Exchange(
            exchange_id,
            REQUEST,
            mailbox,
            find_owner,
            request_id=request,
            has_response_body=has_response_body,
        )
        self.pool.send(StartExchange(address, exchange))
        return mailbox


def receive_response(mailbox: Mailbox) -> tuple[bytes, object]:
    """Return the body and the final message of an exchange."""
    body = b""
    while True:
        message = mailbox.receive(RECEIVE_TIMEOUT)
        if isinstance(message, ResponseBody):
            body += message.data
        elif not isinstance(message, ResponseHead):
            return body, message


def test_idle_connection_is_reused(serve: Callable[[Script], ScriptedEndpoint]) -> None:
    """Guard against the cost of a new connection for every request."""

    def script(connected: socket.socket, number: int) -> None:
        while connected.recv(4096):
            connected.sendall(make_response(1, b"ok"))

    endpoint = serve(script)
    client = PoolClient()
    for number in (1, 2):
        body, end = receive_response(client.start_exchange(endpoint.address, number))
        assert (body, end) == (b"ok", ResponseEnd(number, BodyEnd.FRAMED))
        gevent.sleep(0.01)
    assert endpoint.n_connections == 1


@pytest.mark.parametrize("timeout", [b"9" * 30, b"9" * 5000, b"-1", b"x"])
def test_odd_keep_alive_does_not_cost_the_response(
    serve: Callable[[Script], ScriptedEndpoint], timeout: bytes
) -> None:
    """Guard against a whole response that fails by what its connection announces."""
    response = make_response(1, b"ok")
    keep_alive = b"Keep-Alive: timeout=%b\r\nX-Id" % timeout

    def script(connected: socket.socket, number: int) -> None:
        while connected.recv(4096):
            connected.sendall(response.replace(b"X-Id", keep_alive))

    endpoint = serve(script)
    client = PoolClient()
    for number in (1, 2):
        body, end = receive_response(client.start_exchange(endpoint.address, number))
        assert (body, end) == (b"ok", ResponseEnd(number, BodyEnd.FRAMED))
        gevent.sleep(0.01)


def test_late_response_to_another_request_is_skipped(
    serve: Callable[[Script], ScriptedEndpoint],
) -> None:
    """Guard against a response that reaches the caller of another request."""

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(4096)
        connected.sendall(make_response(9, b"other") + make_response(1, b"own"))

    endpoint = serve(script)
    client = PoolClient()
    body, end = receive_response(client.start_exchange(endpoint.address, 1))
    assert (body, end) == (b"own", ResponseEnd(1, BodyEnd.FRAMED))


def test_connection_with_surplus_bytes_is_not_reused(
    serve: Callable[[Script], ScriptedEndpoint],
) -> None:
    """Guard against surplus bytes that are taken for the next response."""

    def script(connected: socket.socket, number: int) -> None:
        while connected.recv(4096):
            connected.sendall(make_response(1, b"%d" % number))
            gevent.sleep(0.01)
            connected.sendall(make_response(1, b"again"))

    endpoint = serve(script)
    client = PoolClient()
    assert receive_response(client.start_exchange(endpoint.address, 1))[0] == b"1"
    gevent.sleep(0.05)
    # The surplus bytes are detected before anything is sent, so a new connection can
    # carry the exchange.
    body, end = receive_response(client.start_exchange(endpoint.address, 2))
    assert body == b"2"
    assert isinstance(end, ResponseEnd)


# Guards against a request that waits until its deadline for an endpoint that has
# switched to a protocol that nobody offered it.
def test_switched_protocol_ends_the_exchange_at_once(
    serve: Callable[[Script], ScriptedEndpoint],
) -> None:
    """Report an unreadable response while the connection stays open."""
    switched = (
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
        b"Upgrade: h2c\r\n\r\n"
    )

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(4096)
        connected.sendall(switched + make_response(1, b"ok"))
        connected.recv(4096)

    mailbox = PoolClient().start_exchange(serve(script).address, 1)
    _, end = receive_response(mailbox)
    assert isinstance(end, ExchangeFailed)
    assert end.was_sent
    assert "unreadable answer" in end.reason


# Guards against a HEAD request that waits until its deadline for a body, and against a
# body that comes nevertheless and is taken for the next response.
@pytest.mark.parametrize("surplus", [b"", b"HTTP/1.1 200 OK\r\n\r\n"])
def test_response_to_head_ends_with_its_head(
    serve: Callable[[Script], ScriptedEndpoint], surplus: bytes
) -> None:
    """End the exchange with the head, and use the connection no more."""
    head = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 50\r\n\r\n"

    def script(connected: socket.socket, number: int) -> None:
        while connected.recv(4096):
            connected.sendall(head + surplus)

    endpoint = serve(script)
    client = PoolClient()
    for number in (1, 2):
        mailbox = client.start_exchange(
            endpoint.address, number, has_response_body=False
        )
        body, end = receive_response(mailbox)
        assert (body, end) == (b"", ResponseEnd(number, BodyEnd.FRAMED))
        gevent.sleep(0.01)
    assert endpoint.n_connections == 2


REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


def test_response_without_an_id_counts_on_a_new_connection(
    serve: Callable[[Script], ScriptedEndpoint],
) -> None:
    """Guard against refusals that are lost since their endpoint read no id."""

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(4096)
        connected.sendall(REFUSAL)

    endpoint = serve(script)
    mailbox = PoolClient().start_exchange(endpoint.address, 1)
    head = mailbox.receive(RECEIVE_TIMEOUT)
    assert isinstance(head, ResponseHead)
    assert head.status == 503


@pytest.mark.parametrize(
    "repeated", [REFUSAL, REFUSAL.replace(b"X-Not-Run", b"X-Id: 1\r\nX-Not-Run")]
)
def test_repeated_refusal_on_a_kept_connection_refuses_nothing(
    serve: Callable[[Script], ScriptedEndpoint], repeated: bytes
) -> None:
    """Guard against "not run" for a request that its endpoint is running.

    An endpoint writes an earlier refusal once more when it gets the next request.
    """

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(4096)
        connected.sendall(REFUSAL.replace(b"X-Not-Run", b"X-Id: 1\r\nX-Not-Run"))
        connected.recv(4096)
        connected.sendall(repeated)
        connected.sendall(make_response(2, b"own"))

    endpoint = serve(script)
    client = PoolClient()
    head = client.start_exchange(endpoint.address, 1).receive(RECEIVE_TIMEOUT)
    assert isinstance(head, ResponseHead)
    gevent.sleep(0.02)
    mailbox = client.start_exchange(endpoint.address, 2, request_id=2)
    first = mailbox.receive(RECEIVE_TIMEOUT)
    if repeated == REFUSAL:
        # Nothing tells whose refusal it is, so the outcome is unknown.
        assert isinstance(first, ExchangeFailed)
        assert first.was_sent
    else:
        assert isinstance(first, ResponseHead)
        assert first.status == 200


def test_late_duplicate_is_no_response_to_a_request_that_is_sent_again(
    serve: Callable[[Script], ScriptedEndpoint],
) -> None:
    """Guard against "not run" for a request that is running, by its own id.

    A caller sends a refused request again, and the endpoint writes the earlier refusal
    once more when it has received it.
    """
    refusal = REFUSAL.replace(b"X-Not-Run", b"X-Id: 1\r\nX-Not-Run")

    def script(connected: socket.socket, number: int) -> None:
        if number > 1:
            connected.recv(4096)
            connected.sendall(make_response(1, b"own"))
        while connected.recv(4096):
            connected.sendall(refusal)

    endpoint = serve(script)
    client = PoolClient()
    request = RequestId("1")
    first = client.start_exchange(endpoint.address, 1, request=request)
    assert receive_response(first)[1] == ResponseEnd(1, BodyEnd.FRAMED)
    gevent.sleep(0.02)
    again = client.start_exchange(endpoint.address, 2, request=request)
    assert receive_response(again)[0] == b"own"


def test_response_that_never_names_a_request_gets_a_new_connection(
    serve: Callable[[Script], ScriptedEndpoint],
) -> None:
    """Guard against a late answer without an id that is read as a cache listing."""

    def script(connected: socket.socket, number: int) -> None:
        while connected.recv(4096):
            connected.sendall(make_response(1, b"%d" % number))

    endpoint = serve(script)
    client = PoolClient()
    assert receive_response(client.start_exchange(endpoint.address, 1))[0] == b"1"
    gevent.sleep(0.02)
    mailbox = make_mailbox("test")
    exchange = Exchange(2, REQUEST, mailbox, lambda headers: ResponseOwner.UNKNOWN)
    client.pool.send(StartExchange(endpoint.address, exchange, True))
    assert receive_response(mailbox)[0] == b"2"


@pytest.mark.parametrize("surplus", [b"HTTP/1.1 5", b"XYZ", REFUSAL[:-4], REFUSAL])
def test_bytes_after_a_response_end_the_connection(
    serve: Callable[[Script], ScriptedEndpoint], surplus: bytes
) -> None:
    """Guard against a part of a surplus response that is read with the one before."""

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(4096)
        connected.sendall(make_response(1, b"%d" % number) + surplus)
        connected.recv(4096)

    endpoint = serve(script)
    client = PoolClient()
    assert receive_response(client.start_exchange(endpoint.address, 1))[0] == b"1"
    gevent.sleep(0.02)
    assert receive_response(client.start_exchange(endpoint.address, 2))[0] == b"2"


@pytest.mark.parametrize("n_bytes", range(1, 48, 4))
def test_head_that_breaks_off_is_a_failure(
    serve: Callable[[Script], ScriptedEndpoint], n_bytes: int
) -> None:
    """Guard against a success with an empty body for a head that was cut short."""
    head = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Server-Stamp: abc\r\n\r\n"
    assert n_bytes < len(head)

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(4096)
        connected.sendall(head[:n_bytes])
        connected.close()

    endpoint = serve(script)
    mailbox = PoolClient().start_exchange(endpoint.address, 1)
    first = mailbox.receive(RECEIVE_TIMEOUT)
    assert isinstance(first, ExchangeFailed)
    assert first.was_sent


def test_truncated_response_is_a_failure(
    serve: Callable[[Script], ScriptedEndpoint],
) -> None:
    """Guard against a truncated response that is reported as complete."""

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(4096)
        connected.sendall(make_response(1, b"whole")[:-2])
        connected.close()

    endpoint = serve(script)
    _, end = receive_response(PoolClient().start_exchange(endpoint.address, 1))
    assert isinstance(end, ExchangeFailed)
    assert end.was_sent


# Guards against callers that get the beginning of an answer as a complete one (MIXED):
# the error of the connection is reported once, here to the writer of the request.
def test_response_that_is_reset_during_the_request_is_a_failure(
    serve: Callable[[Script], ScriptedEndpoint],
) -> None:
    """Report a response without a length as broken off, whoever notices the reset."""

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(10)
        connected.sendall(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart of it")
        gevent.sleep(0.01)
        reset = struct.pack("ii", 1, 0)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        connected.close()

    endpoint = serve(script)
    pool = make_connection_pool(make_endpoint_connection, make_system_clock())
    pool.start()
    for number in range(20):
        mailbox = make_mailbox("test")
        request = REQUEST + b"x" * 20_000_000
        exchange = Exchange(number, request, mailbox, lambda headers: True)
        pool.send(StartExchange(endpoint.address, exchange, True))
        body, end = receive_response(mailbox)
        assert b"part of it".startswith(body)
        assert isinstance(end, ExchangeFailed)
        assert end.was_sent


def test_response_that_ends_during_the_request_is_complete(
    serve: Callable[[Script], ScriptedEndpoint],
) -> None:
    """Guard against early answers that are lost, since their requests are long."""

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(10)
        connected.sendall(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
        connected.shutdown(socket.SHUT_WR)
        gevent.sleep(0.3)

    endpoint = serve(script)
    pool = make_connection_pool(make_endpoint_connection, make_system_clock())
    pool.start()
    mailbox = make_mailbox("test")
    request = REQUEST + b"x" * 20_000_000
    exchange = Exchange(1, request, mailbox, lambda headers: True)
    pool.send(StartExchange(endpoint.address, exchange))
    body, end = receive_response(mailbox)
    assert (body, end) == (b"all of it", ResponseEnd(1, BodyEnd.CONNECTION))


# Guards against callers that get as an answer what no server may answer (MIXED).
@pytest.mark.parametrize(
    "status", [b"000", b"001", b"099", b"600", b"999", b"20", b"2000", b"2x0", b"-20"]
)
def test_status_that_does_not_exist_is_a_failure(
    serve: Callable[[Script], ScriptedEndpoint], status: bytes
) -> None:
    """Report an answer with such a status as unreadable."""

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(4096)
        head = b"HTTP/1.1 %s Trouble\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\n"
        connected.sendall(head % status + b"ok")
        gevent.sleep(1)

    endpoint = serve(script)
    mailbox = PoolClient().start_exchange(endpoint.address, 1)
    first = mailbox.receive(RECEIVE_TIMEOUT)
    assert isinstance(first, ExchangeFailed)
    assert first.was_sent


def test_refused_connection_was_not_sent() -> None:
    """Guard against a request that isn't retried although it was never sent."""
    closed = socket.socket()
    closed.bind(("127.0.0.1", 0))
    address = HostAddress(f"127.0.0.1:{closed.getsockname()[1]}")
    closed.close()
    _, end = receive_response(PoolClient().start_exchange(address, 1))
    assert isinstance(end, ExchangeFailed)
    assert not end.was_sent


def test_malformed_address_fails_the_exchange_at_once() -> None:
    """Guard against a request that waits out its time for an odd entry of the list."""
    address = HostAddress("10.0.0.1:99999")
    _, end = receive_response(PoolClient().start_exchange(address, 1))
    assert isinstance(end, ExchangeFailed)
    assert not end.was_sent


def test_cancelled_exchange_closes_its_connection(
    serve: Callable[[Script], ScriptedEndpoint],
) -> None:
    """Guard against an endpoint that keeps working on a cancelled request."""
    has_received = gevent.event.Event()
    end: gevent.event.AsyncResult = gevent.event.AsyncResult()

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(4096)
        has_received.set()
        end.set(connected.recv(4096))

    endpoint = serve(script)
    client = PoolClient()
    client.start_exchange(endpoint.address, 1)
    assert has_received.wait(RECEIVE_TIMEOUT.total_seconds())
    client.pool.send(CancelExchange(1))
    assert end.get(timeout=CANCEL_TIMEOUT.total_seconds()) == b""


def test_response_before_the_body_is_read_closes_the_connection(
    serve: Callable[[Script], ScriptedEndpoint],
) -> None:
    """Guard against the rest of a body that is read as the next request."""

    def script(connected: socket.socket, number: int) -> None:
        connected.recv(10)
        connected.sendall(make_response(1, b"early"))
        gevent.sleep(1)

    endpoint = serve(script)
    pool = make_connection_pool(make_endpoint_connection, make_system_clock())
    pool.start()
    for number in (1, 2):
        mailbox = make_mailbox("test")
        request = REQUEST + b"x" * 20_000_000
        exchange = Exchange(number, request, mailbox, lambda headers: True)
        pool.send(StartExchange(endpoint.address, exchange))
        assert receive_response(mailbox)[0] == b"early"
        gevent.sleep(0.05)
    assert endpoint.n_connections == 2


def test_exchange_on_a_closed_idle_connection_comes_back_immediately(
    serve: Callable[[Script], ScriptedEndpoint],
) -> None:
    """Guard against a request that waits for a connection that just timed out."""

    def script(connected: socket.socket, number: int) -> None:
        while connected.recv(4096):
            connected.sendall(make_response(1, b"ok"))

    endpoint = serve(script)
    owner = make_mailbox("owner")
    connection = make_endpoint_connection(endpoint.address, owner)
    connection.start()
    mailbox = make_mailbox("test")
    connection.send(Exchange(1, REQUEST, mailbox, lambda headers: True))
    assert receive_response(mailbox)[0] == b"ok"
    connection.cancel()
    gevent.sleep(0.01)
    exchange = Exchange(2, REQUEST, mailbox, lambda headers: True)
    connection.send(exchange)
    received = [owner.receive(RECEIVE_TIMEOUT) for _ in range(owner.n_waiting)]
    assert received[-1] == ExchangeUnsent(connection, exchange)
    assert not mailbox.n_waiting


def test_stale_connections_of_a_crashed_endpoint_cost_a_request_nothing(
    serve: Callable[[Script], ScriptedEndpoint],
) -> None:
    """Guard against a request that uses up its sends on connections of one endpoint.

    An endpoint that ends closes all connections that are kept to it.
    """
    n_kept = 3
    accepted: list[socket.socket] = []

    def script(connected: socket.socket, number: int) -> None:
        accepted.append(connected)
        while connected.recv(4096):
            gevent.sleep(0.02)
            connected.sendall(make_response(1, b"%d" % number))

    endpoint = serve(script)
    client = PoolClient()
    mailboxes = [
        client.start_exchange(endpoint.address, number) for number in range(n_kept)
    ]
    for mailbox in mailboxes:
        receive_response(mailbox)
    for connected in accepted:
        connected.close()
    gevent.sleep(0.02)
    body, _ = receive_response(client.start_exchange(endpoint.address, 9))
    assert body == b"%d" % (n_kept + 1)
    # The new connection can be cancelled and reused like any other.
    again, _ = receive_response(client.start_exchange(endpoint.address, 10))
    assert again == body
