"""Requests and responses, and the messages that HTTP connections send to tasks."""

from enum import Enum

from msgspec import field

from oleanderhitch.values import Value

Headers = tuple[tuple[str, str], ...]


class HttpRequest(Value, frozen=True):
    """A complete request, received or to be sent; header names are in lowercase."""

    method: str
    target: str
    headers: Headers
    body: bytes
    keeps_alive: bool = True

    def __repr__(self) -> str:
        """Return what identifies the request; its headers may contain a key."""
        return f"{type(self).__name__}({self.method} {self.path})"

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]

    def find_header(self, name: str) -> str | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


class HttpResponse(Value, frozen=True):
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
    NO_MEMORY = 503


class RequestRejected(Value, frozen=True):
    """Reports that the caller's bytes are not a valid request or exceed a limit."""

    fault: RequestFault
    detail: str


class CallerDisconnected(Value, frozen=True):
    """Reports that the connection to the caller was closed or failed."""

    reason: str


class HostStopping(Value, frozen=True):
    """Reports that the process ends now, so requests get their last response."""


class ResponseHead(Value, frozen=True):
    """Delivers the status and headers of an endpoint's response."""

    exchange_id: int
    status: int
    headers: Headers = field(default=())


class ResponseBody(Value, frozen=True):
    """Delivers a part of the body of an endpoint's response."""

    exchange_id: int
    data: bytes


class BodyEnd(Enum):
    """How the end of a response body is determined.

    FRAMED: by its length, by chunked encoding or by a status without a body.
    CONNECTION: by the close of the connection, which may also break the body off.
    """

    FRAMED = "framed"
    CONNECTION = "connection"


class ResponseOwner(Enum):
    """Whose response the headers of a response say it is.

    UNKNOWN: they name no request, so only the order on the connection can tell.
    """

    THIS_REQUEST = "this request"
    ANOTHER_REQUEST = "another request"
    UNKNOWN = "unknown"


class ResponseEnd(Value, frozen=True):
    """Reports the end of an endpoint's response."""

    exchange_id: int
    body_end: BodyEnd


class ExchangeFailed(Value, frozen=True):
    """Reports that an endpoint's response did not arrive or was truncated.

    A lost connection may mean that the endpoint has crashed.
    """

    exchange_id: int
    was_sent: bool
    reason: str
    is_connection_lost: bool = False


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header; the name must be in lowercase."""
    for key, value in headers:
        if key == name:
            return value
    return None
