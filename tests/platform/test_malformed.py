"""Guard against a malformed message that costs more than its connection.

Whatever a caller, an endpoint, a peer, the list, the settings or the configuration
contain, a decoder returns a value or raises its own error.
"""

import json
from contextlib import suppress
from datetime import timedelta
from pathlib import Path

import msgpack
import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.connection.http.exceptions import (
    RequestParseError,
    ResponseParseError,
)
from oleanderhitch.connection.http.messages import HttpRequest, HttpResponse
from oleanderhitch.connection.http.parsing import (
    ParsedHead,
    make_request_parser,
    make_response_parser,
)
from oleanderhitch.connection.http.rendering import render_request
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError, UnavailableError
from oleanderhitch.platform import listing
from oleanderhitch.platform.caches import make_platform_cache_dialect
from oleanderhitch.platform.routing import parse_route_table
from oleanderhitch.platform.settings import (
    PEER_KEY_VARIABLE,
    SETTINGS_VARIABLE,
    make_entry_settings,
    make_store_settings,
    read_settings_file,
)
from oleanderhitch.process.directory.messages import (
    EndpointList,
    ListVersion,
)
from oleanderhitch.process.site.application import make_site_codec
from oleanderhitch.process.site.messages import PublishRouting, SiteStatus
from oleanderhitch.process.site.peer_codec import make_site_peer_codec
from oleanderhitch.request.forwarding.messages import SendToEndpoint
from oleanderhitch.version.routes.configuration import CallerLimits, choose_target
from tests.malformed import make_odd_documents
from tests.platform.test_listing import VALID_INSTANCE
from tests.platform.test_requests import DIALECT, ENDPOINT
from tests.platform.test_routing import make_configuration
from tests.platform.test_settings import CONTENT

# Larger ones do not fit into the messages between processes.
COUNT_MAX = 2**63 - 1
CODEC = make_site_peer_codec()
REQUEST_HEADERS = (
    "x-request-id",
    "x-deadline-ms",
    "x-token-usage",
    "x-prompt-prefix",
    "x-program-id",
    "x-token-budget",
    "x-previous-turn",
    "x-finish-ms",
    "x-length-hint",
    "x-model",
    "last-event-id",
    "authorization",
    "cookie",
    "connection",
    "x-tenant",
)
RESPONSE_HEADERS = ("server-limit", "server-leaving", "x-not-run", "keep-alive")
ODD_TEXTS = st.text(
    st.characters(max_codepoint=255, exclude_characters="\r\n\0"), max_size=20
) | st.sampled_from(
    [
        "nan",
        "-inf",
        "1e999",
        "-1",
        "9" * 5000,
        "1,2,3",
        "1,-2",
        "²",
        "a:9" * 9,
        "X-Affinity-Key=\x7f; =;",
        "Token ",
        "host, x-request-id",
        "timeout=" + "9" * 30,
    ]
)


@given(st.lists(st.tuples(st.sampled_from(REQUEST_HEADERS), ODD_TEXTS), max_size=6))
@example([("x-token-usage", "9" * 5000 + ",1")])
@example([("last-event-id", "9" * 5000)])
def test_odd_headers_of_a_caller_cost_its_request(
    headers: list[tuple[str, str]],
) -> None:
    """Guard against another error, and against headers that change the next request."""
    http = HttpRequest("POST", "/p/x", (("host", "h"), *headers), b"body")
    with suppress(InvalidInputError):
        request = DIALECT.read_request(http)
        send = SendToEndpoint(1, ENDPOINT, b"body", timedelta(seconds=1), "7", 0)
        sent = render_request(DIALECT.make_endpoint_request(request, send))
        parser = make_request_parser(CallerLimits(header_bytes=1_000_000))
        with suppress(RequestParseError):
            assert len(parser.feed(sent)) <= 1


@given(st.binary(max_size=200), st.lists(st.integers(1, 50), max_size=5))
@example(b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: " + b"9" * 5000, [])
@example(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-1", [])
@example(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", [])
def test_odd_bytes_of_a_caller_are_rejected(data: bytes, sizes: list[int]) -> None:
    """Guard against an error that the connection of a caller does not handle."""
    parser = make_request_parser(CallerLimits())
    rest = data
    with suppress(RequestParseError):
        for size in [*sizes, len(data) + 1]:
            parser.feed(rest[:size])
            rest = rest[size:]


@given(
    st.binary(max_size=200),
    st.lists(st.tuples(st.sampled_from(RESPONSE_HEADERS), ODD_TEXTS), max_size=4),
    st.integers(0, 999),
)
@example(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", [], 200)
@example(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\n", [], 200)
def test_odd_response_of_an_endpoint_is_rejected(
    data: bytes, headers: list[tuple[str, str]], status: int
) -> None:
    """Guard against an error that the connection to an endpoint does not handle."""
    DIALECT.read_response_head(status, tuple(headers))
    with suppress(ResponseParseError):
        for part in make_response_parser().feed(data):
            if isinstance(part, ParsedHead):
                DIALECT.read_response_head(part.status, part.headers)


@given(make_odd_documents({"held": [["", "a1", 7, "m"], ["", "b2", 9, "m"]]}))
def test_odd_cache_listing_is_rejected(body: bytes) -> None:
    """Guard against an error that the caches task does not handle."""
    with suppress(InvalidInputError):
        for part in make_platform_cache_dialect().read_parts(body):
            assert part.n_tokens > 0


def make_status() -> bytes:
    """Return the frame of a message that the leader sends to entry hosts."""
    endpoints = EndpointList(ListVersion(1, 1), (ENDPOINT,))
    return CODEC.encode(SiteStatus((), None, None, endpoints))


@given(st.integers(0, 10_000), st.binary(max_size=8), st.lists(st.integers(1, 50)))
@example(0, b"\xc1", [])
@example(0, b"\x91" * 5000, [])
@example(0, b"\xdd\xff\xff\xff\xff", [])
@example(0, b"\xdb\xff\xff\xff\xff", [])
@example(0, msgpack.packb(["SiteStatus", [None] * 99]), [])
def test_odd_frame_of_a_peer_ends_its_stream(
    place: int, odd: bytes, sizes: list[int]
) -> None:
    """Guard against an error that the stream of a peer does not handle."""
    frame = make_status()
    place %= len(frame)
    rest = frame[:place] + odd + frame[place + len(odd) :]
    decoder = CODEC.make_decoder()
    with suppress(MalformedFrameError):
        for size in [*sizes, len(rest)]:
            list(decoder.feed(rest[:size]))
            rest = rest[size:]


@given(make_odd_documents({"instances": [VALID_INSTANCE, VALID_INSTANCE], "next": "p"}))
@example(b'{"instances": [], "next": true}')
@example(b'{"instances": [], "next": "\\ud800"}')
def test_odd_list_of_endpoints_is_read_as_far_as_possible(body: bytes) -> None:
    """Guard against an error of another type, and entries that no host can use."""
    pages = {"/instances": body}
    last = json.dumps({"instances": [], "next": None}).encode()

    def serve(
        address: HostAddress, request: HttpRequest, timeout: timedelta
    ) -> HttpResponse:
        return HttpResponse(200, pages.get(request.target, last))

    with pytest.MonkeyPatch.context() as patch, suppress(UnavailableError):
        patch.setattr(listing, "fetch", serve)
        for endpoint in listing.make_list_reader(HostAddress("10.0.0.1:1"))():
            endpoints = EndpointList(ListVersion(1, 1), (endpoint,))
            CODEC.encode(SiteStatus((), None, None, endpoints))


@given(
    make_odd_documents(
        make_configuration(
            tenants=[{"name": "a", "api_keys": ["k"], "rate_per_s": 5, "burst": 2}]
        )
    )
)
def test_odd_configuration_is_rejected(content: bytes) -> None:
    """Guard against a configuration that ends the stores that all apply it."""
    with suppress(InvalidInputError):
        configuration = parse_route_table(content).configuration
        make_site_codec().encode(PublishRouting(configuration.version, content))
        for route in configuration.routes:
            assert route.timeout > timedelta(0)
            route.name.encode()
            assert choose_target(route, 0.5) in configuration.services
            assert 0 <= route.n_attempts <= COUNT_MAX
            assert abs(route.rank) <= COUNT_MAX
        for service in configuration.services.values():
            if service.engine is not None:
                for count in msgspec.structs.astuple(service.engine):
                    assert 0 <= count <= COUNT_MAX


@given(make_odd_documents({**CONTENT, "limits": {"memory_mb": 64, "max_fds": 99}}))
def test_odd_settings_are_named(content: bytes) -> None:
    """Guard against a start that ends with an error that names no setting."""
    with pytest.MonkeyPatch.context() as patch:
        path = Path(__file__).with_name("unreadable")
        patch.setenv(SETTINGS_VARIABLE, str(path))
        patch.setenv(PEER_KEY_VARIABLE, "key")
        patch.setattr(Path, "read_text", lambda self: content.decode())
        for make in (make_entry_settings, make_store_settings):
            with suppress(InvalidInputError):
                make(read_settings_file())
