"""Exceptions of connections to endpoints."""

from oleanderhitch.connection.exceptions import ConnectionLostError
from oleanderhitch.exceptions import OleanderhitchError, UnavailableError


class ConnectFailedError(UnavailableError):
    """No connection was established, so no byte of the request was sent."""


class MalformedResponseError(ConnectionLostError):
    """A response is malformed or belongs to another request."""


class EndpointStatusError(OleanderhitchError):
    """The endpoint responded with a status other than success.

    `is_final` means that every other endpoint would respond in the same way.
    """

    def __init__(self, status: int, body: bytes, is_final: bool) -> None:
        super().__init__(f"endpoint answered with status {status}")
        self.status = status
        self.body = body
        self.is_final = is_final
