"""Define the errors of HTTP connections."""

from oleanderhitch.connection.http.messages import RequestFault
from oleanderhitch.exceptions import InvalidInputError, UnavailableError


class UnreadableRequestError(InvalidInputError):
    """Signal bytes of a caller that are no request within the limits."""

    def __init__(self, fault: RequestFault, detail: str) -> None:
        super().__init__(detail)
        self.fault = fault


class UnreadableResponseError(UnavailableError):
    """Signal bytes of an endpoint that are no answer."""
