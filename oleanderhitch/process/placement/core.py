"""Select endpoints by cached prompt parts, load, latency and failures."""

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
from oleanderhitch.process.placement.cost import get_cost_ms
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
    InferenceWorkload,
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
    find_measured_tokens,
    get_first_event_ms,
    list_observed_speeds,
    record_event_latency,
    record_first_event,
    update_speeds,
)
from oleanderhitch.process.placement.pace import (
    begin_ramp,
    draw_trial,
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
    count_running,
    find_endpoint,
)
from oleanderhitch.process.placement.spreading import choose_alike
from oleanderhitch.request.ids import HolderId, PermitId
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId

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


class LogRateLimit(Value, frozen=True):
    """Logs that an endpoint has named, changed or dropped a rate limit."""

    endpoint: EndpointId
    requests_per_s: float | None


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
    _keep_unlisted(known, state, now)
    update_speeds(state, now)
    return [*crashes, *_query_caches(state), *_grant_waiting(state, now)]


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
    state.undecided.add(message.holder)
    effect = _find_decision(message, state, now)
    if effect is not None:
        return [effect]
    if now >= message.deadline:
        return [_refuse(message, "no endpoint in time", state)]
    state.waiting.append(message)
    state.waiting.sort(key=lambda waiting: (waiting.rank, waiting.deadline))
    return []


@handle.register
def _(message: EndHolder, state: PlacementState, now: datetime) -> list[object]:
    holder = message.holder
    if holder in state.undecided:
        state.undecided.discard(holder)
        state.waiting = [
            waiting for waiting in state.waiting if waiting.holder != holder
        ]
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
    if permit is not None:
        record_first_event(permit, state, now)
        _finish_prefill(message.permit, permit, state)
        endpoint = state.endpoints.get(permit.endpoint)
        if endpoint is not None:
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
    return [*effects, *_grant_waiting(state, now)]


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
    return [*effects, *_grant_waiting(state, now)]


@handle.register
def _(
    message: EventLatencyObserved, state: PlacementState, now: datetime
) -> list[object]:
    permit = state.permits.get(message.permit)
    endpoint = None if permit is None else find_endpoint(permit.endpoint, state)
    if endpoint is not None:
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
    return [SendReply(message.reply_address, found)]


@handle.register
def _(message: SpeedsReported, state: PlacementState, now: datetime) -> list[object]:
    apply_speeds(message, state, now)
    return []


@handle.register
def _(message: PeerLoadsReported, state: PlacementState, now: datetime) -> list[object]:
    state.n_entry_hosts = message.n_entry_hosts
    state.peer_loads_at = now
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


def _grant_waiting(state: PlacementState, now: datetime) -> list[object]:
    effects: list[object] = []
    waiting, state.waiting = state.waiting, []
    for message in waiting:
        effect = _find_decision(message, state, now)
        if effect is not None:
            effects.append(effect)
        elif now >= message.deadline:
            effects.append(_refuse(message, "no endpoint in time", state))
        else:
            state.waiting.append(message)
    return effects


def _refuse(
    message: AcquireEndpoint,
    reason: str,
    state: PlacementState,
    is_quarantined: bool = False,
) -> SendReply:
    state.undecided.discard(message.holder)
    refused = EndpointRefused(message.holder, reason, is_quarantined)
    return SendReply(message.reply_address, refused)


def _find_decision(
    message: AcquireEndpoint, state: PlacementState, now: datetime
) -> SendReply | AskLeader | None:
    """Return what can be decided on a request, None if it has to wait."""
    if message.fingerprint in state.quarantined:
        reason = "its content crashes the endpoints that run it"
        return _refuse(message, reason, state, is_quarantined=True)
    return _find_grant(message, state, now)


def _find_grant(
    message: AcquireEndpoint, state: PlacementState, now: datetime
) -> SendReply | AskLeader | None:
    """Return the grant of an endpoint, or the question for one that is limited."""
    candidates = [
        endpoint
        for endpoint in state.endpoints.values()
        if endpoint.listed.service == message.service
        and not endpoint.is_leaving
        and endpoint.listed.endpoint not in message.tried
        and _has_capacity(endpoint, message.workload, now)
    ]
    available = [
        endpoint
        for endpoint in candidates
        if (endpoint.avoid_until is None or endpoint.avoid_until <= now)
        and allows_send(endpoint, state, now)
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
    first: Endpoint | None = None
    while endpoints:
        alike = choose_alike(endpoints, costs_ms, state.data_centre, is_engine)
        chosen = state.random_source.choice(alike)
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


def _has_capacity(
    endpoint: Endpoint, workload: InferenceWorkload | None, now: datetime
) -> bool:
    limit = endpoint.listed.n_slots
    if workload is None:
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
    state.pending_prefill_tokens[endpoint_id] += n_uncached
    state.permits[permit] = Permit(
        endpoint_id,
        n_uncached,
        message.fingerprint,
        message.workload is not None,
        now,
        message.holder,
        n_measured,
        expected_ms,
    )
    endpoint.permits.add(permit)
    state.undecided.discard(message.holder)
    state.held_permits.setdefault(message.holder, set()).add(permit)
    granted = EndpointGranted(
        message.holder, permit, endpoint.listed, is_limited(endpoint)
    )
    return SendReply(message.reply_address, granted)
