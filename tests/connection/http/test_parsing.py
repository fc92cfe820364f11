"""Guard against request smuggling, oversized requests and misparsed responses."""

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
