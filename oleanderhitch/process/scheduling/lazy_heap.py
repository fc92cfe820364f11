"""Keep entries of waiting requests in heaps, without a scan per decision."""

import heapq
from collections.abc import Callable

from oleanderhitch.request.ids import RequestId

# Rank or time, number of the entry, request. The number makes entries of a
# request that was withdrawn and enqueued again distinct.
HeapEntry = tuple[float, int, RequestId]
IsLive = Callable[[HeapEntry], bool]

# Below this size a rebuild costs more than the stale entries it removes.
COMPACT_MIN_ENTRIES = 64


def find_first_live(heap: list[HeapEntry], is_live: IsLive) -> HeapEntry | None:
    """Return the live entry that comes first, dropping stale ones before it."""
    while heap:
        if is_live(heap[0]):
            return heap[0]
        heapq.heappop(heap)
    return None


def compact(heap: list[HeapEntry], n_live_limit: int, is_live: IsLive) -> None:
    """Drop stale entries once they outnumber the live ones that may exist."""
    if len(heap) > COMPACT_MIN_ENTRIES + 2 * n_live_limit:
        heap[:] = [entry for entry in heap if is_live(entry)]
        heapq.heapify(heap)
