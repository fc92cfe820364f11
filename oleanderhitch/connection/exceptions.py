"""Define the errors of connections."""

from oleanderhitch.exceptions import OleanderhitchError, UnavailableError


class MalformedFrameError(OleanderhitchError):
    """Signal a frame that the codec refuses."""


class HandshakeError(OleanderhitchError):
    """Signal a peer that did not prove that it holds the shared key."""


class ConnectionLostError(UnavailableError):
    """Signal a connection that broke or went silent."""
