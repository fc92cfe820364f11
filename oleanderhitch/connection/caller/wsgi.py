"""Serve a WSGI application over the HTTP server that bounds what callers may use.

The application gets a request once it has arrived whole, so an incomplete one never
takes more than its share of the memory and never runs.
"""

import io
import sys
from collections.abc import Callable, Iterable
from datetime import datetime
from typing import Any
from urllib.parse import unquote_to_bytes

import logbook
from msgspec import Struct

from oleanderhitch.connection.http.caller import ResponseWriter, ServeRequest
from oleanderhitch.connection.http.messages import (
    CallerDisconnected,
    Headers,
    HttpRequest,
    HttpResponse,
    find_header,
)
from oleanderhitch.process.mailbox import Mailbox

Application = Callable[[dict[str, Any], Callable[..., None]], Iterable[bytes]]

# Variables that have no prefix.
_PLAIN_VARIABLES = ("CONTENT_TYPE", "CONTENT_LENGTH")

log = logbook.Logger("caller")


class StartedResponse(Struct):
    """The status and headers that the application has set."""

    status: int = 500
    headers: Headers = ()

    def start(
        self, status: str, headers: list[tuple[str, str]], exc_info: object = None
    ) -> None:
        """Record the status line and the headers."""
        self.status = int(status.split()[0])
        self.headers = tuple((name.lower(), value) for name, value in headers)


def make_environment(request: HttpRequest) -> dict[str, Any]:
    """Return the variables of a request that WSGI defines.

    Headers with an underscore are left out: they would pass for others.
    """
    path, _, query = request.target.partition("?")
    environment: dict[str, Any] = {
        "REQUEST_METHOD": request.method,
        "SCRIPT_NAME": "",
        "PATH_INFO": unquote_to_bytes(path.encode("latin-1")).decode("latin-1"),
        "QUERY_STRING": query,
        "SERVER_NAME": request.find_header("host") or "",
        "SERVER_PORT": "",
        "SERVER_PROTOCOL": "HTTP/1.1",
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(request.body),
        "wsgi.errors": sys.stderr,
        "wsgi.multithread": False,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
    }
    for name, value in request.headers:
        if "_" in name:
            continue
        key = name.upper().replace("-", "_")
        key = key if key in _PLAIN_VARIABLES else f"HTTP_{key}"
        present = environment.get(key)
        environment[key] = value if present is None else f"{present},{value}"
    environment.pop("HTTP_TRANSFER_ENCODING", None)
    environment["CONTENT_LENGTH"] = str(len(request.body))
    return environment


def make_wsgi_service(app: Application) -> ServeRequest:
    """Return the function that serves a caller's request with an application."""

    def serve(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        started = StartedResponse()
        try:
            parts = app(make_environment(request), started.start)
            try:
                _write_response(started, parts, writer, mailbox)
            finally:
                getattr(parts, "close", _do_nothing)()
        except Exception as error:
            log.error("unexpected error of a response: {!r}", error)
            writer.abort()

    return serve


def _do_nothing() -> None:
    """Close parts that need no close."""


def _write_response(
    started: StartedResponse,
    parts: Iterable[bytes],
    writer: ResponseWriter,
    mailbox: Mailbox,
) -> None:
    if find_header(started.headers, "content-length") is not None:
        headers = tuple(h for h in started.headers if h[0] != "content-length")
        writer.respond(HttpResponse(started.status, b"".join(parts), headers))
        return
    iterator = iter(parts)
    # The application may set the status when its first part is taken.
    first = next(iterator, b"")
    writer.start(started.status, started.headers)
    writer.write(first)
    for part in iterator:
        writer.write(part)
        if _has_disconnected(mailbox):
            return
    writer.finish()


def _has_disconnected(mailbox: Mailbox) -> bool:
    """Return whether the caller is gone; the connection keeps the message."""
    if not mailbox.n_waiting:
        return False
    message = mailbox.receive()
    if isinstance(message, CallerDisconnected):
        mailbox.send(message)
        return True
    return False
