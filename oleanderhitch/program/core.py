"""Decide what a program's record accepts.

Every function here is deterministic, since each replica of a shard applies the
same commands by itself; the time of a command is part of the command.
"""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.process.ids import NodeId
from oleanderhitch.program.ids import AccountId, ProgramId, SequenceNumber
from oleanderhitch.program.messages import (
    BeginRequest,
    Begun,
    Done,
    EndProgram,
    FinishRequest,
    GetOutcome,
    GetProgram,
    ProgramSummary,
    RecordAttempt,
    Refused,
    RequestRecord,
    StartProgram,
    Turn,
)
from oleanderhitch.program.states import EndReason, Progress, Refusal
from oleanderhitch.request.ids import RequestId
from oleanderhitch.request.states import Outcome
from oleanderhitch.version.ids import EndpointId


@dataclass(slots=True)
class RequestEntry:
    """Hold what is recorded of one request."""

    request: RequestId
    sequence: SequenceNumber
    node: NodeId
    is_idempotent: bool
    digest: str
    content: bytes
    reserved_tokens: int
    n_attempts: int = 0
    outcome: Outcome | None = None
    answer: bytes = b""


@dataclass(slots=True)
class ProgramEntry:
    """Hold what is recorded of one program."""

    program: ProgramId
    account: AccountId
    parent: ProgramId | None
    budget_tokens: int
    n_turns_limit: int
    silence_limit: timedelta
    last_active_at: datetime
    spent_tokens: int = 0
    reserved_tokens: int = 0
    end_reason: EndReason | None = None
    requests: dict[RequestId, RequestEntry] = field(default_factory=dict)
    turns: list[Turn] = field(default_factory=list)
    holders: dict[EndpointId, None] = field(default_factory=dict)

    @property
    def next_sequence(self) -> SequenceNumber:
        """Return the sequence number that the next new call must carry."""
        return SequenceNumber(len(self.requests) + 1)


@dataclass(slots=True)
class ShardState:
    """Hold the programs of one shard."""

    programs: dict[ProgramId, ProgramEntry] = field(default_factory=dict)


def make_shard_state() -> ShardState:
    """Return a shard without programs."""
    return ShardState()


@singledispatch
def apply(command: object, state: ShardState) -> object:
    """Apply a command or read and return its result."""
    raise TypeError(f"program shard has no command {type(command).__name__}")


@apply.register
def _(command: StartProgram, state: ShardState) -> object:
    if command.program in state.programs:
        return Refused(Refusal.PROGRAM_EXISTS, f"program {command.program} exists")
    state.programs[command.program] = ProgramEntry(
        command.program,
        command.account,
        command.parent,
        command.budget_tokens,
        command.n_turns_limit,
        command.silence_limit,
        command.at,
    )
    return Done()


@apply.register
def _(command: BeginRequest, state: ShardState) -> object:
    entry = state.programs.get(command.program)
    if entry is None:
        return _refuse_unknown_program(command.program)
    known = entry.requests.get(command.request)
    if known is not None:
        return _repeat_request(entry, known, command)
    refusal = _find_begin_refusal(entry, command)
    if refusal is not None:
        return refusal
    entry.reserved_tokens += command.reserved_tokens
    entry.last_active_at = command.at
    entry.requests[command.request] = RequestEntry(
        command.request,
        command.sequence,
        command.node,
        command.is_idempotent,
        command.digest,
        command.content,
        command.reserved_tokens,
    )
    return Begun(tuple(entry.turns), entry.spent_tokens, tuple(entry.holders))


@apply.register
def _(command: RecordAttempt, state: ShardState) -> object:
    found = _find_request(state, command.program, command.request)
    if isinstance(found, Refused):
        return found
    entry, known = found
    if known.outcome is not None:
        return Refused(Refusal.REQUEST_CLOSED, f"request {command.request} has ended")
    if known.n_attempts and not known.is_idempotent:
        return Refused(
            Refusal.REPEAT_NOT_ALLOWED,
            f"request {command.request} is not idempotent and has an attempt",
        )
    known.n_attempts += 1
    if command.holds_cache:
        entry.holders[command.endpoint] = None
    return Done()


@apply.register
def _(command: FinishRequest, state: ShardState) -> object:
    found = _find_request(state, command.program, command.request)
    if isinstance(found, Refused):
        return found
    entry, known = found
    if known.outcome is not None:
        return Refused(Refusal.REQUEST_CLOSED, f"request {command.request} has ended")
    known.outcome = command.outcome
    known.answer = command.answer
    entry.reserved_tokens -= known.reserved_tokens
    entry.spent_tokens += command.spent_tokens
    entry.last_active_at = command.at
    if command.outcome is Outcome.COMPLETED:
        entry.turns.append(Turn(known.sequence, known.content, command.answer))
    return Done()


@apply.register
def _(command: EndProgram, state: ShardState) -> object:
    entry = state.programs.get(command.program)
    if entry is None:
        return _refuse_unknown_program(command.program)
    entry.end_reason = entry.end_reason or command.reason
    return Done()


@apply.register
def _(command: GetProgram, state: ShardState) -> object:
    entry = state.programs.get(command.program)
    if entry is None:
        return _refuse_unknown_program(command.program)
    return ProgramSummary(
        entry.program,
        entry.account,
        entry.parent,
        entry.next_sequence,
        len(entry.turns),
        entry.budget_tokens,
        entry.reserved_tokens,
        entry.spent_tokens,
        entry.end_reason,
    )


@apply.register
def _(command: GetOutcome, state: ShardState) -> object:
    found = _find_request(state, command.program, command.request)
    if isinstance(found, Refused):
        return found
    entry, known = found
    return _make_record(entry, known)


def _refuse_unknown_program(program: ProgramId) -> Refused:
    return Refused(Refusal.UNKNOWN_PROGRAM, f"program {program} is not known")


def _find_request(
    state: ShardState, program: ProgramId, request: RequestId
) -> tuple[ProgramEntry, RequestEntry] | Refused:
    entry = state.programs.get(program)
    if entry is None:
        return _refuse_unknown_program(program)
    known = entry.requests.get(request)
    if known is None:
        return Refused(Refusal.UNKNOWN_REQUEST, f"request {request} is not known")
    return entry, known


def _repeat_request(
    entry: ProgramEntry, known: RequestEntry, command: BeginRequest
) -> object:
    if known.digest != command.digest:
        return Refused(
            Refusal.REQUEST_ID_REUSED,
            f"request {command.request} was sent before with another body",
        )
    return _make_record(entry, known)


def _find_begin_refusal(entry: ProgramEntry, command: BeginRequest) -> Refused | None:
    if entry.end_reason is not None:
        return Refused(Refusal.PROGRAM_ENDED, f"program {command.program} has ended")
    if command.sequence != entry.next_sequence:
        return Refused(
            Refusal.SEQUENCE_OUT_OF_ORDER,
            f"expected sequence number {entry.next_sequence}, got {command.sequence}",
        )
    if any(known.outcome is None for known in entry.requests.values()):
        return Refused(
            Refusal.PREVIOUS_CALL_OPEN, "the call before this one has not ended"
        )
    committed = entry.spent_tokens + entry.reserved_tokens + command.reserved_tokens
    if committed > entry.budget_tokens:
        return Refused(
            Refusal.BUDGET_EXCEEDED,
            f"the call may take {command.reserved_tokens} tokens; "
            f"{entry.budget_tokens - entry.spent_tokens - entry.reserved_tokens} "
            "are left",
        )
    return None


def _make_record(entry: ProgramEntry, known: RequestEntry) -> RequestRecord:
    progress = Progress.ATTEMPTED if known.n_attempts else Progress.BEGUN
    if known.outcome is not None:
        progress = Progress.ENDED
    return RequestRecord(
        entry.program,
        known.request,
        known.sequence,
        known.node,
        progress,
        known.outcome,
        known.answer,
        known.n_attempts,
        known.is_idempotent,
    )
