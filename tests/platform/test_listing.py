"""Guard against malformed lists of endpoints and unreachable list servers."""

import json
from collections.abc import Iterator
from datetime import datetime
from typing import Any

import pytest
from gevent import socket

from oleanderhitch.connection.http.caller import ResponseWriter
from oleanderhitch.connection.http.messages import HttpRequest, HttpResponse
from oleanderhitch.connection.http.server import make_http_server
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.platform.listing import make_list_reader
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.mailbox import Mailbox

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
