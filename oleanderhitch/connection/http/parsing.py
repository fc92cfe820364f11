"""Parse requests and responses from bytes; the grammar is httptools' work."""

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any

import httptools

from oleanderhitch.connection.http.exceptions import (
    UnreadableRequestError,
    UnreadableResponseError,
)
from oleanderhitch.connection.http.messages import (
    Headers,
    HttpRequest,
    RequestFault,
    find_header,
)
from oleanderhitch.version.routes.configuration import CallerLimits


class RequestParser:
    """Collect a caller's bytes into whole requests within the limits."""

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits
        self._parser: Any = httptools.HttpRequestParser(self)
        self._ready: deque[HttpRequest] = deque()
        self._fault: UnreadableRequestError | None = None
        self._has_begun = False
        self._reset()

    @property
    def is_idle(self) -> bool:
        """Tell whether no byte of a further request has arrived."""
        return not self._has_begun

    @property
    def fault(self) -> UnreadableRequestError | None:
        """Return what is wrong with the bytes after the whole requests."""
        return self._fault

    @property
    def expects_continue(self) -> bool:
        """Tell whether the caller waits for leave to send the body."""
        expect = find_header(tuple(self._headers), "expect")
        return self._has_headers and (expect or "").lower() == "100-continue"

    def set_limits(self, limits: CallerLimits) -> None:
        """Use other limits from the next bytes on."""
        self._limits = limits

    def feed(self, data: bytes) -> list[HttpRequest]:
        """Return the requests that are whole now; raise UnreadableRequestError."""
        self._has_begun = self._has_begun or bool(data)
        if not self._has_headers:
            self._n_header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fault = _make_fault(RequestFault.MALFORMED, "upgrade is not offered")
        except httptools.HttpParserError as error:
            self._fault = self._fault or _make_fault(
                RequestFault.MALFORMED, f"not HTTP/1.1: {error!r}"
            )
        if not self._has_headers and (
            self._n_header_bytes > self._limits.header_bytes + len(data)
        ):
            self._fault = self._fault or _make_fault(
                RequestFault.HEADERS_TOO_LARGE,
                f"headers exceed {self._limits.header_bytes} bytes",
            )
        ready = list(self._ready)
        self._ready.clear()
        if self._fault is not None and not ready:
            raise self._fault
        return ready

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._n_header_bytes = 0
        self._n_body_bytes = 0
        self._has_headers = False
        self._has_begun = False

    # The parser calls the methods below.

    def on_message_begin(self) -> None:
        """Note that a request begins."""
        self._has_begun = True

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        header = (name.decode("latin-1").lower(), value.decode("latin-1"))
        self._headers.append(header)
        n_bytes = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if n_bytes > self._limits.header_bytes:
            self._refuse(
                RequestFault.HEADERS_TOO_LARGE,
                f"headers exceed {self._limits.header_bytes} bytes",
            )

    def on_headers_complete(self) -> None:
        """Check the headers before the body is read."""
        self._has_headers = True
        names = [name for name, _ in self._headers]
        if names.count("host") != 1:
            self._refuse(RequestFault.MALFORMED, "expected one Host header")
        if "content-length" in names and "transfer-encoding" in names:
            self._refuse(RequestFault.MALFORMED, "the body has two lengths")
        if names.count("content-length") > 1:
            self._refuse(RequestFault.MALFORMED, "the body has two lengths")
        length = find_header(tuple(self._headers), "content-length")
        if length is not None and length.isdecimal():
            self._check_body(int(length))

    def on_body(self, data: bytes) -> None:
        """Collect the body."""
        self._n_body_bytes += len(data)
        self._check_body(self._n_body_bytes)
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Hand out the request."""
        self._ready.append(
            HttpRequest(
                self._parser.get_method().decode("latin-1"),
                self._target.decode("latin-1"),
                tuple(self._headers),
                b"".join(self._body),
                bool(self._parser.should_keep_alive()),
            )
        )
        self._reset()

    def _check_body(self, n_bytes: int) -> None:
        if n_bytes > self._limits.body_bytes:
            self._refuse(
                RequestFault.BODY_TOO_LARGE,
                f"body exceeds {self._limits.body_bytes} bytes",
            )

    def _refuse(self, fault: RequestFault, detail: str) -> None:
        self._fault = _make_fault(fault, detail)
        raise self._fault


def _make_fault(fault: RequestFault, detail: str) -> UnreadableRequestError:
    return UnreadableRequestError(fault, detail)


class BodyEnd(Enum):
    """Tell how the end of a response's body is found."""

    FRAMED = "framed"
    CONNECTION = "connection"


@dataclass(frozen=True, slots=True)
class ParsedHead:
    """Hold the status and headers of a response."""

    status: int
    headers: Headers
    keeps_alive: bool
    end: BodyEnd


@dataclass(frozen=True, slots=True)
class ParsedBody:
    """Hold a part of a response's body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class ParsedEnd:
    """Mark the end of a response."""


ParsedPart = ParsedHead | ParsedBody | ParsedEnd

_BODILESS_STATUSES = (204, 304)


class ResponseParser:
    """Turn an endpoint's bytes into the parts of its responses."""

    def __init__(self) -> None:
        self._parser: Any = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._parts: list[ParsedPart] = []

    def feed(self, data: bytes) -> list[ParsedPart]:
        """Return the parts that the bytes complete.

        Raise UnreadableResponseError once nothing precedes the bad bytes.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._parts:
                raise UnreadableResponseError(f"not HTTP/1.1: {error!r}") from None
        parts, self._parts = self._parts, []
        return parts

    # The parser calls the methods below.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        header = (name.decode("latin-1").lower(), value.decode("latin-1"))
        self._headers.append(header)

    def on_headers_complete(self) -> None:
        """Hand out the head."""
        headers = tuple(self._headers)
        self._headers = []
        status = self._parser.get_status_code()
        is_framed = (
            find_header(headers, "content-length") is not None
            or "chunked" in (find_header(headers, "transfer-encoding") or "").lower()
            or status in _BODILESS_STATUSES
        )
        self._parts.append(
            ParsedHead(
                status,
                headers,
                bool(self._parser.should_keep_alive()),
                BodyEnd.FRAMED if is_framed else BodyEnd.CONNECTION,
            )
        )

    def on_body(self, data: bytes) -> None:
        """Hand out a part of the body."""
        self._parts.append(ParsedBody(data))

    def on_message_complete(self) -> None:
        """Hand out the end."""
        self._parts.append(ParsedEnd())


def make_request_parser(limits: CallerLimits) -> RequestParser:
    """Return a parser for one caller's connection."""
    return RequestParser(limits)


def make_response_parser() -> ResponseParser:
    """Return a parser for one endpoint's connection."""
    return ResponseParser()
