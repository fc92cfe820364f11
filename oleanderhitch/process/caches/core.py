"""Decide how a reading of a cache goes on and when it is given up."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.connection.http.messages import (
    ExchangeFailed,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.caches.messages import ReadCache
from oleanderhitch.process.messages import Tick
from oleanderhitch.version.ids import EndpointId

# By then the requests of an entry have shown it what most engines hold.
READ_LIMIT = timedelta(seconds=2)
SUCCESS = 200


@dataclass(frozen=True, slots=True)
class StartReading:
    """Send the request to an engine."""

    exchange: int
    address: HostAddress


@dataclass(frozen=True, slots=True)
class CancelReading:
    """End an exchange whose answer is of no use."""

    exchange: int


@dataclass(frozen=True, slots=True)
class TellParts:
    """Answer with the parts that the body of an answer names."""

    request: ReadCache
    body: bytes


@dataclass(frozen=True, slots=True)
class LogFailure:
    """Log that a cache could not be read."""

    endpoint: EndpointId
    reason: str


@dataclass(slots=True)
class Reading:
    """Hold what has arrived of one answer."""

    request: ReadCache
    due_at: datetime
    body: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class CachesState:
    """Hold the readings under way by their exchange; the task owns it."""

    readings: dict[int, Reading] = field(default_factory=dict)
    n_readings: int = 0


@singledispatch
def handle(message: object, state: CachesState, now: datetime) -> list[object]:
    """Return the effects of a message."""
    raise TypeError(f"reader of caches has no message {type(message).__name__}")


@handle.register
def _(message: ReadCache, state: CachesState, now: datetime) -> list[object]:
    state.n_readings += 1
    # Exchanges of requests have numbers above zero.
    exchange = -state.n_readings
    state.readings[exchange] = Reading(message, now + READ_LIMIT)
    return [StartReading(exchange, message.endpoint.address)]


@handle.register
def _(message: ResponseHead, state: CachesState, now: datetime) -> list[object]:
    if message.status == SUCCESS:
        return []
    return _give_up(message.exchange_id, f"engine answered {message.status}", state)


@handle.register
def _(message: ResponseBody, state: CachesState, now: datetime) -> list[object]:
    reading = state.readings.get(message.exchange_id)
    if reading is not None:
        reading.body.append(message.data)
    return []


@handle.register
def _(message: ResponseEnd, state: CachesState, now: datetime) -> list[object]:
    reading = state.readings.pop(message.exchange_id, None)
    if reading is None:
        return []
    return [TellParts(reading.request, b"".join(reading.body))]


@handle.register
def _(message: ExchangeFailed, state: CachesState, now: datetime) -> list[object]:
    reading = state.readings.pop(message.exchange_id, None)
    if reading is None:
        return []
    return [LogFailure(reading.request.endpoint.endpoint, message.reason)]


@handle.register
def _(message: Tick, state: CachesState, now: datetime) -> list[object]:
    effects: list[object] = []
    for exchange, reading in list(state.readings.items()):
        if now >= reading.due_at:
            effects.extend(_give_up(exchange, "no whole answer in time", state))
    return effects


def _give_up(exchange: int, reason: str, state: CachesState) -> list[object]:
    reading = state.readings.pop(exchange, None)
    if reading is None:
        return []
    endpoint = reading.request.endpoint.endpoint
    return [CancelReading(exchange), LogFailure(endpoint, reason)]
