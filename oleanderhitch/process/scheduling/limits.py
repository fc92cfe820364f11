"""Refuse what cannot be queued or served in time."""

from datetime import timedelta

from oleanderhitch.process.scheduling import hedging, ordering
from oleanderhitch.process.scheduling.messages import EnqueueRequest, RefuseRequest
from oleanderhitch.process.scheduling.records import PoolState

REASON_FULL = "queue is full"
REASON_DEADLINE = "deadline cannot be met"
REASON_RETRY_BUDGET = "retry budget is used up"


def get_drain_time_s(state: PoolState) -> float:
    """Return how long the requests that wait now take to get a slot."""
    if state.n_slots == 0:
        return 0.0
    return len(state.waiting) * state.averages.slot_s / state.n_slots


def find_refusal(state: PoolState, enqueue: EnqueueRequest) -> str | None:
    """Return why a request cannot be queued, or None."""
    settings = state.settings
    if len(state.waiting) >= settings.n_waiting_limit:
        return REASON_FULL
    if enqueue.time_to_deadline <= timedelta(0):
        return REASON_DEADLINE
    if enqueue.excluded and not _may_retry(state):
        return REASON_RETRY_BUDGET
    if not settings.refuses_early:
        return None
    deadline_s = enqueue.time_to_deadline.total_seconds()
    if get_drain_time_s(state) > settings.early_refusal_factor * deadline_s:
        return REASON_DEADLINE
    return None


def _may_retry(state: PoolState) -> bool:
    # Slots that nobody waits for cost others nothing, so that the budget binds
    # only while the queue is long.
    return hedging.spend_budget(state) or not ordering.is_queue_long(state)


def make_refusal(
    state: PoolState, enqueue: EnqueueRequest, reason: str
) -> RefuseRequest:
    """Return a refusal that says when the queue is likely to have room."""
    retry_after_s = max(state.settings.retry_after_floor_s, get_drain_time_s(state))
    return RefuseRequest(
        state.pool,
        enqueue.node,
        enqueue.request,
        reason,
        timedelta(seconds=retry_after_s),
    )
