"""Exceptions of HTTP connections."""

from oleanderhitch.connection.http.messages import RequestFault
from oleanderhitch.exceptions import InvalidInputError, UnavailableError


class RequestParseError(InvalidInputError):
    """Bytes from a caller are not a valid request or exceed a limit."""

    def __init__(self, fault: RequestFault, detail: str) -> None:
        super().__init__(detail)
        self.fault = fault


class ResponseParseError(UnavailableError):
    """Bytes from an endpoint are not a valid response."""
