"""Decide how reads of prefix caches proceed and when they are aborted."""

from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.connection.http.messages import (
    ExchangeFailed,
    Headers,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.caches.messages import ReadCache
from oleanderhitch.process.messages import Tick
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId

# After this time, an entry host's own requests have shown what most engines cache.
READ_TIMEOUT = timedelta(seconds=2)
# A cache of a million tokens in parts of a hundred tokens takes half of this.
BODY_LIMIT_BYTES = 1024 * 1024
# A starting host reads the caches of many engines at once.
ALL_BODIES_LIMIT_BYTES = 8 * 1024 * 1024
STATUS_OK = 200


class SendCacheRequest(Value, frozen=True):
    """Sends the HTTP request of a read to an engine."""

    exchange_id: int
    address: HostAddress


class CancelCacheRequest(Value, frozen=True):
    """Cancels the HTTP exchange of an aborted read."""

    exchange_id: int


class ReportAnnouncements(Value, frozen=True):
    """Tells the requester what the headers of a response say of the engine itself."""

    request: ReadCache
    headers: Headers


class SendCacheContents(Value, frozen=True):
    """Sends the requester the prompt parts that are listed in a response body."""

    request: ReadCache
    body: bytes


class LogCacheReadFailure(Value, frozen=True):
    """Logs that the cache of an engine could not be read."""

    endpoint: EndpointId
    reason: str


class PendingRead(Struct):
    """Read in progress, with what was received of the body."""

    request: ReadCache
    deadline: datetime
    body: bytearray = field(default_factory=bytearray)


class CachesState(Struct):
    """Reads in progress by the id of their HTTP exchange."""

    pending_reads: dict[int, PendingRead] = field(default_factory=dict)
    n_reads_started: int = 0


@singledispatch
def handle(message: object, state: CachesState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(f"caches does not support message type {type(message).__name__}")


@handle.register
def _(message: ReadCache, state: CachesState, now: datetime) -> list[object]:
    state.n_reads_started += 1
    # Forwarded requests use positive ids in the same connection pool.
    exchange_id = -state.n_reads_started
    state.pending_reads[exchange_id] = PendingRead(message, now + READ_TIMEOUT)
    return [SendCacheRequest(exchange_id, message.endpoint.address)]


@handle.register
def _(message: ResponseHead, state: CachesState, now: datetime) -> list[object]:
    read = state.pending_reads.get(message.exchange_id)
    if read is None:
        return []
    effects: list[object] = [ReportAnnouncements(read.request, message.headers)]
    if message.status != STATUS_OK:
        reason = f"engine answered {message.status}"
        effects.extend(_abort_read(message.exchange_id, reason, state))
    return effects


@handle.register
def _(message: ResponseBody, state: CachesState, now: datetime) -> list[object]:
    read = state.pending_reads.get(message.exchange_id)
    if read is None:
        return []
    read.body += message.data
    n_bytes = sum(len(pending.body) for pending in state.pending_reads.values())
    if len(read.body) > BODY_LIMIT_BYTES or n_bytes > ALL_BODIES_LIMIT_BYTES:
        return _abort_read(message.exchange_id, "the answer is too large", state)
    return []


@handle.register
def _(message: ResponseEnd, state: CachesState, now: datetime) -> list[object]:
    read = state.pending_reads.pop(message.exchange_id, None)
    if read is None:
        return []
    return [SendCacheContents(read.request, bytes(read.body))]


@handle.register
def _(message: ExchangeFailed, state: CachesState, now: datetime) -> list[object]:
    read = state.pending_reads.pop(message.exchange_id, None)
    if read is None:
        return []
    return [LogCacheReadFailure(read.request.endpoint.endpoint, message.reason)]


@handle.register
def _(message: Tick, state: CachesState, now: datetime) -> list[object]:
    effects: list[object] = []
    for exchange_id, read in list(state.pending_reads.items()):
        if now >= read.deadline:
            effects.extend(_abort_read(exchange_id, "no whole answer in time", state))
    return effects


def _abort_read(exchange_id: int, reason: str, state: CachesState) -> list[object]:
    read = state.pending_reads.pop(exchange_id, None)
    if read is None:
        return []
    endpoint = read.request.endpoint.endpoint
    return [CancelCacheRequest(exchange_id), LogCacheReadFailure(endpoint, reason)]
