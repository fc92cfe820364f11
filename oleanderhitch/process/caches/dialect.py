"""Define the engine protocol for reading a cache, which a front end implements."""

from typing import Protocol

from oleanderhitch.connection.http.messages import Headers, HttpRequest
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.placement.messages import PromptPart


class CacheDialect(Protocol):
    """Encodes the request for the cached prompt parts and decodes its response."""

    def make_request(self, address: HostAddress) -> HttpRequest:
        """Return the request to the engine at an address."""

    def is_own_response(self, headers: Headers) -> bool:
        """Return whether a response with these headers belongs to such a request."""

    def read_parts(self, body: bytes) -> tuple[PromptPart, ...]:
        """Return the parts listed in a response body; raise InvalidInputError."""
