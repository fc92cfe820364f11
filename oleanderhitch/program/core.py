"""Apply commands and reads to the programs of a shard.

Every function here is deterministic, because each replica of a shard applies the same
commands on its own. Commands carry their time for the same reason.
"""

from datetime import timedelta
from functools import singledispatch

from oleanderhitch.program.attempts import fail_attempt, record_attempt
from oleanderhitch.program.budget import reserve
from oleanderhitch.program.checks import find_parent_id, find_program_id_fault
from oleanderhitch.program.entries import ProgramEntry, ShardState, record_activity
from oleanderhitch.program.history import HistoryStore, make_memory_history
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.lifecycle import end_program, expire_programs
from oleanderhitch.program.messages import (
    BeginRequest,
    CloseRequest,
    ConfirmRelease,
    Done,
    EndProgram,
    ExpirePrograms,
    FailAttempt,
    FinishRequest,
    GetContext,
    GetHistory,
    GetOutcome,
    GetProgram,
    History,
    ListReleases,
    ProgramSummary,
    RecordAttempt,
    Refused,
    StartProgram,
)
from oleanderhitch.program.ordering import (
    begin_request,
    make_begun,
    refuse_other_account,
)
from oleanderhitch.program.outcomes import (
    close_request,
    finish_request,
    get_request_record,
)
from oleanderhitch.program.releases import confirm_release, list_releases
from oleanderhitch.program.states import RefusalReason

# Callers retry for at most a few minutes after their program has ended. Longer
# retention costs memory: 200 programs end per second at the design scale.
ENDED_PROGRAM_RETENTION = timedelta(minutes=5)

# Commands and reads that are refused if their program does not exist.
ProgramCommand = (
    BeginRequest
    | RecordAttempt
    | FailAttempt
    | FinishRequest
    | CloseRequest
    | EndProgram
    | GetProgram
    | GetContext
    | GetOutcome
    | GetHistory
)


def make_shard_state(
    history: HistoryStore | None = None, retention: timedelta = ENDED_PROGRAM_RETENTION
) -> ShardState:
    """Return an empty shard; history is kept in memory unless a store is given."""
    if history is None:
        history = make_memory_history()
    return ShardState(history, retention)


@singledispatch
def apply(command: object, state: ShardState) -> object:
    """Apply a command or read and return its result."""
    raise TypeError(
        f"program shard does not support command type {type(command).__name__}"
    )


@apply.register
def _(command: StartProgram, state: ShardState) -> object:
    existing = state.programs.get(command.program)
    if existing is not None:
        return _handle_duplicate_start(existing, command)
    refusal = _find_start_refusal(command) or _reserve_parent_budget(state, command)
    if refusal is not None:
        return refusal
    entry = ProgramEntry(
        command.program,
        command.account,
        command.parent,
        command.budget_tokens,
        command.n_turns_limit,
        command.n_repeats_limit,
        command.silence_limit,
        command.at,
        started_at=command.at,
    )
    state.programs[command.program] = entry
    parent = state.find_parent(entry)
    if parent is not None:
        parent.children[command.program] = None
        record_activity(state, parent, command.at)
    return Done()


@apply.register(BeginRequest)
@apply.register(RecordAttempt)
@apply.register(FailAttempt)
@apply.register(FinishRequest)
@apply.register(CloseRequest)
@apply.register(EndProgram)
@apply.register(GetProgram)
@apply.register(GetContext)
@apply.register(GetOutcome)
@apply.register(GetHistory)
def _(command: ProgramCommand, state: ShardState) -> object:
    entry = state.programs.get(command.program)
    if entry is None:
        return _refuse_unknown_program(command.program)
    return _apply_to_program(command, state, entry)


@singledispatch
def _apply_to_program(
    command: object, state: ShardState, entry: ProgramEntry
) -> object:
    raise TypeError(f"program does not support command type {type(command).__name__}")


@apply.register
def _(command: ConfirmRelease, state: ShardState) -> object:
    entry = state.programs.get(command.program)
    if entry is None:
        return Done()
    if entry.end_reason is None:
        return Refused(
            RefusalReason.PROGRAM_RUNNING, f"program {command.program} has not ended"
        )
    confirm_release(entry, command.endpoint, command.number)
    return Done()


@apply.register
def _(command: ExpirePrograms, state: ShardState) -> object:
    expire_programs(state, command.at)
    return Done()


@apply.register
def _(command: ListReleases, state: ShardState) -> object:
    return list_releases(state)


@_apply_to_program.register
def _(command: BeginRequest, state: ShardState, entry: ProgramEntry) -> object:
    return begin_request(state, entry, command)


@_apply_to_program.register
def _(command: RecordAttempt, state: ShardState, entry: ProgramEntry) -> object:
    return record_attempt(state, entry, command)


@_apply_to_program.register
def _(command: FailAttempt, state: ShardState, entry: ProgramEntry) -> object:
    return fail_attempt(state, entry, command)


@_apply_to_program.register
def _(command: FinishRequest, state: ShardState, entry: ProgramEntry) -> object:
    return finish_request(state, entry, command)


@_apply_to_program.register
def _(command: CloseRequest, state: ShardState, entry: ProgramEntry) -> object:
    return close_request(state, entry, command)


@_apply_to_program.register
def _(command: EndProgram, state: ShardState, entry: ProgramEntry) -> object:
    end_program(state, entry, command.reason, command.at)
    return Done()


@_apply_to_program.register
def _(command: GetContext, state: ShardState, entry: ProgramEntry) -> object:
    if command.account != entry.account:
        return refuse_other_account(command.program, command.account)
    return make_begun(state, entry, 0)


@_apply_to_program.register
def _(command: GetProgram, state: ShardState, entry: ProgramEntry) -> object:
    open_request = entry.open_request
    return ProgramSummary(
        entry.program,
        entry.account,
        entry.parent,
        entry.next_sequence,
        entry.n_turns,
        entry.budget_tokens,
        entry.reserved_tokens,
        entry.spent_tokens,
        entry.end_reason,
        None if open_request is None else open_request.request,
        entry.overrun_tokens,
        entry.started_at,
    )


@_apply_to_program.register
def _(command: GetOutcome, state: ShardState, entry: ProgramEntry) -> object:
    return get_request_record(state, entry, command.request)


@_apply_to_program.register
def _(command: GetHistory, state: ShardState, entry: ProgramEntry) -> object:
    return History(state.history.read_turns(command.program))


def _refuse_unknown_program(program: ProgramId) -> Refused:
    return Refused(RefusalReason.UNKNOWN_PROGRAM, f"program {program} is not known")


def _handle_duplicate_start(existing: ProgramEntry, command: StartProgram) -> object:
    """Accept an identical start, because the first reply may have been lost."""
    recorded = StartProgram(
        existing.program,
        existing.account,
        existing.parent,
        existing.budget_tokens,
        existing.n_turns_limit,
        existing.silence_limit,
        command.at,
        existing.n_repeats_limit,
    )
    if recorded == command:
        return Done()
    return Refused(
        RefusalReason.PROGRAM_EXISTS,
        f"program {command.program} exists with another account or other limits",
    )


def _find_start_refusal(command: StartProgram) -> Refused | None:
    fault = find_program_id_fault(command.program)
    if fault is None and command.parent != find_parent_id(command.program):
        fault = "of a sub-agent must be '<parent>/<name>', that of a root has no '/'"
    if fault is not None:
        return Refused(
            RefusalReason.INVALID_COMMAND,
            f"program id {command.program[:80]!r} {fault}",
        )
    if min(command.budget_tokens, command.n_turns_limit, command.n_repeats_limit) < 1:
        return Refused(
            RefusalReason.INVALID_COMMAND,
            "budget, turn limit and repeat limit must be at least 1, got "
            f"{command.budget_tokens}, {command.n_turns_limit} and "
            f"{command.n_repeats_limit}",
        )
    return None


def _reserve_parent_budget(state: ShardState, command: StartProgram) -> Refused | None:
    """Reserve a sub-agent's whole budget in its parent's budget."""
    if command.parent is None:
        return None
    parent = state.programs.get(command.parent)
    if parent is None or parent.account != command.account:
        return _refuse_unknown_program(command.parent)
    if parent.end_reason is not None:
        return Refused(
            RefusalReason.PROGRAM_ENDED, f"program {command.parent} has ended"
        )
    return reserve(state, parent, command.budget_tokens)
