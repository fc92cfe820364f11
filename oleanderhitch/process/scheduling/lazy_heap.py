"""Implement heaps of waiting requests with lazy deletion.

An entry of a request that no longer waits is stale and stays in the heap until it
comes first or the heap is compacted, so that withdrawing needs no scan.
"""

import heapq
from collections.abc import Callable

from oleanderhitch.request.ids import RequestId

# Rank or time, entry number and request. The entry number distinguishes entries of
# a request that was withdrawn and enqueued again.
HeapEntry = tuple[float, int, RequestId]
IsLive = Callable[[HeapEntry], bool]

# With fewer stale entries, compacting costs more than keeping them.
N_STALE_ENTRIES_MIN = 64


def find_first_live(heap: list[HeapEntry], is_live: IsLive) -> HeapEntry | None:
    """Return the first live entry and remove the stale entries before it."""
    while heap:
        if is_live(heap[0]):
            return heap[0]
        heapq.heappop(heap)
    return None


def compact(heap: list[HeapEntry], n_live_limit: int, is_live: IsLive) -> None:
    """Remove stale entries once they outnumber the possible live entries."""
    if len(heap) > N_STALE_ENTRIES_MIN + 2 * n_live_limit:
        heap[:] = [entry for entry in heap if is_live(entry)]
        heapq.heapify(heap)
