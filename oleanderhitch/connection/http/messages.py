"""Requests and responses, and the messages that HTTP connections send to tasks."""

from dataclasses import dataclass, field
from enum import Enum

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request, received or to be sent; header names are in lowercase."""

    method: str
    target: str
    headers: Headers
    body: bytes
    keeps_alive: bool = True

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]

    def find_header(self, name: str) -> str | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response, as opposed to one whose body is streamed."""

    status: int
    body: bytes = b""
    headers: Headers = ()


class RequestFault(Enum):
    """Why a request is rejected; the value is the HTTP status of the response."""

    MALFORMED = 400
    TIMED_OUT = 408
    BODY_TOO_LARGE = 413
    HEADERS_TOO_LARGE = 431


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """Reports that the caller's bytes are not a valid request or exceed a limit."""

    fault: RequestFault
    detail: str


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Reports that the connection to the caller was closed or failed."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Delivers the status and headers of an endpoint's response."""

    exchange_id: int
    status: int
    headers: Headers = field(default=())


@dataclass(frozen=True, slots=True)
class ResponseBody:
    """Delivers a part of the body of an endpoint's response."""

    exchange_id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """Reports the end of an endpoint's response.

    A response that is not framed ends when the connection is closed, so a truncated one
    looks the same as a complete one.
    """

    exchange_id: int
    is_framed: bool


@dataclass(frozen=True, slots=True)
class ExchangeFailed:
    """Reports that an endpoint's response did not arrive or was truncated.

    A failure of a reused keep-alive connection doesn't mean that the endpoint itself is
    unavailable.
    """

    exchange_id: int
    was_sent: bool
    reason: str
    was_reused_connection: bool = False


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header; the name must be in lowercase."""
    for key, value in headers:
        if key == name:
            return value
    return None
