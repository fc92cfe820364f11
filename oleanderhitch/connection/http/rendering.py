"""Serialize HTTP requests and responses."""

from collections.abc import Iterable
from http import HTTPStatus

from oleanderhitch.connection.http.messages import HttpRequest, HttpResponse

_LAST_CHUNK = b"0\r\n\r\n"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


def render_request(request: HttpRequest) -> bytes:
    """Return the bytes of a request, with a Content-Length if it may have a body."""
    headers = request.headers
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        headers = (*headers, ("content-length", str(len(request.body))))
    return render_request_head(request.method, request.target, headers) + request.body


def render_request_head(
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    version: str = "1.1",
) -> bytes:
    """Return the request line and headers of a request."""
    lines = [f"{method} {target} HTTP/{version}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    return _join_header_lines(lines)


def render_response(response: HttpResponse, closes_connection: bool) -> bytes:
    """Return the bytes of a complete response."""
    return render_response_head(response, closes_connection) + response.body


def render_response_head(
    response: HttpResponse, closes_connection: bool, has_length: bool = True
) -> bytes:
    """Return the status line and headers of a complete response."""
    lines = [_render_status_line(response.status)]
    lines.extend(f"{name}: {value}" for name, value in response.headers)
    if has_length:
        lines.append(f"content-length: {len(response.body)}")
    if closes_connection:
        lines.append("connection: close")
    return _join_header_lines(lines)


def render_head(
    status: int, headers: Iterable[tuple[str, str]], closes_connection: bool
) -> bytes:
    """Return the status line and headers of a response with a chunked body."""
    lines = [_render_status_line(status)]
    lines.extend(f"{name}: {value}" for name, value in headers)
    lines.append("transfer-encoding: chunked")
    if closes_connection:
        lines.append("connection: close")
    return _join_header_lines(lines)


def render_chunk(data: bytes) -> bytes:
    """Return the bytes of one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def render_last_chunk() -> bytes:
    """Return the bytes that end a chunked body."""
    return _LAST_CHUNK


def _render_status_line(status: int) -> str:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"HTTP/1.1 {status} {phrase}"


def _join_header_lines(lines: list[str]) -> bytes:
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
