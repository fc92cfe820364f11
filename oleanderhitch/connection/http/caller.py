"""Connection from a caller: reads requests and serves them one at a time."""

from collections import deque
from collections.abc import Callable
from contextlib import suppress
from datetime import UTC, datetime, timedelta
from typing import Protocol

import gevent
import gevent.event
from gevent import socket

from oleanderhitch.connection.http.budget import is_too_slow
from oleanderhitch.connection.http.exceptions import RequestParseError
from oleanderhitch.connection.http.memory import TrafficMemory
from oleanderhitch.connection.http.messages import (
    CallerDisconnected,
    Headers,
    HostStopping,
    HttpRequest,
    HttpResponse,
    RequestFault,
    RequestRejected,
)
from oleanderhitch.connection.http.parsing import (
    RequestParser,
    get_held_bytes,
    make_request_parser,
)
from oleanderhitch.connection.http.rendering import (
    CONTINUE_RESPONSE,
    render_chunk,
    render_head,
    render_last_chunk,
    render_response,
    render_response_head,
)
from oleanderhitch.connection.http.sockets import set_tcp_options
from oleanderhitch.process.mailbox import Mailbox, make_mailbox
from oleanderhitch.version.routes.configuration import CallerLimits

RECEIVE_BYTES = 64 * 1024
# A caller that reads nothing for this long is treated as disconnected.
WRITE_TIMEOUT = timedelta(seconds=10)
# An ordinary request takes fewer reads, and none of them looks at the clock.
N_READS_PER_CHECK = 16
# Pipelined requests that are queued before reading from the socket pauses.
N_PIPELINED_LIMIT = 2
# Time between shutdown and close after a rejected request. An immediate close with
# unread input would reset the connection, and the caller would lose the response.
LINGER_TIME = timedelta(milliseconds=300)
MAILBOX_CAPACITY_MESSAGES = 4096
# A caller sends its first request within a round trip of the connection's opening.
FIRST_REQUEST_TIME = timedelta(milliseconds=500)

# Larger bodies are sent after their heads, not copied behind them.
JOINED_BODY_LIMIT_BYTES = 64 * 1024


class ResponseWriter(Protocol):
    """Writes the response of one request to its caller."""

    def respond(self, response: HttpResponse) -> None:
        """Write a complete response."""

    def start(self, status: int, headers: Headers) -> None:
        """Write the status and headers of a chunked response."""

    def write(self, data: bytes) -> None:
        """Write a chunk."""

    def finish(self) -> None:
        """Write the last chunk, which marks the response as complete."""

    def abort(self) -> None:
        """Close the connection, so that the response does not look complete."""


_NO_MEMORY = RequestRejected(
    RequestFault.NO_MEMORY, "too much other traffic; the request was not run"
)
ServeRequest = Callable[[HttpRequest, ResponseWriter, Mailbox, datetime], None]
GetLimits = Callable[[], CallerLimits]


class ConnectionOwner(Protocol):
    """The server of a connection."""

    @property
    def is_stopping(self) -> bool:
        """Whether connections close after their current response."""

    @property
    def memory(self) -> TrafficMemory:
        """The budget that holds the requests of all connections."""

    def get_limits(self) -> CallerLimits:
        """Return the limits in force."""

    def get_now(self) -> datetime:
        """Return the current time."""

    def handle_first_request(self, connection: "CallerConnection") -> None:
        """Record that a connection has brought a whole request."""

    def make_rejection(self, rejection: RequestRejected) -> HttpResponse:
        """Return the response to a request that is not served, and count it."""


class CallerConnection:
    """Owner of one caller's socket.

    A reader greenlet parses requests and sends them to the mailbox of the greenlet that
    serves them.
    """

    def __init__(
        self,
        connected: socket.socket,
        serve: ServeRequest,
        owner: ConnectionOwner,
    ) -> None:
        self._socket = connected
        self._serve = serve
        self._owner = owner
        self._parser = make_request_parser(owner.get_limits())
        # Holds the requests that are arriving, queued and in progress.
        self._share = owner.memory.make_share(self._drop_request)
        self._n_request_bytes = 0
        self._last_served_at: datetime | None = None
        self._is_evicted = False
        self._mailbox = make_mailbox("caller", MAILBOX_CAPACITY_MESSAGES)
        self._pipelined: deque[HttpRequest] = deque()
        self._resume_reading = gevent.event.Event()
        self._is_serving = False
        self._is_receiving = False
        self._is_new = True
        self._awaits_request = False
        self._keeps_alive = True
        self._omits_body = False
        self._has_responded = False
        self._is_open = True
        self._n_reads = 0
        self._received_since = datetime.max.replace(tzinfo=UTC)

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, queued or on its way."""
        return (
            self._is_serving
            or self._is_receiving
            or self._awaits_request
            or bool(self._pipelined)
        )

    @property
    def is_evictable(self) -> bool:
        """Whether no request is in progress or queued."""
        return not self._is_serving and not self._is_evicted

    @property
    def last_served_at(self) -> datetime | None:
        """When the last request began, or None if there was none."""
        return self._last_served_at

    def run(self) -> None:
        """Serve requests until either side closes the connection."""
        set_tcp_options(self._socket)
        self._socket.settimeout(WRITE_TIMEOUT.total_seconds())
        reader = gevent.spawn(self._read)
        try:
            while self._is_open:
                message = self._mailbox.receive()
                if isinstance(message, HttpRequest):
                    self._serve_request(message)
                elif isinstance(message, RequestRejected):
                    self._reject(message)
                    return
                elif isinstance(message, CallerDisconnected):
                    return
        finally:
            # The reader stops watching the socket first: its number may be reused at
            # once, and the event loop would miss the events of the new socket.
            reader.kill()
            self._socket.close()
            self._share.close()
            self._parser.close()

    def evict(self) -> None:
        """Close a connection without a request in progress, to make room for others."""
        self._is_evicted = True
        self._mailbox.send(CallerDisconnected("too many connections"))

    def close_idle(self) -> None:
        """Close the connection, after the next request if one is on its way.

        A connection without a request so far gets some time for its first one.
        """
        if self.is_busy:
            return
        if self._has_unread_bytes():
            self._awaits_request = True
        elif self._is_new:
            self._is_new = False
            self._awaits_request = True
            gevent.spawn_later(FIRST_REQUEST_TIME.total_seconds(), self._close_unused)
        else:
            self._mailbox.send(CallerDisconnected("this host stops"))

    def end_request(self) -> None:
        """Let the request in progress get its last response, if there is one."""
        if self._is_serving:
            self._mailbox.send(HostStopping())

    def _close_unused(self) -> None:
        self._awaits_request = False
        self.close_idle()

    def _has_unread_bytes(self) -> bool:
        self._socket.settimeout(0)
        try:
            return bool(self._socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False
        finally:
            self._socket.settimeout(WRITE_TIMEOUT.total_seconds())

    # Methods of ResponseWriter, called by the greenlet that serves the request.

    def respond(self, response: HttpResponse) -> None:
        """Write a complete response."""
        self._has_responded = True
        if self._omits_body:
            # The length of a body that an endpoint left out is unknown.
            has_length = bool(response.body)
            self._send(render_response_head(response, self._must_close(), has_length))
            return
        if len(response.body) <= JOINED_BODY_LIMIT_BYTES:
            self._send(render_response(response, self._must_close()))
            return
        self._send(render_response_head(response, self._must_close()))
        self._send(response.body)

    def start(self, status: int, headers: Headers) -> None:
        """Write the status and headers of a chunked response."""
        self._send(render_head(status, headers, self._must_close()))

    def write(self, data: bytes) -> None:
        """Write a chunk."""
        if data and not self._omits_body:
            self._send(render_chunk(data))

    def finish(self) -> None:
        """Write the last chunk, which marks the response as complete."""
        self._has_responded = True
        if not self._omits_body:
            self._send(render_last_chunk())

    def abort(self) -> None:
        """Close the connection, so that the response does not look complete."""
        self._is_open = False

    def _serve_request(self, request: HttpRequest) -> None:
        self._is_serving = True
        self._is_new = self._awaits_request = False
        self._has_responded = False
        self._keeps_alive = request.keeps_alive
        self._omits_body = request.method == "HEAD"
        now = self._owner.get_now()
        if self._last_served_at is None:
            self._owner.handle_first_request(self)
        self._last_served_at = now
        self._serve(request, self, self._mailbox, now)
        n_bytes = get_held_bytes(request)
        self._n_request_bytes -= n_bytes
        self._share.resize(max(self._share.n_bytes - n_bytes, 0))
        if not self._has_responded or self._must_close():
            self._is_open = False
        if self._is_open and self._pipelined:
            self._mailbox.send(self._pipelined.popleft())
        else:
            self._is_serving = False
            self._share.set_protected(False)
        self._resume_reading.set()

    def _must_close(self) -> bool:
        return not self._keeps_alive or self._owner.is_stopping

    def _drop_request(self) -> None:
        """Reject the request that is arriving: its memory goes to others."""
        self._is_evicted = True
        self._parser.close()
        self._mailbox.send(_NO_MEMORY)

    def _reject(self, message: RequestRejected) -> None:
        self._is_evicted = True
        self._parser.close()
        self._share.close()
        self._send(render_response(self._owner.make_rejection(message), True))
        if self._is_open:
            # The caller may have reset the connection after the response was sent.
            with suppress(OSError):
                self._socket.shutdown(socket.SHUT_WR)
            gevent.sleep(LINGER_TIME.total_seconds())

    def _send(self, data: bytes) -> None:
        if not self._is_open:
            return
        try:
            self._socket.sendall(data)
        except OSError as error:
            self._is_open = False
            self._mailbox.send(CallerDisconnected(f"write failed: {error}"))

    def _read(self) -> None:
        parser = self._parser
        try:
            while self._receive(parser):
                pass
        except RequestParseError as error:
            self._is_receiving = False
            # A response without a request would be taken for that to the next one.
            end = (
                RequestRejected(error.fault, str(error))
                if error.has_begun
                else CallerDisconnected(str(error))
            )
            # At once: the other readers of a crowd may run before this one's end does.
            parser.close()
            del error
            self._await_responses(0)
            self._mailbox.send(end)
        except OSError as error:
            self._mailbox.send(CallerDisconnected(f"connection broke: {error}"))

    def _receive(self, parser: RequestParser) -> bool:
        """Read once and queue the requests; return whether to read on."""
        limits = self._owner.get_limits()
        parser.set_limits(limits)
        if parser.is_idle:
            has_data = self._await_request(limits)
        else:
            has_data = self._await_bytes(limits.header_timeout)
        if self._is_evicted:
            return False
        if not has_data:
            self._end_after_timeout(parser.is_idle)
            return False
        data = self._socket.recv(RECEIVE_BYTES)
        if not data:
            self._mailbox.send(CallerDisconnected("caller closed the connection"))
            return False
        requests = parser.feed(data)
        # This frame stays while the caller is waited for.
        del data
        self._handle_parsed(requests, parser)
        while parser.has_unparsed and not self._is_evicted:
            self._handle_parsed(parser.feed(b""), parser)
        return True

    def _handle_parsed(
        self, requests: list[HttpRequest], parser: RequestParser
    ) -> None:
        self._hold_bytes(requests, parser)
        if self._is_evicted:
            return
        for request in requests:
            self._queue_request(request)
        self._is_receiving = not parser.is_idle
        if parser.error is not None:
            raise parser.error
        self._check_progress(bool(requests), parser)
        if parser.expects_continue and not self._is_serving:
            self._send(CONTINUE_RESPONSE)
        self._await_responses(N_PIPELINED_LIMIT)

    def _check_progress(self, is_new: bool, parser: RequestParser) -> None:
        """Raise RequestParseError if a request arrives too slowly."""
        self._n_reads = 0 if is_new or parser.is_idle else self._n_reads + 1
        if self._n_reads == 0 or self._n_reads % N_READS_PER_CHECK:
            return
        now = self._owner.get_now()
        if self._n_reads == N_READS_PER_CHECK:
            self._received_since = now
        elif is_too_slow(now - self._received_since, parser.n_received_bytes):
            raise RequestParseError(RequestFault.TIMED_OUT, "request came too slowly")

    def _hold_bytes(self, requests: list[HttpRequest], parser: RequestParser) -> None:
        """Count what has arrived; raise RequestParseError if it does not fit."""
        n_arrived = parser.n_held_bytes + sum(map(get_held_bytes, requests))
        if self._share.resize(self._n_request_bytes + n_arrived):
            return
        # The requests before it get their responses first.
        self._await_responses(0)
        if not self._share.resize(self._n_request_bytes + n_arrived):
            raise RequestParseError(_NO_MEMORY.fault, _NO_MEMORY.detail)

    def _await_responses(self, n_pipelined: int) -> None:
        """Wait until fewer than `n_pipelined` requests are queued.

        0 waits until none is queued and none is in progress.
        """
        while len(self._pipelined) >= max(n_pipelined, 1) or (
            n_pipelined == 0 and self._is_serving
        ):
            self._resume_reading.clear()
            self._resume_reading.wait()

    def _queue_request(self, request: HttpRequest) -> None:
        self._n_request_bytes += get_held_bytes(request)
        if self._is_serving:
            self._pipelined.append(request)
        else:
            self._is_serving = True
            self._share.set_protected(True)
            self._mailbox.send(request)

    def _await_request(self, limits: CallerLimits) -> bool:
        while not self._await_bytes(limits.idle_timeout):
            if not self._is_serving and not self._pipelined:
                return False
        return True

    def _await_bytes(self, timeout: timedelta) -> bool:
        try:
            gevent.socket.wait_read(
                self._socket.fileno(), timeout=timeout.total_seconds()
            )
        except TimeoutError:
            return False
        return True

    def _end_after_timeout(self, is_idle: bool) -> None:
        if is_idle:
            self._mailbox.send(CallerDisconnected("connection was idle"))
            return
        # The requests before the one that is too slow get their responses first.
        self._await_responses(0)
        self._mailbox.send(
            RequestRejected(RequestFault.TIMED_OUT, "request came too slowly")
        )


def make_caller_connection(
    connected: socket.socket,
    serve: ServeRequest,
    owner: ConnectionOwner,
) -> CallerConnection:
    """Return the connection of an accepted socket."""
    return CallerConnection(connected, serve, owner)
