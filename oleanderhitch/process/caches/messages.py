"""Define what is asked of the reader of caches and what it answers."""

from dataclasses import dataclass

from oleanderhitch.process.address import Address
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.placement.messages import CacheFound, PromptPart


@dataclass(frozen=True, slots=True)
class ReadCache:
    """Ask for the parts that an engine holds; a failed reading has no answer."""

    endpoint: ListedEndpoint
    reply: Address


def make_cache_found(
    endpoint: ListedEndpoint, parts: tuple[PromptPart, ...]
) -> CacheFound:
    """Return the answer for one start of an engine."""
    return CacheFound(endpoint.endpoint, endpoint.born_ms, parts)
