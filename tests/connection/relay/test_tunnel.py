"""Guard against tunnels that change, keep or hide what an endpoint has sent."""

import os
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from datetime import timedelta

import gevent
import pytest
from gevent import socket
from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.connection.codec import Codec, make_codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.connection.http.endpoint import (
    Exchange,
    ExchangeUnsent,
    make_endpoint_connection,
)
from oleanderhitch.connection.http.messages import (
    ExchangeFailed,
    ResponseEnd,
    ResponseOwner,
)
from oleanderhitch.connection.http.sockets import (
    EndpointSocket,
    open_connection,
    open_listener,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.stream import PeerStream
from oleanderhitch.connection.relay import server
from oleanderhitch.connection.relay.client import (
    RELAY_TIMING,
    open_tunnel,
    open_unconfirmed_tunnel,
)
from oleanderhitch.connection.relay.exceptions import (
    RelayError,
    TunnelRefusedError,
    TunnelUnconfirmedError,
)
from oleanderhitch.connection.relay.framing import (
    PIECE_BYTES,
    FrameDecoder,
    make_frame,
)
from oleanderhitch.connection.relay.messages import (
    OpenConfirmedTunnel,
    OpenTunnel,
    TunnelOpened,
)
from oleanderhitch.connection.relay.server import (
    RESET_ON_CLOSE,
    RelayServer,
    make_relay_server,
)
from oleanderhitch.connection.relay.states import RelayRefusal
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.site import peer_codec
from tests.process.site.harness import ROOT, get_free_address, wait_until

CLOCK = make_system_clock()
CODEC = peer_codec.make_site_peer_codec()
# What builds before confirmed ends know.
EARLIER_CODEC = make_codec(
    message_type
    for module in peer_codec.MODULES
    for message_type in module.MESSAGES
    if message_type is not OpenConfirmedTunnel
)
KEY = b"key"
N_TUNNELS_LIMIT = 4
LARGE_BYTES = 3_000_000


class FakeEndpoint:
    """Runs a script on each accepted connection, and notes how it ends."""

    def __init__(self, script: Callable[[socket.socket], None]) -> None:
        self.address = get_free_address()
        self.n_accepted = 0
        self.n_closed = 0
        self._script = script
        self._listener = open_listener(self.address)
        gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            accepted, _ = self._listener.accept()
            self.n_accepted += 1
            gevent.spawn(self._serve, accepted)

    def _serve(self, accepted: socket.socket) -> None:
        try:
            self._script(accepted)
        except OSError:
            pass
        finally:
            accepted.close()
            self.n_closed += 1


# Opens tunnels in a process of its own, which a test can kill.
RELAY_SCRIPT = """
import sys
from oleanderhitch.process.runtime import select_event_loop
select_event_loop()
import gevent
from tests.connection.relay import test_tunnel
test_tunnel.make_relay(sys.argv[1], test_tunnel.CODEC).start()
gevent.sleep(60)
"""


def make_relay(address: HostAddress, codec: Codec) -> RelayServer:
    """Return a host that opens tunnels."""
    identity = Identity(NodeId("relay"), KEY)
    return make_relay_server(address, codec, identity, CLOCK, N_TUNNELS_LIMIT)


@pytest.fixture
def relay() -> Iterator[RelayServer]:
    """Run a host that opens tunnels."""
    server = make_relay(get_free_address(), CODEC)
    server.start()
    yield server
    server.stop()


@pytest.fixture
def earlier_relay() -> Iterator[RelayServer]:
    """Run a host that opens tunnels, and does not know those with confirmed ends."""
    server = make_relay(get_free_address(), EARLIER_CODEC)
    server.start()
    yield server
    server.stop()


@contextmanager
def run_relay_process() -> Iterator[tuple[int, HostAddress]]:
    """Run a host that opens tunnels as a process; yield its id and its address."""
    address = get_free_address()
    process = subprocess.Popen([sys.executable, "-c", RELAY_SCRIPT, address], cwd=ROOT)
    try:
        yield process.pid, address
    finally:
        process.kill()
        process.wait()


class Tunnel:
    """A tunnel to an endpoint, used like a socket."""

    def __init__(self, opened: EndpointSocket) -> None:
        self._opened = opened
        opened.connected.settimeout(5)
        self.sendall = opened.connected.sendall
        self.recv = opened.receive
        self.close = opened.connected.close


def connect(
    relay: HostAddress, endpoint: HostAddress, key: bytes = KEY, codec: Codec = CODEC
) -> Tunnel:
    """Return a tunnel to an endpoint."""
    identity = Identity(NodeId("host"), key)
    return Tunnel(open_tunnel(relay, endpoint, codec, identity, CLOCK))


def connect_unconfirmed(relay: HostAddress, endpoint: HostAddress) -> Tunnel:
    """Return a tunnel whose end nobody confirms."""
    identity = Identity(NodeId("host"), KEY)
    return Tunnel(open_unconfirmed_tunnel(relay, endpoint, CODEC, identity, CLOCK))


def connect_as_earlier_build(relay: HostAddress, endpoint: HostAddress) -> Tunnel:
    """Return a tunnel whose end is that of its connection."""
    connected = open_connection(relay, RELAY_TIMING.connect_timeout)
    identity = Identity(NodeId("host"), KEY)
    stream = PeerStream(connected, EARLIER_CODEC, identity, RELAY_TIMING, CLOCK)
    stream.authenticate_as_client()
    stream.send_message(OpenTunnel(endpoint))
    assert isinstance(stream.receive_message(), TunnelOpened)
    return Tunnel(EndpointSocket(connected, connected.recv))


CONNECTORS = [connect, connect_unconfirmed, connect_as_earlier_build]


def answer_in_parts(accepted: socket.socket) -> None:
    """Send parts of an answer until the connection ends."""
    accepted.recv(100)
    while True:
        accepted.sendall(b"part")
        gevent.sleep(0.02)


def send_quietly(tunnel: Tunnel, data: bytes) -> None:
    """Send as much as the other side takes."""
    with suppress(OSError):
        tunnel.sendall(data)


def connect_when_listening(
    connect_by: Callable[[HostAddress, HostAddress], Tunnel],
    relay: HostAddress,
    endpoint: HostAddress,
) -> Tunnel:
    """Return a tunnel through a process that may still be starting."""
    opened: list[Tunnel] = []

    def is_opened() -> bool:
        with suppress(RelayError, OSError):
            opened.append(connect_by(relay, endpoint))
        return bool(opened)

    wait_until(is_opened, "a tunnel through the process")
    return opened[0]


def read_all(tunnel: Tunnel) -> bytes:
    """Return what arrives until the connection ends in good order."""
    data = b""
    while piece := tunnel.recv(65536):
        data += piece
    return data


def test_bytes_pass_unchanged_in_both_directions(relay: RelayServer) -> None:
    """Guard against bodies that are cut, changed or lost at a close."""
    body = bytes(range(256)) * (LARGE_BYTES // 256)

    def echo(accepted: socket.socket) -> None:
        received = b""
        while len(received) < len(body):
            received += accepted.recv(65536)
        accepted.sendall(received)

    endpoint = FakeEndpoint(echo)
    tunnel = connect(relay._listen, endpoint.address)
    gevent.spawn(tunnel.sendall, body)
    assert read_all(tunnel) == body
    tunnel.close()
    wait_until(lambda: relay.n_tunnels == 0, "no tunnel left")


def test_reset_of_an_endpoint_does_not_look_like_an_end(relay: RelayServer) -> None:
    """Guard against a response without a length that is cut and looks complete."""

    def reset(accepted: socket.socket) -> None:
        accepted.recv(100)
        accepted.sendall(b"part")
        gevent.sleep(0.1)
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    tunnel = connect(relay._listen, FakeEndpoint(reset).address)
    tunnel.sendall(b"request")
    assert tunnel.recv(4) == b"part"
    with pytest.raises(ConnectionResetError):
        tunnel.recv(1)


def test_reset_during_the_request_does_not_look_like_an_end(relay: RelayServer) -> None:
    """Guard against a cut response that looks complete, whoever notices the reset."""

    def reset(accepted: socket.socket) -> None:
        accepted.recv(10)
        accepted.sendall(b"part")
        gevent.sleep(0.05)
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    endpoint = FakeEndpoint(reset)
    for _ in range(10):
        tunnel = connect(relay._listen, endpoint.address)
        gevent.spawn(send_quietly, tunnel, b"x" * LARGE_BYTES)
        with pytest.raises(ConnectionResetError):
            read_all(tunnel)
        tunnel.close()


def test_early_answer_arrives_while_the_request_is_sent(relay: RelayServer) -> None:
    """Guard against an answer that is lost, since its endpoint reads no further."""

    def answer_early(accepted: socket.socket) -> None:
        accepted.recv(10)
        accepted.sendall(b"answer")
        accepted.shutdown(socket.SHUT_WR)
        gevent.sleep(0.5)

    tunnel = connect(relay._listen, FakeEndpoint(answer_early).address)
    writer = gevent.spawn(tunnel.sendall, b"x" * LARGE_BYTES)
    assert read_all(tunnel) == b"answer"
    writer.kill()


def test_close_of_the_other_host_ends_the_work_of_the_endpoint(
    relay: RelayServer,
) -> None:
    """Guard against an endpoint that works on for a caller that has left."""

    def work(accepted: socket.socket) -> None:
        while accepted.recv(100):
            pass

    endpoint = FakeEndpoint(work)
    tunnel = connect(relay._listen, endpoint.address)
    tunnel.sendall(b"request")
    wait_until(lambda: endpoint.n_accepted == 1, "the request at the endpoint")
    tunnel.close()
    wait_until(lambda: endpoint.n_closed == 1, "the end of its connection")


def test_unreachable_endpoint_is_reported_as_such(relay: RelayServer) -> None:
    """Guard against a host that is given up for an endpoint that has ended."""
    with pytest.raises(TunnelRefusedError) as refused:
        connect(relay._listen, get_free_address())
    assert refused.value.refusal is RelayRefusal.UNREACHABLE


def test_host_with_too_many_tunnels_refuses_more(relay: RelayServer) -> None:
    """Guard against a host that runs out of descriptors for the load of others."""
    endpoint = FakeEndpoint(lambda accepted: gevent.sleep(5))
    tunnels = [connect(relay._listen, endpoint.address) for _ in range(N_TUNNELS_LIMIT)]
    with pytest.raises(TunnelRefusedError) as refused:
        connect(relay._listen, endpoint.address)
    assert refused.value.refusal is RelayRefusal.OVERLOADED
    tunnels.pop().close()
    wait_until(lambda: relay.n_tunnels < N_TUNNELS_LIMIT, "a free tunnel")
    connect(relay._listen, endpoint.address)


def test_strangers_get_no_tunnel(relay: RelayServer) -> None:
    """Guard against an open proxy, and against hosts that wait for a silent one."""
    endpoint = FakeEndpoint(lambda accepted: None)
    with pytest.raises(RelayError):
        connect(relay._listen, endpoint.address, b"another key")
    with pytest.raises(RelayError):
        open_tunnel(
            get_free_address(),
            endpoint.address,
            CODEC,
            Identity(NodeId("host"), KEY),
            CLOCK,
        )
    assert endpoint.n_accepted == 0


# Guards against an answer without a length that is cut and looks complete, since the
# host that passes it on ends, is stopped, or fails within a greenlet of the tunnel.
@pytest.mark.parametrize("connect_by", CONNECTORS)
def test_end_of_the_host_between_does_not_look_like_an_end(
    connect_by: Callable[[HostAddress, HostAddress], Tunnel],
) -> None:
    """Break the answer off, also where the asking host is of an earlier build."""
    endpoint = FakeEndpoint(answer_in_parts)
    with run_relay_process() as (process, address):
        tunnel = connect_when_listening(connect_by, address, endpoint.address)
        tunnel.sendall(b"request")
        assert tunnel.recv(4) == b"part"
        os.kill(process, signal.SIGKILL)
        with pytest.raises(ConnectionError):
            read_all(tunnel)


@pytest.mark.parametrize("connect_by", CONNECTORS)
def test_stop_of_the_host_between_does_not_look_like_an_end(
    relay: RelayServer, connect_by: Callable[[HostAddress, HostAddress], Tunnel]
) -> None:
    """Guard against a cut answer that looks complete, since its host has to end."""
    tunnel = connect_by(relay._listen, FakeEndpoint(answer_in_parts).address)
    tunnel.sendall(b"request")
    assert tunnel.recv(4) == b"part"
    relay.stop()
    with pytest.raises(ConnectionError):
        read_all(tunnel)


@pytest.mark.parametrize("connect_by", CONNECTORS)
def test_error_in_a_tunnel_does_not_look_like_an_end(
    relay: RelayServer,
    connect_by: Callable[[HostAddress, HostAddress], Tunnel],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a cut answer that looks complete after an unexpected error."""
    tunnel = connect_by(relay._listen, FakeEndpoint(answer_in_parts).address)
    tunnel.sendall(b"request")
    assert tunnel.recv(4) == b"part"
    monkeypatch.setattr(server, "PIECE_BYTES", None)
    with pytest.raises(ConnectionError):
        read_all(tunnel)


@pytest.mark.parametrize("connect_by", [connect, connect_as_earlier_build])
def test_end_of_the_endpoint_is_the_end_of_the_tunnel(
    relay: RelayServer, connect_by: Callable[[HostAddress, HostAddress], Tunnel]
) -> None:
    """Guard against whole answers that are broken off, also slowly read ones."""

    def answer(accepted: socket.socket) -> None:
        accepted.recv(100)
        accepted.sendall(b"x" * LARGE_BYTES)

    tunnel = connect_by(relay._listen, FakeEndpoint(answer).address)
    tunnel.sendall(b"request")
    gevent.sleep(0.2)
    assert read_all(tunnel) == b"x" * LARGE_BYTES


# Guards against a cut answer that looks complete, passed on by a host that can't say
# that its endpoint has ended it.
def test_end_of_a_tunnel_through_an_earlier_build_is_not_confirmed(
    earlier_relay: RelayServer,
) -> None:
    """Pass bytes on, and count the end of the connection as broken."""

    def answer(accepted: socket.socket) -> None:
        accepted.recv(100)
        accepted.sendall(b"answer")

    endpoint = FakeEndpoint(answer)
    with pytest.raises(TunnelUnconfirmedError):
        connect(earlier_relay._listen, endpoint.address)
    tunnel = connect_unconfirmed(earlier_relay._listen, endpoint.address)
    tunnel.sendall(b"request")
    assert tunnel.recv(6) == b"answer"
    with pytest.raises(ConnectionAbortedError):
        tunnel.recv(1)
    assert endpoint.n_accepted == 1


@given(
    st.lists(st.binary(min_size=1, max_size=50), max_size=8),
    st.lists(st.integers(1, 30), max_size=40),
    st.integers(0, 30),
)
def test_frames_may_be_split_at_any_byte(
    pieces: list[bytes], sizes: list[int], n_cut: int
) -> None:
    """Guard against an end that is confirmed before the last byte, or not at all."""
    data = b"".join(map(make_frame, pieces)) + make_frame(b"")
    for n_bytes in (len(data), max(len(data) - 1 - n_cut, 0)):
        rest = data[:n_bytes]
        decoder = FrameDecoder()
        received = b""
        for size in [*sizes, len(data)]:
            received += decoder.feed(rest[:size])
            rest = rest[size:]
        assert decoder.has_ended is (n_bytes == len(data))
        assert b"".join(pieces).startswith(received)
        if decoder.has_ended:
            assert received == b"".join(pieces)


def test_frame_that_is_too_large_is_refused() -> None:
    """Guard against a host that reads bytes of another protocol as a frame."""
    with pytest.raises(MalformedFrameError):
        FrameDecoder().feed((PIECE_BYTES + 1).to_bytes(4))


# Guards against an answer that is cut on its way through another host and reaches the
# caller as a complete one.
@pytest.mark.parametrize("is_confirmed", [True, False])
def test_answer_without_a_length_ends_with_the_confirmed_end(
    relay: RelayServer, is_confirmed: bool
) -> None:
    """Report the end of the response only if its endpoint has ended it."""

    def answer(accepted: socket.socket) -> None:
        accepted.recv(100)
        accepted.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
        if not is_confirmed:
            gevent.sleep(0.1)
            relay.stop()
            gevent.sleep(1)

    end = run_exchange(relay, FakeEndpoint(answer).address, 1)
    assert isinstance(end, ResponseEnd if is_confirmed else ExchangeFailed)


def test_connection_whose_endpoint_has_left_is_not_used_again(
    relay: RelayServer,
) -> None:
    """Guard against a request sent after an end that was confirmed with an answer."""

    def answer(accepted: socket.socket) -> None:
        accepted.recv(100)
        accepted.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    endpoint = FakeEndpoint(answer)
    for _ in range(10):
        end = run_exchange(relay, endpoint.address, 2)
        assert isinstance(end, ExchangeUnsent)


def run_exchange(relay: RelayServer, endpoint: HostAddress, n_exchanges: int) -> object:
    """Return how the last exchange of a connection through a tunnel ends."""
    identity = Identity(NodeId("host"), KEY)
    mailbox = make_mailbox("test")
    connection = make_endpoint_connection(
        endpoint,
        mailbox,
        connect=lambda address: open_tunnel(
            relay._listen, address, CODEC, identity, CLOCK
        ),
    )
    connection.start()
    for number in range(n_exchanges):
        request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        connection.send(
            Exchange(number, request, mailbox, lambda _: ResponseOwner.THIS_REQUEST)
        )
        end: object = None
        while not isinstance(end, ResponseEnd | ExchangeFailed | ExchangeUnsent):
            end = mailbox.receive(timedelta(seconds=5))
            assert end is not None
    return end
