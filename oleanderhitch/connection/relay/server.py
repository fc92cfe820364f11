"""Server that passes bytes between other entry hosts and the endpoints they name.

A tunnel changes nothing and keeps nothing. The connection to the other host is closed
in good order only if the endpoint has closed its own so; whatever else ends a tunnel,
also the end of this process, resets it.
"""

import struct
from datetime import timedelta

import gevent
import logbook
from gevent import socket
from gevent.pool import Pool
from msgspec import Struct

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.exceptions import HandshakeError
from oleanderhitch.connection.http.sockets import (
    open_connection,
    open_listener,
    set_tcp_options,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.stream import PeerStream
from oleanderhitch.connection.relay.client import RELAY_TIMING
from oleanderhitch.connection.relay.framing import PIECE_BYTES, Framing, get_framing
from oleanderhitch.connection.relay.messages import (
    OpenConfirmedTunnel,
    OpenTunnel,
    TunnelOpened,
    TunnelRefused,
)
from oleanderhitch.connection.relay.states import RelayRefusal
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.clock import Clock

# Each tunnel holds two pieces and what its two sockets have received.
RECEIVE_BUFFER_BYTES = 32 * 1024
# Short against the timeout of the other host; descriptors are freed all the time.
ACCEPT_RETRY_DELAY = timedelta(milliseconds=50)
# Time for the other host to close a connection that the endpoint has ended.
CLOSE_TIMEOUT = timedelta(seconds=2)
# SO_LINGER with a time of 0: a close resets the connection, also the one by the system
# when the process ends.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
FINISH_ON_CLOSE = struct.pack("ii", 0, 0)

log = logbook.Logger("relay")


class RelayServer:
    """Owner of the listening socket and of one greenlet per tunnel."""

    def __init__(
        self,
        listen: HostAddress,
        codec: Codec,
        identity: Identity,
        clock: Clock,
        n_tunnels_limit: int,
    ) -> None:
        self._listen = listen
        self._codec = codec
        self._identity = identity
        self._clock = clock
        self._n_tunnels_limit = n_tunnels_limit
        self._tunnels = Pool()
        self._listener: socket.socket | None = None
        self._acceptor: gevent.Greenlet | None = None

    @property
    def n_tunnels(self) -> int:
        """The number of connections of other hosts."""
        return len(self._tunnels)

    def start(self) -> None:
        """Start to accept connections; raise OSError."""
        self._listener = open_listener(self._listen)
        self._acceptor = gevent.spawn(self._accept, self._listener)

    def stop_accepting(self) -> None:
        """Close the listening socket; the tunnels that are open stay so."""
        if self._acceptor is not None:
            self._acceptor.kill()
        if self._listener is not None:
            self._listener.close()

    def stop(self) -> None:
        """Close the listening socket and all tunnels."""
        self.stop_accepting()
        self._tunnels.kill(block=False)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                accepted, remote = listener.accept()
            except OSError as error:
                log.error("could not accept a connection", reason=str(error))
                gevent.sleep(ACCEPT_RETRY_DELAY.total_seconds())
                continue
            self._tunnels.spawn(self._serve, accepted, remote)

    def _serve(self, accepted: socket.socket, remote: object) -> None:
        stream = PeerStream(
            accepted, self._codec, self._identity, RELAY_TIMING, self._clock
        )
        endpoint: socket.socket | None = None
        try:
            node = stream.authenticate_as_server()
            request = stream.receive_message()
            if not isinstance(request, OpenTunnel | OpenConfirmedTunnel):
                raise HandshakeError(f"unexpected message {type(request).__name__}")
            endpoint = self._connect(request.endpoint, stream)
            if endpoint is not None:
                log.info("tunnel opened", peer=node, address=request.endpoint)
                _pass_on(stream.detach(), endpoint, get_framing(request))
        except (OleanderhitchError, OSError) as error:
            log.info("tunnel not opened", peer=str(remote), reason=str(error))
        finally:
            if endpoint is not None:
                endpoint.close()
            stream.close()

    def _connect(
        self, address: HostAddress, stream: PeerStream
    ) -> socket.socket | None:
        if self.n_tunnels > self._n_tunnels_limit:
            stream.send_message(TunnelRefused(RelayRefusal.OVERLOADED))
            return None
        try:
            endpoint = open_connection(address, RELAY_TIMING.connect_timeout)
        except (OSError, OleanderhitchError) as error:
            log.info("endpoint not connected", address=address, reason=str(error))
            stream.send_message(TunnelRefused(RelayRefusal.UNREACHABLE))
            return None
        endpoint.settimeout(None)
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        stream.send_message(TunnelOpened())
        return endpoint


class _Tunnel(Struct):
    """The two connections of a tunnel, and whether the endpoint took no more bytes."""

    host: socket.socket
    endpoint: socket.socket
    framing: Framing
    is_endpoint_lost: bool = False


def _pass_on(host: socket.socket, endpoint: socket.socket, framing: Framing) -> None:
    """Pass bytes on in both directions until one side ends the connection."""
    set_tcp_options(host)
    host.settimeout(None)
    host.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    host.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    # The other host must not read bytes of the endpoint with the messages before.
    first = host.recv(PIECE_BYTES)
    if not first:
        return
    tunnel = _Tunnel(host, endpoint, framing)
    upward = gevent.spawn(_pass_requests_on, first, tunnel)
    downward = gevent.spawn(_pass_answers_on, tunnel)
    try:
        # Once the other host has left, its request is cancelled.
        gevent.wait([upward, downward], count=1)
        if downward.ready() and downward.value:
            # An early close would reset what the other host has not read yet.
            upward.join(CLOSE_TIMEOUT.total_seconds())
    finally:
        gevent.killall([upward, downward])


def _pass_requests_on(data: bytes, tunnel: _Tunnel) -> None:
    """Pass bytes on until the other host leaves; the endpoint may fail before.

    What the endpoint has answered by then may still be on its way.
    """
    try:
        while data:
            if not tunnel.is_endpoint_lost:
                _send_to_endpoint(data, tunnel)
            data = tunnel.host.recv(PIECE_BYTES)
    except OSError as error:
        log.debug("other host lost", reason=str(error))


def _send_to_endpoint(data: bytes, tunnel: _Tunnel) -> None:
    try:
        tunnel.endpoint.sendall(data)
    except OSError as error:
        log.debug("endpoint takes no more bytes", reason=str(error))
        tunnel.is_endpoint_lost = True


def _pass_answers_on(tunnel: _Tunnel) -> bool:
    """Return whether the endpoint has ended the connection in good order."""
    host, framing = tunnel.host, tunnel.framing
    try:
        while data := tunnel.endpoint.recv(PIECE_BYTES):
            host.sendall(framing.frame(data))
        if not tunnel.is_endpoint_lost:
            host.sendall(framing.end)
            host.shutdown(socket.SHUT_WR)
            host.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, FINISH_ON_CLOSE)
            return True
        # The system reports a reset once, here to the sender.
        reason = "reset while it was sent a request"
    except OSError as error:
        reason = str(error)
    log.debug("endpoint lost", reason=reason)
    return False


def make_relay_server(
    listen: HostAddress,
    codec: Codec,
    identity: Identity,
    clock: Clock,
    n_tunnels_limit: int,
) -> RelayServer:
    """Return a server that has not been started."""
    return RelayServer(listen, codec, identity, clock, n_tunnels_limit)
