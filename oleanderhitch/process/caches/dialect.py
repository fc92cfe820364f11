"""Define the engine protocol for reading a cache, which a front end implements."""

from typing import Protocol

from oleanderhitch.connection.http.messages import Headers, HttpRequest, ResponseOwner
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.placement.messages import PromptPart


class CacheDialect(Protocol):
    """Encodes the request for the cached prompt parts and decodes its response."""

    def make_request(self, address: HostAddress) -> HttpRequest:
        """Return the request to the engine at an address."""

    def find_owner(self, headers: Headers) -> ResponseOwner:
        """Return whose response one with these headers is."""

    def is_leaving(self, headers: Headers) -> bool:
        """Return whether the headers of a response say that its engine will stop."""

    def read_parts(self, body: bytes) -> tuple[PromptPart, ...]:
        """Return the parts listed in a response body; raise InvalidInputError."""
