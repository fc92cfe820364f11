"""Client of the platform's paginated list of endpoints."""

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
IS_LEAVING_BY_STATE = {"ready": False, "draining": True}

log = logbook.Logger("listing")


def make_list_reader(
    address: HostAddress,
) -> Callable[[], tuple[ListedEndpoint, ...]]:
    """Return a function that reads all pages; it raises UnavailableError."""

    def read_list() -> tuple[ListedEndpoint, ...]:
        endpoints: dict[EndpointId, ListedEndpoint] = {}
        page_token: str | None = None
        for _ in range(N_PAGES_LIMIT):
            page = _read_page(address, page_token)
            for instance in page["instances"]:
                endpoint = _parse_endpoint(instance)
                if endpoint is not None:
                    endpoints[endpoint.endpoint] = endpoint
            page_token = page.get("next")
            if page_token is None:
                return tuple(
                    endpoints[endpoint_id] for endpoint_id in sorted(endpoints)
                )
        raise UnavailableError(f"list of endpoints has more than {N_PAGES_LIMIT} pages")

    return read_list


def _read_page(address: HostAddress, page_token: str | None) -> dict[str, Any]:
    query = "" if page_token is None else f"?page_token={quote(page_token, safe='')}"
    headers = (("host", address),)
    request = HttpRequest("GET", f"/instances{query}", headers, b"")
    response = fetch(address, request, PAGE_TIMEOUT)
    if response.status != 200:
        raise UnavailableError(
            f"request for the list of endpoints got status {response.status}"
        )
    try:
        page = json.loads(response.body.decode("utf-8", "replace"))
    except ValueError as error:
        raise UnavailableError(
            f"list of endpoints is not valid JSON: {error}"
        ) from None
    if not isinstance(page, dict) or not isinstance(page.get("instances"), list):
        raise UnavailableError("list of endpoints has no array of instances")
    return page


def _parse_endpoint(instance: Any) -> ListedEndpoint | None:
    """Parse an instance of the list; return None if it is malformed."""
    if not isinstance(instance, dict):
        return None
    fields = [instance.get(name) for name in ("id", "service", "addr", "zone")]
    is_leaving = IS_LEAVING_BY_STATE.get(str(instance.get("state")))
    slots = instance.get("slots")
    has_all_fields = all(isinstance(text, str) and text for text in fields)
    if not has_all_fields or is_leaving is None or _parse_count(slots) is None:
        return None
    endpoint_id, service, address, zone = (str(field) for field in fields)
    ip, _, port = address.rpartition(":")
    if not ip or not port.isdecimal():
        return None
    born_ms = instance.get("born")
    return ListedEndpoint(
        EndpointId(endpoint_id),
        ServiceName(service),
        HostAddress(address),
        DataCentreName(zone),
        _parse_count(slots) or 0,
        is_leaving,
        _parse_count(born_ms) or 0,
    )


def _parse_count(value: Any) -> int | None:
    is_count = isinstance(value, int) and not isinstance(value, bool) and value >= 0
    return value if is_count else None
