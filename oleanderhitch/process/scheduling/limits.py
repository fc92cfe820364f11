"""Refuse requests that can't be queued or served before their deadline."""

from datetime import timedelta

from oleanderhitch.process.scheduling import hedging, ordering
from oleanderhitch.process.scheduling.messages import EnqueueRequest, RefuseRequest
from oleanderhitch.process.scheduling.records import PoolState

REASON_FULL = "queue is full"
REASON_DEADLINE = "deadline cannot be met"
REASON_RETRY_BUDGET = "retry budget is used up"


def get_estimated_wait_s(state: PoolState) -> float:
    """Return the estimated seconds until all waiting requests have a slot.

    It is 0 while the pool has no slots.
    """
    return get_drain_time_s(state, len(state.waiting))


def get_drain_time_s(state: PoolState, n_waiting: int) -> float:
    """Return the estimated seconds until a number of requests have a slot."""
    if state.n_slots == 0:
        return 0.0
    return n_waiting * state.averages.slot_s / state.n_slots


def find_refusal(state: PoolState, enqueue: EnqueueRequest) -> str | None:
    """Return the reason to refuse a request, or None; charge retries to the budget."""
    settings = state.settings
    if len(state.waiting) >= settings.n_waiting_limit:
        return REASON_FULL
    if enqueue.time_to_deadline <= timedelta(0):
        return REASON_DEADLINE
    if enqueue.excluded and not _admit_retry(state):
        return REASON_RETRY_BUDGET
    if not settings.refuses_early:
        return None
    time_to_deadline_s = enqueue.time_to_deadline.total_seconds()
    if get_estimated_wait_s(state) > settings.early_refusal_factor * time_to_deadline_s:
        return REASON_DEADLINE
    return None


def _admit_retry(state: PoolState) -> bool:
    # Takes the retry from the budget if it can. In a short queue, a retry delays no
    # other request, so the budget limits retries only while the queue is long.
    return hedging.spend_budget(state) or not ordering.is_queue_long(state)


def make_refusal(
    state: PoolState, enqueue: EnqueueRequest, reason: str
) -> RefuseRequest:
    """Return a refusal with the time after which a retry is likely to succeed."""
    retry_after_s = max(state.settings.retry_after_min_s, get_estimated_wait_s(state))
    return RefuseRequest(
        state.pool,
        enqueue.node,
        enqueue.request,
        reason,
        timedelta(seconds=retry_after_s),
    )
