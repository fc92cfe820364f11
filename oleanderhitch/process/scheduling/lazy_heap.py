"""Keep entries of waiting requests in heaps, without a scan per decision."""

import heapq
from collections.abc import Callable

from oleanderhitch.request.ids import RequestId

# Rank or time, number of the entry, request. The number makes entries of a
# request that was withdrawn and enqueued again distinct.
Entry = tuple[float, int, RequestId]
IsLive = Callable[[Entry], bool]

# Below this size a rebuild costs more than the stale entries it removes.
N_STALE_FLOOR = 64


def find_first(lane: list[Entry], is_live: IsLive) -> Entry | None:
    """Return the live entry that comes first, dropping stale ones before it."""
    while lane:
        if is_live(lane[0]):
            return lane[0]
        heapq.heappop(lane)
    return None


def compact(lane: list[Entry], n_live_limit: int, is_live: IsLive) -> None:
    """Drop stale entries once they outnumber the live ones that may exist."""
    if len(lane) > N_STALE_FLOOR + 2 * n_live_limit:
        lane[:] = [entry for entry in lane if is_live(entry)]
        heapq.heapify(lane)
