"""Exceptions of HTTP connections."""

from oleanderhitch.connection.http.messages import RequestFault
from oleanderhitch.exceptions import InvalidInputError, UnavailableError


class RequestParseError(InvalidInputError):
    """Bytes from a caller are not a valid request or exceed a limit.

    `has_begun` is whether they belong to a request, so that a response is due.
    """

    def __init__(
        self, fault: RequestFault, detail: str, has_begun: bool = True
    ) -> None:
        super().__init__(detail)
        self.fault = fault
        self.has_begun = has_begun


class ResponseParseError(UnavailableError):
    """Bytes from an endpoint are not a valid response."""
