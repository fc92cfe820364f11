"""Serve the queues of placement: grant free endpoints, refuse what can't be served."""

from bisect import insort
from collections.abc import Sequence
from datetime import datetime, timedelta

from oleanderhitch.process.explaining.states import Exclusion
from oleanderhitch.process.placement.cache import (
    count_uncached_tokens,
    knows_prefix,
    record_prompt,
)
from oleanderhitch.process.placement.cost import CostMs, get_added_cost_ms, get_cost
from oleanderhitch.process.placement.effects import (
    AskLeader,
    LogOverload,
    SendReply,
)
from oleanderhitch.process.placement.health import (
    begin_trial,
    is_on_trial,
    is_unresponsive,
    record_affinity_key,
)
from oleanderhitch.process.placement.latency import find_median_ms, get_slowdown
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    EndpointGranted,
    EndpointRefused,
    InferenceWorkload,
)
from oleanderhitch.process.placement.observations import (
    find_measured_tokens,
    get_first_event_ms,
)
from oleanderhitch.process.placement.ordering import (
    count_grant,
    count_start,
    get_queue_id,
    iterate_in_order,
)
from oleanderhitch.process.placement.pace import (
    try_pace,
)
from oleanderhitch.process.placement.prefixes import find_prefix, list_homes
from oleanderhitch.process.placement.rate_limits import (
    MILLISECOND,
    allows_send,
    count_local_send,
    is_limited,
    is_local,
    make_permit_request,
)
from oleanderhitch.process.placement.records import (
    Endpoint,
    PendingPermitRequest,
    Permit,
    PlacementState,
    PrefixKnowledge,
    QueueId,
    count_running,
)
from oleanderhitch.process.placement.refusal import (
    HopelessRequest,
    describe_drain,
    find_retry_after,
    find_surplus,
    list_hopeless,
    observe_grant,
    observe_time,
)
from oleanderhitch.process.placement.spreading import (
    choose_endpoint,
    count_unseen,
)
from oleanderhitch.request.ids import PermitId
from oleanderhitch.version.ids import EndpointId, ServiceName

# Requests that may queue at a plain service, per slot. Queueing there is better than
# refusing the request, but only for a short queue.
PLAIN_QUEUE_PER_SLOT = 1.0
# Overload lasts for seconds; each refused request has its own line.
OVERLOAD_LOG_INTERVAL = timedelta(seconds=1)


def place(
    message: AcquireEndpoint, state: PlacementState, now: datetime
) -> list[object]:
    """Grant a request an endpoint, or ask for one, or let the request wait."""
    state.undecided.setdefault(message.holder, now)
    queue_id = get_queue_id(message, state)
    queue = state.queues[queue_id]
    is_sendable = message.fingerprint not in state.quarantined
    if is_sendable and not queue.waiting:
        free = list_free(queue_id, state, now)
        effect = find_grant(message, free, state, now)
        if effect is not None:
            return [effect]
    # A request that comes back from the leader without a permit keeps its age.
    insort(
        queue.waiting, message, key=lambda item: state.undecided.get(item.holder, now)
    )
    effects = serve_queue(queue_id, state, now)
    return [*effects, *refuse_early(queue_id, state, now)]


def grant_waiting(
    state: PlacementState, now: datetime, service: ServiceName | None = None
) -> list[object]:
    """Grant waiting requests what is free, those of one service or of all.

    A request that waited before its service became one of engines, or stopped to be
    one, makes a new queue when it is decided on.
    """
    return [
        effect
        for queue_id, queue in list(state.queues.items())
        if queue.waiting and service in (None, queue_id.service)
        for effect in serve_queue(queue_id, state, now)
    ]


def serve_queue(
    queue_id: QueueId, state: PlacementState, now: datetime
) -> list[object]:
    """Decide on the waiting requests of one queue, as far as that is possible."""
    queue = state.queues[queue_id]
    observe_time(queue.drain, now)
    effects: list[object] = []
    for message in queue.waiting:
        if message.fingerprint in state.quarantined:
            reason = "its content crashes the endpoints that run it"
            refused = EndpointRefused(message.holder, reason, is_quarantined=True)
            effects.append(_refuse(message, refused, state))
    if effects:
        queue.waiting = [
            message
            for message in queue.waiting
            if message.fingerprint not in state.quarantined
        ]
    free = list_free(queue_id, state, now)
    effects.extend(_grant_free(queue_id, free, state, now))
    queue.drain.is_waiting = (
        bool(queue.waiting) and not free and _has_endpoint(queue_id.service, state)
    )
    expired = [message for message in queue.waiting if now >= message.deadline]
    if expired:
        queue.waiting = [message for message in queue.waiting if now < message.deadline]
    for message in expired:
        retry_after = _find_retry_after(message, len(queue.waiting), state, now)
        refused = EndpointRefused(
            message.holder, "no endpoint in time", retry_after=retry_after
        )
        effects.append(_refuse(message, refused, state))
    return effects


def refuse_early(
    queue_id: QueueId, state: PlacementState, now: datetime
) -> list[object]:
    """Refuse the waiting requests of a queue that can't be served in time."""
    queue = state.queues[queue_id]
    if len(queue.waiting) < 2:
        # The first in line is never refused early.
        return []
    hopeless = list_hopeless(queue, now)
    n_waiting = len(queue.waiting)
    surplus = None if hopeless else find_surplus(queue, now)
    if surplus is not None:
        hopeless = [HopelessRequest(surplus, n_waiting - 1)]
    if not hopeless:
        return []
    refused = {item.message.holder for item in hopeless}
    queue.waiting = [item for item in queue.waiting if item.holder not in refused]
    effects = _log_overload(queue_id, len(hopeless), state, now)
    for item in hopeless:
        message = item.message
        reason = (
            f"{item.n_ahead} requests are ahead for {describe_drain(queue.drain)} a "
            f"second, {round((message.deadline - now) / MILLISECOND)} ms are left"
        )
        retry_after = _find_retry_after(message, item.n_ahead, state, now)
        reply = EndpointRefused(
            message.holder, reason, is_overloaded=True, retry_after=retry_after
        )
        effects.append(_refuse(message, reply, state))
    return effects


def _log_overload(
    queue_id: QueueId, n_refused: int, state: PlacementState, now: datetime
) -> list[object]:
    queue = state.queues[queue_id]
    logged_at = queue.refusals_logged_at
    if logged_at is not None and now - logged_at < OVERLOAD_LOG_INTERVAL:
        return []
    queue.refusals_logged_at = now
    n_waiting = len(queue.waiting)
    rate = describe_drain(queue.drain)
    return [LogOverload(queue_id.service, n_refused, n_waiting, rate)]


def _find_retry_after(
    message: AcquireEndpoint, n_ahead: int, state: PlacementState, now: datetime
) -> timedelta | None:
    time_left = (message.caller_deadline or message.deadline) - now
    drain = state.queues[get_queue_id(message, state)].drain
    return find_retry_after(drain, n_ahead, time_left, state.random_source)


def _has_endpoint(service: ServiceName, state: PlacementState) -> bool:
    return any(
        endpoint.listed.service == service and not endpoint.is_leaving
        for endpoint in state.endpoints.values()
    )


def _grant_free(
    queue_id: QueueId, free: list[Endpoint], state: PlacementState, now: datetime
) -> list[object]:
    """Grant the free endpoints of a service to its waiting requests, in their order.

    Endpoints that are free no longer are removed from `free`.
    """
    if not free:
        return []
    queue = state.queues[queue_id]
    effects: list[object] = []
    for message in iterate_in_order(queue, now):
        effect = find_grant(message, free, state, now)
        if effect is None:
            continue
        effects.append(effect)
        count_grant(queue, message)
        free[:] = [
            item for item in free if find_exclusion(item, queue_id, state, now) is None
        ]
        if not free:
            break
    return effects


def _refuse(
    message: AcquireEndpoint, refused: EndpointRefused, state: PlacementState
) -> SendReply:
    state.undecided.pop(message.holder, None)
    return SendReply(message.reply_address, refused)


def list_free(
    queue_id: QueueId, state: PlacementState, now: datetime
) -> list[Endpoint]:
    """Return the endpoints of a service that may get a request now."""
    return [
        endpoint
        for endpoint in state.endpoints.values()
        if endpoint.listed.service == queue_id.service
        and find_exclusion(endpoint, queue_id, state, now) is None
    ]


def find_exclusion(
    endpoint: Endpoint, queue_id: QueueId, state: PlacementState, now: datetime
) -> Exclusion | None:
    """Return why an endpoint of the service gets no request now, None if it may."""
    if endpoint.is_leaving:
        return Exclusion.LEAVING
    limit = endpoint.listed.n_slots
    if not queue_id.is_engine:
        limit += int(limit * PLAIN_QUEUE_PER_SLOT)
    if count_running(endpoint, now) >= limit:
        return Exclusion.FULL
    if endpoint.avoid_until is not None and endpoint.avoid_until > now:
        return Exclusion.AVOIDED
    if is_on_trial(endpoint, now):
        return Exclusion.ON_TRIAL
    return None if allows_send(endpoint, state, now) else Exclusion.RATE_LIMITED


def find_grant(
    message: AcquireEndpoint,
    free: list[Endpoint],
    state: PlacementState,
    now: datetime,
) -> SendReply | AskLeader | None:
    """Return the grant of an endpoint, or the question for one that is limited."""
    available = list_available(message, free, now)
    if not available:
        return None
    homes = list_prefix_homes(message, state, now)
    costs = list_costs(message, available, homes, state, now)
    costs_ms = list(map(sum, costs))
    chosen = _choose(available, costs_ms, homes, message, state, now)
    if not is_limited(chosen):
        return grant_endpoint(chosen, message, homes, state, now)
    if is_local(state, now):
        count_local_send(chosen, state, now)
        return grant_endpoint(chosen, message, homes, state, now)
    request = make_permit_request(available, costs_ms, chosen, state, now)
    state.permit_requests[request.number] = PendingPermitRequest(message, now)
    return AskLeader(request)


def list_available(
    message: AcquireEndpoint, free: Sequence[Endpoint], now: datetime
) -> list[Endpoint]:
    """Return the free endpoints that are compared for a request.

    An unresponsive endpoint may have failed; it is used only if there is no other.
    """
    available = [
        endpoint for endpoint in free if endpoint.listed.endpoint not in message.tried
    ]
    return [
        candidate for candidate in available if not is_unresponsive(candidate, now)
    ] or available


def list_costs(
    message: AcquireEndpoint,
    available: Sequence[Endpoint],
    homes: frozenset[EndpointId],
    state: PlacementState,
    now: datetime,
) -> list[CostMs]:
    """Return the cost of a request on each of the available endpoints."""
    median_ms = find_median_ms([endpoint.latency for endpoint in available], now)
    return [
        get_cost(
            endpoint,
            message,
            state,
            1.0
            if median_ms is None
            else get_slowdown(endpoint.latency, median_ms, now),
            now,
            endpoint.listed.endpoint in homes,
        )
        for endpoint in available
    ]


def list_prefix_homes(
    message: AcquireEndpoint, state: PlacementState, now: datetime
) -> frozenset[EndpointId]:
    """Return the endpoints that should have the prefix of a prompt cached.

    With few entry hosts, each sends enough prompts to know where they are cached.
    """
    prefix = None if message.workload is None else find_prefix(message.workload)
    if prefix is None or not state.has_many_hosts:
        return frozenset()
    return list_homes(message.service, prefix, state, now)


def _count_prefix(
    endpoint: Endpoint,
    workload: InferenceWorkload,
    homes: frozenset[EndpointId],
    state: PlacementState,
) -> None:
    """Count for the metrics what is known of the prefix of a prompt, if it has one."""
    if find_prefix(workload) is None:
        return
    knowledge = PrefixKnowledge.MISSING
    if knows_prefix(endpoint.cache, workload):
        knowledge = PrefixKnowledge.KNOWN
    elif endpoint.listed.endpoint in homes:
        knowledge = PrefixKnowledge.ASSUMED
    state.prefix_counts[knowledge] += 1


def _choose(
    endpoints: Sequence[Endpoint],
    costs_ms: Sequence[float],
    homes: frozenset[EndpointId],
    message: AcquireEndpoint,
    state: PlacementState,
    now: datetime,
) -> Endpoint:
    """Return one of the cheapest endpoints, if possible one whose ramp allows it."""
    is_engine = message.workload is not None
    queue = state.queues[get_queue_id(message, state)]
    cheapest = endpoints[costs_ms.index(min(costs_ms))]
    is_home = cheapest.listed.endpoint in homes
    added_ms = get_added_cost_ms(cheapest, message.workload, state, is_home)
    n_unseen = count_unseen(endpoints, queue, state, now)
    first: Endpoint | None = None
    while endpoints:
        chosen = choose_endpoint(
            endpoints, costs_ms, n_unseen, added_ms, state, is_engine, now
        )
        if try_pace(chosen, state, now):
            return chosen
        first = first or chosen
        left = [
            (endpoint, cost_ms)
            for endpoint, cost_ms in zip(endpoints, costs_ms, strict=True)
            if endpoint is not chosen
        ]
        endpoints = [endpoint for endpoint, _ in left]
        costs_ms = [cost_ms for _, cost_ms in left]
    assert first is not None
    return first


def grant_endpoint(
    endpoint: Endpoint,
    message: AcquireEndpoint,
    homes: frozenset[EndpointId],
    state: PlacementState,
    now: datetime,
) -> SendReply:
    """Grant an endpoint to a request, and record what it adds there.

    `homes` are the endpoints that are assumed to have the prefix of its prompt cached.
    """
    endpoint.has_trial = False
    begin_trial(endpoint, now)
    if not endpoint.permits:
        endpoint.last_activity_at = now
    if message.affinity_key is not None and message.workload is None:
        record_affinity_key(message.affinity_key, endpoint)
    state.last_permit_number += 1
    permit = PermitId(f"{state.permit_prefix}-{state.last_permit_number}")
    n_pending = 0
    n_measured: int | None = None
    expected_ms: float | None = None
    if message.workload is not None:
        _count_prefix(endpoint, message.workload, homes, state)
        # Each of many hosts has a first prompt with a prefix. If all reported that a
        # home reads it, it would look too busy for the others.
        n_pending = count_uncached_tokens(
            endpoint.cache, message.workload, endpoint.listed.endpoint in homes
        )
        n_uncached = count_uncached_tokens(endpoint.cache, message.workload)
        # Other entry hosts may have sent a prefix that this one has not.
        if not state.has_many_hosts or knows_prefix(endpoint.cache, message.workload):
            n_measured = find_measured_tokens(endpoint, n_uncached, state, now)
        expected_ms = get_first_event_ms(endpoint, n_uncached, state, now)
        record_prompt(endpoint.cache, message.workload)
    endpoint_id = endpoint.listed.endpoint
    queue_id = get_queue_id(message, state)
    state.pending_prefill_tokens[endpoint_id] += n_pending
    state.permits[permit] = Permit(
        endpoint_id,
        n_pending,
        message.fingerprint,
        message.workload is not None,
        now,
        message.holder,
        queue_id,
        message.account,
        n_measured,
        expected_ms,
    )
    queue = state.queues[queue_id]
    count_start(queue, message.account)
    observe_grant(queue.drain)
    endpoint.permits.add(permit)
    state.undecided.pop(message.holder, None)
    state.held_permits.setdefault(message.holder, set()).add(permit)
    granted = EndpointGranted(
        message.holder, permit, endpoint.listed, is_limited(endpoint)
    )
    return SendReply(message.reply_address, granted)
