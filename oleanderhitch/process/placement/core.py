"""Select endpoints by cached prompt parts, load, latency and failures."""

from datetime import datetime, timedelta
from functools import singledispatch

from msgspec.structs import replace

from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.cache import (
    CacheEstimate,
    add_reported_parts,
    resize,
)
from oleanderhitch.process.placement.crashes import (
    ContentServed,
    find_listed_crashes,
    record_attempt_end,
)
from oleanderhitch.process.placement.effects import (
    LogEndpointLeaving,
    LogPermitLeft,
    LogRateLimit,
    QueryCache,
    ReportPrefixes,
    ReportQueueLength,
    ReportSpeedCounts,
    SendReply,
)
from oleanderhitch.process.placement.health import (
    record_answer,
    record_result,
    record_trial_end,
)
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    AttemptResult,
    CacheCapacitiesUpdated,
    CacheContentsReported,
    CrashesReported,
    EndHolder,
    EndpointLeaving,
    EndpointLoad,
    EndpointRateLimited,
    EndpointsListed,
    EventLatencyObserved,
    ExplainPlacement,
    FirstChunkReceived,
    GetLoads,
    LimitsReported,
    LoadsFound,
    PeerLoadsReported,
    ReleaseEndpoint,
    SendPermitReply,
    SpeedsReported,
    StopAnnounced,
)
from oleanderhitch.process.placement.observations import (
    apply_speeds,
    expire_speeds,
    list_observed_speeds,
    record_event_latency,
    record_first_event,
    update_speeds,
)
from oleanderhitch.process.placement.ordering import count_end
from oleanderhitch.process.placement.pace import (
    begin_ramp,
    draw_trial,
    find_allowed,
    record_attempt_pace,
    record_first_answer,
)
from oleanderhitch.process.placement.queues import (
    grant_endpoint,
    grant_waiting,
    list_prefix_homes,
    place,
    refuse_early,
)
from oleanderhitch.process.placement.rate_limits import (
    MILLISECOND,
    PERMIT_TIMEOUT,
    apply_reply,
    list_observed_limits,
    observe_limit,
)
from oleanderhitch.process.placement.records import (
    Endpoint,
    Permit,
    PlacementState,
    find_endpoint,
)
from oleanderhitch.process.placement.speeds import is_slow
from oleanderhitch.process.placement.spreading import (
    observe_duration,
)
from oleanderhitch.request.ids import HolderId, PermitId
from oleanderhitch.version.ids import EndpointId

# Cache capacity of an engine until the routing configuration states it.
DEFAULT_CACHE_CAPACITY_TOKENS = 400_000
# A starting entry host queries at most this many engines, those of its own data centre
# first. Without the limit, a large deployment would mean 6,900 queries.
N_CACHE_QUERIES_LIMIT = 32
# An entry of the list can be unreadable for some seconds. An endpoint that ends is
# listed again with a later start.
UNLISTED_MEMORY_DURATION = timedelta(seconds=60)


@singledispatch
def handle(message: object, state: PlacementState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(f"placement does not support message type {type(message).__name__}")


@handle.register
def _(message: EndpointsListed, state: PlacementState, now: datetime) -> list[object]:
    previous = state.endpoints
    crashes = find_listed_crashes(previous, message.endpoints, now)
    known = {**state.unlisted, **previous}
    state.endpoints, state.listed_at = {}, now
    state.prefix_orders.clear()
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
    return [*crashes, *_query_caches(state), *grant_waiting(state, now)]


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
    return place(message, state, now)


@handle.register
def _(message: ExplainPlacement, state: PlacementState, now: datetime) -> list[object]:
    # A start does not pay for it.
    from oleanderhitch.process.placement.explaining import explain

    return [SendReply(message.reply_address, explain(message.acquire, state, now))]


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
def _(message: StopAnnounced, state: PlacementState, now: datetime) -> list[object]:
    endpoint = find_endpoint(message.endpoint, state)
    if (
        endpoint is None
        or endpoint.has_announced_stop
        or endpoint.listed.born_ms != message.born_ms
    ):
        return []
    endpoint.has_announced_stop = True
    return [LogEndpointLeaving(message.endpoint)]


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
        homes = list_prefix_homes(pending.message, state, now)
        return [grant_endpoint(endpoint, pending.message, homes, state, now)]
    return [*place(pending.message, state, now), *grant_waiting(state, now)]


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
        if record_answer(permit.granted_at, endpoint):
            return grant_waiting(state, now, permit.queue.service)
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
        record_trial_end(message.result, permit.granted_at, endpoint, now)
        record_attempt_pace(permit, message.result, endpoint, state, now)
        effects.extend(record_attempt_end(permit, message, endpoint, now))
    is_served = message.result is AttemptResult.COMPLETED
    if is_served and permit.fingerprint in state.suspected:
        effects.append(ContentServed(permit.fingerprint))
    return [*effects, *grant_waiting(state, now, permit.queue.service)]


@handle.register
def _(message: CrashesReported, state: PlacementState, now: datetime) -> list[object]:
    state.suspected = message.suspected
    state.quarantined = message.quarantined
    return grant_waiting(state, now)


@handle.register
def _(message: Tick, state: PlacementState, now: datetime) -> list[object]:
    effects: list[object] = []
    for number, pending in list(state.permit_requests.items()):
        if now - pending.asked_at >= PERMIT_TIMEOUT:
            no_reply = SendPermitReply(number, is_leader=False)
            effects.extend(handle(no_reply, state, now))
    effects.extend(grant_waiting(state, now))
    for queue_id in list(state.queues):
        effects.extend(refuse_early(queue_id, state, now))
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
    reply = SendReply(message.reply_address, found)
    effects: list[object] = [reply, *_report_queues(state)]
    if state.prefix_counts:
        effects.append(ReportPrefixes(tuple(state.prefix_counts.items())))
        state.prefix_counts.clear()
    return effects


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
    return grant_waiting(state, now)


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
