"""Guard against request smuggling, oversized requests and misparsed responses."""

import sys
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.connection.http.exceptions import (
    RequestParseError,
    ResponseParseError,
)
from oleanderhitch.connection.http.messages import BodyEnd, HttpRequest, RequestFault
from oleanderhitch.connection.http.parsing import (
    N_REQUEST_HEADERS_LIMIT,
    PARSED_PIECE_BYTES,
    RESPONSE_HEAD_LIMIT_BYTES,
    ParsedBody,
    ParsedEnd,
    ParsedHead,
    RequestParser,
    make_request_parser,
    make_response_parser,
)
from oleanderhitch.version.routes.configuration import CallerLimits

LIMITS = CallerLimits(header_bytes=500, body_bytes=1000)
CHUNKED = (
    b"POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
PLAIN = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"


def parse_requests(data: bytes) -> list[HttpRequest]:
    """Return the complete requests in some bytes."""
    return make_request_parser(LIMITS).feed(data)


@given(st.lists(st.integers(1, 30), max_size=40))
def test_requests_may_be_split_at_any_byte(sizes: list[int]) -> None:
    """Guard against parsing that depends on how the bytes arrive."""
    parser = make_request_parser(LIMITS)
    rest = CHUNKED + PLAIN
    requests = []
    for size in [*sizes, len(rest)]:
        requests.extend(parser.feed(rest[:size]))
        rest = rest[size:]
    assert [(request.target, request.body) for request in requests] == [
        ("/a/b?c=d", b"abcde"),
        ("/x", b"body"),
    ]
    assert parser.is_idle


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            RequestFault.MALFORMED,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabc",
            RequestFault.MALFORMED,
        ),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", RequestFault.MALFORMED),
        (b"GET / HTTP/1.1\r\n\r\n", RequestFault.MALFORMED),
        (b"nonsense\r\n\r\n", RequestFault.MALFORMED),
        (
            b"GET / HTTP/1.1\r\nHost: h\r\nA: " + b"x" * 600 + b"\r\n\r\n",
            RequestFault.HEADERS_TOO_LARGE,
        ),
        (
            b"GET / HTTP/1.1\r\nHost: h\r\n" + b"a:\r\n" * N_REQUEST_HEADERS_LIMIT,
            RequestFault.HEADERS_TOO_LARGE,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n",
            RequestFault.BODY_TOO_LARGE,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"7d0\r\n" + b"x" * 2000,
            RequestFault.BODY_TOO_LARGE,
        ),
    ],
)
def test_invalid_request_is_rejected_with_its_fault(
    data: bytes, fault: RequestFault
) -> None:
    """Guard against ambiguous or oversized requests that are forwarded."""
    with pytest.raises(RequestParseError) as caught:
        parse_requests(data)
    assert caught.value.fault is fault


OFFERS = st.sampled_from(
    [
        b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
        b"HTTP2-Settings: AA\r\n",
        b"Upgrade: websocket\r\nConnection: keep-alive\r\nConnection: upgrade\r\n",
        b"upgrade: h2c, foo/2\r\nX-Empty:\r\nUpgrade:\r\nconnection:UPGRADE\r\n",
    ]
)


def parse_pieces(
    parser: RequestParser, data: bytes, sizes: list[int]
) -> list[HttpRequest]:
    """Return the requests in some bytes that arrive in pieces."""
    requests = []
    for size in [*sizes, len(data)]:
        requests.extend(parser.feed(data[:size]))
        data = data[size:]
        while parser.has_unparsed:
            requests.extend(parser.feed(b""))
    return requests


# Guards against a request that runs without its body, since it offers to go on with
# another protocol, and against its body that is read as the next request.
@given(
    OFFERS,
    st.sampled_from([b"GET", b"POST", b"PUT", b"DELETE", b"OPTIONS"]),
    st.sampled_from([b"1.1", b"1.0"]),
    st.sampled_from(
        [
            (b"", b"", b""),
            (b"Content-Length: 0\r\n", b"", b""),
            (b"Content-Length: 42\r\n", (PLAIN * 2)[:42], (PLAIN * 2)[:42]),
            (
                b"Transfer-Encoding: chunked\r\n",
                b"3\r\nabc\r\n0\r\nA: b\r\n\r\n",
                b"abc",
            ),
        ]
    ),
    st.lists(st.integers(1, 60), max_size=20),
)
def test_request_that_offers_an_upgrade_is_parsed_with_its_body(
    offer: bytes,
    method: bytes,
    version: bytes,
    framed: tuple[bytes, bytes, bytes],
    sizes: list[int],
) -> None:
    """Parse it like the same request without the field, and the next one after it."""
    framing, wire_body, body = framed
    start = b"%b /a?b HTTP/%b\r\nHost: h\r\n" % (method, version)
    rest = framing + b"X-Last: 1\r\n\r\n" + wire_body + PLAIN
    if version == b"1.0":
        rest = b"Connection: keep-alive\r\n" + rest
    parser = make_request_parser(LIMITS)
    requests = parse_pieces(parser, start + offer + rest, sizes)
    first = requests[0]
    assert (first.method, first.target) == (method.decode(), "/a?b")
    assert first.body == body
    assert first.keeps_alive
    offered = start + offer.replace(b"Upgrade:", b"X:").replace(b"upgrade:", b"X:")
    ordinary = parse_requests(offered + rest)[0]
    assert first.headers == tuple(h for h in ordinary.headers if h[0] != "x")
    assert [request.body for request in requests[1:]] == [b"body"]
    assert parser.error is None
    assert parser.is_idle


def test_upgrade_does_not_extend_the_limits() -> None:
    """Guard against oversized requests that are read because they offer an upgrade."""
    offer = b"POST / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: h2c\r\n"
    for rest, fault in (
        (b"Content-Length: 2000\r\n\r\n", RequestFault.BODY_TOO_LARGE),
        (b"A: " + b"x" * 600 + b"\r\n\r\n", RequestFault.HEADERS_TOO_LARGE),
        (
            b"Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + b"x" * 2000,
            RequestFault.BODY_TOO_LARGE,
        ),
    ):
        with pytest.raises(RequestParseError) as caught:
            parse_requests(offer + rest)
        assert caught.value.fault is fault


def test_connect_is_rejected_once() -> None:
    """Guard against a request without a defined body that runs, then is rejected."""
    for fields in (b"", b"Content-Length: 3\r\n"):
        with pytest.raises(RequestParseError) as caught:
            parse_requests(b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n" + fields + b"\r\nabc")
        assert caught.value.fault is RequestFault.MALFORMED


def test_pipelined_requests_are_parsed_a_few_at_a_time() -> None:
    """Guard against one read that makes a thousand requests."""
    parser = make_request_parser(LIMITS)
    request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    n_requests = 0
    data = PLAIN + request * 1000
    while data or parser.has_unparsed:
        requests = parser.feed(data)
        data = b""
        assert len(requests) <= 1 + PARSED_PIECE_BYTES // len(request)
        n_requests += len(requests)
    assert n_requests == 1001
    assert parser.is_idle


def test_response_with_content_length_is_framed() -> None:
    """Guard against bytes after a framed response that are added to its body."""
    parser = make_response_parser()
    parts = parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 ")
    head, body, end = parts
    assert isinstance(head, ParsedHead)
    assert head.body_end is BodyEnd.FRAMED
    assert body == ParsedBody(b"ok")
    assert end == ParsedEnd()


def test_response_without_length_is_close_delimited() -> None:
    """Guard against a response that counts as complete before the close."""
    parts = make_response_parser().feed(b"HTTP/1.1 200 OK\r\n\r\npart")
    head = parts[0]
    assert isinstance(head, ParsedHead)
    assert head.body_end is BodyEnd.CONNECTION
    assert not any(isinstance(part, ParsedEnd) for part in parts)


def test_invalid_response_raises() -> None:
    """Guard against invalid bytes from an endpoint that are passed on."""
    with pytest.raises(ResponseParseError):
        make_response_parser().feed(b"\x00\x01garbage\r\n\r\n")


# Guards against a request that waits until its deadline for an endpoint whose response
# can't be read any more, since the error came with bytes that are valid.
@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
        b"\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nnonsense\r\n",
    ],
)
def test_error_after_valid_bytes_of_a_response_is_known_at_once(data: bytes) -> None:
    """Return the valid parts, and the error beside them."""
    parser = make_response_parser()
    assert parser.feed(data)
    assert parser.fault is not None
    with pytest.raises(ResponseParseError):
        parser.feed(b"\r\n")


# Guards against memory that failed responses hold until the next garbage collection.
@pytest.mark.parametrize("data", [b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\n\x00"])
def test_unreadable_bytes_are_not_kept(data: bytes) -> None:
    """Keep what is wrong with the bytes, and not the frames that found it."""
    parser = make_response_parser()
    n_references = sys.getrefcount(data)
    for _ in range(2):
        with suppress(ResponseParseError):
            parser.feed(data)
    assert parser.fault is not None
    assert sys.getrefcount(data) == n_references


# Guards against an endpoint whose head never ends, which would fill the memory of the
# entry host until the deadline of the request.
def test_endless_head_of_a_response_is_rejected() -> None:
    """Reject a head that exceeds its limit, in one header or in many."""
    for part in (b"x" * 1024, b"X-A: b\r\n" * 128):
        parser = make_response_parser()
        parser.feed(b"HTTP/1.1 200 OK\r\nX-Long: ")
        with pytest.raises(ResponseParseError, match="exceeds"):
            for _ in range(2 * RESPONSE_HEAD_LIMIT_BYTES // len(part)):
                parser.feed(part)


def test_many_responses_do_not_add_up_to_a_long_head() -> None:
    """Guard against a kept connection that is closed after some responses."""
    parser = make_response_parser()
    response = b"HTTP/1.1 200 OK\r\nX-A: %b\r\nContent-Length: 2\r\n\r\nok"
    whole = response % (b"x" * 60_000)
    for _ in range(20):
        parser.feed(whole[:30])
        parser.feed(whole[30:])


RESPONSE_HEADS = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\n",
        b"HTTP/1.1 200 OK\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nTrailer: X-A\r\n",
    ]
)


@given(
    RESPONSE_HEADS,
    st.lists(st.binary(min_size=1, max_size=9), max_size=4),
    st.booleans(),
    st.lists(st.integers(1, 40), max_size=20),
    st.integers(1, 200),
)
def test_response_that_is_cut_anywhere_does_not_end(
    head: bytes, pieces: list[bytes], is_chunked: bool, sizes: list[int], n_cut: int
) -> None:
    """Guard against a part of a response that counts as the whole."""
    body = b"".join(pieces)
    data = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if is_chunked:
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
        data = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    # An interim response has an end of its own.
    n_interim = head.count(b"100 Continue")
    for is_cut in (True, False):
        rest = data[: len(data) - min(n_cut, len(data) - 1)] if is_cut else data
        parser = make_response_parser()
        parts = []
        for size in [*sizes, len(data)]:
            parts.extend(parser.feed(rest[:size]))
            rest = rest[size:]
        n_ends = sum(isinstance(part, ParsedEnd) for part in parts)
        assert n_ends <= n_interim if is_cut else n_ends == n_interim + 1
        if not is_cut:
            received = [part.data for part in parts if isinstance(part, ParsedBody)]
            assert b"".join(received) == body
