"""Define the commands, reads and results of a program shard."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from oleanderhitch.process.ids import NodeId
from oleanderhitch.program.ids import AccountId, ProgramId, SequenceNumber
from oleanderhitch.program.states import EndReason, Progress, Refusal
from oleanderhitch.request.ids import AttemptNumber, RequestId
from oleanderhitch.request.states import Outcome
from oleanderhitch.version.ids import EndpointId


@dataclass(frozen=True, slots=True)
class StartProgram:
    """Create a program with a budget in tokens."""

    program: ProgramId
    account: AccountId
    parent: ProgramId | None
    budget_tokens: int
    n_turns_limit: int
    silence_limit: timedelta
    at: datetime


@dataclass(frozen=True, slots=True)
class BeginRequest:
    """Record a call in order and reserve its worst case spend."""

    program: ProgramId
    request: RequestId
    sequence: SequenceNumber
    node: NodeId
    is_idempotent: bool
    reserved_tokens: int
    content: bytes
    digest: str
    at: datetime


@dataclass(frozen=True, slots=True)
class RecordAttempt:
    """Record that a call is about to be sent to an endpoint."""

    program: ProgramId
    request: RequestId
    attempt: AttemptNumber
    endpoint: EndpointId
    reserved_tokens: int
    holds_cache: bool
    at: datetime


@dataclass(frozen=True, slots=True)
class FailAttempt:
    """Record that an attempt ended without an answer."""

    program: ProgramId
    request: RequestId
    attempt: AttemptNumber
    was_sent: bool
    spent_tokens: int
    at: datetime


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Record the outcome of a call and settle its spend."""

    program: ProgramId
    request: RequestId
    outcome: Outcome
    answer: bytes
    spent_tokens: int
    at: datetime


@dataclass(frozen=True, slots=True)
class CloseRequest:
    """Resolve a call whose node is gone: not run without an attempt."""

    program: ProgramId
    request: RequestId
    at: datetime


@dataclass(frozen=True, slots=True)
class EndProgram:
    """End a program and leave its engines to be released."""

    program: ProgramId
    reason: EndReason
    at: datetime


@dataclass(frozen=True, slots=True)
class ConfirmRelease:
    """Record that an engine holds no memory for an ended program."""

    program: ProgramId
    endpoint: EndpointId
    at: datetime


@dataclass(frozen=True, slots=True)
class ExpirePrograms:
    """End the programs that were silent for longer than their limit."""

    at: datetime


@dataclass(frozen=True, slots=True)
class GetProgram:
    """Read the summary of a program."""

    program: ProgramId


@dataclass(frozen=True, slots=True)
class GetOutcome:
    """Read what is recorded of a request."""

    program: ProgramId
    request: RequestId


@dataclass(frozen=True, slots=True)
class GetHistory:
    """Read the turns of a program."""

    program: ProgramId


@dataclass(frozen=True, slots=True)
class ListReleases:
    """Read which engines still hold memory for ended programs."""


@dataclass(frozen=True, slots=True)
class Turn:
    """Hold one finished call of a program's history."""

    sequence: SequenceNumber
    content: bytes
    answer: bytes


@dataclass(frozen=True, slots=True)
class Done:
    """Answer that a command took effect."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Answer that a command took no effect."""

    reason: Refusal
    detail: str


@dataclass(frozen=True, slots=True)
class Begun:
    """Answer that a call is recorded, with the history before it."""

    history: tuple[Turn, ...]
    attained_tokens: int
    holders: tuple[EndpointId, ...]


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """Answer what is recorded of a request."""

    program: ProgramId
    request: RequestId
    sequence: SequenceNumber
    node: NodeId
    progress: Progress
    outcome: Outcome | None
    answer: bytes
    n_attempts: int
    is_idempotent: bool


@dataclass(frozen=True, slots=True)
class ProgramSummary:
    """Answer the state of a program without its history."""

    program: ProgramId
    account: AccountId
    parent: ProgramId | None
    next_sequence: SequenceNumber
    n_turns: int
    budget_tokens: int
    reserved_tokens: int
    spent_tokens: int
    end_reason: EndReason | None


@dataclass(frozen=True, slots=True)
class History:
    """Answer the turns of a program in order."""

    turns: tuple[Turn, ...]


@dataclass(frozen=True, slots=True)
class Release:
    """Name an engine that still holds memory for an ended program."""

    program: ProgramId
    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class Releases:
    """Answer the releases that are still to be confirmed."""

    releases: tuple[Release, ...]


MESSAGES: tuple[type, ...] = (
    StartProgram,
    BeginRequest,
    RecordAttempt,
    FailAttempt,
    FinishRequest,
    CloseRequest,
    EndProgram,
    ConfirmRelease,
    ExpirePrograms,
    GetProgram,
    GetOutcome,
    GetHistory,
    ListReleases,
    Done,
    Refused,
    Begun,
    RequestRecord,
    ProgramSummary,
    History,
    Releases,
)
