"""Ask a runner which prompt parts its memory holds."""

import json
from typing import Any

from oleanderhitch.connection.http.messages import Headers, HttpRequest, find_header
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform import headers as names
from oleanderhitch.platform.requests import make_part
from oleanderhitch.process.placement.messages import PromptPart

LIST_PATH = "/-/kv-list"
N_FIELDS = 4


class PlatformCacheDialect:
    """Translate the list call of runners."""

    def make_request(self, address: HostAddress) -> HttpRequest:
        """Return the request that a runner gets."""
        return HttpRequest("GET", LIST_PATH, (("host", address),), b"")

    def is_answer(self, headers: Headers) -> bool:
        """Tell whether an answer belongs to such a request, which has no id."""
        return find_header(headers, names.REQUEST_ID) is None

    def read_parts(self, body: bytes) -> tuple[PromptPart, ...]:
        """Return the parts that a runner holds; raise InvalidInputError."""
        try:
            answer: Any = json.loads(body)
        except ValueError as error:
            raise InvalidInputError(f"answer is not JSON: {error}") from None
        held = answer.get("held") if isinstance(answer, dict) else None
        if not isinstance(held, list):
            raise InvalidInputError("answer has no list of held parts")
        found = (_find_part(entry) for entry in held)
        return tuple(part for part in found if part is not None)


def _find_part(entry: Any) -> PromptPart | None:
    """Return the part of an entry, or None where the entry is malformed."""
    if not (isinstance(entry, list) and len(entry) >= N_FIELDS):
        return None
    # The first field is always empty here.
    _, identifier, n_tokens, model = entry[:N_FIELDS]
    if not (isinstance(identifier, str) and isinstance(model, str)):
        return None
    if not isinstance(n_tokens, int) or n_tokens <= 0:
        return None
    return make_part(model, identifier, n_tokens)


def make_platform_cache_dialect() -> PlatformCacheDialect:
    """Return the translation of the list call."""
    return PlatformCacheDialect()
