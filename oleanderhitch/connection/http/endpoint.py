"""Carry exchanges with one endpoint over a connection that its task owns."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import gevent
import logbook
from gevent import socket

from oleanderhitch.connection.http.exceptions import UnreadableResponseError
from oleanderhitch.connection.http.messages import (
    ExchangeFailed,
    Headers,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
    find_header,
)
from oleanderhitch.connection.http.parsing import (
    BodyEnd,
    ParsedBody,
    ParsedEnd,
    ParsedHead,
    ResponseParser,
    make_response_parser,
)
from oleanderhitch.connection.http.sockets import open_connection
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.mailbox import make_mailbox

RECEIVE_BYTES = 64 * 1024
# Endpoints of a region answer an opening packet within some milliseconds, and a
# lost one is sent again only after a second, so that another endpoint is better.
CONNECT_TIMEOUT = timedelta(milliseconds=250)
# Idle connections are closed this long before the endpoint may close them, so
# that a request does not cross the close.
IDLE_MARGIN = timedelta(milliseconds=1000)
IDLE_LIMIT = timedelta(seconds=20)
SUCCESS_FROM = 200

log = logbook.Logger("endpoint")


@dataclass(frozen=True, slots=True)
class Exchange:
    """Ask a connection to send a request and to hand the answer to an address.

    An answer that is_answer does not recognize belongs to an earlier request.
    """

    exchange_id: int
    request: bytes
    reply: Address
    is_answer: Callable[[Headers], bool]


@dataclass(frozen=True, slots=True)
class ConnectionIdle:
    """Say that a connection can take another exchange."""

    connection: "EndpointConnection"
    exchange: int


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """Say that a connection is gone."""

    connection: "EndpointConnection"
    exchange: int


@dataclass(slots=True)
class _Progress:
    """Hold how far the exchange under way has come."""

    exchange: Exchange
    parser: ResponseParser
    writer: gevent.Greenlet
    is_skipping: bool = False
    has_head: bool = False
    has_ended: bool = False
    keeps_alive: bool = False
    ends_with_connection: bool = False
    idle_limit: timedelta = IDLE_LIMIT
    surplus: bool = field(default=False)


class EndpointConnection:
    """Own one connection to an endpoint, from its opening to its close."""

    def __init__(self, address: HostAddress, owner: Address) -> None:
        self._address = address
        self._owner = owner
        self._mailbox = make_mailbox(f"endpoint {address}", 4)
        self._socket: socket.socket | None = None
        self._greenlet: gevent.Greenlet | None = None
        self._current = 0
        self._has_ended = False

    @property
    def address(self) -> HostAddress:
        """Return the endpoint's address."""
        return self._address

    def start(self) -> None:
        """Open the connection and wait for exchanges."""
        self._greenlet = gevent.spawn(self._run)

    def send(self, message: Exchange) -> None:
        """Queue an exchange; one that meets the end of the connection fails."""
        if self._has_ended:
            _fail_kept(message, "idle connection timed out")
        else:
            self._mailbox.send(message)

    def cancel(self) -> None:
        """Close the connection, which ends the work on the exchange under way."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        idle_limit: timedelta | None = None
        try:
            while True:
                exchange = self._mailbox.receive(idle_limit)
                if not isinstance(exchange, Exchange):
                    return
                self._current = exchange.exchange_id
                idle_limit = self._carry(exchange)
                if idle_limit is None:
                    return
                self._owner.send(ConnectionIdle(self, exchange.exchange_id))
        finally:
            self._has_ended = True
            if self._socket is not None:
                self._socket.close()
            self._fail_waiting()
            self._owner.send(ConnectionClosed(self, self._current))

    def _fail_waiting(self) -> None:
        while self._mailbox.n_waiting:
            waiting = self._mailbox.receive()
            if isinstance(waiting, Exchange):
                _fail_kept(waiting, "idle connection timed out")

    def _carry(self, exchange: Exchange) -> timedelta | None:
        """Return how long the connection may stay idle, None to close it."""
        was_kept = self._socket is not None
        fault = self._prepare()
        if fault is not None:
            if was_kept:
                _fail_kept(exchange, fault)
            else:
                _fail(exchange, False, fault)
            return None
        assert self._socket is not None
        writer = gevent.spawn(_write, self._socket, exchange.request)
        progress = _Progress(exchange, make_response_parser(), writer)
        try:
            self._read(progress)
        except OSError as error:
            _fail(exchange, True, f"connection broke: {error}")
        except UnreadableResponseError as error:
            _fail(exchange, True, f"unreadable answer: {error}")
        finally:
            is_written = writer.ready()
            writer.kill(block=False)
        is_reusable = progress.has_ended and progress.keeps_alive and is_written
        return progress.idle_limit if is_reusable and not progress.surplus else None

    def _prepare(self) -> str | None:
        if self._socket is None:
            try:
                self._socket = open_connection(self._address, CONNECT_TIMEOUT)
                self._socket.settimeout(None)
            except OSError as error:
                return f"could not connect: {error}"
            return None
        return self._find_idle_fault()

    def _find_idle_fault(self) -> str | None:
        """Tell why an idle connection can't be used again."""
        assert self._socket is not None
        self._socket.setblocking(False)
        try:
            data = self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError as error:
            return f"idle connection broke: {error}"
        finally:
            self._socket.settimeout(None)
        return "idle connection has surplus bytes" if data else "idle connection closed"

    def _read(self, progress: _Progress) -> None:
        assert self._socket is not None
        while not progress.has_ended:
            data = self._socket.recv(RECEIVE_BYTES)
            if not data:
                _handle_close(progress)
                return
            for part in progress.parser.feed(data):
                _handle_part(part, progress)


def _write(connected: socket.socket, data: bytes) -> None:
    try:
        connected.sendall(data)
    except OSError as error:
        # The reader meets the same fault and reports it to the request.
        log.debug("request not written whole", reason=str(error))


def _handle_part(
    part: ParsedHead | ParsedBody | ParsedEnd, progress: _Progress
) -> None:
    exchange = progress.exchange
    if progress.has_ended:
        progress.surplus = True
    elif isinstance(part, ParsedHead):
        _handle_head(part, progress)
    elif progress.is_skipping:
        progress.is_skipping = not isinstance(part, ParsedEnd)
    elif isinstance(part, ParsedBody):
        exchange.reply.send(ResponseBody(exchange.exchange_id, part.data))
    else:
        progress.has_ended = True
        exchange.reply.send(ResponseEnd(exchange.exchange_id, True))


def _handle_head(head: ParsedHead, progress: _Progress) -> None:
    exchange = progress.exchange
    is_interim = head.status < SUCCESS_FROM
    if is_interim or not exchange.is_answer(head.headers):
        # Surplus answers may follow a complete one; none of them is ours.
        progress.is_skipping = True
        progress.surplus = progress.surplus or not is_interim
        return
    progress.has_head = True
    progress.keeps_alive = head.keeps_alive
    progress.ends_with_connection = head.end is BodyEnd.CONNECTION
    progress.idle_limit = _get_idle_limit(head.headers)
    exchange.reply.send(ResponseHead(exchange.exchange_id, head.status, head.headers))


def _handle_close(progress: _Progress) -> None:
    exchange = progress.exchange
    if progress.has_head and progress.ends_with_connection:
        exchange.reply.send(ResponseEnd(exchange.exchange_id, False))
    else:
        _fail(exchange, True, "endpoint closed the connection")


def _get_idle_limit(headers: Headers) -> timedelta:
    for word in (find_header(headers, "keep-alive") or "").split(","):
        name, _, value = word.strip().partition("=")
        if name == "timeout" and value.isdecimal():
            limit = timedelta(seconds=int(value))
            return max(limit - IDLE_MARGIN, limit / 2)
    return IDLE_LIMIT


def _fail(exchange: Exchange, was_sent: bool, reason: str) -> None:
    exchange.reply.send(ExchangeFailed(exchange.exchange_id, was_sent, reason))


def _fail_kept(exchange: Exchange, reason: str) -> None:
    exchange.reply.send(ExchangeFailed(exchange.exchange_id, False, reason, True))


def make_endpoint_connection(
    address: HostAddress, owner: Address
) -> EndpointConnection:
    """Return a connection that is not open yet."""
    return EndpointConnection(address, owner)
