"""Release cached prefixes until each engine confirms or is removed.

A release is started only by a program shard: by its durable list of open releases or by
its reply that a program has ended. Neither can name a running program, since an ended
program never runs again.
"""

from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.process.engines.messages import (
    CacheReleased,
    CallEngine,
    EngineCallFailed,
    EnginesChanged,
    ReleaseCache,
)
from oleanderhitch.process.engines.polling.messages import (
    CachedProgramChanged,
    CachedProgramsListed,
    EventGapDetected,
)
from oleanderhitch.process.engines.releases.messages import (
    CheckPrograms,
    ConfirmationRecorded,
    ListOpenReleases,
    ProgramsChecked,
    RecordConfirmation,
    ReleasesListed,
)
from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.scheduling.messages import LoadReported
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.version.ids import EndpointId

INITIAL_BACKOFF = timedelta(milliseconds=200)
BACKOFF_MAX = timedelta(seconds=10)
# The client's timeout is shorter; this one covers results dropped by a full mailbox.
RESULT_TIMEOUT = timedelta(seconds=5)
N_CONCURRENT_CALLS_PER_ENGINE_LIMIT = 4
LIST_INTERVAL = timedelta(seconds=5)
# A new engine's first release may arrive before the configuration that declares it, so
# an unknown engine counts as removed only after this time.
REMOVAL_GRACE_PERIOD = timedelta(seconds=30)
# Interval between two checks of the same program, which bounds the reads of its shard.
RECHECK_INTERVAL = timedelta(seconds=60)
# A scan iterates over all cached programs, which takes about 1 us per program.
SCAN_INTERVAL = timedelta(seconds=5)
N_PROGRAMS_PER_CHECK = 1000

ReleaseKey = tuple[EndpointId, ProgramId]


class OpenRelease(Struct):
    """Release of one program's prefix at one engine.

    `group` is the shard that listed the release, or None if a check of the program
    started it; only listed releases are confirmed to a shard. `number` is that of the
    listed release.
    """

    group: GroupId | None
    next_try_at: datetime
    backoff: timedelta = INITIAL_BACKOFF
    sent_at: datetime | None = None
    is_confirmed: bool = False
    unconfigured_since: datetime | None = None
    number: int | None = None


class ReleasesState(Struct):
    """Open releases and the cached programs of all engines.

    `addresses` are those of the engines in the configuration. `checked_at` has the time
    of the last check of each cached program.
    """

    addresses: dict[EndpointId, str] = field(default_factory=dict)
    open_releases: dict[ReleaseKey, OpenRelease] = field(default_factory=dict)
    cached_programs: dict[EndpointId, set[ProgramId]] = field(default_factory=dict)
    checked_at: dict[ProgramId, datetime] = field(default_factory=dict)
    next_list_at: datetime | None = None
    next_scan_at: datetime | None = None


def make_releases_state() -> ReleasesState:
    """Return a releases state without engines or releases."""
    return ReleasesState()


@singledispatch
def handle(message: object, state: ReleasesState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(f"releases does not support message type {type(message).__name__}")


@handle.register
def _(message: LoadReported, state: ReleasesState, now: datetime) -> list[object]:
    return []


@handle.register
def _(message: EventGapDetected, state: ReleasesState, now: datetime) -> list[object]:
    return []


@handle.register
def _(message: EnginesChanged, state: ReleasesState, now: datetime) -> list[object]:
    state.addresses = {engine.endpoint: engine.address for engine in message.engines}
    return []


@handle.register
def _(message: ReleasesListed, state: ReleasesState, now: datetime) -> list[object]:
    listed = {
        (release.endpoint, release.program): release.number
        for release in message.releases
    }
    for key, open_release in list(state.open_releases.items()):
        if open_release.group == message.group and key not in listed:
            del state.open_releases[key]
    for key, number in listed.items():
        current = state.open_releases.get(key)
        if current is None or (current.number is not None and number > current.number):
            # A higher number shows that the program has used the engine again.
            state.open_releases[key] = OpenRelease(message.group, now, number=number)
        else:
            current.group = message.group
            current.number = number
    return []


@handle.register
def _(
    message: CachedProgramsListed, state: ReleasesState, now: datetime
) -> list[object]:
    if message.programs:
        state.cached_programs[message.endpoint] = set(message.programs)
    else:
        state.cached_programs.pop(message.endpoint, None)
    return []


@handle.register
def _(
    message: CachedProgramChanged, state: ReleasesState, now: datetime
) -> list[object]:
    programs = state.cached_programs.setdefault(message.endpoint, set())
    (programs.add if message.is_cached else programs.discard)(message.program)
    return []


@handle.register
def _(message: ProgramsChecked, state: ReleasesState, now: datetime) -> list[object]:
    ended = set(message.ended)
    for endpoint, programs in state.cached_programs.items():
        for program in programs & ended:
            state.open_releases.setdefault((endpoint, program), OpenRelease(None, now))
    for program in message.ended:
        state.checked_at.pop(program, None)
    for program in message.running:
        state.checked_at[program] = now
    return []


@handle.register
def _(message: CacheReleased, state: ReleasesState, now: datetime) -> list[object]:
    key = (message.endpoint, message.program)
    release = state.open_releases.get(key)
    if release is None:
        return []
    release.sent_at = None
    if not message.is_released:
        _back_off(release, now)
        return []
    state.cached_programs.get(message.endpoint, set()).discard(message.program)
    return _confirm(state, key, release, now)


@handle.register
def _(message: EngineCallFailed, state: ReleasesState, now: datetime) -> list[object]:
    request = message.request
    if isinstance(request, ReleaseCache):
        release = state.open_releases.get((request.endpoint, request.program))
        if release is not None:
            release.sent_at = None
            _back_off(release, now)
    return []


@handle.register
def _(
    message: ConfirmationRecorded, state: ReleasesState, now: datetime
) -> list[object]:
    release = state.open_releases.get((message.endpoint, message.program))
    if release is not None and release.is_confirmed:
        del state.open_releases[message.endpoint, message.program]
    return []


@handle.register
def _(message: Tick, state: ReleasesState, now: datetime) -> list[object]:
    effects: list[object] = []
    if state.next_list_at is None or now >= state.next_list_at:
        state.next_list_at = now + LIST_INTERVAL
        effects.append(ListOpenReleases())
    n_calls = _expire_and_count_calls(state, now)
    for key, release in list(state.open_releases.items()):
        if release.sent_at is None and now >= release.next_try_at:
            effects.extend(_process_release(state, key, release, n_calls, now))
    if state.next_scan_at is None or now >= state.next_scan_at:
        state.next_scan_at = now + SCAN_INTERVAL
        effects.extend(_check_cached_programs(state, now))
    return effects


def _process_release(
    state: ReleasesState,
    key: ReleaseKey,
    release: OpenRelease,
    n_calls: dict[EndpointId, int],
    now: datetime,
) -> list[object]:
    endpoint, program = key
    if release.is_confirmed:
        return _confirm(state, key, release, now)
    address = state.addresses.get(endpoint)
    if address is None:
        release.unconfigured_since = release.unconfigured_since or now
        if now - release.unconfigured_since >= REMOVAL_GRACE_PERIOD:
            return _confirm(state, key, release, now)
        return []
    release.unconfigured_since = None
    if n_calls.get(endpoint, 0) >= N_CONCURRENT_CALLS_PER_ENGINE_LIMIT:
        return []
    n_calls[endpoint] = n_calls.get(endpoint, 0) + 1
    release.sent_at = now
    return [CallEngine(address, ReleaseCache(endpoint, program))]


def _confirm(
    state: ReleasesState, key: ReleaseKey, release: OpenRelease, now: datetime
) -> list[object]:
    if release.group is None:
        del state.open_releases[key]
        return []
    # The release stays open until the shard has recorded the confirmation.
    release.is_confirmed = True
    _back_off(release, now)
    endpoint, program = key
    return [RecordConfirmation(program, endpoint, release.number)]


def _back_off(release: OpenRelease, now: datetime) -> None:
    release.next_try_at = now + release.backoff
    release.backoff = min(release.backoff * 2, BACKOFF_MAX)


def _expire_and_count_calls(
    state: ReleasesState, now: datetime
) -> dict[EndpointId, int]:
    n_calls: dict[EndpointId, int] = {}
    for (endpoint, _), release in state.open_releases.items():
        if release.sent_at is not None and now - release.sent_at >= RESULT_TIMEOUT:
            release.sent_at = None
        if release.sent_at is not None:
            n_calls[endpoint] = n_calls.get(endpoint, 0) + 1
    return n_calls


def _check_cached_programs(state: ReleasesState, now: datetime) -> list[object]:
    cached: set[ProgramId] = set()
    unchecked: set[ProgramId] = set()
    for endpoint, programs in state.cached_programs.items():
        cached |= programs
        for program in programs:
            checked_at = state.checked_at.get(program)
            is_due = checked_at is None or now - checked_at >= RECHECK_INTERVAL
            if is_due and (endpoint, program) not in state.open_releases:
                unchecked.add(program)
    for program in state.checked_at.keys() - cached:
        del state.checked_at[program]
    chosen = tuple(sorted(unchecked)[:N_PROGRAMS_PER_CHECK])
    for program in chosen:
        state.checked_at[program] = now
    return [CheckPrograms(chosen)] if chosen else []
