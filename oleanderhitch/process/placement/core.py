"""Choose endpoints by what they hold in memory and what they work on."""

from collections import OrderedDict, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
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
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    AttemptResult,
    CacheFound,
    EndpointGranted,
    EndpointLoad,
    EndpointRefused,
    EndpointsListed,
    EnginesDeclared,
    FirstPieceSeen,
    GetLoads,
    LoadsFound,
    OtherLoads,
    PaceObserved,
    PromptShape,
    ReleaseEndpoint,
    WithdrawRequest,
)
from oleanderhitch.process.placement.pace import (
    Pace,
    get_slowness,
    get_typical_ms,
    note_pause,
)
from oleanderhitch.process.placement.reliability import (
    Reliability,
    get_failure_share,
    note_outcome,
)
from oleanderhitch.request.ids import PermitId
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName

# Speeds of the engines of both sites, from their sheets: prompt tokens that are
# read in a millisecond, the time of an output token on an idle engine, and what
# each further request of the batch adds to it.
PROMPT_TOKENS_PER_MS = 145.0
TOKEN_MS = 1.0
BATCH_TOKEN_MS = 0.04
# A prompt delays its own request and, as long as the engine is busy, the next one.
READ_WEIGHT = 2.0
# Running requests are half done on average, so that a new one meets half of the
# output that they have yet to write.
OVERLAP_SHARE = 0.5
# Time of a call of a plain service, which each call ahead of it adds.
CALL_MS = 20.0
# Time that a plain service saves on an object that it has handled lately.
WARM_GAIN_MS = 10.0
# Objects that an endpoint is taken to remember.
N_OBJECTS = 500
# Sending a prompt to another data centre costs time and traffic.
REMOTE_COST_MS = 2.0
# An endpoint that could not be reached or refused work is avoided for this
# long; the list names a crashed one for some seconds more.
AVOID_AFTER_FAILURE = timedelta(seconds=1)
AVOID_AFTER_REFUSAL = timedelta(milliseconds=150)
# An endpoint that leaves a call without an answer is avoided while a neighbour may
# slow it down, which lasts about as long.
AVOID_AFTER_SILENCE = timedelta(milliseconds=300)
# Longest time that a busy endpoint says nothing: the largest prompts take 0.2 s to
# read and neighbours slow an engine down two to three times.
SILENCE_LIMIT = timedelta(milliseconds=600)
# Results that show that an endpoint is there.
HEARD = (AttemptResult.COMPLETED, AttemptResult.REFUSED, AttemptResult.MISDIRECTED)
# Whether a result speaks against the endpoint; others say nothing of it.
HAS_FAILED = {
    AttemptResult.COMPLETED: False,
    AttemptResult.FAILED: True,
    AttemptResult.SILENT: True,
}
# Work that may not run twice is lost with a failed attempt, and often its program;
# other work costs the time of the attempt.
LOSS_COST_MS = 2000.0
REPEAT_COST_MS = 300.0
# Memory of an engine until its service is declared.
CACHE_TOKENS_DEFAULT = 400_000
# Loads of other entries change within half a second; older ones mislead.
OTHERS_AGE_LIMIT = timedelta(seconds=1)
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


@dataclass(slots=True)
class Endpoint:
    """Hold what placement knows of an endpoint."""

    listed: ListedEndpoint
    cache: CacheEstimate
    is_cache_unknown: bool
    pace: Pace = field(default_factory=Pace)
    reliability: Reliability = field(default_factory=Reliability)
    permits: set[PermitId] = field(default_factory=set)
    avoid_until: datetime | None = None
    # Objects whose calls were sent there, the last one at the end.
    objects: OrderedDict[str, None] = field(default_factory=OrderedDict)
    # When something was last heard of it, or when it began to work.
    heard_at: datetime | None = None
    others: EndpointLoad | None = None
    others_at: datetime | None = None


@dataclass(frozen=True, slots=True)
class Permit:
    """Hold the work that a permit stands for."""

    endpoint: EndpointId
    n_reading_tokens: int


@dataclass(slots=True)
class PlacementState:
    """Hold the endpoints and the work on them; the placement task owns it."""

    data_centre: DataCentreName
    prefix: str
    endpoints: dict[EndpointId, Endpoint] = field(default_factory=dict)
    memory_tokens: Mapping[ServiceName, int] = field(default_factory=dict)
    permits: dict[PermitId, Permit] = field(default_factory=dict)
    waiting: list[AcquireEndpoint] = field(default_factory=list)
    reading_tokens: defaultdict[EndpointId, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    n_permits: int = 0


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
def _(message: EnginesDeclared, state: PlacementState, now: datetime) -> list[object]:
    state.memory_tokens = message.memory_tokens
    for endpoint in state.endpoints.values():
        capacity = message.memory_tokens.get(endpoint.listed.service)
        if capacity is not None:
            resize(endpoint.cache, capacity)
    return _ask_for_caches(state)


@handle.register
def _(message: CacheFound, state: PlacementState, now: datetime) -> list[object]:
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
def _(message: FirstPieceSeen, state: PlacementState, now: datetime) -> list[object]:
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
        _note_result(message.result, endpoint, now)
    return _serve_waiting(state, now)


@handle.register
def _(message: Tick, state: PlacementState, now: datetime) -> list[object]:
    return _serve_waiting(state, now)


@handle.register
def _(message: PaceObserved, state: PlacementState, now: datetime) -> list[object]:
    permit = state.permits.get(message.permit)
    endpoint = None if permit is None else state.endpoints.get(permit.endpoint)
    if endpoint is not None:
        # A full batch is slow by itself; only what exceeds that is a slowdown.
        batch_ratio = 1 + BATCH_TOKEN_MS / TOKEN_MS * _count_running(endpoint, now)
        note_pause(endpoint.pace, message.pause / batch_ratio, now)
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
def _(message: OtherLoads, state: PlacementState, now: datetime) -> list[object]:
    loads = {load.endpoint: load for load in message.loads}
    for name, endpoint in state.endpoints.items():
        endpoint.others = loads.get(name)
        endpoint.others_at = now
    return _serve_waiting(state, now)


def _ask_for_caches(state: PlacementState) -> list[object]:
    """Ask the engines that had worked before this entry knew them."""
    effects: list[object] = []
    for endpoint in state.endpoints.values():
        is_engine = endpoint.listed.service in state.memory_tokens
        if endpoint.is_cache_unknown and is_engine:
            endpoint.is_cache_unknown = False
            effects.append(AskForCache(endpoint.listed))
    return effects


def _find_others(endpoint: Endpoint, now: datetime) -> EndpointLoad | None:
    """Return what other entries cause, unless that was told too long ago."""
    told_at = endpoint.others_at
    if told_at is None or now - told_at > OTHERS_AGE_LIMIT:
        return None
    return endpoint.others


def _count_running(endpoint: Endpoint, now: datetime) -> int:
    """Return the requests on an endpoint, as far as this entry knows."""
    others = _find_others(endpoint, now)
    return len(endpoint.permits) + (0 if others is None else others.n_running)


def _end_reading(name: PermitId, permit: Permit, state: PlacementState) -> None:
    state.reading_tokens[permit.endpoint] -= permit.n_reading_tokens
    state.permits[name] = Permit(permit.endpoint, 0)


def _note_result(result: AttemptResult, endpoint: Endpoint, now: datetime) -> None:
    if result in HEARD:
        endpoint.heard_at = now
    if result in HAS_FAILED:
        note_outcome(endpoint.reliability, HAS_FAILED[result], now)
    if result is AttemptResult.SILENT:
        endpoint.avoid_until = now + AVOID_AFTER_SILENCE
    elif result is AttemptResult.REFUSED:
        endpoint.avoid_until = now + AVOID_AFTER_REFUSAL
    elif result in (AttemptResult.NOT_CONNECTED, AttemptResult.MISDIRECTED):
        endpoint.avoid_until = now + AVOID_AFTER_FAILURE
    elif result is AttemptResult.COMPLETED:
        endpoint.avoid_until = None


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
        and _has_room(endpoint, message.shape, now)
    ]
    calm = [
        endpoint
        for endpoint in usable
        if endpoint.avoid_until is None or endpoint.avoid_until <= now
    ]
    if not calm:
        return None
    # A silent endpoint may be gone, but one that is only slow beats none.
    calm = [one for one in calm if not _is_silent(one, now)] or calm
    typical_ms = get_typical_ms([endpoint.pace for endpoint in calm], now)

    def get_cost_ms(endpoint: Endpoint) -> float:
        slowness = get_slowness(endpoint.pace, typical_ms, now)
        return _get_cost_ms(endpoint, message, state, slowness, now)

    chosen = min(calm, key=get_cost_ms)
    if not chosen.permits:
        chosen.heard_at = now
    if message.affinity is not None and message.shape is None:
        _note_object(message.affinity, chosen)
    return SendReply(message.reply, _grant(chosen, message, state))


def _note_object(name: str, endpoint: Endpoint) -> None:
    endpoint.objects[name] = None
    endpoint.objects.move_to_end(name)
    if len(endpoint.objects) > N_OBJECTS:
        endpoint.objects.popitem(last=False)


def _is_silent(endpoint: Endpoint, now: datetime) -> bool:
    """Tell whether an endpoint with work has said nothing for long."""
    if endpoint.heard_at is None or not endpoint.permits:
        return False
    return now - endpoint.heard_at > SILENCE_LIMIT


def _has_room(endpoint: Endpoint, shape: PromptShape | None, now: datetime) -> bool:
    limit = endpoint.listed.n_slots
    if shape is None:
        limit += int(limit * QUEUE_PER_SLOT)
    return _count_running(endpoint, now) < limit


def _get_cost_ms(
    endpoint: Endpoint,
    message: AcquireEndpoint,
    state: PlacementState,
    slowness: float,
    now: datetime,
) -> float:
    """Return the time that the request takes there and adds to those running."""
    n_running = _count_running(endpoint, now)
    if message.shape is None:
        cost = n_running * CALL_MS
        if message.affinity in endpoint.objects:
            cost -= WARM_GAIN_MS
    else:
        others = _find_others(endpoint, now)
        n_reading = state.reading_tokens[endpoint.listed.endpoint]
        n_reading += 0 if others is None else others.n_reading_tokens
        cost = _get_engine_cost_ms(endpoint, message.shape, n_running, n_reading)
    cost *= slowness
    failure_cost_ms = REPEAT_COST_MS if message.may_repeat else LOSS_COST_MS
    cost += failure_cost_ms * get_failure_share(endpoint.reliability, now)
    if endpoint.listed.data_centre != state.data_centre:
        cost += REMOTE_COST_MS
    return cost


def _get_engine_cost_ms(
    endpoint: Endpoint, shape: PromptShape, n_running: int, n_reading: int
) -> float:
    """Return the delays of the request itself and of the batch that it joins.

    A prompt is read in chunks between the output tokens of all other requests, so
    that reading it delays each of them by the same time.
    """
    n_output = shape.n_expected_tokens
    read_ms = count_missing_tokens(endpoint.cache, shape) / PROMPT_TOKENS_PER_MS
    write_ms = n_output * (TOKEN_MS + BATCH_TOKEN_MS * n_running)
    batch_ms = OVERLAP_SHARE * n_output * BATCH_TOKEN_MS
    queue_ms = n_reading / PROMPT_TOKENS_PER_MS
    n_delayed = READ_WEIGHT + n_running
    return queue_ms + write_ms + n_delayed * read_ms + n_running * batch_ms


def _grant(
    endpoint: Endpoint, message: AcquireEndpoint, state: PlacementState
) -> EndpointGranted:
    state.n_permits += 1
    permit = PermitId(f"{state.prefix}-{state.n_permits}")
    n_missing = 0
    if message.shape is not None:
        n_missing = count_missing_tokens(endpoint.cache, message.shape)
        note_prompt(endpoint.cache, message.shape)
    name = endpoint.listed.endpoint
    state.reading_tokens[name] += n_missing
    state.permits[permit] = Permit(name, n_missing)
    endpoint.permits.add(permit)
    return EndpointGranted(message.request, permit, endpoint.listed)
