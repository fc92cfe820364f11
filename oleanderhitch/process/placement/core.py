"""Select endpoints by cached prompt parts, load, latency and failures."""

from bisect import insort
from collections.abc import Sequence
from datetime import datetime, timedelta
from functools import singledispatch

from msgspec.structs import replace

from oleanderhitch.process.address import Address
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.cache import (
    CacheEstimate,
    add_reported_parts,
    count_uncached_tokens,
    record_prompt,
    resize,
)
from oleanderhitch.process.placement.cost import get_added_cost_ms, get_cost_ms
from oleanderhitch.process.placement.crashes import (
    ContentServed,
    find_listed_crashes,
    record_attempt_end,
)
from oleanderhitch.process.placement.health import (
    is_unresponsive,
    record_affinity_key,
    record_result,
)
from oleanderhitch.process.placement.latency import find_median_ms, get_slowdown
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    AttemptResult,
    CacheCapacitiesUpdated,
    CacheContentsReported,
    CrashesReported,
    EndHolder,
    EndpointGranted,
    EndpointLeaving,
    EndpointLoad,
    EndpointRateLimited,
    EndpointRefused,
    EndpointsListed,
    EventLatencyObserved,
    FirstChunkReceived,
    GetLoads,
    LimitsReported,
    LoadsFound,
    PeerLoadsReported,
    ReleaseEndpoint,
    SendPermitReply,
    SendPermitRequest,
    SpeedsReported,
)
from oleanderhitch.process.placement.observations import (
    apply_speeds,
    expire_speeds,
    find_measured_tokens,
    get_first_event_ms,
    list_observed_speeds,
    record_event_latency,
    record_first_event,
    update_speeds,
)
from oleanderhitch.process.placement.ordering import (
    count_end,
    count_grant,
    count_start,
    get_queue_id,
    iterate_in_order,
)
from oleanderhitch.process.placement.pace import (
    begin_ramp,
    draw_trial,
    find_allowed,
    record_attempt_pace,
    record_first_answer,
    try_pace,
)
from oleanderhitch.process.placement.rate_limits import (
    MILLISECOND,
    PERMIT_TIMEOUT,
    allows_send,
    apply_reply,
    count_local_send,
    get_price_ms,
    is_limited,
    is_local,
    list_observed_limits,
    make_permit_request,
    observe_limit,
)
from oleanderhitch.process.placement.records import (
    Endpoint,
    PendingPermitRequest,
    Permit,
    PlacementState,
    QueueId,
    count_running,
    find_endpoint,
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
from oleanderhitch.process.placement.speeds import is_slow
from oleanderhitch.process.placement.spreading import (
    choose_endpoint,
    count_unseen,
    observe_duration,
)
from oleanderhitch.request.ids import HolderId, PermitId
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId, ServiceName

# Cache capacity of an engine until the routing configuration states it.
DEFAULT_CACHE_CAPACITY_TOKENS = 400_000
# A starting entry host queries at most this many engines, those of its own data centre
# first. Without the limit, a large deployment would mean 6,900 queries.
N_CACHE_QUERIES_LIMIT = 32
# An entry of the list can be unreadable for some seconds. An endpoint that ends is
# listed again with a later start.
UNLISTED_MEMORY_DURATION = timedelta(seconds=60)
# Requests that may queue at a plain service, per slot. Queueing there is better than
# refusing the request, but only for a short queue.
PLAIN_QUEUE_PER_SLOT = 1.0
# Overload lasts for seconds; each refused request has its own line.
OVERLOAD_LOG_INTERVAL = timedelta(seconds=1)


class SendReply(Value, frozen=True):
    """Sends a message to a reply address."""

    reply_address: Address
    message: EndpointGranted | EndpointRefused | LoadsFound


class QueryCache(Value, frozen=True):
    """Queries an engine for the prompt parts that it has cached."""

    endpoint: ListedEndpoint


class LogEndpointLeaving(Value, frozen=True):
    """Logs that an endpoint has said that it will stop."""

    endpoint: EndpointId


class LogPermitLeft(Value, frozen=True):
    """Logs that a request has ended without returning a permit, which is returned."""

    permit: PermitId
    holder: HolderId


class AskLeader(Value, frozen=True):
    """Asks the leader for the permit to send to a limited endpoint."""

    request: SendPermitRequest


class LogOverload(Value, frozen=True):
    """Logs that requests of a service are refused early; at most once a second."""

    service: ServiceName
    n_refused: int
    n_waiting: int
    freed_per_s: str


class ReportQueueLength(Value, frozen=True):
    """Reports how many requests wait for a service at this entry host."""

    service: ServiceName
    n_waiting: int


class LogRateLimit(Value, frozen=True):
    """Logs that an endpoint has named, changed or dropped a rate limit."""

    endpoint: EndpointId
    requests_per_s: float | None


class ReportSpeedCounts(Value, frozen=True):
    """Reports how many endpoints are slow, and how many ramp up, to the metrics."""

    n_slow: int
    n_ramping: int


@singledispatch
def handle(message: object, state: PlacementState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(f"placement does not support message type {type(message).__name__}")


@handle.register
def _(message: EndpointsListed, state: PlacementState, now: datetime) -> list[object]:
    previous = state.endpoints
    crashes = find_listed_crashes(previous, message.endpoints, now)
    known = {**state.unlisted, **previous}
    state.endpoints = {}
    for listed in message.endpoints:
        record = known.pop(listed.endpoint, None)
        is_same = record is not None and record.listed.born_ms == listed.born_ms
        if record is None or not is_same:
            capacity = state.cache_capacity_tokens.get(
                listed.service, DEFAULT_CACHE_CAPACITY_TOKENS
            )
            # Endpoints that are added after the first list have just started, with an
            # empty cache.
            record = Endpoint(listed, CacheEstimate(capacity), not previous)
        record.listed = listed
        begin_ramp(record, bool(previous) and not is_same, state)
        record.unlisted_at = None
        state.endpoints[listed.endpoint] = record
    _drop_idle_queues(state)
    _keep_unlisted(known, state, now)
    update_speeds(state, now)
    return [*crashes, *_query_caches(state), *_grant_waiting(state, now)]


def _drop_idle_queues(state: PlacementState) -> None:
    """Drop the queues of services that no configuration may have any more."""
    services = {endpoint.listed.service for endpoint in state.endpoints.values()}
    for queue_id, queue in list(state.queues.items()):
        # Until the metrics show it as empty, it is kept.
        is_idle = not queue.waiting and not queue.n_running and not queue.n_reported
        if is_idle and queue_id.service not in services:
            del state.queues[queue_id]


def _keep_unlisted(
    endpoints: dict[EndpointId, Endpoint], state: PlacementState, now: datetime
) -> None:
    """Keep what is known of endpoints whose entry may come back.

    Without the time of its start, nothing tells an endpoint from its successor.
    """
    state.unlisted = {}
    for name, endpoint in endpoints.items():
        endpoint.unlisted_at = endpoint.unlisted_at or now
        is_recent = now - endpoint.unlisted_at < UNLISTED_MEMORY_DURATION
        if endpoint.listed.born_ms and is_recent:
            state.unlisted[name] = endpoint


@handle.register
def _(
    message: CacheCapacitiesUpdated, state: PlacementState, now: datetime
) -> list[object]:
    state.cache_capacity_tokens = message.capacity_tokens
    state.tokens_per_event = message.tokens_per_event
    for endpoint in state.endpoints.values():
        capacity = message.capacity_tokens.get(endpoint.listed.service)
        if capacity is not None:
            resize(endpoint.cache, capacity)
    return _query_caches(state)


@handle.register
def _(
    message: CacheContentsReported, state: PlacementState, now: datetime
) -> list[object]:
    endpoint = state.endpoints.get(message.endpoint)
    if endpoint is not None and endpoint.listed.born_ms == message.born_ms:
        add_reported_parts(endpoint.cache, message.parts)
    return []


@handle.register
def _(message: AcquireEndpoint, state: PlacementState, now: datetime) -> list[object]:
    return _place(message, state, now)


def _place(
    message: AcquireEndpoint, state: PlacementState, now: datetime
) -> list[object]:
    """Grant a request an endpoint, or ask for one, or let the request wait."""
    state.undecided.setdefault(message.holder, now)
    queue_id = get_queue_id(message, state)
    queue = state.queues[queue_id]
    is_sendable = message.fingerprint not in state.quarantined
    if is_sendable and not queue.waiting:
        free = _list_free(queue_id, state, now)
        effect = _find_grant(message, free, state, now)
        if effect is not None:
            return [effect]
    # A request that comes back from the leader without a permit keeps its age.
    insort(
        queue.waiting, message, key=lambda item: state.undecided.get(item.holder, now)
    )
    effects = _serve_queue(queue_id, state, now)
    return [*effects, *_refuse_early(queue_id, state, now)]


@handle.register
def _(message: EndHolder, state: PlacementState, now: datetime) -> list[object]:
    holder = message.holder
    if holder in state.undecided:
        del state.undecided[holder]
        for queue in state.queues.values():
            queue.waiting = [
                waiting for waiting in queue.waiting if waiting.holder != holder
            ]
            queue.drain.is_waiting &= bool(queue.waiting)
        state.permit_requests = {
            number: pending
            for number, pending in state.permit_requests.items()
            if pending.message.holder != holder
        }
    return [
        effect
        for permit in sorted(state.held_permits.get(holder, ()))
        for effect in (
            LogPermitLeft(permit, holder),
            *handle(ReleaseEndpoint(permit, AttemptResult.CANCELLED), state, now),
        )
    ]


@handle.register
def _(message: EndpointLeaving, state: PlacementState, now: datetime) -> list[object]:
    permit = state.permits.get(message.permit)
    endpoint = None if permit is None else find_endpoint(permit.endpoint, state)
    # An endpoint that was started again under its id has none of the earlier permits.
    if (
        endpoint is None
        or endpoint.has_announced_stop
        or message.permit not in endpoint.permits
    ):
        return []
    endpoint.has_announced_stop = True
    return [LogEndpointLeaving(endpoint.listed.endpoint)]


@handle.register
def _(
    message: EndpointRateLimited, state: PlacementState, now: datetime
) -> list[object]:
    permit = state.permits.get(message.permit)
    endpoint = None if permit is None else find_endpoint(permit.endpoint, state)
    if (
        endpoint is None
        or message.permit not in endpoint.permits
        or not observe_limit(endpoint, message.requests_per_s, now)
    ):
        return []
    return [LogRateLimit(endpoint.listed.endpoint, message.requests_per_s)]


@handle.register
def _(message: LimitsReported, state: PlacementState, now: datetime) -> list[object]:
    effects: list[object] = []
    for limit in message.limits:
        endpoint = find_endpoint(limit.endpoint, state)
        if endpoint is None or endpoint.listed.born_ms != limit.born_ms:
            continue
        observed_at = now - limit.age_ms * MILLISECOND
        if observe_limit(endpoint, limit.requests_per_s, observed_at):
            effects.append(LogRateLimit(limit.endpoint, limit.requests_per_s))
    return effects


@handle.register
def _(message: SendPermitReply, state: PlacementState, now: datetime) -> list[object]:
    pending = state.permit_requests.pop(message.number, None)
    apply_reply(message, state, now)
    if pending is None:
        return []
    endpoint = None
    if message.endpoint is not None:
        endpoint = state.endpoints.get(message.endpoint)
    is_sendable = pending.message.fingerprint not in state.quarantined
    if endpoint is not None and not endpoint.is_leaving and is_sendable:
        return [_grant(endpoint, pending.message, state, now)]
    return [*_place(pending.message, state, now), *_grant_waiting(state, now)]


@handle.register
def _(
    message: FirstChunkReceived, state: PlacementState, now: datetime
) -> list[object]:
    permit = state.permits.get(message.permit)
    if permit is None:
        return []
    endpoint = state.endpoints.get(permit.endpoint)
    # An endpoint that was started again under its id has none of the earlier permits.
    is_current = endpoint is not None and message.permit in endpoint.permits
    if is_current:
        record_first_event(permit, state, now)
    _finish_prefill(message.permit, permit, state)
    if endpoint is not None and is_current:
        record_first_answer(permit, endpoint, state, now)
        endpoint.last_activity_at = now
    return []


@handle.register
def _(message: ReleaseEndpoint, state: PlacementState, now: datetime) -> list[object]:
    permit = state.permits.get(message.permit)
    if permit is None:
        return []
    _finish_prefill(message.permit, permit, state)
    del state.permits[message.permit]
    _drop_held_permit(message.permit, permit.holder, state)
    queue = state.queues[permit.queue]
    count_end(queue, permit.account)
    if message.result is AttemptResult.COMPLETED:
        observe_duration(queue, now - permit.granted_at)
    endpoint = find_endpoint(permit.endpoint, state)
    effects: list[object] = []
    # An endpoint that was started again under its id has none of the earlier permits.
    if endpoint is not None and message.permit in endpoint.permits:
        endpoint.permits.discard(message.permit)
        record_result(message.result, endpoint, now)
        record_attempt_pace(permit, message.result, endpoint, state, now)
        effects.extend(record_attempt_end(permit, message, endpoint, now))
    is_served = message.result is AttemptResult.COMPLETED
    if is_served and permit.fingerprint in state.suspected:
        effects.append(ContentServed(permit.fingerprint))
    return [*effects, *_grant_waiting(state, now, permit.queue.service)]


@handle.register
def _(message: CrashesReported, state: PlacementState, now: datetime) -> list[object]:
    state.suspected = message.suspected
    state.quarantined = message.quarantined
    return _grant_waiting(state, now)


@handle.register
def _(message: Tick, state: PlacementState, now: datetime) -> list[object]:
    effects: list[object] = []
    for number, pending in list(state.permit_requests.items()):
        if now - pending.asked_at >= PERMIT_TIMEOUT:
            no_reply = SendPermitReply(number, is_leader=False)
            effects.extend(handle(no_reply, state, now))
    effects.extend(_grant_waiting(state, now))
    for queue_id in list(state.queues):
        effects.extend(_refuse_early(queue_id, state, now))
    return effects


@handle.register
def _(
    message: EventLatencyObserved, state: PlacementState, now: datetime
) -> list[object]:
    permit = state.permits.get(message.permit)
    endpoint = None if permit is None else find_endpoint(permit.endpoint, state)
    if endpoint is not None and message.permit in endpoint.permits:
        record_event_latency(endpoint, message.latency, state, now)
        endpoint.last_activity_at = now
    return []


@handle.register
def _(message: GetLoads, state: PlacementState, now: datetime) -> list[object]:
    loads = tuple(
        EndpointLoad(name, len(endpoint.permits), state.pending_prefill_tokens[name])
        for name, endpoint in state.endpoints.items()
        if endpoint.permits
    )
    found = LoadsFound(
        loads, list_observed_limits(state, now), list_observed_speeds(state)
    )
    return [SendReply(message.reply_address, found), *_report_queues(state)]


def _report_queues(state: PlacementState) -> list[object]:
    """Return how many requests wait for each service where that has changed."""
    effects: list[object] = []
    for queue_id, queue in state.queues.items():
        if queue.n_reported != len(queue.waiting):
            queue.n_reported = len(queue.waiting)
            effects.append(ReportQueueLength(queue_id.service, queue.n_reported))
    return effects


@handle.register
def _(message: SpeedsReported, state: PlacementState, now: datetime) -> list[object]:
    apply_speeds(message, state, now)
    endpoints = state.endpoints.values()
    n_slow = sum(is_slow(endpoint.speeds) for endpoint in endpoints)
    n_ramping = sum(find_allowed(endpoint) is not None for endpoint in endpoints)
    return [ReportSpeedCounts(n_slow, n_ramping)]


@handle.register
def _(message: PeerLoadsReported, state: PlacementState, now: datetime) -> list[object]:
    state.n_entry_hosts = message.n_entry_hosts
    state.peer_loads_at = now
    expire_speeds(state, now)
    loads = {load.endpoint: load for load in message.loads}
    for name, endpoint in state.endpoints.items():
        endpoint.peer_load = loads.get(name)
        endpoint.peer_load_at = now
        draw_trial(endpoint, state, now)
    return _grant_waiting(state, now)


def _query_caches(state: PlacementState) -> list[object]:
    """Return queries to engines that were running before this entry host started."""
    unqueried = [
        endpoint
        for endpoint in state.endpoints.values()
        if endpoint.needs_cache_query
        and endpoint.listed.service in state.cache_capacity_tokens
    ]
    unqueried.sort(key=lambda engine: engine.listed.data_centre != state.data_centre)
    for endpoint in unqueried:
        endpoint.needs_cache_query = False
    return [
        QueryCache(endpoint.listed) for endpoint in unqueried[:N_CACHE_QUERIES_LIMIT]
    ]


def _drop_held_permit(
    permit: PermitId, holder: HolderId, state: PlacementState
) -> None:
    held = state.held_permits[holder]
    held.discard(permit)
    if not held:
        del state.held_permits[holder]


def _finish_prefill(permit_id: PermitId, permit: Permit, state: PlacementState) -> None:
    state.pending_prefill_tokens[permit.endpoint] -= permit.n_pending_prefill_tokens
    state.permits[permit_id] = replace(permit, n_pending_prefill_tokens=0)


def _grant_waiting(
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
        for effect in _serve_queue(queue_id, state, now)
    ]


def _serve_queue(
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
    free = _list_free(queue_id, state, now)
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


def _refuse_early(
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
        effect = _find_grant(message, free, state, now)
        if effect is None:
            continue
        effects.append(effect)
        count_grant(queue, message)
        free[:] = [item for item in free if _is_free(item, queue_id, state, now)]
        if not free:
            break
    return effects


def _refuse(
    message: AcquireEndpoint, refused: EndpointRefused, state: PlacementState
) -> SendReply:
    state.undecided.pop(message.holder, None)
    return SendReply(message.reply_address, refused)


def _list_free(
    queue_id: QueueId, state: PlacementState, now: datetime
) -> list[Endpoint]:
    """Return the endpoints of a service that may get a request now."""
    return [
        endpoint
        for endpoint in state.endpoints.values()
        if endpoint.listed.service == queue_id.service
        and _is_free(endpoint, queue_id, state, now)
    ]


def _is_free(
    endpoint: Endpoint, queue_id: QueueId, state: PlacementState, now: datetime
) -> bool:
    """Return whether an endpoint of the service may get a request now."""
    return (
        not endpoint.is_leaving
        and _has_capacity(endpoint, queue_id.is_engine, now)
        and (endpoint.avoid_until is None or endpoint.avoid_until <= now)
        and allows_send(endpoint, state, now)
    )


def _find_grant(
    message: AcquireEndpoint,
    free: list[Endpoint],
    state: PlacementState,
    now: datetime,
) -> SendReply | AskLeader | None:
    """Return the grant of an endpoint, or the question for one that is limited."""
    available = [
        endpoint for endpoint in free if endpoint.listed.endpoint not in message.tried
    ]
    if not available:
        return None
    # An unresponsive endpoint may have failed; it is used only if there is no other.
    available = [
        candidate for candidate in available if not is_unresponsive(candidate, now)
    ] or available
    median_ms = find_median_ms([endpoint.latency for endpoint in available], now)

    def get_cost(endpoint: Endpoint) -> float:
        slowdown = get_slowdown(endpoint.latency, median_ms, now)
        cost_ms = get_cost_ms(endpoint, message, state, slowdown, now)
        return cost_ms + get_price_ms(endpoint, now)

    costs_ms = [get_cost(endpoint) for endpoint in available]
    chosen = _choose(available, costs_ms, message, state, now)
    if not is_limited(chosen):
        return _grant(chosen, message, state, now)
    if is_local(state, now):
        count_local_send(chosen, state, now)
        return _grant(chosen, message, state, now)
    request = make_permit_request(available, costs_ms, chosen, state, now)
    state.permit_requests[request.number] = PendingPermitRequest(message, now)
    return AskLeader(request)


def _choose(
    endpoints: Sequence[Endpoint],
    costs_ms: Sequence[float],
    message: AcquireEndpoint,
    state: PlacementState,
    now: datetime,
) -> Endpoint:
    """Return one of the cheapest endpoints, if possible one whose ramp allows it."""
    is_engine = message.workload is not None
    queue = state.queues[get_queue_id(message, state)]
    cheapest = endpoints[costs_ms.index(min(costs_ms))]
    added_ms = get_added_cost_ms(cheapest, message.workload, state)
    n_unseen = count_unseen(endpoints, queue, now)
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


def _has_capacity(endpoint: Endpoint, is_engine: bool, now: datetime) -> bool:
    limit = endpoint.listed.n_slots
    if not is_engine:
        limit += int(limit * PLAIN_QUEUE_PER_SLOT)
    return count_running(endpoint, now) < limit


def _grant(
    endpoint: Endpoint, message: AcquireEndpoint, state: PlacementState, now: datetime
) -> SendReply:
    endpoint.has_trial = False
    if not endpoint.permits:
        endpoint.last_activity_at = now
    if message.affinity_key is not None and message.workload is None:
        record_affinity_key(message.affinity_key, endpoint)
    state.last_permit_number += 1
    permit = PermitId(f"{state.permit_prefix}-{state.last_permit_number}")
    n_uncached = 0
    n_measured: int | None = None
    expected_ms: float | None = None
    if message.workload is not None:
        n_uncached = count_uncached_tokens(endpoint.cache, message.workload)
        n_measured = find_measured_tokens(endpoint, n_uncached, state, now)
        expected_ms = get_first_event_ms(endpoint, n_uncached, state, now)
        record_prompt(endpoint.cache, message.workload)
    endpoint_id = endpoint.listed.endpoint
    queue_id = get_queue_id(message, state)
    state.pending_prefill_tokens[endpoint_id] += n_uncached
    state.permits[permit] = Permit(
        endpoint_id,
        n_uncached,
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
