"""Guard against requests that meet the stale connections of a crashed endpoint."""

from datetime import UTC, datetime
from typing import Any

import pytest

from oleanderhitch.connection.http.endpoint import (
    ConnectionClosed,
    ConnectionIdle,
    Exchange,
    ExchangeUnsent,
)
from oleanderhitch.connection.http.messages import ResponseOwner
from oleanderhitch.connection.http.pool import (
    CancelExchange,
    CloseConnection,
    LinksChanged,
    PoolState,
    SendExchange,
    StartExchange,
    handle,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.mailbox import make_mailbox

NOW = datetime(2026, 1, 1, tzinfo=UTC)
CRASHED, OTHER = HostAddress("10.0.0.1:80"), HostAddress("10.0.0.2:80")
REPLY = make_mailbox("test")


class FakeConnection:
    """Connection that only has an address and a way."""

    def __init__(self, address: HostAddress, is_relayed: bool = False) -> None:
        self.address = address
        self.is_relayed = is_relayed


def make_exchange(number: int) -> Exchange:
    """Return an exchange with an endpoint."""
    return Exchange(number, b"", REPLY, lambda headers: ResponseOwner.UNKNOWN)


def make_pool(n_idle: int) -> tuple[PoolState, list[Any]]:
    """Return a pool with idle connections to two endpoints, those to the first one."""
    state = PoolState(FakeConnection)  # type: ignore[arg-type]
    for number in range(n_idle):
        for address in (CRASHED, OTHER):
            exchange_id = 10 * number + (address == OTHER)
            message = StartExchange(address, make_exchange(exchange_id))
            handle(message, state, NOW)
    for exchange_id, connection in list(state.busy_connections.items()):
        handle(ConnectionIdle(connection, exchange_id), state, NOW)
    return state, list(state.idle_connections[CRASHED])


def list_closed(effects: list[object]) -> list[object]:
    """Return the connections that effects close."""
    return [item.connection for item in effects if isinstance(item, CloseConnection)]


def test_stale_connection_closes_all_idle_ones_to_the_endpoint() -> None:
    """Guard against one request after the other that meets a stale connection."""
    state, idle = make_pool(3)
    (sent,) = handle(StartExchange(CRASHED, make_exchange(99)), state, NOW)
    assert isinstance(sent, SendExchange)
    assert sent.connection is idle[-1]
    unsent = ExchangeUnsent(idle[-1], make_exchange(99), is_lost=True)
    *closed, again = handle(unsent, state, NOW)
    assert list_closed(closed) == idle[:-1]
    assert isinstance(again, SendExchange)
    assert again.connection not in idle
    assert not state.idle_connections[CRASHED]
    assert len(state.idle_connections[OTHER]) == 3


@pytest.mark.parametrize("is_lost", [False, True])
def test_connection_lost_in_use_closes_all_idle_ones(is_lost: bool) -> None:
    """Guard against requests that wait at an endpoint that vanished without a word.

    A connection that ends for another reason says nothing about the others.
    """
    state, idle = make_pool(3)
    handle(StartExchange(CRASHED, make_exchange(99)), state, NOW)
    effects = handle(ConnectionClosed(idle[-1], 99, is_lost), state, NOW)
    assert list_closed(effects) == (idle[:-1] if is_lost else [])
    assert 99 not in state.busy_connections


def test_lost_links_close_connections_that_hang() -> None:
    """Guard against one request after the other that meets a silent connection.

    Connections that live on while new ones are refused stay.
    """
    state, _ = make_pool(3)
    assert handle(LinksChanged(True, False), state, NOW) == []
    assert len(list_closed(handle(LinksChanged(True, True), state, NOW))) == 6


def test_relayed_connections_go_once_the_links_are_back() -> None:
    """Guard against a hop that lasts as long as connections are kept."""
    state, direct = make_pool(1)
    handle(LinksChanged(True, False), state, NOW)
    relayed = [FakeConnection(CRASHED, is_relayed=True) for _ in range(2)]
    for number, connection in enumerate(relayed, 50):
        state.busy_connections[number] = connection  # type: ignore[assignment]
    idle: Any = relayed[0]
    assert handle(ConnectionIdle(idle, 50), state, NOW) == []
    closed = list_closed(handle(LinksChanged(False, False), state, NOW))
    assert closed == [relayed[0]]
    busy: Any = relayed[1]
    assert list_closed(handle(ConnectionIdle(busy, 51), state, NOW)) == [busy]
    assert state.idle_connections[CRASHED] == direct


def test_pool_keeps_nothing_of_a_cancelled_exchange() -> None:
    """Guard against growth with the addresses of endpoints.

    A connection that is cancelled before it runs does not report that it is closed.
    """
    state = PoolState(FakeConnection)  # type: ignore[arg-type]
    handle(StartExchange(CRASHED, make_exchange(1)), state, NOW)
    (cancelled,) = handle(CancelExchange(1), state, NOW)
    assert isinstance(cancelled, CloseConnection)
    assert not state.busy_connections
    assert not state.idle_connections
