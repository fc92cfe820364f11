"""Add requests to the queues and remove them.

A request waits in the queue of the endpoint that caches its prefix and, after its
affinity wait, also in the general queue of the pool. If no endpoint caches its prefix,
it waits in the general queue only.
"""

import heapq

from oleanderhitch.process.scheduling import affinity, lazy_heap, ordering
from oleanderhitch.process.scheduling.lazy_heap import HeapItem
from oleanderhitch.process.scheduling.messages import EnqueueRequest
from oleanderhitch.process.scheduling.records import Endpoint, PoolState, QueuedRequest
from oleanderhitch.request.ids import RequestId


def add(
    state: PoolState, enqueue: EnqueueRequest, now_s: float
) -> tuple[QueuedRequest, Endpoint | None]:
    """Queue a request; return its record and the endpoint that caches its prefix."""
    holder, n_cached = affinity.find_holder(state, enqueue)
    state.last_arrival_number += 1
    waiting = QueuedRequest(
        enqueue,
        state.last_arrival_number,
        ordering.get_rank(state, enqueue, now_s),
        now_s + enqueue.time_to_deadline.total_seconds(),
        ordering.charge_account(state, enqueue.account, now_s),
        None if holder is None else holder.endpoint,
        n_cached,
    )
    state.waiting[enqueue.request] = waiting
    _push_timer(state, state.deadline_timers, waiting, waiting.deadline_s)
    wait_s = 0.0
    if holder is not None:
        bonus_s = ordering.get_cached_bonus_s(state, n_cached)
        _push_request(state, holder.queue, waiting, waiting.rank - bonus_s)
        wait_s = affinity.get_affinity_wait_s(state, n_cached)
        wait_s -= enqueue.waited.total_seconds()
    if wait_s > 0.0:
        _push_timer(state, state.affinity_timers, waiting, now_s + wait_s)
    else:
        add_to_general_queue(state, waiting)
    return waiting, holder


def add_to_general_queue(state: PoolState, waiting: QueuedRequest) -> None:
    """Add a request to the general queue, so that any endpoint may serve it."""
    if not waiting.is_in_general_queue:
        waiting.is_in_general_queue = True
        _push_request(state, state.general_queue, waiting, waiting.rank)


def add_queue_to_general(state: PoolState, endpoint: Endpoint) -> None:
    """Add the requests of an endpoint's queue to the general queue."""
    for item in list(endpoint.queue):
        if is_queued(state, item):
            add_to_general_queue(state, state.waiting[item[2]])


def clear_queue(state: PoolState, endpoint: Endpoint) -> None:
    """Move the queue of an endpoint that gets no more requests to the general queue."""
    add_queue_to_general(state, endpoint)
    endpoint.queue.clear()


def end_affinity_waits(state: PoolState, now_s: float) -> None:
    """Add requests whose affinity wait has expired to the general queue."""
    while state.affinity_timers and state.affinity_timers[0][0] <= now_s:
        _, number, request = heapq.heappop(state.affinity_timers)
        waiting = state.waiting.get(request)
        if waiting is not None and waiting.arrival_number == number:
            add_to_general_queue(state, waiting)


def remove_expired(state: PoolState, now_s: float) -> list[QueuedRequest]:
    """Remove and return the requests whose deadline has passed."""
    expired = []
    while state.deadline_timers and state.deadline_timers[0][0] <= now_s:
        _, number, request = heapq.heappop(state.deadline_timers)
        waiting = state.waiting.get(request)
        if waiting is not None and waiting.arrival_number == number:
            withdraw(state, request)
            expired.append(waiting)
    return expired


def withdraw(state: PoolState, request: RequestId) -> None:
    """Remove a waiting request and refund its account."""
    waiting = state.waiting.pop(request, None)
    if waiting is not None:
        ordering.settle_account(state, waiting.enqueue.account, -waiting.charged_s)


def is_queued(state: PoolState, item: HeapItem) -> bool:
    """Return whether the request of a heap item still waits."""
    waiting = state.waiting.get(item[2])
    return waiting is not None and waiting.arrival_number == item[1]


def _push_request(
    state: PoolState, heap: list[HeapItem], waiting: QueuedRequest, rank: float
) -> None:
    item = (rank, waiting.arrival_number, waiting.enqueue.request)
    heapq.heappush(heap, item)
    lazy_heap.compact(heap, len(state.waiting), lambda item: is_queued(state, item))


def _push_timer(
    state: PoolState, timers: list[HeapItem], waiting: QueuedRequest, due_s: float
) -> None:
    heapq.heappush(timers, (due_s, waiting.arrival_number, waiting.enqueue.request))
    lazy_heap.compact(timers, len(state.waiting), lambda timer: is_queued(state, timer))
