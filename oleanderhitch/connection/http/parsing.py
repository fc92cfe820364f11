"""Incremental parsers for HTTP requests and responses, based on httptools."""

from collections import deque
from typing import Any

import httptools

from oleanderhitch.connection.http.exceptions import (
    RequestParseError,
    ResponseParseError,
)
from oleanderhitch.connection.http.messages import (
    BodyEnd,
    Headers,
    HttpRequest,
    RequestFault,
    find_header,
)
from oleanderhitch.connection.http.rendering import render_request_head
from oleanderhitch.values import Value
from oleanderhitch.version.routes.configuration import CallerLimits

# A piece of this size has a few dozen requests at most. Without it, one read would give
# more than a thousand pipelined requests at once.
PARSED_PIECE_BYTES = 1024
_HEAD_END = b"\r\n\r\n"
# The overhead of a piece is below a hundredth from here on.
SMALL_PIECE_BYTES = 4096
# A caller's head has some dozen fields, and 16 KiB of ordinary ones are 400.
N_REQUEST_HEADERS_LIMIT = 1024
# Half of what a field takes besides its text: a tuple and two strings. A share of the
# memory counts half of what its message takes, see `TRAFFIC_MEMORY_SHARE`.
HEADER_COST_BYTES = 100
REQUEST_COST_BYTES = 512


class RequestParser:
    """Parses a caller's bytes into complete requests and enforces the limits.

    It stops after the piece that completes a request; the rest waits until the next
    call of `feed`.
    """

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits
        self._parser: Any = httptools.HttpRequestParser(self)
        self._ready: deque[HttpRequest] = deque()
        self._error: RequestParseError | None = None
        self._has_started = False
        self._unparsed = b""
        self._reset()

    @property
    def is_idle(self) -> bool:
        """Whether no byte of the next request has arrived.

        Empty lines before a request are ignored (RFC 9112, section 2.2).
        """
        return not self._has_started and not self._unparsed

    @property
    def has_unparsed(self) -> bool:
        """Whether `feed` has stopped before the end of the bytes."""
        return bool(self._unparsed)

    @property
    def n_received_bytes(self) -> int:
        """The bytes of the request that has not arrived whole."""
        return self._n_parsed_header_bytes + self._n_body_bytes

    @property
    def n_held_bytes(self) -> int:
        """What this parser holds, as a share of the memory counts it."""
        return (
            self._n_body_bytes
            + len(self._headers) * HEADER_COST_BYTES
            + len(self._unparsed)
        )

    @property
    def error(self) -> RequestParseError | None:
        """The error in the bytes after the last complete request, if any."""
        return self._error

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for status 100 before it sends the body."""
        if not self._has_headers or self._n_body_bytes:
            return False
        expect = find_header(tuple(self._headers), "expect")
        return (expect or "").lower() == "100-continue"

    def set_limits(self, limits: CallerLimits) -> None:
        """Replace the limits; they apply to the bytes fed from now on."""
        self._limits = limits

    def feed(self, data: bytes) -> list[HttpRequest]:
        """Return the next requests that the bytes complete.

        If the bytes are invalid, the requests before the error are returned and `error`
        is set. RequestParseError is raised if no request precedes the error.
        """
        rest = self._unparsed + data if self._unparsed else data
        self._unparsed = b""
        # Pieces are not copied.
        view = memoryview(rest)
        position = 0
        while position < len(rest) and not self._ready and self._error is None:
            end = self._find_piece_end(rest, position)
            position += self._feed_piece(view[position:end])
        if self._error is None and position < len(rest):
            self._unparsed = rest[position:]
        ready = list(self._ready)
        self._ready.clear()
        if self._error is not None and not ready:
            raise self._error
        return ready

    def close(self) -> None:
        """Drop what has arrived; no bytes may be fed after it.

        The parser of the library and the traceback of an error refer to this object.
        Without the references back, the memory is free at once, not at the next garbage
        collection.
        """
        self._unparsed = b""
        self._reset()
        self._error = None
        self._parser = None

    def _find_piece_end(self, data: bytes, start: int) -> int:
        """Return up to where the bytes can't complete many requests.

        Ordinary heads and bodies are a piece each.
        """
        if self._n_expected_body_bytes is not None:
            return start + max(self._n_expected_body_bytes - self._n_body_bytes, 1)
        end = start + PARSED_PIECE_BYTES
        if self._has_headers:
            return end
        head_end = data.find(_HEAD_END, start, end)
        return end if head_end < 0 else head_end + len(_HEAD_END)

    def _feed_piece(self, data: memoryview) -> int:
        """Parse a piece and return how many of its bytes were used."""
        n_used_bytes = len(data)
        if not self._has_headers:
            self._n_header_bytes += len(data)
        try:
            n_used_bytes = self._parse(data)
        except httptools.HttpParserError as error:
            self._error = self._error or self._make_error(
                RequestFault.MALFORMED, f"not HTTP/1.1: {error!r}"
            )
        # Bounds headers that never end, with a tolerance of one piece; `on_header`
        # checks complete headers.
        if not self._has_headers and (
            self._n_header_bytes > self._limits.header_bytes + len(data)
        ):
            self._error = self._error or self._make_error(
                RequestFault.HEADERS_TOO_LARGE,
                f"headers exceed {self._limits.header_bytes} bytes",
            )
        return n_used_bytes

    def _parse(self, data: memoryview) -> int:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            n_used_bytes: int = upgrade.args[0]
            self._parse_head_without_upgrade()
            return n_used_bytes
        return len(data)

    def _parse_head_without_upgrade(self) -> None:
        """Parse the head again without the field that offers another protocol.

        A server may ignore the offer (RFC 9110, section 7.8), but the library ends each
        message that has one after its head and never reads its body.
        """
        head = render_request_head(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            ((name, value) for name, value in self._headers if name != "upgrade"),
            self._parser.get_http_version(),
        )
        self._parser = httptools.HttpRequestParser(self)
        self._reset()
        self._parser.feed_data(head)

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        # Small pieces are joined as they come: each by itself takes a multiple.
        self._body: list[bytes | bytearray] = []
        self._n_header_bytes = 0
        self._n_parsed_header_bytes = 0
        self._n_body_bytes = 0
        self._n_expected_body_bytes: int | None = None
        self._has_headers = False
        self._has_started = False

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Record that a request has started."""
        self._has_started = True

    def on_url(self, url: bytes) -> None:
        """Append to the target, which may arrive in several parts."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header and check the size and number of all headers."""
        if len(self._headers) == N_REQUEST_HEADERS_LIMIT:
            self._reject(
                RequestFault.HEADERS_TOO_LARGE,
                f"the number of headers exceeds {N_REQUEST_HEADERS_LIMIT}",
            )
        header = (name.decode("latin-1").lower(), value.decode("latin-1"))
        self._headers.append(header)
        # Each header line adds a colon, a space and a line end of 2 bytes.
        self._n_parsed_header_bytes += len(name) + len(value) + 4
        if self._n_parsed_header_bytes > self._limits.header_bytes:
            self._reject(
                RequestFault.HEADERS_TOO_LARGE,
                f"headers exceed {self._limits.header_bytes} bytes",
            )

    def on_headers_complete(self) -> None:
        """Check the Host header and the body length before the body is read."""
        self._has_headers = True
        if self._parser.get_method() == b"CONNECT":
            # Its body has no defined length (RFC 9110, section 9.3.6).
            self._reject(RequestFault.MALFORMED, "CONNECT is not supported")
        names = [name for name, _ in self._headers]
        if names.count("host") != 1:
            self._reject(RequestFault.MALFORMED, "expected one Host header")
        if "content-length" in names and "transfer-encoding" in names:
            self._reject(RequestFault.MALFORMED, "the body has two lengths")
        if names.count("content-length") > 1:
            self._reject(RequestFault.MALFORMED, "the body has two lengths")
        length = find_header(tuple(self._headers), "content-length")
        if length is not None and length.isdecimal():
            self._check_body_size(int(length))
            self._n_expected_body_bytes = int(length)

    def on_body(self, data: bytes) -> None:
        """Add a part of the body and check the body's size."""
        self._n_body_bytes += len(data)
        self._check_body_size(self._n_body_bytes)
        last = self._body[-1] if self._body else None
        if last is None or len(data) >= SMALL_PIECE_BYTES:
            self._body.append(data)
        elif isinstance(last, bytearray):
            last += data
        else:
            self._body.append(bytearray(data))

    def on_message_complete(self) -> None:
        """Add the complete request to those that `feed` returns."""
        if self._parser.should_upgrade():
            # Only the head has ended; `_parse_head_without_upgrade` goes on with it.
            return
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

    def _check_body_size(self, n_bytes: int) -> None:
        if n_bytes > self._limits.body_bytes:
            self._reject(
                RequestFault.BODY_TOO_LARGE,
                f"body exceeds {self._limits.body_bytes} bytes",
            )

    def _reject(self, fault: RequestFault, detail: str) -> None:
        self._error = self._make_error(fault, detail)
        raise self._error

    def _make_error(self, fault: RequestFault, detail: str) -> RequestParseError:
        return RequestParseError(fault, detail, self._has_started)


def get_held_bytes(request: HttpRequest) -> int:
    """Return what a request holds, as a share of the memory counts it."""
    return (
        len(request.body)
        + len(request.headers) * HEADER_COST_BYTES
        + REQUEST_COST_BYTES
    )


class ParsedHead(Value, frozen=True):
    """Status and headers of a response."""

    status: int
    headers: Headers
    keeps_alive: bool
    body_end: BodyEnd


class ParsedBody(Value, frozen=True):
    """Part of a response body."""

    data: bytes


class ParsedEnd(Value, frozen=True):
    """End of a response."""


ParsedPart = ParsedHead | ParsedBody | ParsedEnd

# The parser of the library takes any number of three digits (RFC 9110, section 15).
STATUSES = range(100, 600)
# Responses with a status below this are interim.
FIRST_FINAL_STATUS = 200
_BODILESS_STATUSES = (204, 304)
# An endpoint that fails may send bytes without end. Several times the limits that
# servers usually have for heads. It also bounds whatever else is not the body: interim
# responses, chunk extensions and trailers.
RESPONSE_HEAD_LIMIT_BYTES = 64 * 1024
# A header takes several times its length in memory.
N_RESPONSE_HEADERS_LIMIT = 256


class ResponseParser:
    """Parses an endpoint's bytes into the parts of its responses.

    Trailers are dropped: nothing here reads them. Without `has_body`, a response ends
    with its head.
    """

    def __init__(self, has_body: bool) -> None:
        self._has_body = has_body
        self._parser: Any = httptools.HttpResponseParser(self)
        self._is_in_head = True
        self._is_between_responses = True
        self._n_bytes_without_body = 0
        self._headers: list[tuple[str, str]] = []
        self._has_too_many_headers = False
        self._body: list[bytes] = []
        self._parts: list[ParsedPart] = []
        # An error itself would keep the bytes, by its traceback.
        self._fault: str | None = None

    @property
    def fault(self) -> str | None:
        """What is wrong with the bytes after the last valid part, if anything."""
        return self._fault

    @property
    def is_between_responses(self) -> bool:
        """Whether the bytes so far are whole responses and nothing else."""
        return self._is_between_responses

    def feed(self, data: bytes) -> list[ParsedPart]:
        """Return the parts that the bytes complete.

        If the bytes are invalid, the parts before the error are returned and `fault` is
        set. ResponseParseError is raised if no part precedes the error.
        """
        if self._fault is not None:
            # After an upgrade, the library would go on with whatever comes next.
            raise ResponseParseError(self._fault)
        self._n_bytes_without_body += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._is_between_responses = False
            if self._has_too_many_headers:
                raise ResponseParseError(
                    f"the number of headers exceeds {N_RESPONSE_HEADERS_LIMIT}"
                ) from None
            # An upgrade is an error too: no request here offers one.
            self._fault = f"not HTTP/1.1: {error!r}"
            if not self._parts and not self._body:
                raise ResponseParseError(self._fault) from None
        if self._n_bytes_without_body > RESPONSE_HEAD_LIMIT_BYTES:
            raise ResponseParseError(
                f"what is not the body exceeds {RESPONSE_HEAD_LIMIT_BYTES} bytes"
            )
        self._add_body()
        parts, self._parts = self._parts, []
        return parts

    @property
    def n_unfinished_bytes(self) -> int:
        """The bytes that this parser may hold."""
        return self._n_bytes_without_body

    def _add_body(self) -> None:
        if self._body:
            self._parts.append(ParsedBody(b"".join(self._body)))
            self._body = []

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Record that a response has begun."""
        self._is_between_responses = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the head."""
        if not self._is_in_head:
            return
        if len(self._headers) == N_RESPONSE_HEADERS_LIMIT:
            self._has_too_many_headers = True
            # Ends the parsing: the next headers would cost time for each.
            raise ResponseParseError("too many headers")
        header = (name.decode("latin-1").lower(), value.decode("latin-1"))
        self._headers.append(header)

    def on_headers_complete(self) -> None:
        """Add the head to the parts that `feed` returns."""
        headers = tuple(self._headers)
        self._headers = []
        self._is_in_head = False
        status = self._parser.get_status_code()
        if status not in STATUSES:
            raise ResponseParseError(f"status {status} does not exist")
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
        if not self._has_body and status >= FIRST_FINAL_STATUS:
            self._parts.append(ParsedEnd())
            # The library can't be told, so that it reads no further.
            raise ResponseParseError("a response without a body has ended")

    def on_body(self, data: bytes) -> None:
        """Add a piece of the body, which may have a byte, to what `feed` returns."""
        self._n_bytes_without_body = 0
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Add the end of the response to the parts that `feed` returns."""
        self._add_body()
        self._is_in_head = self._is_between_responses = True
        self._parts.append(ParsedEnd())


def make_request_parser(limits: CallerLimits) -> RequestParser:
    """Return a parser for one caller's connection."""
    return RequestParser(limits)


def make_response_parser(has_body: bool = True) -> ResponseParser:
    """Return a parser for one endpoint's connection.

    `has_body` is whether responses have a body, which those to HEAD have not.
    """
    return ResponseParser(has_body)
