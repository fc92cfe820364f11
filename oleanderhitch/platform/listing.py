"""Client of the platform's paginated list of endpoints."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any
from urllib.parse import quote

import logbook

from oleanderhitch.connection.addresses import parse_address
from oleanderhitch.connection.http.fetch import fetch
from oleanderhitch.connection.http.messages import HttpRequest
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError, UnavailableError
from oleanderhitch.platform.lenient_json import (
    parse_or_none,
    split_elements,
    split_members,
)
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName

PAGE_TIMEOUT = timedelta(seconds=1)
N_PAGES_LIMIT = 400
# Messages between hosts hold integers of 64 bits.
COUNT_MAX = 2**63 - 1
IS_LEAVING_BY_STATE = {"ready": False, "draining": True}

log = logbook.Logger("listing")


def make_list_reader(
    address: HostAddress,
) -> Callable[[], tuple[ListedEndpoint, ...]]:
    """Return a function that reads all pages; it raises UnavailableError."""
    n_logged = 0

    def log_malformed(n_malformed: int) -> None:
        # The list is read every second.
        nonlocal n_logged
        if n_malformed != n_logged:
            n_logged = n_malformed
            log.warning("list has malformed entries", n_malformed=n_malformed)

    def read_list() -> tuple[ListedEndpoint, ...]:
        endpoints: dict[EndpointId, ListedEndpoint] = {}
        n_malformed = 0
        page_token: str | None = None
        for _ in range(N_PAGES_LIMIT):
            page = _read_page(address, page_token)
            for instance in page["instances"]:
                endpoint = _parse_endpoint(instance)
                if endpoint is None:
                    n_malformed += 1
                else:
                    endpoints[endpoint.endpoint] = endpoint
            page_token = page.get("next")
            if page_token is None:
                log_malformed(n_malformed)
                return tuple(
                    endpoints[endpoint_id] for endpoint_id in sorted(endpoints)
                )
        raise UnavailableError(f"list of endpoints has more than {N_PAGES_LIMIT} pages")

    return read_list


def _read_page(address: HostAddress, page_token: str | None) -> dict[str, Any]:
    query = "" if page_token is None else f"?page_token={_quote_token(page_token)}"
    headers = (("host", address),)
    request = HttpRequest("GET", f"/instances{query}", headers, b"")
    response = fetch(address, request, PAGE_TIMEOUT)
    if response.status != 200:
        raise UnavailableError(
            f"request for the list of endpoints got status {response.status}"
        )
    text = response.body.decode("utf-8", "replace")
    page = parse_or_none(text)
    if page is None:
        page = _split_page(text)
    if not isinstance(page, dict) or not isinstance(page.get("instances"), list):
        raise UnavailableError("list of endpoints has no readable array of instances")
    return page


def _quote_token(page_token: Any) -> str:
    """Return the token of a page for a query; raise UnavailableError."""
    try:
        return quote(page_token, safe="")
    except (TypeError, UnicodeEncodeError):
        raise UnavailableError("list of endpoints has no readable next token") from None


def _split_page(text: str) -> dict[str, Any] | None:
    """Return a page with what can be read of it, None without array and next token."""
    members = split_members(text)
    if "instances" not in members or "next" not in members:
        return None
    instances = [parse_or_none(entry) for entry in split_elements(members["instances"])]
    log.warning(
        "list of endpoints has unreadable entries",
        n_entries=len(instances),
        n_unreadable=instances.count(None),
    )
    return {"instances": instances, "next": parse_or_none(members["next"])}


def _parse_endpoint(instance: Any) -> ListedEndpoint | None:
    """Parse an instance of the list; return None if it is malformed."""
    if not isinstance(instance, dict):
        return None
    fields = [instance.get(name) for name in ("id", "service", "addr", "zone")]
    state = instance.get("state")
    is_leaving = IS_LEAVING_BY_STATE.get(state) if isinstance(state, str) else None
    slots = instance.get("slots")
    if not all(_is_name(field) for field in fields):
        return None
    if is_leaving is None or _parse_count(slots) is None:
        return None
    endpoint_id, service, address, zone = (str(field) for field in fields)
    if not _is_reachable(HostAddress(address)):
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
        # The time itself is not kept: a list that changes as it passes would have a new
        # version at each read.
        bool(_parse_count(instance.get("cold_left_ms"))),
    )


def _is_name(value: Any) -> bool:
    """Return whether a value can stand in a header, such as that of the instance."""
    if not isinstance(value, str) or not value.isascii():
        return False
    return value.isprintable() and value != "" and " " not in value


def _is_reachable(address: HostAddress) -> bool:
    """Return whether a connection can be made to an address."""
    try:
        parse_address(address)
    except InvalidInputError:
        return False
    return True


def _parse_count(value: Any) -> int | None:
    is_count = isinstance(value, int) and not isinstance(value, bool)
    return value if is_count and 0 <= value <= COUNT_MAX else None
