"""Translation of the call that lists the prompt parts in an engine's cache."""

import json
from typing import Any

from oleanderhitch.connection.http.messages import (
    Headers,
    HttpRequest,
    ResponseOwner,
    find_header,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform import headers as header_names
from oleanderhitch.platform.requests import make_prompt_part
from oleanderhitch.process.placement.messages import PromptPart

KV_LIST_PATH = "/-/kv-list"
N_PART_FIELDS = 4


class PlatformCacheDialect:
    """Cache dialect of the platform's endpoints."""

    def make_request(self, address: HostAddress) -> HttpRequest:
        """Return the request that lists the cache of the endpoint at an address."""
        return HttpRequest("GET", KV_LIST_PATH, (("host", address),), b"")

    def find_owner(self, headers: Headers) -> ResponseOwner:
        """Return whose response one is; a listing has no request id."""
        if find_header(headers, header_names.REQUEST_ID) is None:
            return ResponseOwner.UNKNOWN
        return ResponseOwner.ANOTHER_REQUEST

    def is_leaving(self, headers: Headers) -> bool:
        """Return whether the headers of a response say that its engine will stop."""
        return find_header(headers, header_names.LEAVING) is not None

    def read_parts(self, body: bytes) -> tuple[PromptPart, ...]:
        """Parse the cached parts; raise InvalidInputError if there is no list."""
        try:
            content: Any = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise InvalidInputError(
                f"cache listing is not valid JSON: {error}"
            ) from None
        held = content.get("held") if isinstance(content, dict) else None
        if not isinstance(held, list):
            raise InvalidInputError("cache listing has no array of held parts")
        parts = (_parse_part(entry) for entry in held)
        return tuple(part for part in parts if part is not None)


def _parse_part(entry: Any) -> PromptPart | None:
    """Parse a listed part; return None if it is malformed."""
    if not (isinstance(entry, list) and len(entry) >= N_PART_FIELDS):
        return None
    # The platform leaves the first field empty.
    _, part_id, n_tokens, model = entry[:N_PART_FIELDS]
    if not (isinstance(part_id, str) and isinstance(model, str)):
        return None
    if not isinstance(n_tokens, int) or n_tokens <= 0:
        return None
    return make_prompt_part(model, part_id, n_tokens)


def make_platform_cache_dialect() -> PlatformCacheDialect:
    """Return the platform's dialect of cache listings."""
    return PlatformCacheDialect()
