"""Open connections to endpoints through another entry host."""

from datetime import timedelta
from functools import partial

from gevent import socket

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.exceptions import MalformedFrameError, PeerClosedError
from oleanderhitch.connection.http.sockets import EndpointSocket, open_connection
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.stream import PeerStream, StreamTiming
from oleanderhitch.connection.relay.exceptions import (
    RelayError,
    TunnelRefusedError,
    TunnelUnconfirmedError,
)
from oleanderhitch.connection.relay.framing import FrameDecoder
from oleanderhitch.connection.relay.messages import (
    OpenConfirmedTunnel,
    OpenTunnel,
    TunnelOpened,
    TunnelRefused,
)
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.clock import Clock

# The other host takes up to 250 ms to connect to the endpoint.
RELAY_TIMING = StreamTiming(
    connect_timeout=timedelta(milliseconds=250),
    receive_timeout=timedelta(milliseconds=500),
)


def open_tunnel(
    relay: HostAddress,
    endpoint: HostAddress,
    codec: Codec,
    identity: Identity,
    clock: Clock,
) -> EndpointSocket:
    """Return a socket whose bytes go to and come from an endpoint.

    Raise RelayError if there is none; nothing was sent to the endpoint then.
    """
    stream = _connect(relay, codec, identity, clock)
    try:
        connected = _request_tunnel(stream, OpenConfirmedTunnel(endpoint))
    except PeerClosedError:
        raise TunnelUnconfirmedError(relay) from None
    return EndpointSocket(connected, TunnelReader(connected).receive, True)


def open_unconfirmed_tunnel(
    relay: HostAddress,
    endpoint: HostAddress,
    codec: Codec,
    identity: Identity,
    clock: Clock,
) -> EndpointSocket:
    """Return a socket like that of `open_tunnel`, through a host of an earlier build.

    Its end is an error, as that host may have ended it. Raise RelayError if there is
    none; nothing was sent to the endpoint then.
    """
    stream = _connect(relay, codec, identity, clock)
    try:
        connected = _request_tunnel(stream, OpenTunnel(endpoint))
    except PeerClosedError as error:
        raise RelayError(f"no tunnel through {relay}: {error}") from error
    return EndpointSocket(connected, partial(_receive_or_abort, connected), True)


class TunnelReader:
    """Reader of what an endpoint sends through a tunnel that confirms its end."""

    def __init__(self, connected: socket.socket) -> None:
        self._socket = connected
        self._decoder = FrameDecoder()

    def receive(self, n_bytes: int) -> bytes:
        """Return up to so many bytes of the endpoint, none after its confirmed end.

        Raise OSError if the tunnel ends without that.
        """
        while not self._decoder.has_ended:
            data = _receive_or_abort(self._socket, n_bytes)
            try:
                received = self._decoder.feed(data)
            except MalformedFrameError as error:
                raise ConnectionAbortedError(str(error)) from None
            if received:
                return received
        return b""


def _connect(
    relay: HostAddress, codec: Codec, identity: Identity, clock: Clock
) -> PeerStream:
    try:
        connected = open_connection(relay, RELAY_TIMING.connect_timeout)
    except OSError as error:
        raise RelayError(f"could not connect to {relay}: {error}") from error
    stream = PeerStream(connected, codec, identity, RELAY_TIMING, clock)
    try:
        stream.authenticate_as_client()
    except OleanderhitchError as error:
        stream.close()
        raise RelayError(f"no tunnel through {relay}: {error}") from error
    return stream


def _request_tunnel(
    stream: PeerStream, request: OpenTunnel | OpenConfirmedTunnel
) -> socket.socket:
    """Return the socket of an open tunnel; raise RelayError or PeerClosedError."""
    try:
        stream.send_message(request)
        answer = stream.receive_message()
    except PeerClosedError:
        stream.close()
        raise
    except OleanderhitchError as error:
        stream.close()
        raise RelayError(f"no answer to {request}: {error}") from error
    if isinstance(answer, TunnelOpened):
        return stream.detach()
    stream.close()
    if isinstance(answer, TunnelRefused):
        raise TunnelRefusedError(answer.refusal)
    raise RelayError(f"unexpected answer {type(answer).__name__}")


def _receive_or_abort(connected: socket.socket, n_bytes: int) -> bytes:
    """Return received bytes; raise OSError at the end, which nobody has confirmed."""
    data: bytes = connected.recv(n_bytes)
    if not data:
        raise ConnectionAbortedError("the tunnel ended without its endpoint's end")
    return data
