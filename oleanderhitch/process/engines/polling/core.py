"""Decide when to ask engines for their load and their cache.

Cache events come late and with gaps. A gap, a restart of the numbers and the
passing of time each lead to a read of the whole list, which corrects the view.
"""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatch

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

# A call costs about 1.2 ms of processor time. With 6,900 engines shared by 400
# nodes, these intervals take about 2% of a core of each node.
LOAD_POLL_INTERVAL = timedelta(seconds=2)
EVENT_POLL_INTERVAL = timedelta(seconds=2)
# The last event may be among the lost, so the list is read even without a gap.
CACHED_PROGRAMS_POLL_INTERVAL = timedelta(seconds=30)
BACKOFF_LIMIT = timedelta(seconds=30)
# A call ends earlier; the limit covers a result that found no room.
RESULT_TIMEOUT = timedelta(seconds=5)


@dataclass(slots=True)
class PollSchedule:
    """Hold when one kind of call is due; it has at most one in progress."""

    interval: timedelta
    due_at: datetime
    sent_at: datetime | None = None
    backoff: timedelta = timedelta(0)
    # A call that is already in progress may have read the engine too early.
    is_repeat_requested: bool = False


@dataclass(slots=True)
class PolledEngine:
    """Hold what is known of one engine."""

    endpoint: EndpointId
    address: str
    polls: dict[type, PollSchedule]
    last_sequence_number: int = 0
    is_synced: bool = False
    cached_programs: set[ProgramId] = field(default_factory=set)


@dataclass(slots=True)
class PollingState:
    """Hold the engines that are polled."""

    engines: dict[EndpointId, PolledEngine] = field(default_factory=dict)


def make_polling_state() -> PollingState:
    """Return a state without engines."""
    return PollingState()


@singledispatch
def handle(message: object, state: PollingState, now: datetime) -> list[object]:
    """Handle one message and return the effects."""
    raise TypeError(f"polling has no message {type(message).__name__}")


@handle.register
def _(message: EnginesChanged, state: PollingState, now: datetime) -> list[object]:
    known = state.engines
    state.engines = {}
    for offer in message.engines:
        view = known.get(offer.endpoint)
        if view is None or view.address != offer.address:
            view = _make_polled_engine(offer.endpoint, offer.address, now)
        state.engines[offer.endpoint] = view
    return [
        NotifySubscribers(CachedProgramsListed(endpoint, frozenset()))
        for endpoint in known
        if endpoint not in state.engines
    ]


@handle.register
def _(message: Tick, state: PollingState, now: datetime) -> list[object]:
    effects: list[object] = []
    for view in state.engines.values():
        for kind, poll in view.polls.items():
            if _is_due(poll, now):
                poll.sent_at = now
                poll.is_repeat_requested = False
                effects.append(CallEngine(view.address, _make_request(kind, view)))
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
    view = state.engines.get(message.endpoint)
    if (
        not _complete_poll(state, message.endpoint, ReadCacheEvents, now)
        or view is None
    ):
        return []
    if message.after != view.last_sequence_number:
        return []
    if not view.is_synced or message.last_sequence_number < view.last_sequence_number:
        # The engine is new here, or it restarted and counts from the beginning;
        # the list says all that its past events could.
        view.is_synced = True
        view.last_sequence_number = message.last_sequence_number
        view.polls[ReadCachedPrograms].is_repeat_requested = True
        return []
    effects: list[object] = []
    has_gap = False
    for change in message.events:
        has_gap = has_gap or change.sequence_number != view.last_sequence_number + 1
        view.last_sequence_number = change.sequence_number
        effects.extend(_apply_event(view, change.program, change.is_stored))
    has_gap = has_gap or message.last_sequence_number > view.last_sequence_number
    view.last_sequence_number = max(
        view.last_sequence_number, message.last_sequence_number
    )
    if has_gap:
        view.polls[ReadCachedPrograms].is_repeat_requested = True
        effects.append(NotifySubscribers(EventGapDetected(view.endpoint)))
    return effects


@handle.register
def _(message: CachedProgramsRead, state: PollingState, now: datetime) -> list[object]:
    view = state.engines.get(message.endpoint)
    if (
        not _complete_poll(state, message.endpoint, ReadCachedPrograms, now)
        or view is None
    ):
        return []
    view.cached_programs = set(message.programs)
    return [NotifySubscribers(CachedProgramsListed(message.endpoint, message.programs))]


@handle.register
def _(message: EngineCallFailed, state: PollingState, now: datetime) -> list[object]:
    view = state.engines.get(message.request.endpoint)
    poll = view.polls.get(type(message.request)) if view is not None else None
    if poll is not None:
        poll.sent_at = None
        poll.backoff = min(max(poll.backoff * 2, poll.interval), BACKOFF_LIMIT)
        poll.due_at = now + poll.backoff
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
    is_wanted = poll.is_repeat_requested and not poll.backoff
    return is_wanted or now >= poll.due_at


def _make_request(kind: type, view: PolledEngine) -> EngineRequest:
    if kind is ReadCacheEvents:
        return ReadCacheEvents(view.endpoint, view.last_sequence_number)
    if kind is ReadCachedPrograms:
        return ReadCachedPrograms(view.endpoint)
    return ReadLoad(view.endpoint)


def _complete_poll(
    state: PollingState, endpoint: EndpointId, kind: type, now: datetime
) -> bool:
    view = state.engines.get(endpoint)
    if view is None:
        return False
    poll = view.polls[kind]
    poll.sent_at = None
    poll.backoff = timedelta(0)
    poll.due_at = now + poll.interval
    return True


def _apply_event(
    view: PolledEngine, program: ProgramId, is_stored: bool
) -> list[object]:
    if is_stored == (program in view.cached_programs):
        return []
    (view.cached_programs.add if is_stored else view.cached_programs.discard)(program)
    return [NotifySubscribers(CachedProgramChanged(view.endpoint, program, is_stored))]
