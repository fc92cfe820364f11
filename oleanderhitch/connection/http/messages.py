"""Define what connections hand to the parts that use them."""

from dataclasses import dataclass, field
from enum import Enum

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Hold a whole request as it was received; names of headers in lowercase."""

    method: str
    target: str
    headers: Headers
    body: bytes
    keeps_alive: bool = True

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    def find_header(self, name: str) -> str | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Hold a whole response that a process gives by itself."""

    status: int
    body: bytes = b""
    headers: Headers = ()


class RequestFault(Enum):
    """Name why a request can't be read, with the status that tells the caller."""

    MALFORMED = 400
    TIMED_OUT = 408
    BODY_TOO_LARGE = 413
    HEADERS_TOO_LARGE = 431


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """Say that a caller's bytes are no request within the limits."""

    fault: RequestFault
    detail: str


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Say that the caller closed its connection or that it broke."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Bring the status and the headers of an endpoint's answer."""

    exchange_id: int
    status: int
    headers: Headers = field(default=())


@dataclass(frozen=True, slots=True)
class ResponseBody:
    """Bring a part of the body of an endpoint's answer."""

    exchange_id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """Say that an endpoint's answer is complete as its framing tells.

    An answer whose end is the end of the connection is not framed; a broken
    connection looks the same.
    """

    exchange_id: int
    is_framed: bool


@dataclass(frozen=True, slots=True)
class ExchangeFailed:
    """Say that an endpoint's answer will not come, or not come whole.

    Where only a kept connection was at fault, the endpoint itself may be well.
    """

    exchange_id: int
    was_sent: bool
    reason: str
    was_reused_connection: bool = False


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, whose name is in lowercase."""
    for key, value in headers:
        if key == name:
            return value
    return None
