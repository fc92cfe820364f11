"""Guard against missing, wrong or swapped responses on a caller's connection."""

from collections.abc import Callable, Iterator
from datetime import datetime, timedelta

import gevent
import gevent.event
import pytest
from gevent import monkey, socket

from oleanderhitch.connection.http.budget import ServerBudget
from oleanderhitch.connection.http.caller import (
    JOINED_BODY_LIMIT_BYTES,
    LINGER_TIME,
    ResponseWriter,
)
from oleanderhitch.connection.http.memory import FREE_SHARE_BYTES, make_traffic_memory
from oleanderhitch.connection.http.messages import (
    CallerDisconnected,
    HttpRequest,
    HttpResponse,
)
from oleanderhitch.connection.http.server import HttpServer, make_http_server
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.mailbox import Mailbox
from oleanderhitch.version.routes.configuration import CallerLimits

LIMITS = CallerLimits(
    header_timeout=timedelta(milliseconds=200), idle_timeout=timedelta(seconds=2)
)
BUDGET_BYTES = 100_000
N_CONNECTIONS = 20
GET = b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n"
ServeRequest = Callable[[HttpRequest, ResponseWriter, Mailbox, datetime], None]


@pytest.fixture
def start() -> Iterator[Callable[[ServeRequest], tuple[HttpServer, HostAddress]]]:
    """Return a function that starts a server; it is stopped after the test."""
    servers: list[HttpServer] = []

    def start_server(serve: ServeRequest) -> tuple[HttpServer, HostAddress]:
        free = socket.socket()
        free.bind(("127.0.0.1", 0))
        address = HostAddress(f"127.0.0.1:{free.getsockname()[1]}")
        free.close()
        budget = ServerBudget(make_traffic_memory(BUDGET_BYTES), N_CONNECTIONS)
        clock = make_system_clock()
        server = make_http_server(address, serve, clock, lambda: LIMITS, budget)
        server.start()
        servers.append(server)
        return server, address

    yield start_server
    for server in servers:
        server.stop()


def connect(address: HostAddress) -> socket.socket:
    """Return a connection to a server."""
    ip, _, port = address.rpartition(":")
    connected = socket.create_connection((ip, int(port)))
    connected.settimeout(2)
    return connected


def read_all(connected: socket.socket) -> bytes:
    """Return everything up to the close of the connection."""
    data = b""
    while chunk := connected.recv(4096):
        data += chunk
    return data


def echo(
    request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
) -> None:
    """Respond with the target of the request."""
    writer.respond(HttpResponse(200, request.target.encode()))


def test_pipelined_requests_get_responses_in_order(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against responses to pipelined requests in the wrong order."""
    _, address = start(echo)
    connected = connect(address)
    targets = [b"/%d" % number for number in range(6)]
    last = b"GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    connected.sendall(b"".join(GET % target for target in targets) + last)
    bodies = [
        part.rpartition(b"\r\n")[2] for part in read_all(connected).split(b"HTTP")
    ]
    assert bodies[1:] == [*targets, b"/last"]


def test_late_message_does_not_hold_up_the_next_request(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against a request that is never served.

    A message for the request before it, as a reply that came too late, was waiting when
    it arrived.
    """
    mailboxes: list[Mailbox] = []
    wake, waker = socket.socketpair()

    def serve(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        mailboxes.append(mailbox)
        echo(request, writer, mailbox, now)

    def send_late() -> None:
        wake.recv(1)
        mailboxes[0].send("late reply")

    _, address = start(serve)
    connected = connect(address)
    connected.sendall(GET % b"/first")
    assert connected.recv(4096).endswith(b"/first")
    gevent.spawn(send_late)
    gevent.sleep(0.02)
    # Sends to empty buffers do not let the server run; the event loop handles the
    # last one first.
    connected.send(GET % b"/second")
    waker.send(b"w")
    assert connected.recv(4096).endswith(b"/second")


def test_disconnect_of_the_caller_is_reported_to_the_request(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against work that continues after the caller has disconnected."""
    messages: list[object] = []

    def serve(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        messages.append(mailbox.receive(timedelta(seconds=2)))
        writer.abort()

    _, address = start(serve)
    connected = connect(address)
    connected.sendall(GET % b"/")
    gevent.sleep(0.05)
    connected.close()
    gevent.sleep(0.05)
    assert [type(message) for message in messages] == [CallerDisconnected]


def test_aborted_response_does_not_look_complete(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against a last chunk after a response that was aborted."""

    def serve(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        writer.start(200, ())
        writer.write(b"piece")
        writer.abort()

    _, address = start(serve)
    connected = connect(address)
    connected.sendall(GET % b"/")
    data = read_all(connected)
    assert data.endswith(b"5\r\npiece\r\n")


def test_slow_headers_get_status_408(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against a slow caller that occupies a connection (slowloris)."""
    _, address = start(echo)
    connected = connect(address)
    connected.sendall(b"GET / HT")
    assert read_all(connected).startswith(b"HTTP/1.1 408 ")


# Guards against a running request that gets the rejection of the one behind it, which
# kept its task busy past its deadline without yielding.
def test_slow_headers_wait_for_the_request_before_them(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Reject a request that comes too slowly after the response before it."""
    messages: list[object] = []

    def serve_slowly(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        messages.append(mailbox.receive(LIMITS.header_timeout * 3))
        writer.respond(HttpResponse(200, request.target.encode()))

    _, address = start(serve_slowly)
    connected = connect(address)
    connected.sendall(GET % b"/first" + b"GET /second HTTP/1.1\r\nHo")
    first, _, second = read_all(connected).partition(b"/first")
    assert messages == [None]
    assert first.startswith(b"HTTP/1.1 200")
    assert second.startswith(b"HTTP/1.1 408")


def test_body_in_pieces_gets_one_continue(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against a status 100 for each piece of a body that a caller announces."""
    _, address = start(echo)
    connected = connect(address)
    connected.sendall(
        b"POST /body HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
        b"Content-Length: 3\r\nConnection: close\r\n\r\n"
    )
    for _ in range(3):
        gevent.sleep(0.02)
        connected.sendall(b"a")
    data = read_all(connected)
    assert data.count(b"100 Continue") == 1
    assert data.endswith(b"/body")


def test_invalid_bytes_get_status_400_and_a_close(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against invalid bytes that get no response or stay counted as active."""
    server, address = start(echo)
    connected = connect(address)
    connected.sendall(GET % b"/first" + b"nonsense\r\n\r\n")
    data = read_all(connected)
    assert data.startswith(b"HTTP/1.1 200 ")
    assert b"HTTP/1.1 400 " in data
    assert server.n_active_requests == 0


def echo_body(
    request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
) -> None:
    """Respond with the body of the request."""
    writer.respond(HttpResponse(200, request.body))


# Guards against a request that runs without its body, since it offers to go on with
# another protocol, and against a rejection that belongs to no request.
def test_request_that_offers_an_upgrade_gets_one_response(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Serve it as the HTTP/1.1 request that it is, and the next one after it."""
    _, address = start(echo_body)
    connected = connect(address)
    head = b"POST / HTTP/1.1\r\nHost: h\r\n"
    offer = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    for body in (b"first", b"later"):
        connected.sendall(head + offer + b"Content-Length: 5\r\n\r\n" + body)
        response = connected.recv(4096)
        assert response.startswith(b"HTTP/1.1 200 ")
        assert response.endswith(b"\r\n\r\n" + body)
    connected.settimeout(LIMITS.header_timeout.total_seconds() * 2)
    with pytest.raises(TimeoutError):
        connected.recv(1)


# Guards against a rejection that the caller takes for the response to its next request,
# sent since some clients end a body with a line of its own (RFC 9112, section 2.2).
def test_empty_lines_between_requests_get_no_response(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Keep a connection on which empty lines follow a request."""
    _, address = start(echo)
    connected = connect(address)
    for target in (b"/first", b"/later"):
        connected.sendall(GET % target + b"\r\n\n")
        response = connected.recv(4096)
        assert response.startswith(b"HTTP/1.1 200 ")
        assert response.endswith(target)
        connected.settimeout(LIMITS.header_timeout.total_seconds() * 2)
        with pytest.raises(TimeoutError):
            connected.recv(1)


def test_endless_empty_lines_end_the_connection_without_a_response(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against a caller that is read for good, or is told of no request."""
    _, address = start(echo)
    connected = connect(address)
    connected.sendall(GET % b"/first" + b"\r\n" * LIMITS.header_bytes)
    assert read_all(connected).count(b"HTTP/1.1 ") == 1


# Guards against the body of a response to HEAD, which the caller takes for the next
# response (RFC 9110, section 9.3.2).
def test_response_to_head_has_no_body(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Send no body of a complete, a large or a chunked response."""

    def serve(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        if request.target == "/chunked":
            writer.start(200, ())
            writer.write(b"piece")
            writer.finish()
            return
        n_bytes = 2 * JOINED_BODY_LIMIT_BYTES if request.target == "/large" else 5
        writer.respond(HttpResponse(200, b"x" * n_bytes))

    _, address = start(serve)
    connected = connect(address)
    for target in (b"/plain", b"/large", b"/chunked"):
        connected.sendall(b"HEAD %b HTTP/1.1\r\nHost: h\r\n\r\n" % target)
        response = connected.recv(4096)
        assert response.startswith(b"HTTP/1.1 200 ")
        assert response.endswith(b"\r\n\r\n")
    connected.sendall(GET % b"/plain")
    assert connected.recv(4096).endswith(b"\r\n\r\nxxxxx")


def test_rejected_caller_that_has_gone_leaves_no_trace(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Guard against a crowd that fills the log with tracebacks.

    The response to a connection that its caller has closed resets it before it is shut
    down here.
    """
    server, address = start(echo)
    connected = connect(address)
    connected.sendall(b"nonsense\r\n\r\n")
    connected.close()
    gevent.sleep(LINGER_TIME.total_seconds() + 0.2)
    assert server.n_connections == 0
    assert capfd.readouterr().err == ""


def test_stop_answers_requests_that_were_just_accepted(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against a planned stop that cuts requests before they are read.

    One connection waits to be accepted, one has an unread request, one half a request
    and one sends its first request after the stop has begun.
    """
    server, address = start(echo)
    late = connect(address)
    unread = connect(address)
    half = connect(address)
    gevent.sleep(0.02)
    half.sendall((GET % b"/half")[:9])
    gevent.sleep(0.02)
    # A send to an empty buffer and a socket that blocks do not let the server run.
    unread.send(GET % b"/unread")
    ip, _, port = address.rpartition(":")
    waiting = monkey.get_original("socket", "socket")()
    waiting.connect((ip, int(port)))
    waiting.send(GET % b"/waiting")
    server.stop()
    server.drain_connections()
    assert server.n_active_requests == 4
    half.sendall((GET % b"/half")[9:])
    gevent.sleep(0.05)
    late.sendall(GET % b"/late")
    assert read_all(half).endswith(b"/half")
    assert read_all(unread).endswith(b"/unread")
    assert read_all(late).endswith(b"/late")
    wrapped = socket.socket(fileno=waiting.detach())
    assert read_all(wrapped).endswith(b"/waiting")
    assert server.n_active_requests == 0


def test_stop_closes_connections_without_a_request(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against a stop that waits for callers that send nothing."""
    server, address = start(echo)
    unused = connect(address)
    gevent.sleep(0.02)
    server.stop()
    server.drain_connections()
    assert read_all(unused) == b""
    assert server.n_active_requests == 0


def test_drain_closes_idle_connections_and_finishes_responses(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against a planned stop that aborts a request."""
    may_respond = gevent.event.Event()

    def serve(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        may_respond.wait()
        echo(request, writer, mailbox, now)

    server, address = start(serve)
    idle = connect(address)
    busy = connect(address)
    busy.sendall(GET % b"/busy")
    gevent.sleep(0.05)
    server.drain_connections()
    assert read_all(idle) == b""
    assert server.n_active_requests == 1
    may_respond.set()
    data = read_all(busy)
    assert b"connection: close" in data
    assert data.endswith(b"/busy")


def test_stop_does_not_wait_for_each_connection_beyond_the_bound(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against a planned stop that a crowd in the backlog holds up.

    Connections that wait for room took a tenth of a second each before the others
    were told of the stop.
    """
    release = gevent.event.Event()

    def serve(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        release.wait()
        echo(request, writer, mailbox, now)

    server, address = start(serve)
    served = [connect(address) for _ in range(N_CONNECTIONS)]
    for connected in served:
        connected.sendall(GET % b"/served")
    gevent.sleep(0.05)
    ip, _, port = address.rpartition(":")
    crowd = [monkey.get_original("socket", "socket")() for _ in range(50)]
    # Sockets that block do not let the server run, so that all wait for the stop.
    for waiting in crowd:
        waiting.connect((ip, int(port)))
    with gevent.Timeout(2):
        server.stop()
    assert all(waiting.recv(99).startswith(b"HTTP/1.1 503") for waiting in crowd)
    release.set()
    assert all(b"/served" in connected.recv(4096) for connected in served)


def test_stop_answers_a_connection_that_waits_for_room(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against a stop that resets the connection being accepted at that moment."""
    release = gevent.event.Event()

    def serve(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        release.wait()
        echo(request, writer, mailbox, now)

    server, address = start(serve)
    served = [connect(address) for _ in range(N_CONNECTIONS)]
    for connected in served:
        connected.sendall(GET % b"/served")
    gevent.sleep(0.05)
    waiting = connect(address)
    # The server waits for up to UNUSED_CONNECTION_TIME before it refuses this one.
    gevent.sleep(0.02)
    server.stop()
    assert waiting.recv(99).startswith(b"HTTP/1.1 503")
    release.set()
    assert all(b"/served" in connected.recv(4096) for connected in served)


def test_connections_without_a_request_make_room(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against descriptors that idle callers use up, and against cut responses."""
    release = gevent.event.Event()

    def serve(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        release.wait()
        echo(request, writer, mailbox, now)

    server, address = start(serve)
    served = connect(address)
    served.sendall(GET % b"/served")
    idle = [connect(address) for _ in range(N_CONNECTIONS)]
    assert idle[0].recv(1) == b""
    assert server.n_connections <= N_CONNECTIONS
    last = connect(address)
    last.sendall(GET % b"/last")
    release.set()
    assert b"/served" in served.recv(4096)
    assert b"/last" in last.recv(4096)


def test_stalled_bodies_leave_room_for_an_ordinary_one(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against bodies just short of their end that no other request fits beside.

    The one that is dropped is told that it did not run.
    """
    server, address = start(echo)
    head = b"POST %b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    stalled = [connect(address) for _ in range(10)]
    for connected in stalled:
        connected.sendall(head % (b"/stalled", 45_000) + b"a" * 44_990)
    gevent.sleep(0.05)
    last = connect(address)
    last.sendall(head % (b"/last", 30_000) + b"a" * 30_000)
    assert b"/last" in last.recv(4096)
    assert stalled[-1].recv(4096).startswith(b"HTTP/1.1 503")
    assert server.memory.n_bytes <= BUDGET_BYTES + N_CONNECTIONS * FREE_SHARE_BYTES
    for connected in stalled:
        connected.close()
    gevent.sleep(0.05)
    assert server.memory.n_bytes == 0


def test_a_request_without_room_does_not_run(
    start: Callable[[ServeRequest], tuple[HttpServer, HostAddress]],
) -> None:
    """Guard against whole requests that run beyond the budget, or run and are refused.

    The requests in progress keep their connections and their responses.
    """
    release = gevent.event.Event()
    served = []

    def serve(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        served.append(request.target)
        release.wait()
        echo(request, writer, mailbox, now)

    _, address = start(serve)
    head = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n"
    callers = [connect(address) for _ in range(8)]
    for number, connected in enumerate(callers):
        connected.sendall(head % number + b"a" * 30_000)
        gevent.sleep(0.05)
    n_running = len(served)
    assert 0 < n_running < len(callers)
    release.set()
    for number, connected in enumerate(callers):
        status = b"200" if f"/{number}" in served else b"503"
        assert connected.recv(4096).startswith(b"HTTP/1.1 " + status)
    assert len(served) == n_running
