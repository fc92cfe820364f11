"""Connection pool: reuses idle connections to endpoints and opens new ones."""

from collections import defaultdict
from collections.abc import Callable
from datetime import datetime
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.connection.http.endpoint import (
    ConnectionClosed,
    ConnectionIdle,
    EndpointConnection,
    Exchange,
    ExchangeUnsent,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.task import Task, make_task
from oleanderhitch.values import Value

OpenConnection = Callable[[HostAddress], EndpointConnection]


class StartExchange(Value, frozen=True):
    """Starts an exchange with an endpoint.

    One whose response names no request needs a new connection: only there is it known
    whose response comes first.
    """

    address: HostAddress
    exchange: Exchange
    needs_new_connection: bool = False


class CancelExchange(Value, frozen=True):
    """Cancels an exchange whose response is no longer needed."""

    exchange_id: int


class LinksChanged(Value, frozen=True):
    """Reports that this host lost or regained its links to the endpoints.

    With `is_silent`, open connections are lost without a sign. Those that pass through
    other hosts are only of use while the links are lost.
    """

    is_isolated: bool
    is_silent: bool


class SendExchange(Value, frozen=True):
    """Sends an exchange over a connection."""

    connection: EndpointConnection
    exchange: Exchange


class CloseConnection(Value, frozen=True):
    """Closes a connection."""

    connection: EndpointConnection


class PoolState(Struct):
    """Connections to all endpoints; owned by the pool's task.

    Busy connections are stored under the id of their exchange.
    """

    open_connection: OpenConnection
    idle_connections: defaultdict[HostAddress, list[EndpointConnection]] = field(
        default_factory=lambda: defaultdict(list)
    )
    busy_connections: dict[int, EndpointConnection] = field(default_factory=dict)
    n_opened: int = 0
    is_isolated: bool = False


@singledispatch
def handle(message: object, state: PoolState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(
        f"connection pool does not support message type {type(message).__name__}"
    )


@handle.register
def _(message: StartExchange, state: PoolState, now: datetime) -> list[object]:
    idle = state.idle_connections.get(message.address)
    if idle and not message.needs_new_connection:
        # The most recently used connection is the least likely to time out.
        connection = idle.pop()
    else:
        connection = state.open_connection(message.address)
        state.n_opened += 1
    state.busy_connections[message.exchange.exchange_id] = connection
    return [SendExchange(connection, message.exchange)]


@handle.register
def _(message: CancelExchange, state: PoolState, now: datetime) -> list[object]:
    connection = state.busy_connections.pop(message.exchange_id, None)
    return [] if connection is None else [CloseConnection(connection)]


@handle.register
def _(message: ConnectionIdle, state: PoolState, now: datetime) -> list[object]:
    if state.busy_connections.pop(message.exchange_id, None) is None:
        return [CloseConnection(message.connection)]
    if message.connection.is_relayed and not state.is_isolated:
        return [CloseConnection(message.connection)]
    state.idle_connections[message.connection.address].append(message.connection)
    return []


@handle.register
def _(message: ExchangeUnsent, state: PoolState, now: datetime) -> list[object]:
    exchange, connection = message.exchange, message.connection
    if state.busy_connections.get(exchange.exchange_id) is not connection:
        # It was cancelled meanwhile.
        return []
    # An endpoint that ends closes all its connections. The request spends none of its
    # sends on them.
    effects = _close_idle(connection.address, state) if message.is_lost else []
    start = StartExchange(connection.address, exchange)
    return [*effects, *handle(start, state, now)]


@handle.register
def _(message: ConnectionClosed, state: PoolState, now: datetime) -> list[object]:
    if state.busy_connections.get(message.exchange_id) is message.connection:
        del state.busy_connections[message.exchange_id]
    address = message.connection.address
    idle = state.idle_connections[address]
    if message.connection in idle:
        idle.remove(message.connection)
    if not idle:
        del state.idle_connections[address]
    # An endpoint that vanished with its host does not close them.
    return _close_idle(address, state) if message.is_lost else []


@handle.register
def _(message: LinksChanged, state: PoolState, now: datetime) -> list[object]:
    state.is_isolated = message.is_isolated
    effects: list[object] = []
    for address, idle in list(state.idle_connections.items()):
        lost = [
            connection
            for connection in idle
            if message.is_silent or (connection.is_relayed and not state.is_isolated)
        ]
        state.idle_connections[address] = [c for c in idle if c not in lost]
        effects.extend(CloseConnection(connection) for connection in lost)
    return effects


def _close_idle(address: HostAddress, state: PoolState) -> list[object]:
    """Return the effects that close all idle connections to an endpoint."""
    idle = state.idle_connections.pop(address, [])
    return [CloseConnection(connection) for connection in idle]


@singledispatch
def perform(effect: object) -> None:
    """Perform an effect of the pool."""
    raise TypeError(
        f"connection pool does not support effect type {type(effect).__name__}"
    )


@perform.register
def _(effect: SendExchange) -> None:
    effect.connection.send(effect.exchange)


@perform.register
def _(effect: CloseConnection) -> None:
    effect.connection.cancel()


def make_connection_pool(
    open_connection: Callable[[HostAddress, Task[PoolState]], EndpointConnection],
    clock: Clock,
) -> Task[PoolState]:
    """Return the task of the connection pool."""

    def start_connection(address: HostAddress) -> EndpointConnection:
        connection = open_connection(address, task)
        connection.start()
        return connection

    task = make_task("pool", PoolState(start_connection), handle, perform, clock)
    return task
