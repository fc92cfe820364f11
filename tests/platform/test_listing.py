"""Guard against lists with entries that can't be read."""

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

GOOD: dict[str, Any] = {
    "id": "i-1",
    "service": "s",
    "addr": "10.0.0.9:8080",
    "zone": "a",
    "slots": 64,
    "state": "ready",
    "born": 5,
}


class Platform:
    """Serve pages of a list."""

    def __init__(self) -> None:
        self.pages: dict[str, HttpResponse] = {}

    def serve(
        self,
        request: HttpRequest,
        writer: ResponseWriter,
        mailbox: Mailbox,
        at: datetime,
    ) -> None:
        """Answer the page that the target names."""
        writer.respond(self.pages[request.target])

    def add_page(self, target: str, entries: list[Any], following: str | None) -> None:
        """Serve entries under a target."""
        body = json.dumps({"instances": entries, "next": following}).encode()
        self.pages[target] = HttpResponse(200, body)


@pytest.fixture
def platform() -> Iterator[tuple[Platform, HostAddress]]:
    """Return a platform and its address."""
    free = socket.socket()
    free.bind(("127.0.0.1", 0))
    address = HostAddress(f"127.0.0.1:{free.getsockname()[1]}")
    free.close()
    found = Platform()
    server = make_http_server(address, found.serve, make_system_clock())
    server.start()
    yield found, address
    server.stop()


def test_malformed_entries_are_left_out_and_the_others_hold(
    platform: tuple[Platform, HostAddress],
) -> None:
    """Entries of other writers name no endpoint to use."""
    found, address = platform
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
    bad = [{**GOOD, "id": f"i-{number}", **one} for number, one in enumerate(changes)]
    found.add_page("/instances", [*bad, "text", None, 7, []], "p 2")
    leaving = {**GOOD, "id": "i-99", "state": "draining"}
    found.add_page("/instances?page_token=p%202", [GOOD, leaving], None)
    listed = make_list_reader(address)()
    assert [(one.endpoint, one.is_leaving) for one in listed] == [
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
def test_unreadable_list_replaces_nothing(
    platform: tuple[Platform, HostAddress], response: HttpResponse
) -> None:
    """A refusal must not look like a list without endpoints."""
    found, address = platform
    found.pages["/instances"] = response
    with pytest.raises(UnavailableError):
        make_list_reader(address)()


def test_unreachable_platform_is_told() -> None:
    """A platform that is down must not stop the reader."""
    with pytest.raises(UnavailableError):
        make_list_reader(HostAddress("127.0.0.1:1"))()
