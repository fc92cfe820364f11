"""Exceptions of connections."""

from oleanderhitch.exceptions import OleanderhitchError, UnavailableError


class MalformedFrameError(OleanderhitchError):
    """A frame can't be encoded or decoded."""


class HandshakeError(OleanderhitchError):
    """A peer did not prove that it holds the shared key."""


class ConnectionLostError(UnavailableError):
    """A connection failed, was closed or timed out."""


class PeerClosedError(ConnectionLostError):
    """The peer has closed a connection in good order."""
