"""Guard against malformed lists of endpoints and unreachable list servers."""

import json
from collections.abc import Iterator
from datetime import datetime
from typing import Any

import logbook
import pytest
from gevent import socket

from oleanderhitch.connection.addresses import parse_address
from oleanderhitch.connection.http.caller import ResponseWriter
from oleanderhitch.connection.http.messages import HttpRequest, HttpResponse
from oleanderhitch.connection.http.server import make_http_server
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.platform.listing import make_list_reader
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.directory.messages import EndpointList, ListVersion
from oleanderhitch.process.mailbox import Mailbox
from oleanderhitch.process.site.messages import SiteStatus
from oleanderhitch.process.site.peer_codec import make_site_peer_codec

VALID_INSTANCE: dict[str, Any] = {
    "id": "i-1",
    "service": "s",
    "addr": "10.0.0.9:8080",
    "zone": "a",
    "slots": 64,
    "state": "ready",
    "born": 5,
}


class FakePlatform:
    """Serves prepared pages of the list of endpoints."""

    def __init__(self) -> None:
        self.pages: dict[str, HttpResponse] = {}

    def serve(
        self,
        request: HttpRequest,
        writer: ResponseWriter,
        mailbox: Mailbox,
        now: datetime,
    ) -> None:
        """Respond with the page of the request's target."""
        writer.respond(self.pages[request.target])

    def add_page(
        self, target: str, instances: list[Any], next_token: str | None
    ) -> None:
        """Prepare a page with instances and the token of the next page."""
        body = json.dumps({"instances": instances, "next": next_token}).encode()
        self.pages[target] = HttpResponse(200, body)


@pytest.fixture
def platform() -> Iterator[tuple[FakePlatform, HostAddress]]:
    """Return a running fake platform and its address."""
    probe = socket.socket()
    probe.bind(("127.0.0.1", 0))
    address = HostAddress(f"127.0.0.1:{probe.getsockname()[1]}")
    probe.close()
    fake_platform = FakePlatform()
    server = make_http_server(address, fake_platform.serve, make_system_clock())
    server.start()
    yield fake_platform, address
    server.stop()


def test_malformed_instances_are_skipped_and_valid_ones_kept(
    platform: tuple[FakePlatform, HostAddress],
) -> None:
    """Guard against a malformed instance that is used or hides the valid ones."""
    fake_platform, address = platform
    changes: list[dict[str, Any]] = [
        {"state": "unheard-of"},
        {"state": None},
        {"slots": "64"},
        {"slots": True},
        {"addr": "nowhere"},
        {"addr": 7},
        {"id": ""},
        {"zone": None},
    ]
    malformed = [
        {**VALID_INSTANCE, "id": f"i-{number}", **change}
        for number, change in enumerate(changes)
    ]
    fake_platform.add_page("/instances", [*malformed, "text", None, 7, []], "p 2")
    leaving = {**VALID_INSTANCE, "id": "i-99", "state": "draining"}
    fake_platform.add_page(
        "/instances?page_token=p%202", [VALID_INSTANCE, leaving], None
    )
    listed = make_list_reader(address)()
    assert [(endpoint.endpoint, endpoint.is_leaving) for endpoint in listed] == [
        ("i-1", False),
        ("i-99", True),
    ]
    assert listed[0].born_ms == 5


def test_malformed_instances_are_logged_when_their_number_changes(
    platform: tuple[FakePlatform, HostAddress],
) -> None:
    """Guard against entries that are left out silently, or logged at each read."""
    fake_platform, address = platform
    read_list = make_list_reader(address)
    with logbook.TestHandler() as handler:
        for entries in ([7], [7], [7, None], [], []):
            fake_platform.add_page("/instances", [VALID_INSTANCE, *entries], None)
            read_list()
    counts = [record.kwargs.get("n_malformed") for record in handler.records]
    assert counts == [1, 2, 0]


def test_time_of_a_cold_start_that_passes_changes_nothing(
    platform: tuple[FakePlatform, HostAddress],
) -> None:
    """Guard against a new version of the list at each read of a cold endpoint."""
    fake_platform, address = platform
    read_list = make_list_reader(address)
    lists = []
    for cold_left_ms in (900, 300, 0, "300"):
        instance = {**VALID_INSTANCE, "cold_left_ms": cold_left_ms}
        fake_platform.add_page("/instances", [instance], None)
        lists.append(read_list())
    assert lists[0] == lists[1]
    assert [listed[0].is_cold for listed in lists] == [True, True, False, False]


@pytest.mark.parametrize(
    "response",
    [
        HttpResponse(429),
        HttpResponse(200, b"\xff{"),
        HttpResponse(200, b"[]"),
        HttpResponse(200, b'{"instances": 7}'),
    ],
)
def test_malformed_list_raises_unavailable(
    platform: tuple[FakePlatform, HostAddress], response: HttpResponse
) -> None:
    """Guard against reading an error response or malformed page as an empty list."""
    fake_platform, address = platform
    fake_platform.pages["/instances"] = response
    with pytest.raises(UnavailableError):
        make_list_reader(address)()


def test_unreachable_platform_raises_unavailable() -> None:
    """Guard against an error that the directory task does not handle."""
    with pytest.raises(UnavailableError):
        make_list_reader(HostAddress("127.0.0.1:1"))()


NESTED = "[" * 100_000 + "]" * 100_000


@pytest.mark.parametrize(
    "odd",
    [
        f'{{"id": "i-2", "service": {NESTED}}}',
        NESTED,
        '{"id": "i-2", "slots": ' + "9" * 5_000 + "}",
        '{"id": "i-2", "born": 1e999}',
        json.dumps({**VALID_INSTANCE, "id": "i-2", "slots": 2**64}),
        json.dumps({**VALID_INSTANCE, "id": "i-2", "born": 2**70}),
        json.dumps({**VALID_INSTANCE, "id": "i-2", "addr": "10.0.0.8:65536"}),
        json.dumps({**VALID_INSTANCE, "id": "i-2", "addr": "10.0.0.8:0"}),
        json.dumps({**VALID_INSTANCE, "id": "i-2", "addr": "somewhere:80"}),
        json.dumps({**VALID_INSTANCE, "id": "i-2", "addr": "10.0.0.8:\u0668"}),
        json.dumps({**VALID_INSTANCE, "id": "i-2\r\nx-kv-hold: 1"}),
        json.dumps({**VALID_INSTANCE, "id": 'i-2", "[[[{{'}) + ', {"id": "[{\\""}',
    ],
    ids=lambda odd: odd[:40],
)
def test_one_odd_entry_of_another_writer_costs_no_other(
    platform: tuple[FakePlatform, HostAddress], odd: str
) -> None:
    """Guard against hosts that stop to follow the list, or end, by one odd entry.

    Whatever is listed is sent to all entry hosts and connected to.
    """
    fake_platform, address = platform
    body = f'{{"instances": [{json.dumps(VALID_INSTANCE)}, {odd}], "next": "p2"}}'
    fake_platform.pages["/instances"] = HttpResponse(200, body.encode())
    second = {**VALID_INSTANCE, "id": "i-9"}
    fake_platform.add_page("/instances?page_token=p2", [second], None)
    listed = make_list_reader(address)()
    codec = make_site_peer_codec()
    for endpoint in listed:
        endpoint_list = EndpointList(ListVersion(1, 1), (endpoint,))
        codec.encode(SiteStatus((), None, None, endpoint_list))
        parse_address(endpoint.address)
    names = [endpoint.endpoint for endpoint in listed]
    assert [name for name in names if name in ("i-1", "i-9")] == ["i-1", "i-9"]
    assert all(name.isprintable() and " " not in name for name in names)
