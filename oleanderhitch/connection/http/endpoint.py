"""Connection to one endpoint: sends requests and streams back the responses."""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from enum import Enum
from typing import Any

import gevent
import logbook
from gevent import socket
from msgspec import Struct, field

from oleanderhitch.connection.http.exceptions import ResponseParseError
from oleanderhitch.connection.http.flow import ResponseFlow
from oleanderhitch.connection.http.memory import (
    MemoryShare,
    TrafficMemory,
    make_traffic_memory,
)
from oleanderhitch.connection.http.messages import (
    BodyEnd,
    ExchangeFailed,
    Headers,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
    ResponseOwner,
    find_header,
)
from oleanderhitch.connection.http.parsing import (
    FIRST_FINAL_STATUS,
    ParsedBody,
    ParsedEnd,
    ParsedHead,
    ResponseParser,
    make_response_parser,
)
from oleanderhitch.connection.http.sockets import (
    EndpointSocket,
    Receive,
    open_connection,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.address import Address
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.request.ids import RequestId
from oleanderhitch.values import Value

RECEIVE_BYTES = 64 * 1024
# Bounds what a connection that nobody reads holds in the kernel.
RECEIVE_BUFFER_BYTES = 256 * 1024
# A connection with more bytes to read than it can handle would never wait, and nothing
# else in the process would run.
N_READS_IN_A_ROW = 8
# Bytes of responses to other requests after which the connection is given up.
SKIPPED_LIMIT_BYTES = 1024 * 1024
# Endpoints of a region acknowledge a SYN within some milliseconds. TCP retransmits a
# lost SYN only after a second; by then it is faster to use another endpoint.
CONNECT_TIMEOUT = timedelta(milliseconds=250)
# Idle connections are closed this long before the timeout that the endpoint announces,
# so that no request is sent while the endpoint closes the connection. Timeouts under
# 2 s are halved instead.
IDLE_TIMEOUT_MARGIN = timedelta(milliseconds=1000)
# Callers send a request again within seconds, in which a connection carries fewer.
N_CARRIED_REQUESTS_LIMIT = 128
# For endpoints that announce no timeout.
DEFAULT_IDLE_TIMEOUT = timedelta(seconds=20)
# Some years; connections are closed long before that.
N_TIMEOUT_DIGITS = 8
# Event mask of libev.
READABLE = 1

log = logbook.Logger("endpoint")

# Raises OSError or OleanderhitchError if nothing was sent to the endpoint.
ConnectToEndpoint = Callable[[HostAddress], EndpointSocket]


def connect_directly(address: HostAddress) -> EndpointSocket:
    """Return a socket connected to an endpoint; raise OSError."""
    connected = open_connection(address, CONNECT_TIMEOUT)
    return EndpointSocket(connected, connected.recv)


class Exchange(Value, frozen=True):
    """Sends a request; the response goes to the reply address.

    `find_owner` tells from its headers whose response one is; one to another request
    is skipped. One that names no request counts as the response to this one only if
    nothing was received on the connection before. The body is read no faster than the
    receiver removes it from the flow, if there is one. A response without a body, as to
    HEAD, ends with its head. A connection carries a request that `request_id` names
    only once: a late duplicate of its first response would look like the second.
    """

    exchange_id: int
    request: bytes
    reply_address: Address
    find_owner: Callable[[Headers], ResponseOwner]
    flow: ResponseFlow | None = None
    request_id: RequestId | None = None
    has_response_body: bool = True


class ReuseFault(Enum):
    """Why an idle connection can't be reused."""

    TIMED_OUT = "idle connection timed out"
    CARRIED = "idle connection has carried the same request"
    SURPLUS = "idle connection has surplus bytes"
    CLOSED = "idle connection closed"
    BROKEN = "idle connection broke"


# What the endpoint has done; older connections to it have probably ended as well.
LOST_FAULTS = (ReuseFault.CLOSED, ReuseFault.BROKEN)


class ConnectionDisturbed(Value, frozen=True):
    """Reports that an idle connection was closed or has received something."""


class ConnectionIdle(Value, frozen=True):
    """Reports that the connection has finished an exchange and can be reused."""

    connection: "EndpointConnection"
    exchange_id: int


class ConnectionClosed(Value, frozen=True):
    """Reports that the connection is closed; `exchange_id` is its last exchange.

    `is_lost` is whether it broke in use, or could not be made.
    """

    connection: "EndpointConnection"
    exchange_id: int
    is_lost: bool = False


class ExchangeUnsent(Value, frozen=True):
    """Returns an exchange to the owner of a connection that can't be reused.

    `is_lost` is whether its endpoint has ended the connection.
    """

    connection: "EndpointConnection"
    exchange: Exchange
    is_lost: bool = False


class _ExchangeState(Struct):
    """State of the exchange in progress."""

    exchange: Exchange
    parser: ResponseParser
    writer: gevent.Greenlet
    is_first_exchange: bool
    share: MemoryShare
    is_skipping_response: bool = False
    n_skipped_bytes: int = 0
    has_head: bool = False
    has_ended: bool = False
    is_lost: bool = False
    keeps_alive: bool = False
    is_close_delimited: bool = False
    idle_timeout: timedelta = DEFAULT_IDLE_TIMEOUT
    has_surplus_bytes: bool = field(default=False)


class EndpointConnection:
    """Task that owns one connection to an endpoint, from open to close."""

    def __init__(
        self,
        address: HostAddress,
        owner: Address,
        memory: TrafficMemory,
        connect: ConnectToEndpoint,
    ) -> None:
        self._address = address
        self._owner = owner
        self._memory = memory
        self._open = connect
        self._opened: EndpointSocket | None = None
        # A small capacity is enough: the pool sends the next exchange only after
        # ConnectionIdle, and `fetch` sends a single one.
        self._mailbox = make_mailbox(f"endpoint {address}", 4)
        self._greenlet: gevent.Greenlet | None = None
        self._current_exchange_id = 0
        self._carried: deque[RequestId] = deque(maxlen=N_CARRIED_REQUESTS_LIMIT)
        self._has_ended = False
        self._is_lost = False

    @property
    def address(self) -> HostAddress:
        """The endpoint's address."""
        return self._address

    @property
    def is_relayed(self) -> bool:
        """Whether the bytes pass through another host."""
        return self._opened is not None and self._opened.is_relayed

    def start(self) -> None:
        """Start the task; the first exchange opens the connection."""
        self._greenlet = gevent.spawn(self._run)

    def send(self, message: Exchange) -> None:
        """Queue an exchange; the owner gets it back if the connection has ended."""
        if self._has_ended:
            self._return(message, ReuseFault.TIMED_OUT)
        else:
            self._mailbox.send(message)

    def cancel(self) -> None:
        """Close the connection, which cancels the exchange in progress."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        idle_timeout: timedelta | None = None
        try:
            while True:
                with self._watch_idle_socket():
                    exchange = self._mailbox.receive(idle_timeout)
                if not isinstance(exchange, Exchange):
                    return
                self._current_exchange_id = exchange.exchange_id
                idle_timeout = self._run_exchange(exchange)
                if idle_timeout is None:
                    return
                self._owner.send(ConnectionIdle(self, exchange.exchange_id))
        finally:
            self._has_ended = True
            if self._opened is not None:
                self._opened.connected.close()
            self._fail_queued()
            exchange_id = self._current_exchange_id
            self._owner.send(ConnectionClosed(self, exchange_id, self._is_lost))

    def _fail_queued(self) -> None:
        while self._mailbox.n_waiting:
            waiting = self._mailbox.receive()
            if isinstance(waiting, Exchange):
                self._return(waiting, ReuseFault.TIMED_OUT)

    def _run_exchange(self, exchange: Exchange) -> timedelta | None:
        """Run an exchange; return the idle timeout, or None to close the connection."""
        is_reused = self._opened is not None
        if self._opened is not None:
            fault = self._find_reuse_fault(exchange, self._opened)
            if fault is not None:
                self._return(exchange, fault)
                return None
        elif not self._connect(exchange):
            self._is_lost = True
            return None
        assert self._opened is not None
        if exchange.request_id is not None:
            self._carried.append(exchange.request_id)
        connected = self._opened.connected
        writer = gevent.spawn(_write_request, connected, exchange.request)
        share = self._memory.make_share()
        state = _ExchangeState(
            exchange,
            make_response_parser(exchange.has_response_body),
            writer,
            not is_reused,
            share,
        )
        try:
            _read_response(state, self._opened.receive)
        except OSError as error:
            state.is_lost = True
            _fail_lost(exchange, f"connection broke: {error}")
        except ResponseParseError as error:
            _fail(exchange, True, f"unreadable answer: {error}")
        except Exception as error:
            log.error("unexpected error", address=self._address, error=repr(error))
            _fail(exchange, True, f"unexpected error: {error!r}")
        finally:
            is_written = writer.ready()
            writer.kill(block=False)
            share.close()
        self._is_lost = state.is_lost
        is_reusable = state.has_ended and state.keeps_alive and is_written
        return (
            state.idle_timeout if is_reusable and not state.has_surplus_bytes else None
        )

    @contextmanager
    def _watch_idle_socket(self) -> Iterator[None]:
        """Close the idle connection once it is closed or receives anything."""
        if self._opened is None:
            yield
            return
        connected = self._opened.connected
        watcher = gevent.get_hub().loop.io(connected.fileno(), READABLE)
        watcher.start(self._report_disturbance, watcher)
        try:
            yield
        finally:
            watcher.stop()
            watcher.close()

    def _report_disturbance(self, watcher: Any) -> None:
        watcher.stop()
        self._mailbox.send(ConnectionDisturbed())

    def _return(self, exchange: Exchange, fault: ReuseFault) -> None:
        log.debug(
            "kept connection not reused", address=self._address, reason=fault.value
        )
        self._owner.send(ExchangeUnsent(self, exchange, fault in LOST_FAULTS))

    def _connect(self, exchange: Exchange) -> bool:
        """Open the connection, or report the failure and return False."""
        try:
            self._opened = self._open(self._address)
            connected = self._opened.connected
            connected.settimeout(None)
            connected.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        except (OSError, OleanderhitchError) as error:
            _fail(exchange, False, f"could not connect: {error}")
            return False
        return True

    def _find_reuse_fault(
        self, exchange: Exchange, opened: EndpointSocket
    ) -> ReuseFault | None:
        """Return why the idle connection can't be reused, or None if it can."""
        if exchange.request_id in self._carried:
            return ReuseFault.CARRIED
        opened.connected.setblocking(False)
        try:
            data = opened.receive(1)
        except BlockingIOError:
            return None
        except OSError:
            return ReuseFault.BROKEN
        finally:
            opened.connected.settimeout(None)
        return ReuseFault.SURPLUS if data else ReuseFault.CLOSED


def _read_response(state: _ExchangeState, receive: Receive) -> None:
    n_reads = 0
    while not state.has_ended:
        data = receive(RECEIVE_BYTES)
        if not data:
            _handle_close(state)
            return
        for part in state.parser.feed(data):
            _handle_part(part, state)
        if not state.share.resize(state.parser.n_unfinished_bytes):
            raise ResponseParseError("responses take too much memory")
        if state.has_ended and not state.parser.is_between_responses:
            state.has_surplus_bytes = True
        if state.parser.fault is not None and not state.has_ended:
            raise ResponseParseError(state.parser.fault)
        if state.exchange.flow is not None and not state.has_ended:
            state.exchange.flow.wait()
        n_reads += 1
        if n_reads % N_READS_IN_A_ROW == 0 or len(data) == RECEIVE_BYTES:
            gevent.sleep(0)


def _write_request(connected: socket.socket, data: bytes) -> bool:
    """Return whether the whole request was sent; the reader reports what follows."""
    try:
        connected.sendall(data)
    except OSError as error:
        log.debug("could not send the whole request", reason=str(error))
        return False
    return True


def _handle_part(
    part: ParsedHead | ParsedBody | ParsedEnd, state: _ExchangeState
) -> None:
    exchange = state.exchange
    if state.has_ended:
        state.has_surplus_bytes = True
    elif isinstance(part, ParsedHead):
        _handle_head(part, state)
    elif state.is_skipping_response:
        _skip_part(part, state)
    elif isinstance(part, ParsedBody):
        if exchange.flow is not None:
            exchange.flow.add(len(part.data))
        exchange.reply_address.send(ResponseBody(exchange.exchange_id, part.data))
    else:
        state.has_ended = True
        exchange.reply_address.send(ResponseEnd(exchange.exchange_id, BodyEnd.FRAMED))


def _skip_part(part: ParsedBody | ParsedEnd, state: _ExchangeState) -> None:
    state.is_skipping_response = isinstance(part, ParsedBody)
    if isinstance(part, ParsedBody):
        state.n_skipped_bytes += len(part.data)
    if state.n_skipped_bytes > SKIPPED_LIMIT_BYTES:
        raise ResponseParseError(
            f"more than {SKIPPED_LIMIT_BYTES} bytes of responses to other requests"
        )


def _handle_head(head: ParsedHead, state: _ExchangeState) -> None:
    exchange = state.exchange
    if head.status < FIRST_FINAL_STATUS:
        state.is_skipping_response = True
        return
    owner = exchange.find_owner(head.headers)
    if owner is ResponseOwner.ANOTHER_REQUEST:
        # Counts as surplus bytes: the order of the responses on the connection is
        # unknown, so the connection is not reused.
        state.is_skipping_response = state.has_surplus_bytes = True
        return
    is_order_known = state.is_first_exchange and not state.has_surplus_bytes
    if owner is ResponseOwner.UNKNOWN and not is_order_known:
        raise ResponseParseError(
            f"a response with status {head.status} names no request and may belong to "
            f"an earlier one"
        )
    state.has_head = True
    state.keeps_alive = head.keeps_alive
    state.is_close_delimited = head.body_end is BodyEnd.CONNECTION
    state.idle_timeout = _get_idle_timeout(head.headers)
    exchange.reply_address.send(
        ResponseHead(exchange.exchange_id, head.status, head.headers)
    )


def _handle_close(state: _ExchangeState) -> None:
    exchange = state.exchange
    # The system reports a reset once. If the writer has got it, it looks like an end in
    # good order here.
    is_reset = state.writer.ready() and not state.writer.value
    if state.has_head and state.is_close_delimited and not is_reset:
        exchange.reply_address.send(
            ResponseEnd(exchange.exchange_id, BodyEnd.CONNECTION)
        )
    else:
        state.is_lost = True
        _fail_lost(exchange, "endpoint closed the connection")


def _get_idle_timeout(headers: Headers) -> timedelta:
    for parameter in (find_header(headers, "keep-alive") or "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name == "timeout" and value.isdecimal():
            seconds = int(value[:N_TIMEOUT_DIGITS])
            endpoint_timeout = timedelta(seconds=seconds)
            return max(endpoint_timeout - IDLE_TIMEOUT_MARGIN, endpoint_timeout / 2)
    return DEFAULT_IDLE_TIMEOUT


def _fail(exchange: Exchange, was_sent: bool, reason: str) -> None:
    exchange.reply_address.send(ExchangeFailed(exchange.exchange_id, was_sent, reason))


def _fail_lost(exchange: Exchange, reason: str) -> None:
    exchange.reply_address.send(
        ExchangeFailed(exchange.exchange_id, True, reason, is_connection_lost=True)
    )


def make_endpoint_connection(
    address: HostAddress,
    owner: Address,
    memory: TrafficMemory | None = None,
    connect: ConnectToEndpoint = connect_directly,
) -> EndpointConnection:
    """Return a connection that has not been started."""
    return EndpointConnection(address, owner, memory or make_traffic_memory(), connect)
