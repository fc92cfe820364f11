"""Open connections to endpoints through another entry host."""

from datetime import timedelta

from gevent import socket

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.http.sockets import open_connection
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.stream import PeerStream, StreamTiming
from oleanderhitch.connection.relay.exceptions import RelayError, TunnelRefusedError
from oleanderhitch.connection.relay.messages import (
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
) -> socket.socket:
    """Return a socket whose bytes go to and come from an endpoint.

    Raise RelayError if there is none; nothing was sent to the endpoint then.
    """
    try:
        connected = open_connection(relay, RELAY_TIMING.connect_timeout)
    except OSError as error:
        raise RelayError(f"could not connect to {relay}: {error}") from error
    stream = PeerStream(connected, codec, identity, RELAY_TIMING, clock)
    try:
        stream.authenticate_as_client()
        stream.send_message(OpenTunnel(endpoint))
        answer = stream.receive_message()
        if isinstance(answer, TunnelRefused):
            raise TunnelRefusedError(answer.refusal)
        if not isinstance(answer, TunnelOpened):
            raise RelayError(f"unexpected answer {type(answer).__name__}")
    except RelayError:
        stream.close()
        raise
    except OleanderhitchError as error:
        stream.close()
        raise RelayError(f"no tunnel through {relay}: {error}") from error
    return stream.detach()
