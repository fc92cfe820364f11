"""Encode what a host passes on from an endpoint, with or without confirmed ends.

The end of a connection does not say whether its endpoint has ended it or the host
between has. In a tunnel that confirms ends, the bytes come in frames with their length
before them, and an empty frame follows once the endpoint has closed the connection in
good order, as `close_notify` does in TLS (RFC 8446, section 6.1).
"""

from collections.abc import Callable
from functools import singledispatch

from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.connection.relay.messages import OpenConfirmedTunnel, OpenTunnel
from oleanderhitch.values import Value

HEADER_BYTES = 4
# What a host reads at once from an endpoint.
PIECE_BYTES = 16 * 1024


class Framing(Value, frozen=True):
    """How the bytes of an endpoint, and its end, are written to the other host."""

    frame: Callable[[bytes], bytes]
    end: bytes


def make_frame(data: bytes) -> bytes:
    """Return the frame of some bytes; without any, the frame that confirms the end."""
    return len(data).to_bytes(HEADER_BYTES) + data


def _leave_unframed(data: bytes) -> bytes:
    return data


@singledispatch
def get_framing(request: object) -> Framing:
    """Return the framing that a request for a tunnel asks for; raise TypeError."""
    raise TypeError(f"{type(request).__name__} opens no tunnel")


@get_framing.register
def _(request: OpenTunnel) -> Framing:
    return Framing(_leave_unframed, b"")


@get_framing.register
def _(request: OpenConfirmedTunnel) -> Framing:
    return Framing(make_frame, make_frame(b""))


class FrameDecoder:
    """Decoder of the frames of one tunnel, which may be split at any point."""

    def __init__(self) -> None:
        self._header = b""
        self._n_left_bytes = 0
        self._has_ended = False

    @property
    def has_ended(self) -> bool:
        """Whether the end of the endpoint's connection has been confirmed."""
        return self._has_ended

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the endpoint in some data; raise MalformedFrameError."""
        pieces: list[bytes] = []
        position = 0
        while position < len(data) and not self._has_ended:
            n_missing = self._n_left_bytes or HEADER_BYTES - len(self._header)
            piece = data[position : position + n_missing]
            position += len(piece)
            if self._n_left_bytes:
                self._n_left_bytes -= len(piece)
                pieces.append(piece)
            else:
                self._add_to_header(piece)
        return b"".join(pieces)

    def _add_to_header(self, piece: bytes) -> None:
        self._header += piece
        if len(self._header) < HEADER_BYTES:
            return
        self._n_left_bytes = int.from_bytes(self._header)
        self._header = b""
        self._has_ended = self._n_left_bytes == 0
        if self._n_left_bytes > PIECE_BYTES:
            raise MalformedFrameError(
                f"frame of a tunnel has {self._n_left_bytes} bytes; "
                f"at most {PIECE_BYTES} are allowed"
            )
