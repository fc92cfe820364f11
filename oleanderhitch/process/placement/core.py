"""Choose endpoints by what they hold in memory and what they work on."""

from dataclasses import dataclass
from datetime import datetime
from functools import singledispatch

from oleanderhitch.process.address import Address
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.cache import (
    CacheEstimate,
    add_held_parts,
    count_missing_tokens,
    note_prompt,
    resize,
)
from oleanderhitch.process.placement.cost import (
    BATCH_TOKEN_MS,
    TOKEN_MS,
    get_cost_ms,
)
from oleanderhitch.process.placement.health import (
    is_silent,
    note_object,
    note_result,
)
from oleanderhitch.process.placement.latency import (
    get_slowness,
    get_typical_ms,
    note_pause,
)
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    CacheCapacitiesUpdated,
    CacheContentsReported,
    EndpointGranted,
    EndpointLoad,
    EndpointRefused,
    EndpointsListed,
    EventLatencyObserved,
    FirstChunkReceived,
    GetLoads,
    InferenceWorkload,
    LoadsFound,
    PeerLoadsReported,
    ReleaseEndpoint,
    WithdrawRequest,
)
from oleanderhitch.process.placement.records import (
    Endpoint,
    Permit,
    PlacementState,
    count_running,
)
from oleanderhitch.request.ids import PermitId

# Memory of an engine until its service is declared.
CACHE_TOKENS_DEFAULT = 400_000
# A starting entry asks this many engines, those of its own data centre first; at
# the size of letter 1 it would ask 6,900 otherwise.
N_CACHES_ASKED = 32
# Plain services queue a few requests beyond their slots; waiting there beats a
# refusal, but not by much.
QUEUE_PER_SLOT = 1.0


@dataclass(frozen=True, slots=True)
class SendReply:
    """Send a message to the request that asked."""

    reply: Address
    message: EndpointGranted | EndpointRefused | LoadsFound


@dataclass(frozen=True, slots=True)
class AskForCache:
    """Ask which parts an engine holds."""

    endpoint: ListedEndpoint


@singledispatch
def handle(message: object, state: PlacementState, now: datetime) -> list[object]:
    """Return the effects of a message."""
    raise TypeError(f"placement has no message {type(message).__name__}")


@handle.register
def _(message: EndpointsListed, state: PlacementState, now: datetime) -> list[object]:
    known = state.endpoints
    state.endpoints = {}
    for listed in message.endpoints:
        found = known.get(listed.endpoint)
        is_same = found is not None and found.listed.born_ms == listed.born_ms
        if found is None or not is_same:
            capacity = state.memory_tokens.get(listed.service, CACHE_TOKENS_DEFAULT)
            # Engines that start while this entry runs hold nothing yet.
            found = Endpoint(listed, CacheEstimate(capacity), not known)
        found.listed = listed
        state.endpoints[listed.endpoint] = found
    return [*_ask_for_caches(state), *_serve_waiting(state, now)]


@handle.register
def _(
    message: CacheCapacitiesUpdated, state: PlacementState, now: datetime
) -> list[object]:
    state.memory_tokens = message.capacity_tokens
    for endpoint in state.endpoints.values():
        capacity = message.capacity_tokens.get(endpoint.listed.service)
        if capacity is not None:
            resize(endpoint.cache, capacity)
    return _ask_for_caches(state)


@handle.register
def _(
    message: CacheContentsReported, state: PlacementState, now: datetime
) -> list[object]:
    endpoint = state.endpoints.get(message.endpoint)
    if endpoint is not None and endpoint.listed.born_ms == message.born_ms:
        add_held_parts(endpoint.cache, message.parts)
    return []


@handle.register
def _(message: AcquireEndpoint, state: PlacementState, now: datetime) -> list[object]:
    grant = _find_grant(message, state, now)
    if grant is not None:
        return [grant]
    if now >= message.due_at:
        return [_refuse(message, "no endpoint in time")]
    state.waiting.append(message)
    state.waiting.sort(key=lambda waiting: (waiting.rank, waiting.due_at))
    return []


@handle.register
def _(message: WithdrawRequest, state: PlacementState, now: datetime) -> list[object]:
    state.waiting = [
        waiting for waiting in state.waiting if waiting.request != message.request
    ]
    return []


@handle.register
def _(
    message: FirstChunkReceived, state: PlacementState, now: datetime
) -> list[object]:
    permit = state.permits.get(message.permit)
    if permit is not None:
        _end_reading(message.permit, permit, state)
        endpoint = state.endpoints.get(permit.endpoint)
        if endpoint is not None:
            endpoint.heard_at = now
    return []


@handle.register
def _(message: ReleaseEndpoint, state: PlacementState, now: datetime) -> list[object]:
    permit = state.permits.get(message.permit)
    if permit is None:
        return []
    _end_reading(message.permit, permit, state)
    del state.permits[message.permit]
    endpoint = state.endpoints.get(permit.endpoint)
    if endpoint is not None:
        endpoint.permits.discard(message.permit)
        note_result(message.result, endpoint, now)
    return _serve_waiting(state, now)


@handle.register
def _(message: Tick, state: PlacementState, now: datetime) -> list[object]:
    return _serve_waiting(state, now)


@handle.register
def _(
    message: EventLatencyObserved, state: PlacementState, now: datetime
) -> list[object]:
    permit = state.permits.get(message.permit)
    endpoint = None if permit is None else state.endpoints.get(permit.endpoint)
    if endpoint is not None:
        # A full batch is slow by itself; only what exceeds that is a slowdown.
        batch_ratio = 1 + BATCH_TOKEN_MS / TOKEN_MS * count_running(endpoint, now)
        note_pause(endpoint.pace, message.latency / batch_ratio, now)
        endpoint.heard_at = now
    return []


@handle.register
def _(message: GetLoads, state: PlacementState, now: datetime) -> list[object]:
    loads = tuple(
        EndpointLoad(name, len(endpoint.permits), state.reading_tokens[name])
        for name, endpoint in state.endpoints.items()
        if endpoint.permits
    )
    return [SendReply(message.reply, LoadsFound(loads))]


@handle.register
def _(message: PeerLoadsReported, state: PlacementState, now: datetime) -> list[object]:
    loads = {load.endpoint: load for load in message.loads}
    for name, endpoint in state.endpoints.items():
        endpoint.others = loads.get(name)
        endpoint.others_at = now
    return _serve_waiting(state, now)


def _ask_for_caches(state: PlacementState) -> list[object]:
    """Ask the engines that had worked before this entry knew them."""
    unknown = [
        endpoint
        for endpoint in state.endpoints.values()
        if endpoint.is_cache_unknown and endpoint.listed.service in state.memory_tokens
    ]
    unknown.sort(key=lambda one: one.listed.data_centre != state.data_centre)
    for endpoint in unknown:
        endpoint.is_cache_unknown = False
    return [AskForCache(endpoint.listed) for endpoint in unknown[:N_CACHES_ASKED]]


def _end_reading(name: PermitId, permit: Permit, state: PlacementState) -> None:
    state.reading_tokens[permit.endpoint] -= permit.n_reading_tokens
    state.permits[name] = Permit(permit.endpoint, 0)


def _serve_waiting(state: PlacementState, now: datetime) -> list[object]:
    effects: list[object] = []
    waiting, state.waiting = state.waiting, []
    for message in waiting:
        grant = _find_grant(message, state, now)
        if grant is not None:
            effects.append(grant)
        elif now >= message.due_at:
            effects.append(_refuse(message, "no endpoint in time"))
        else:
            state.waiting.append(message)
    return effects


def _refuse(message: AcquireEndpoint, reason: str) -> SendReply:
    return SendReply(message.reply, EndpointRefused(message.request, reason))


def _find_grant(
    message: AcquireEndpoint, state: PlacementState, now: datetime
) -> SendReply | None:
    usable = [
        endpoint
        for endpoint in state.endpoints.values()
        if endpoint.listed.service == message.service
        and not endpoint.listed.is_leaving
        and endpoint.listed.endpoint not in message.tried
        and _has_room(endpoint, message.workload, now)
    ]
    calm = [
        endpoint
        for endpoint in usable
        if endpoint.avoid_until is None or endpoint.avoid_until <= now
    ]
    if not calm:
        return None
    # A silent endpoint may be gone, but one that is only slow beats none.
    calm = [one for one in calm if not is_silent(one, now)] or calm
    typical_ms = get_typical_ms([endpoint.pace for endpoint in calm], now)

    def get_cost(endpoint: Endpoint) -> float:
        slowness = get_slowness(endpoint.pace, typical_ms, now)
        return get_cost_ms(endpoint, message, state, slowness, now)

    chosen = min(calm, key=get_cost)
    if not chosen.permits:
        chosen.heard_at = now
    if message.affinity_key is not None and message.workload is None:
        note_object(message.affinity_key, chosen)
    return SendReply(message.reply, _grant(chosen, message, state))


def _has_room(
    endpoint: Endpoint, shape: InferenceWorkload | None, now: datetime
) -> bool:
    limit = endpoint.listed.n_slots
    if shape is None:
        limit += int(limit * QUEUE_PER_SLOT)
    return count_running(endpoint, now) < limit


def _grant(
    endpoint: Endpoint, message: AcquireEndpoint, state: PlacementState
) -> EndpointGranted:
    state.n_permits += 1
    permit = PermitId(f"{state.prefix}-{state.n_permits}")
    n_missing = 0
    if message.workload is not None:
        n_missing = count_missing_tokens(endpoint.cache, message.workload)
        note_prompt(endpoint.cache, message.workload)
    name = endpoint.listed.endpoint
    state.reading_tokens[name] += n_missing
    state.permits[permit] = Permit(name, n_missing)
    endpoint.permits.add(permit)
    return EndpointGranted(message.request, permit, endpoint.listed)
