"""Explain what placement would do with a request, on a copy of its state.

Answers an operator who asks why a request waits or goes where it goes. The decision
itself is run on the copy, so that the explanation can't differ from it.
"""

from collections import OrderedDict, defaultdict
from copy import deepcopy
from datetime import datetime, timedelta

from msgspec.structs import replace

from oleanderhitch.process.explaining.messages import (
    N_ENDPOINTS_MAX,
    AccountShare,
    Decision,
    ExplainedEndpoint,
    Fact,
    PartCost,
    SchedulingExplanation,
    make_fact,
)
from oleanderhitch.process.explaining.states import (
    CostPart,
    Exclusion,
    ExplainVerdict,
    FactKind,
)
from oleanderhitch.process.placement.cost import (
    CostMs,
    get_added_cost_ms,
    get_cost_parts,
)
from oleanderhitch.process.placement.effects import AskLeader, SendReply
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    EndpointGranted,
    EndpointRefused,
)
from oleanderhitch.process.placement.ordering import (
    count_accounts,
    get_queue_id,
    is_over_share,
    sort_waiting,
)
from oleanderhitch.process.placement.pace import try_pace
from oleanderhitch.process.placement.queues import (
    find_exclusion,
    list_available,
    list_costs,
    list_prefix_homes,
    place,
)
from oleanderhitch.process.placement.records import (
    Endpoint,
    PlacementState,
    QueueId,
    ServiceQueue,
    count_running,
)
from oleanderhitch.process.placement.refusal import find_drain_time
from oleanderhitch.process.placement.spreading import count_unseen, list_unseen
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId, ServiceName


class _Weighed(Value, frozen=True):
    """An endpoint, what excludes it and the components of its cost."""

    endpoint: Endpoint
    exclusion: Exclusion | None
    costs: tuple[PartCost, ...] = ()

    @property
    def total_ms(self) -> float:
        """The sum of the components; excluded endpoints come last."""
        if not self.costs:
            return float("inf")
        return sum(cost.cost_ms for cost in self.costs)


def explain(
    message: AcquireEndpoint, state: PlacementState, now: datetime
) -> SchedulingExplanation:
    """Return what would happen to a request now; the state stays as it is."""
    copied = copy_state(message.service, state)
    queue_id = get_queue_id(message, copied)
    weighed = _weigh_endpoints(message, queue_id, copied, now)
    share = _get_share(message, copied.queues[queue_id])
    facts = _list_facts(copied, copied.queues[queue_id], now)
    # The decision changes what is known of the endpoint that it grants.
    explained = [_explain_endpoint(item, now) for item in weighed]
    decision = _decide(message, copied, now)
    queue = copied.queues[queue_id]
    n_ahead, wait = 0, decision.wait
    if decision.verdict is ExplainVerdict.QUEUED:
        holders = [waiting.holder for waiting in sort_waiting(queue, now)]
        n_ahead = holders.index(message.holder)
        wait = find_drain_time(queue.drain, n_ahead)
    explained = [
        replace(item, is_chosen=item.endpoint == decision.endpoint)
        for item in explained
    ]
    explained.sort(key=lambda item: not item.is_chosen)
    return SchedulingExplanation(
        decision.verdict,
        decision.detail,
        wait,
        n_ahead,
        share,
        tuple(explained[:N_ENDPOINTS_MAX]),
        max(0, len(explained) - N_ENDPOINTS_MAX),
        facts,
    )


def copy_state(service: ServiceName, state: PlacementState) -> PlacementState:
    """Return a deep copy of the state, without other services and running requests.

    Decisions on a request read nothing of these, and a site may have thousands. The
    number of requests that run at each endpoint is copied with the endpoint.
    """
    kept = {
        name: endpoint
        for name, endpoint in state.endpoints.items()
        if endpoint.listed.service == service
    }
    queues = {
        queue_id: queue
        for queue_id, queue in state.queues.items()
        if queue_id.service == service
    }
    orders = OrderedDict(
        (key, order) for key, order in state.prefix_orders.items() if key[0] == service
    )
    return deepcopy(
        replace(
            state,
            endpoints=kept,
            unlisted={},
            permits={},
            held_permits={},
            queues=defaultdict(ServiceQueue, queues),
            prefix_orders=orders,
        )
    )


def _decide(message: AcquireEndpoint, state: PlacementState, now: datetime) -> Decision:
    """Return what the decision code does with the request, on a copied state."""
    for effect in place(message, state, now):
        if isinstance(effect, AskLeader):
            pending = state.permit_requests[effect.request.number]
            if pending.message.holder == message.holder:
                limits = effect.request.limits
                return Decision(
                    ExplainVerdict.ASKS_LEADER,
                    "for the permit of a send to an endpoint with a rate limit",
                    limits[0].endpoint,
                )
        if not isinstance(effect, SendReply):
            continue
        reply = effect.message
        if isinstance(reply, EndpointGranted) and reply.holder == message.holder:
            return Decision(
                ExplainVerdict.SENT,
                endpoint=reply.endpoint.endpoint,
                wait=timedelta(0),
            )
        if isinstance(reply, EndpointRefused) and reply.holder == message.holder:
            return _judge_refusal(reply)
    if not state.endpoints:
        return Decision(ExplainVerdict.QUEUED, "the service has no endpoints")
    return Decision(ExplainVerdict.QUEUED)


def _judge_refusal(refused: EndpointRefused) -> Decision:
    verdict = ExplainVerdict.NO_ENDPOINT
    if refused.is_quarantined:
        verdict = ExplainVerdict.QUARANTINED
    elif refused.is_overloaded:
        verdict = ExplainVerdict.OVERLOADED
    return Decision(verdict, refused.reason, wait=refused.retry_after)


def _weigh_endpoints(
    message: AcquireEndpoint, queue_id: QueueId, state: PlacementState, now: datetime
) -> list[_Weighed]:
    """Return the endpoints of the service, cheapest first, as `find_grant` does."""
    exclusions = {
        name: find_exclusion(endpoint, queue_id, state, now)
        for name, endpoint in state.endpoints.items()
    }
    free = [
        endpoint
        for name, endpoint in state.endpoints.items()
        if exclusions[name] is None
    ]
    available = list_available(message, free, now)
    homes = list_prefix_homes(message, state, now)
    costs = list_costs(message, available, homes, state, now)
    unseen_ms = _list_unseen_ms(message, available, costs, homes, state, now)
    parts = get_cost_parts(message)
    weighed = []
    for endpoint, cost, added_ms in zip(available, costs, unseen_ms, strict=True):
        part_costs = [PartCost(*item) for item in zip(parts, cost, strict=True)]
        if added_ms:
            part_costs.append(PartCost(CostPart.UNSEEN, added_ms))
        is_paced = try_pace(endpoint, state, now)
        exclusion = None if is_paced else Exclusion.RAMPING
        weighed.append(_Weighed(endpoint, exclusion, tuple(part_costs)))
    weighed.sort(key=lambda item: item.total_ms)
    compared = {item.endpoint.listed.endpoint for item in weighed}
    for name, endpoint in state.endpoints.items():
        if name not in compared:
            was_tried = name in message.tried
            last = Exclusion.TRIED if was_tried else Exclusion.UNRESPONSIVE
            weighed.append(_Weighed(endpoint, exclusions[name] or last))
    return weighed


def _explain_endpoint(weighed: _Weighed, now: datetime) -> ExplainedEndpoint:
    endpoint = weighed.endpoint
    listed = endpoint.listed
    return ExplainedEndpoint(
        listed.endpoint,
        listed.data_centre,
        False,
        weighed.exclusion,
        count_running(endpoint, now),
        listed.n_slots,
        weighed.total_ms if weighed.costs else None,
        weighed.costs,
        _list_endpoint_facts(endpoint, now),
    )


def _list_unseen_ms(
    message: AcquireEndpoint,
    available: list[Endpoint],
    costs: list[CostMs],
    homes: frozenset[EndpointId],
    state: PlacementState,
    now: datetime,
) -> list[float]:
    """Return what the unseen requests of other hosts add to each cost."""
    queue = state.queues[get_queue_id(message, state)]
    n_unseen = count_unseen(available, queue, state, now)
    if not n_unseen:
        return [0.0] * len(available)
    totals_ms = list(map(sum, costs))
    cheapest = available[totals_ms.index(min(totals_ms))]
    is_home = cheapest.listed.endpoint in homes
    added_ms = get_added_cost_ms(cheapest, message.workload, state, is_home)
    return [n * added_ms for n in list_unseen(available, n_unseen, now)]


def _get_share(message: AcquireEndpoint, queue: ServiceQueue) -> AccountShare:
    account = message.account
    n_accounts = count_accounts(queue)
    return AccountShare(
        account,
        queue.n_running.get(account, 0),
        sum(waiting.account == account for waiting in queue.waiting),
        n_accounts,
        queue.n_running.total() / max(1, n_accounts),
        is_over_share(account, queue, n_accounts),
    )


def _list_facts(
    state: PlacementState, queue: ServiceQueue, now: datetime
) -> tuple[Fact, ...]:
    return (
        make_fact(FactKind.ENDPOINT_LIST, state.listed_at, now),
        make_fact(FactKind.PEER_LOADS, state.peer_loads_at, now),
        make_fact(FactKind.DRAIN_RATE, queue.drain.observed_at, now),
    )


def _list_endpoint_facts(endpoint: Endpoint, now: datetime) -> tuple[Fact, ...]:
    return (
        make_fact(FactKind.PEER_LOADS, endpoint.peer_load_at, now),
        make_fact(FactKind.EVENT_LATENCY, endpoint.latency.observed_at, now),
        make_fact(FactKind.FAILURE_RATE, endpoint.reliability.updated_at, now),
        make_fact(FactKind.LAST_ACTIVITY, endpoint.last_activity_at, now),
        make_fact(FactKind.RATE_LIMIT, endpoint.rate_limit.observed_at, now),
    )
