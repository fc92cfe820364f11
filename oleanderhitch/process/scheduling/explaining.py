"""Explain what a pool's queue would do with a request, on a copy of its state.

Answers an operator who asks why a request waits or goes where it goes. The queue's own
code is run on the copy, so that the explanation can't differ from it.
"""

from copy import copy, deepcopy
from datetime import datetime, timedelta
from typing import Any

from msgspec.structs import replace

from oleanderhitch.process.explaining.messages import (
    N_ENDPOINTS_MAX,
    AccountShare,
    Decision,
    ExplainedEndpoint,
    Fact,
    PartCost,
    SchedulingExplanation,
)
from oleanderhitch.process.explaining.states import (
    Exclusion,
    ExplainVerdict,
    FactKind,
)
from oleanderhitch.process.scheduling import affinity, dispatching, limits, permits

# The queue tasks take it from here, so that they also handle the message below.
from oleanderhitch.process.scheduling.core import handle as handle
from oleanderhitch.process.scheduling.messages import (
    EnqueueRequest,
    ExplainSlot,
    GrantSlot,
    RefuseRequest,
    SlotExplained,
)
from oleanderhitch.process.scheduling.records import Endpoint, PoolState, QueuedRequest
from oleanderhitch.process.scheduling.states import Health
from oleanderhitch.version.ids import DataCentreName

MS_PER_S = 1000.0


@handle.register
def _(message: ExplainSlot, state: PoolState, now: datetime) -> list[Any]:
    return [SlotExplained(message.reply_address, explain(message.enqueue, state, now))]


def explain(
    enqueue: EnqueueRequest, state: PoolState, now: datetime
) -> SchedulingExplanation:
    """Return what would happen to a request now; the state stays as it is."""
    copied = copy_state(state)
    now_s = permits.get_timestamp_s(now)
    explained = _explain_endpoints(enqueue, copied, now_s)
    share = _get_share(enqueue, copied, now_s)
    holder, n_cached = affinity.find_holder(copied, enqueue)
    decision = _decide(enqueue, copied, now)
    detail = decision.detail
    if holder is not None and not detail:
        detail = f"{holder.endpoint} has cached {n_cached} tokens of the program"
    explained = [
        replace(item, is_chosen=item.endpoint == decision.endpoint)
        for item in explained
    ]
    explained.sort(key=lambda item: not item.is_chosen)
    return SchedulingExplanation(
        decision.verdict,
        detail,
        decision.wait,
        decision.n_ahead,
        share,
        tuple(explained[:N_ENDPOINTS_MAX]),
        max(0, len(explained) - N_ENDPOINTS_MAX),
        (),
    )


def copy_state(state: PoolState) -> PoolState:
    """Return a deep copy of the state.

    Queues may hold 50,000 requests. Their records are copied one by one, which is
    enough for records of immutable fields, and their heaps as lists of tuples.
    """
    memo: dict[int, object] = {
        id(state.waiting): {key: copy(item) for key, item in state.waiting.items()},
        id(state.permits): {key: copy(item) for key, item in state.permits.items()},
    }
    heaps = [state.general_queue, state.affinity_timers, state.deadline_timers]
    heaps.extend(endpoint.queue for endpoint in state.endpoints.values())
    for heap in heaps:
        memo[id(heap)] = list(heap)
    return deepcopy(state, memo)


def _decide(enqueue: EnqueueRequest, state: PoolState, now: datetime) -> Decision:
    """Return what the queue's code does with a request, on a copied state."""
    for effect in handle(enqueue, state, now):
        if effect.request != enqueue.request:
            continue
        if isinstance(effect, RefuseRequest):
            return Decision(
                ExplainVerdict.OVERLOADED, effect.reason, wait=effect.retry_after
            )
        if isinstance(effect, GrantSlot):
            return Decision(
                ExplainVerdict.SENT, endpoint=effect.endpoint, wait=timedelta(0)
            )
    waiting = state.waiting.get(enqueue.request)
    if waiting is None:
        return Decision(ExplainVerdict.IN_PROGRESS, "the request runs already")
    if not state.n_slots:
        return Decision(ExplainVerdict.QUEUED, "the pool has no slots")
    n_ahead = _count_ahead(waiting, state)
    wait_s = limits.get_drain_time_s(state, n_ahead + 1)
    wait = timedelta(seconds=wait_s)
    return Decision(ExplainVerdict.QUEUED, wait=wait, n_ahead=n_ahead)


def _count_ahead(waiting: QueuedRequest, state: PoolState) -> int:
    own = waiting.rank, waiting.arrival_number
    return sum(
        (other.rank, other.arrival_number) < own for other in state.waiting.values()
    )


def _explain_endpoints(
    enqueue: EnqueueRequest, state: PoolState, now_s: float
) -> list[ExplainedEndpoint]:
    """Return the endpoints of the pool, cheapest first."""
    compared = dispatching.list_candidates(state, enqueue.excluded)
    compared.sort(key=lambda item: sum(affinity.get_cost_s(state, item, now_s)))
    names = {endpoint.endpoint for endpoint in compared}
    others = [item for item in state.endpoints.values() if item.endpoint not in names]
    explained = []
    for endpoint in (*compared, *others):
        exclusion = None
        costs: tuple[PartCost, ...] = ()
        total_ms = None
        if endpoint.endpoint in names:
            costs_s = affinity.get_cost_s(state, endpoint, now_s)
            costs = tuple(
                PartCost(part, cost_s * MS_PER_S)
                for part, cost_s in zip(affinity.COST_PARTS, costs_s, strict=True)
            )
            total_ms = sum(cost.cost_ms for cost in costs)
        else:
            exclusion = _find_exclusion(endpoint, enqueue, state, now_s)
        explained.append(
            ExplainedEndpoint(
                endpoint.endpoint,
                DataCentreName(""),
                False,
                exclusion,
                endpoint.n_in_flight,
                endpoint.n_slots,
                total_ms,
                costs,
                _list_facts(endpoint, now_s),
            )
        )
    return explained


def _find_exclusion(
    endpoint: Endpoint, enqueue: EnqueueRequest, state: PoolState, now_s: float
) -> Exclusion | None:
    """Return why an endpoint is not compared; None for a due probe of a slow one."""
    if endpoint.health is Health.LEAVING:
        return Exclusion.LEAVING
    if endpoint.endpoint in enqueue.excluded:
        return Exclusion.TRIED
    if endpoint.n_in_flight >= endpoint.n_slots:
        return Exclusion.FULL
    if endpoint.health is Health.PROBATION:
        accepts = dispatching.accepts_general(state, endpoint, now_s)
        return None if accepts else Exclusion.ON_PROBATION
    return Exclusion.NOT_COMPARED


def _list_facts(endpoint: Endpoint, now_s: float) -> tuple[Fact, ...]:
    if not endpoint.observations:
        return (Fact(FactKind.EVENT_LATENCY, None),)
    age_ms = (now_s - endpoint.observations[-1][0]) * MS_PER_S
    return (Fact(FactKind.EVENT_LATENCY, age_ms),)


def _get_share(enqueue: EnqueueRequest, state: PoolState, now_s: float) -> AccountShare:
    name = enqueue.account
    account = state.accounts.get(name)
    n_accounts = state.n_active_accounts
    return AccountShare(
        name,
        sum(permit.account == name for permit in state.permits.values()),
        sum(item.enqueue.account == name for item in state.waiting.values()),
        n_accounts,
        len(state.permits) / max(1, n_accounts),
        account is not None and account.virtual_finish_s > now_s,
    )
