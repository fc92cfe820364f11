"""Read the platform's list of endpoints."""

import json
from collections.abc import Callable
from datetime import timedelta
from typing import Any
from urllib.parse import quote

import logbook

from oleanderhitch.connection.http.fetch import fetch
from oleanderhitch.connection.http.messages import HttpRequest
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName

PAGE_TIMEOUT = timedelta(seconds=1)
N_PAGES_LIMIT = 400
STATE_LEAVING = {"ready": False, "draining": True}

log = logbook.Logger("listing")


def make_list_reader(
    address: HostAddress,
) -> Callable[[], tuple[ListedEndpoint, ...]]:
    """Return a function that reads the whole list; it raises UnavailableError."""

    def read_list() -> tuple[ListedEndpoint, ...]:
        found: dict[EndpointId, ListedEndpoint] = {}
        token: str | None = None
        for _ in range(N_PAGES_LIMIT):
            page = _read_page(address, token)
            for entry in page["instances"]:
                endpoint = _find_endpoint(entry)
                if endpoint is not None:
                    found[endpoint.endpoint] = endpoint
            token = page.get("next")
            if token is None:
                return tuple(found[name] for name in sorted(found))
        raise UnavailableError(f"list has more than {N_PAGES_LIMIT} pages")

    return read_list


def _read_page(address: HostAddress, token: str | None) -> dict[str, Any]:
    query = "" if token is None else f"?page_token={quote(token, safe='')}"
    headers = (("host", address),)
    request = HttpRequest("GET", f"/instances{query}", headers, b"")
    response = fetch(address, request, PAGE_TIMEOUT)
    if response.status != 200:
        raise UnavailableError(f"list answered {response.status}")
    try:
        page = json.loads(response.body.decode("utf-8", "replace"))
    except ValueError as error:
        raise UnavailableError(f"list is not JSON: {error}") from None
    if not isinstance(page, dict) or not isinstance(page.get("instances"), list):
        raise UnavailableError("list has no entries")
    return page


def _find_endpoint(entry: Any) -> ListedEndpoint | None:
    """Return an entry's endpoint, or None where the entry is malformed."""
    if not isinstance(entry, dict):
        return None
    texts = [entry.get(name) for name in ("id", "service", "addr", "zone")]
    is_leaving = STATE_LEAVING.get(str(entry.get("state")))
    slots = entry.get("slots")
    is_whole = all(isinstance(text, str) and text for text in texts)
    if not is_whole or is_leaving is None or _find_count(slots) is None:
        return None
    identifier, service, address, zone = (str(text) for text in texts)
    ip, _, port = address.rpartition(":")
    if not ip or not port.isdecimal():
        return None
    born = entry.get("born")
    return ListedEndpoint(
        EndpointId(identifier),
        ServiceName(service),
        HostAddress(address),
        DataCentreName(zone),
        _find_count(slots) or 0,
        is_leaving,
        _find_count(born) or 0,
    )


def _find_count(value: Any) -> int | None:
    is_count = isinstance(value, int) and not isinstance(value, bool) and value >= 0
    return value if is_count else None
