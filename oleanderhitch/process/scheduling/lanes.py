"""Keep waiting requests in order of rank, without a scan per decision."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from oleanderhitch.request.ids import RequestId

# Rank, number of the entry, request. The number makes entries of a request
# that was withdrawn and enqueued again distinct.
Entry = tuple[float, int, RequestId]
IsLive = Callable[[Entry], bool]

# Below this size a rebuild costs more than the stale entries it removes.
N_STALE_FLOOR = 64


@dataclass(slots=True)
class Lane:
    """Hold entries of short and long work apart, lowest rank first."""

    short: list[Entry] = field(default_factory=list)
    long: list[Entry] = field(default_factory=list)


def push(lane: Lane, entry: Entry, is_long: bool) -> None:
    """Add an entry to its class."""
    heapq.heappush(lane.long if is_long else lane.short, entry)


def find_first(lane: Lane, takes_long: bool, is_live: IsLive) -> Entry | None:
    """Return the live entry of lowest rank, dropping stale ones above it."""
    short = _find_live(lane.short, is_live)
    if not takes_long:
        return short
    long = _find_live(lane.long, is_live)
    if short is None or long is None:
        return short or long
    return min(short, long)


def remove_first(lane: Lane, entry: Entry) -> None:
    """Remove an entry that find_first has returned."""
    heap = lane.short if lane.short and lane.short[0] == entry else lane.long
    heapq.heappop(heap)


def compact(lane: Lane, n_live_limit: int, is_live: IsLive) -> None:
    """Drop stale entries once they outnumber the live ones that may exist."""
    for heap in (lane.short, lane.long):
        if len(heap) > N_STALE_FLOOR + 2 * n_live_limit:
            heap[:] = [entry for entry in heap if is_live(entry)]
            heapq.heapify(heap)


def _find_live(heap: list[Entry], is_live: IsLive) -> Entry | None:
    while heap:
        if is_live(heap[0]):
            return heap[0]
        heapq.heappop(heap)
    return None
