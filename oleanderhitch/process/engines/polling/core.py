"""Decide when to poll engines for their load and their cached programs.

Cache events are delayed and some are lost. The full list of cached programs is
therefore read periodically, after a gap in the sequence numbers and when the numbers
restart.
"""

from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.process.engines.messages import (
    CachedProgramsRead,
    CacheEventsRead,
    CallEngine,
    EngineCallFailed,
    EngineRequest,
    EnginesChanged,
    LoadRead,
    ReadCachedPrograms,
    ReadCacheEvents,
    ReadLoad,
)
from oleanderhitch.process.engines.polling.messages import (
    CachedProgramChanged,
    CachedProgramsListed,
    EventGapDetected,
    NotifySubscribers,
)
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.scheduling.messages import LoadReported
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.version.ids import EndpointId

# A call takes about 1.2 ms of CPU time. With 6,900 engines polled by 400 nodes, these
# intervals take about 2% of a core per node.
LOAD_POLL_INTERVAL = timedelta(seconds=2)
EVENT_POLL_INTERVAL = timedelta(seconds=2)
# Losing the latest event leaves no gap, so the list is read periodically as well.
CACHED_PROGRAMS_POLL_INTERVAL = timedelta(seconds=30)
BACKOFF_MAX = timedelta(seconds=30)
# The client's timeout is shorter; this one covers results dropped by a full mailbox.
RESULT_TIMEOUT = timedelta(seconds=5)


class PollSchedule(Struct):
    """Schedule of one type of request, of which at most one is in progress."""

    interval: timedelta
    next_poll_at: datetime
    sent_at: datetime | None = None
    backoff: timedelta = timedelta(0)
    # Set to send another request before `next_poll_at`. A request that is already in
    # progress doesn't clear it, since its result may be too old.
    is_poll_requested: bool = False


class PolledEngine(Struct):
    """Poll schedules of an engine and its last known cache contents.

    `is_synced` is set once `last_sequence_number` comes from the engine.
    """

    endpoint: EndpointId
    address: str
    polls: dict[type, PollSchedule]
    last_sequence_number: int = 0
    is_synced: bool = False
    cached_programs: set[ProgramId] = field(default_factory=set)


class PollingState(Struct):
    """State of the polling task."""

    engines: dict[EndpointId, PolledEngine] = field(default_factory=dict)


def make_polling_state() -> PollingState:
    """Return a polling state without engines."""
    return PollingState()


@singledispatch
def handle(message: object, state: PollingState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(f"polling does not support message type {type(message).__name__}")


@handle.register
def _(message: EnginesChanged, state: PollingState, now: datetime) -> list[object]:
    previous = state.engines
    state.engines = {}
    for description in message.engines:
        engine = previous.get(description.endpoint)
        if engine is None or engine.address != description.address:
            engine = _make_polled_engine(description.endpoint, description.address, now)
        state.engines[description.endpoint] = engine
    return [
        NotifySubscribers(CachedProgramsListed(endpoint, frozenset()))
        for endpoint in previous
        if endpoint not in state.engines
    ]


@handle.register
def _(message: Tick, state: PollingState, now: datetime) -> list[object]:
    effects: list[object] = []
    for engine in state.engines.values():
        for kind, poll in engine.polls.items():
            if _is_due(poll, now):
                poll.sent_at = now
                poll.is_poll_requested = False
                effects.append(CallEngine(engine.address, _make_request(kind, engine)))
    return effects


@handle.register
def _(message: LoadRead, state: PollingState, now: datetime) -> list[object]:
    if not _complete_poll(state, message.endpoint, ReadLoad, now):
        return []
    report = LoadReported(
        message.endpoint, message.n_running, message.n_waiting, message.age
    )
    return [NotifySubscribers(report)]


@handle.register
def _(message: CacheEventsRead, state: PollingState, now: datetime) -> list[object]:
    engine = state.engines.get(message.endpoint)
    if (
        not _complete_poll(state, message.endpoint, ReadCacheEvents, now)
        or engine is None
    ):
        return []
    if message.after != engine.last_sequence_number:
        return []
    if (
        not engine.is_synced
        or message.last_sequence_number < engine.last_sequence_number
    ):
        # This is the engine's first result, or the engine has restarted and numbers its
        # events from the beginning. The list of programs replaces its past events.
        engine.is_synced = True
        engine.last_sequence_number = message.last_sequence_number
        engine.polls[ReadCachedPrograms].is_poll_requested = True
        return []
    effects: list[object] = []
    has_gap = False
    for event in message.events:
        has_gap = has_gap or event.sequence_number != engine.last_sequence_number + 1
        engine.last_sequence_number = event.sequence_number
        effects.extend(_apply_event(engine, event.program, event.is_cached))
    has_gap = has_gap or message.last_sequence_number > engine.last_sequence_number
    engine.last_sequence_number = max(
        engine.last_sequence_number, message.last_sequence_number
    )
    if has_gap:
        engine.polls[ReadCachedPrograms].is_poll_requested = True
        effects.append(NotifySubscribers(EventGapDetected(engine.endpoint)))
    return effects


@handle.register
def _(message: CachedProgramsRead, state: PollingState, now: datetime) -> list[object]:
    engine = state.engines.get(message.endpoint)
    if (
        not _complete_poll(state, message.endpoint, ReadCachedPrograms, now)
        or engine is None
    ):
        return []
    engine.cached_programs = set(message.programs)
    return [NotifySubscribers(CachedProgramsListed(message.endpoint, message.programs))]


@handle.register
def _(message: EngineCallFailed, state: PollingState, now: datetime) -> list[object]:
    engine = state.engines.get(message.request.endpoint)
    poll = engine.polls.get(type(message.request)) if engine is not None else None
    if poll is not None:
        poll.sent_at = None
        poll.backoff = min(max(poll.backoff * 2, poll.interval), BACKOFF_MAX)
        poll.next_poll_at = now + poll.backoff
    return []


def _make_polled_engine(
    endpoint: EndpointId, address: str, now: datetime
) -> PolledEngine:
    polls: dict[type, PollSchedule] = {
        ReadLoad: PollSchedule(LOAD_POLL_INTERVAL, now),
        ReadCacheEvents: PollSchedule(EVENT_POLL_INTERVAL, now),
        ReadCachedPrograms: PollSchedule(CACHED_PROGRAMS_POLL_INTERVAL, now),
    }
    return PolledEngine(endpoint, address, polls)


def _is_due(poll: PollSchedule, now: datetime) -> bool:
    if poll.sent_at is not None:
        return now - poll.sent_at >= RESULT_TIMEOUT
    is_requested = poll.is_poll_requested and not poll.backoff
    return is_requested or now >= poll.next_poll_at


def _make_request(kind: type, engine: PolledEngine) -> EngineRequest:
    if kind is ReadCacheEvents:
        return ReadCacheEvents(engine.endpoint, engine.last_sequence_number)
    if kind is ReadCachedPrograms:
        return ReadCachedPrograms(engine.endpoint)
    return ReadLoad(engine.endpoint)


def _complete_poll(
    state: PollingState, endpoint: EndpointId, kind: type, now: datetime
) -> bool:
    engine = state.engines.get(endpoint)
    if engine is None:
        return False
    poll = engine.polls[kind]
    poll.sent_at = None
    poll.backoff = timedelta(0)
    poll.next_poll_at = now + poll.interval
    return True


def _apply_event(
    engine: PolledEngine, program: ProgramId, is_cached: bool
) -> list[object]:
    if is_cached == (program in engine.cached_programs):
        return []
    (engine.cached_programs.add if is_cached else engine.cached_programs.discard)(
        program
    )
    return [
        NotifySubscribers(CachedProgramChanged(engine.endpoint, program, is_cached))
    ]
