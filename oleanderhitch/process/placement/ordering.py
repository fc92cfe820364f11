"""Order the requests that wait for an endpoint of one service.

Answers three loads: a burst of one kind beside urgent calls, which go by their rank; a
flood of one account, which gets no more than its equal share while others wait; and new
programs beside running ones, whose work is lost if they come too late.

No request starves: of each `N_GRANTS_PER_AGED` grants of a service, one goes to the
request that has waited longest among the accounts within their share. A request with
k older ones waits for at most (k + 1) * `N_GRANTS_PER_AGED` grants.
"""

from collections.abc import Iterator
from datetime import datetime, timedelta
from heapq import heapify, heappop, heappush

from oleanderhitch.process.placement.cost import PLAIN_CALL_MS
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    InferenceWorkload,
    RequestStage,
)
from oleanderhitch.process.placement.records import (
    PlacementState,
    QueueId,
    ServiceQueue,
)
from oleanderhitch.process.placement.speeds import DECODE_MS_PER_TOKEN
from oleanderhitch.program.ids import AccountId

# Urgent requests lose at most this part of the slots to those that wait longest.
N_GRANTS_PER_AGED = 8
# New programs wait behind those in progress. Requests without a program do not, since
# nothing is known of what they continue.
STAGE_ORDER = {
    RequestStage.REPEATED: 0,
    RequestStage.IN_PROGRESS: 0,
    RequestStage.STANDALONE: 0,
    RequestStage.NEW_PROGRAM: 1,
}

# Rank, whether the account is over its share, stage, whether the program is late, and
# the latest start.
OrderKey = tuple[int, bool, int, bool, datetime]


def get_queue_id(message: AcquireEndpoint, state: PlacementState) -> QueueId:
    """Return the queue in which a request waits.

    All requests of a service of engines share one queue, also those that name no
    prompt. With a queue of their own, these could take all slots of the engines.
    """
    is_engine = (
        message.workload is not None or message.service in state.cache_capacity_tokens
    )
    return QueueId(message.service, is_engine)


def iterate_in_order(queue: ServiceQueue, now: datetime) -> Iterator[AcquireEndpoint]:
    """Yield the waiting requests in the order in which they get slots.

    Grants between two steps count in the shares of the accounts.
    """
    waiting = list(queue.waiting)
    n_accounts = count_accounts(queue)

    def make_key(message: AcquireEndpoint) -> OrderKey:
        return get_order_key(
            message, is_over_share(message.account, queue, n_accounts), now
        )

    order = [(make_key(message), index) for index, message in enumerate(waiting)]
    heapify(order)
    # Requests that are still in `order`, in the order of their arrival.
    remaining = dict(enumerate(waiting))
    while remaining:
        aged = None
        if queue.n_grants_by_order >= N_GRANTS_PER_AGED - 1:
            aged = _find_aged(remaining, queue, n_accounts)
        if aged is not None:
            yield remaining.pop(aged)
            continue
        key, index = heappop(order)
        message = remaining.get(index)
        if message is None:
            continue
        current_key = make_key(message)
        if current_key > key:
            heappush(order, (current_key, index))
            continue
        del remaining[index]
        yield message


def sort_waiting(queue: ServiceQueue, now: datetime) -> list[AcquireEndpoint]:
    """Return the waiting requests in the order in which they would get slots now."""
    n_accounts = count_accounts(queue)
    return sorted(
        queue.waiting,
        key=lambda message: get_order_key(
            message, is_over_share(message.account, queue, n_accounts), now
        ),
    )


def _find_aged(
    remaining: dict[int, AcquireEndpoint], queue: ServiceQueue, n_accounts: int
) -> int | None:
    """Return the request that has waited longest among accounts within their share."""
    for index, message in remaining.items():
        if not is_over_share(message.account, queue, n_accounts):
            return index
    return None


def get_order_key(message: AcquireEndpoint, is_over: bool, now: datetime) -> OrderKey:
    """Return the key of a waiting request; the lowest gets the next slot.

    A program that can't be finished in time any more does not delay those that can.
    """
    stage = STAGE_ORDER[message.stage]
    latest_start = message.deadline
    is_late = False
    if message.finish_at is not None:
        finish_start = message.finish_at - get_expected_work(message.workload)
        is_late = finish_start < now
        if not is_late:
            # A request that waits beyond its own deadline is lost, however much time
            # its program has.
            latest_start = min(latest_start, finish_start)
    return (message.rank, is_over, stage, is_late, latest_start)


def get_expected_work(workload: InferenceWorkload | None) -> timedelta:
    """Return the time that the work of a request takes at an idle endpoint, at least.

    Prompts are cached for the most part, so their prefill does not count: a request
    must not be taken for late while it can still be in time.
    """
    if workload is None:
        return timedelta(milliseconds=PLAIN_CALL_MS)
    decode_ms = workload.expected_output_tokens * DECODE_MS_PER_TOKEN
    return timedelta(milliseconds=decode_ms)


def count_accounts(queue: ServiceQueue) -> int:
    """Return the number of accounts with running or waiting requests."""
    accounts = {message.account for message in queue.waiting}
    return len(accounts.union(queue.n_running))


def is_over_share(
    account: AccountId | None, queue: ServiceQueue, n_accounts: int
) -> bool:
    """Return whether an account uses more than its equal share of the used slots.

    Without accounts there are no shares. A single slot is never too much: an entry
    host often has fewer slots in use than accounts.
    """
    if account is None:
        return False
    n_own = queue.n_running.get(account, 0)
    return n_own > 1 and n_own * n_accounts > queue.n_running.total()


def count_grant(queue: ServiceQueue, message: AcquireEndpoint) -> None:
    """Remove a waiting request that was granted and count it for the aging."""
    is_aged = queue.n_grants_by_order >= N_GRANTS_PER_AGED - 1
    if is_aged or queue.waiting[0] is message:
        queue.n_grants_by_order = 0
    else:
        queue.n_grants_by_order += 1
    queue.waiting = [waiting for waiting in queue.waiting if waiting is not message]


def count_start(queue: ServiceQueue, account: AccountId | None) -> None:
    """Count a request that begins to run."""
    queue.n_running[account] += 1


def count_end(queue: ServiceQueue, account: AccountId | None) -> None:
    """Count a request that runs no longer."""
    queue.n_running[account] -= 1
    if not queue.n_running[account]:
        del queue.n_running[account]
