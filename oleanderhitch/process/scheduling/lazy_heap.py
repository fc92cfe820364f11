"""Implement heaps of waiting requests with lazy deletion.

The item of a request that no longer waits is stale and stays in the heap until it comes
first or the heap is compacted, so that withdrawing needs no scan.
"""

import heapq
from collections.abc import Callable

from oleanderhitch.request.ids import RequestId

# Rank or time in seconds, arrival number and request. A request that was withdrawn and
# enqueued again has a new arrival number, so that its earlier items are stale.
HeapItem = tuple[float, int, RequestId]
IsLive = Callable[[HeapItem], bool]

# With fewer stale items, compacting costs more than keeping them.
N_STALE_ITEMS_MIN = 64


def find_first_live(heap: list[HeapItem], is_live: IsLive) -> HeapItem | None:
    """Return the first live item and remove the stale items before it."""
    while heap:
        if is_live(heap[0]):
            return heap[0]
        heapq.heappop(heap)
    return None


def compact(heap: list[HeapItem], n_live_limit: int, is_live: IsLive) -> None:
    """Remove stale items once they outnumber the possible live items."""
    if len(heap) > N_STALE_ITEMS_MIN + 2 * n_live_limit:
        heap[:] = [item for item in heap if is_live(item)]
        heapq.heapify(heap)
