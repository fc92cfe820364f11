"""Guard against reads of prefix caches that are mixed up or never end."""

from datetime import UTC, datetime

from oleanderhitch.connection.http.messages import (
    BodyEnd,
    ExchangeFailed,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.caches.core import (
    ALL_BODIES_LIMIT_BYTES,
    BODY_LIMIT_BYTES,
    READ_TIMEOUT,
    CachesState,
    CancelCacheRequest,
    LogCacheReadFailure,
    ReportAnnouncements,
    SendCacheContents,
    SendCacheRequest,
    handle,
)
from oleanderhitch.process.caches.messages import ReadCache
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.messages import Tick
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName

NOW = datetime(2026, 1, 1, tzinfo=UTC)


def make_request(name: str) -> ReadCache:
    """Return a request to read the cache of an engine."""
    endpoint = ListedEndpoint(
        EndpointId(name),
        ServiceName("s"),
        HostAddress(f"{name}:80"),
        DataCentreName("home"),
        4,
        False,
    )
    return ReadCache(endpoint, make_mailbox("test"))


def start_read(state: CachesState, request: ReadCache) -> int:
    """Start a read and return the id of its HTTP exchange."""
    [effect] = handle(request, state, NOW)
    assert isinstance(effect, SendCacheRequest)
    assert effect.address == request.endpoint.address
    return effect.exchange_id


def test_endless_response_is_aborted() -> None:
    """Guard against an engine that fills the memory of a starting host."""
    state = CachesState()
    exchange = start_read(state, make_request("a"))
    piece = ResponseBody(exchange, b"a" * (BODY_LIMIT_BYTES // 2))
    assert handle(piece, state, NOW) == []
    assert handle(piece, state, NOW) == []
    cancel, _ = handle(ResponseBody(exchange, b"a"), state, NOW)
    assert cancel == CancelCacheRequest(exchange)
    assert not state.pending_reads


def test_many_long_responses_are_bounded_together() -> None:
    """Guard against caches that fit one by one and not all at once."""
    state = CachesState()
    n_reads = 2 * ALL_BODIES_LIMIT_BYTES // BODY_LIMIT_BYTES
    for number in range(n_reads):
        exchange = start_read(state, make_request(f"e{number}"))
        handle(ResponseBody(exchange, b"a" * BODY_LIMIT_BYTES), state, NOW)
    n_bytes = sum(len(read.body) for read in state.pending_reads.values())
    assert n_bytes <= ALL_BODIES_LIMIT_BYTES


def test_interleaved_responses_are_not_mixed_up() -> None:
    """Guard against prompt parts that are attributed to another engine."""
    state = CachesState()
    first, second = make_request("a"), make_request("b")
    one, two = start_read(state, first), start_read(state, second)
    for exchange_id, data in ((two, b"b1"), (one, b"a1"), (two, b"b2")):
        handle(ResponseHead(exchange_id, 200), state, NOW)
        handle(ResponseBody(exchange_id, data), state, NOW)
    assert handle(ResponseEnd(two, BodyEnd.FRAMED), state, NOW) == [
        SendCacheContents(second, b"b1b2")
    ]
    assert handle(ResponseEnd(one, BodyEnd.FRAMED), state, NOW) == [
        SendCacheContents(first, b"a1")
    ]
    assert not state.pending_reads


def test_refused_or_failed_read_ends() -> None:
    """Guard against a read that stays pending after an error response or a failure.

    A refusal may also say that its engine leaves.
    """
    state = CachesState()
    request = make_request("a")
    one = start_read(state, request)
    headers = (("server-leaving", "1"),)
    report, cancel, failure = handle(ResponseHead(one, 429, headers), state, NOW)
    assert report == ReportAnnouncements(request, headers)
    assert cancel == CancelCacheRequest(one)
    assert isinstance(failure, LogCacheReadFailure)
    two = start_read(state, make_request("b"))
    [failure] = handle(ExchangeFailed(two, True, "connection broke"), state, NOW)
    assert isinstance(failure, LogCacheReadFailure)
    assert handle(ResponseEnd(two, BodyEnd.FRAMED), state, NOW) == []


def test_read_of_unresponsive_engine_is_cancelled() -> None:
    """Guard against a connection that an unresponsive engine keeps busy."""
    state = CachesState()
    one = start_read(state, make_request("a"))
    assert handle(Tick(), state, NOW) == []
    cancel, _ = handle(Tick(), state, NOW + READ_TIMEOUT)
    assert cancel == CancelCacheRequest(one)
