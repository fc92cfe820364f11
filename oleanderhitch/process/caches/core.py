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
READ_TIMEOUT = timedelta(seconds=2)
STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class SendCacheRequest:
    """Send the request to an engine."""

    exchange: int
    address: HostAddress


@dataclass(frozen=True, slots=True)
class CancelCacheRequest:
    """End an exchange whose answer is of no use."""

    exchange: int


@dataclass(frozen=True, slots=True)
class SendCacheContents:
    """Answer with the parts that the body of an answer names."""

    request: ReadCache
    body: bytes


@dataclass(frozen=True, slots=True)
class LogCacheReadFailure:
    """Log that a cache could not be read."""

    endpoint: EndpointId
    reason: str


@dataclass(slots=True)
class PendingRead:
    """Hold what has arrived of one answer."""

    request: ReadCache
    deadline: datetime
    body: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class CachesState:
    """Hold the readings under way by their exchange; the task owns it."""

    pending_reads: dict[int, PendingRead] = field(default_factory=dict)
    n_reads_started: int = 0


@singledispatch
def handle(message: object, state: CachesState, now: datetime) -> list[object]:
    """Return the effects of a message."""
    raise TypeError(f"reader of caches has no message {type(message).__name__}")


@handle.register
def _(message: ReadCache, state: CachesState, now: datetime) -> list[object]:
    state.n_reads_started += 1
    # Exchanges of requests have numbers above zero.
    exchange = -state.n_reads_started
    state.pending_reads[exchange] = PendingRead(message, now + READ_TIMEOUT)
    return [SendCacheRequest(exchange, message.endpoint.address)]


@handle.register
def _(message: ResponseHead, state: CachesState, now: datetime) -> list[object]:
    if message.status == STATUS_OK:
        return []
    return _abort_read(message.exchange, f"engine answered {message.status}", state)


@handle.register
def _(message: ResponseBody, state: CachesState, now: datetime) -> list[object]:
    reading = state.pending_reads.get(message.exchange)
    if reading is not None:
        reading.body.append(message.data)
    return []


@handle.register
def _(message: ResponseEnd, state: CachesState, now: datetime) -> list[object]:
    reading = state.pending_reads.pop(message.exchange, None)
    if reading is None:
        return []
    return [SendCacheContents(reading.request, b"".join(reading.body))]


@handle.register
def _(message: ExchangeFailed, state: CachesState, now: datetime) -> list[object]:
    reading = state.pending_reads.pop(message.exchange, None)
    if reading is None:
        return []
    return [LogCacheReadFailure(reading.request.endpoint.endpoint, message.reason)]


@handle.register
def _(message: Tick, state: CachesState, now: datetime) -> list[object]:
    effects: list[object] = []
    for exchange, reading in list(state.pending_reads.items()):
        if now >= reading.deadline:
            effects.extend(_abort_read(exchange, "no whole answer in time", state))
    return effects


def _abort_read(exchange: int, reason: str, state: CachesState) -> list[object]:
    reading = state.pending_reads.pop(exchange, None)
    if reading is None:
        return []
    endpoint = reading.request.endpoint.endpoint
    return [CancelCacheRequest(exchange), LogCacheReadFailure(endpoint, reason)]
