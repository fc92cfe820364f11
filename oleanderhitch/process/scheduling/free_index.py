"""Index the endpoints that have free slots by load."""

from collections.abc import Iterator
from itertools import islice

from msgspec import Struct, field

from oleanderhitch.version.ids import EndpointId

N_LOAD_LEVELS = 16


class FreeIndex(Struct):
    """Endpoints in one bucket per load level, with a bit mask of non-empty buckets."""

    buckets: list[dict[EndpointId, None]] = field(
        default_factory=lambda: [{} for _ in range(N_LOAD_LEVELS)]
    )
    level_by_endpoint: dict[EndpointId, int] = field(default_factory=dict)
    nonempty_mask: int = 0


def set_level(index: FreeIndex, endpoint: EndpointId, level: int | None) -> None:
    """Move an endpoint to a load level; None removes it from the index."""
    old_level = index.level_by_endpoint.get(endpoint)
    if old_level == level:
        return
    if old_level is not None:
        bucket = index.buckets[old_level]
        del bucket[endpoint]
        del index.level_by_endpoint[endpoint]
        if not bucket:
            index.nonempty_mask &= ~(1 << old_level)
    if level is not None:
        index.buckets[level][endpoint] = None
        index.level_by_endpoint[endpoint] = level
        index.nonempty_mask |= 1 << level


def get_load_level(n_in_flight: int, n_slots: int) -> int:
    """Return the load level of an endpoint that has a free slot."""
    return n_in_flight * N_LOAD_LEVELS // n_slots


def list_least_loaded(index: FreeIndex, n_endpoints: int) -> list[EndpointId]:
    """Return at most `n_endpoints` endpoints, least loaded first."""
    return list(islice(_iterate_least_loaded(index), n_endpoints))


def _iterate_least_loaded(index: FreeIndex) -> Iterator[EndpointId]:
    mask = index.nonempty_mask
    while mask:
        lowest = mask & -mask
        yield from index.buckets[lowest.bit_length() - 1]
        mask ^= lowest
