"""Give each exchange an idle connection of its endpoint, or a new one."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from functools import singledispatch

from oleanderhitch.connection.http.endpoint import (
    ConnectionClosed,
    ConnectionIdle,
    EndpointConnection,
    Exchange,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.task import Task, make_task

OpenConnection = Callable[[HostAddress], EndpointConnection]


@dataclass(frozen=True, slots=True)
class StartExchange:
    """Ask for an exchange with an endpoint."""

    address: HostAddress
    exchange: Exchange


@dataclass(frozen=True, slots=True)
class CancelExchange:
    """Ask to end an exchange whose answer nobody waits for."""

    exchange_id: int


@dataclass(frozen=True, slots=True)
class Carry:
    """Hand an exchange to a connection."""

    connection: EndpointConnection
    exchange: Exchange


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection."""

    connection: EndpointConnection


@dataclass(slots=True)
class PoolState:
    """Hold the connections of all endpoints; the pool's task owns it."""

    open_connection: OpenConnection
    idle: defaultdict[HostAddress, list[EndpointConnection]] = field(
        default_factory=lambda: defaultdict(list)
    )
    busy: dict[int, EndpointConnection] = field(default_factory=dict)
    n_opened: int = 0


@singledispatch
def handle(message: object, state: PoolState, now: datetime) -> list[object]:
    """Return the effects of a message."""
    raise TypeError(f"connection pool has no message {type(message).__name__}")


@handle.register
def _(message: StartExchange, state: PoolState, now: datetime) -> list[object]:
    idle = state.idle[message.address]
    if idle:
        # The most recently used one is the least likely to time out.
        connection = idle.pop()
    else:
        connection = state.open_connection(message.address)
        state.n_opened += 1
    state.busy[message.exchange.exchange_id] = connection
    return [Carry(connection, message.exchange)]


@handle.register
def _(message: CancelExchange, state: PoolState, now: datetime) -> list[object]:
    connection = state.busy.pop(message.exchange_id, None)
    return [] if connection is None else [CloseConnection(connection)]


@handle.register
def _(message: ConnectionIdle, state: PoolState, now: datetime) -> list[object]:
    if state.busy.pop(message.exchange, None) is None:
        return [CloseConnection(message.connection)]
    state.idle[message.connection.address].append(message.connection)
    return []


@handle.register
def _(message: ConnectionClosed, state: PoolState, now: datetime) -> list[object]:
    state.busy.pop(message.exchange, None)
    idle = state.idle[message.connection.address]
    if message.connection in idle:
        idle.remove(message.connection)
    if not idle:
        del state.idle[message.connection.address]
    return []


@singledispatch
def perform(effect: object) -> None:
    """Perform an effect of the pool."""
    raise TypeError(f"connection pool has no effect {type(effect).__name__}")


@perform.register
def _(effect: Carry) -> None:
    effect.connection.send(effect.exchange)


@perform.register
def _(effect: CloseConnection) -> None:
    effect.connection.cancel()


def make_connection_pool(
    open_connection: Callable[[HostAddress, Task[PoolState]], EndpointConnection],
    clock: Clock,
) -> Task[PoolState]:
    """Return the task that keeps the connections to endpoints."""

    def start_connection(address: HostAddress) -> EndpointConnection:
        connection = open_connection(address, task)
        connection.start()
        return connection

    task = make_task("pool", PoolState(start_connection), handle, perform, clock)
    return task
