"""Define what a front end must translate to read the cache of an engine."""

from typing import Protocol

from oleanderhitch.connection.http.messages import Headers, HttpRequest
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.placement.messages import PromptPart


class CacheDialect(Protocol):
    """Translate the request for the held parts and its answer."""

    def make_request(self, address: HostAddress) -> HttpRequest:
        """Return the request that an engine gets."""

    def is_answer(self, headers: Headers) -> bool:
        """Tell whether an answer belongs to such a request."""

    def read_parts(self, body: bytes) -> tuple[PromptPart, ...]:
        """Return the parts that an engine holds; raise InvalidInputError."""
