"""Index the endpoints that have free slots by how loaded they are."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice

from oleanderhitch.version.ids import EndpointId

N_LEVELS = 16


@dataclass(slots=True)
class FreeIndex:
    """Hold endpoints in one bucket per level of load, with a mask of buckets."""

    buckets: list[dict[EndpointId, None]] = field(
        default_factory=lambda: [{} for _ in range(N_LEVELS)]
    )
    levels: dict[EndpointId, int] = field(default_factory=dict)
    mask: int = 0


def place(index: FreeIndex, endpoint: EndpointId, level: int | None) -> None:
    """Move an endpoint to a level, or out of the index with None."""
    old = index.levels.get(endpoint)
    if old == level:
        return
    if old is not None:
        bucket = index.buckets[old]
        del bucket[endpoint]
        del index.levels[endpoint]
        if not bucket:
            index.mask &= ~(1 << old)
    if level is not None:
        index.buckets[level][endpoint] = None
        index.levels[endpoint] = level
        index.mask |= 1 << level


def get_level(n_in_flight: int, n_slots: int) -> int:
    """Return the level of an endpoint that has a free slot."""
    return n_in_flight * N_LEVELS // n_slots


def list_least_loaded(index: FreeIndex, n_endpoints: int) -> list[EndpointId]:
    """Return up to so many endpoints, least loaded first."""
    return list(islice(_walk(index), n_endpoints))


def _walk(index: FreeIndex) -> Iterator[EndpointId]:
    mask = index.mask
    while mask:
        lowest = mask & -mask
        yield from index.buckets[lowest.bit_length() - 1]
        mask ^= lowest
