"""Define the errors of connections to endpoints."""

from oleanderhitch.connection.exceptions import ConnectionLostError
from oleanderhitch.exceptions import OleanderhitchError, UnavailableError


class ConnectFailedError(UnavailableError):
    """Signal that no connection came about, so that no byte was sent."""


class MalformedAnswerError(ConnectionLostError):
    """Signal an answer that the connection cannot have meant for this request."""


class EndpointRefusedError(OleanderhitchError):
    """Signal a status other than success, with the body that came with it."""

    def __init__(self, status: int, body: bytes, is_final: bool) -> None:
        super().__init__(f"endpoint answered with status {status}")
        self.status = status
        self.body = body
        self.is_final = is_final
