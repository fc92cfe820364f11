"""Define the commands, reads and results of a program shard."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from oleanderhitch.process.ids import NodeId
from oleanderhitch.program.ids import AccountId, ProgramId, RunId, SequenceNumber
from oleanderhitch.program.states import EndReason, Progress, Refusal
from oleanderhitch.request.ids import AttemptNumber, RequestId
from oleanderhitch.request.states import Outcome
from oleanderhitch.version.ids import EndpointId

# Polling tools repeat a call a few times; an agent that sends the same content
# ten times in a row has stopped making progress.
N_REPEATS_LIMIT = 10
NO_RUN = RunId("")


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
    n_repeats_limit: int = N_REPEATS_LIMIT


@dataclass(frozen=True, slots=True)
class BeginRequest:
    """Record a call in order and reserve its worst case spend.

    The reservation covers the new turn; the shard adds the tokens of the
    history, which only it knows, when the call uses it.

    The run names one request task, so that a resent command is told apart from
    a command of another task that serves the same request.
    """

    program: ProgramId
    request: RequestId
    sequence: SequenceNumber
    node: NodeId
    is_idempotent: bool
    reserved_tokens: int
    content: bytes
    digest: str
    at: datetime
    run: RunId = NO_RUN
    account: AccountId | None = None
    uses_history: bool = False


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
    run: RunId = NO_RUN


@dataclass(frozen=True, slots=True)
class FailAttempt:
    """Record that an attempt ended without an answer.

    A node that cannot tell the spend gives the attempt's whole reservation.
    """

    program: ProgramId
    request: RequestId
    attempt: AttemptNumber
    was_sent: bool
    spent_tokens: int
    at: datetime
    run: RunId = NO_RUN


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Record the outcome of a call and settle its spend.

        The spend is that of the attempt that gave the answer; other attempts that
    have not failed count with their whole reservation. Without an attempt, a
    completed call is that of the last attempt, and any other call counts with
    all reservations that it still holds for attempts. The context is the size
    of the prompt and answer, which the next call's prompt begins with.
    """

    program: ProgramId
    request: RequestId
    outcome: Outcome
    answer: bytes
    spent_tokens: int
    at: datetime
    run: RunId = NO_RUN
    attempt: AttemptNumber | None = None
    context_tokens: int = 0


@dataclass(frozen=True, slots=True)
class CloseRequest:
    """Resolve a call whose node is gone: not run without an attempt.

    With a run, the call is closed only while that run holds it.
    """

    program: ProgramId
    request: RequestId
    at: datetime
    run: RunId | None = None


@dataclass(frozen=True, slots=True)
class EndProgram:
    """End a program and leave its engines to be released."""

    program: ProgramId
    reason: EndReason
    at: datetime


@dataclass(frozen=True, slots=True)
class ConfirmRelease:
    """Record that an engine holds no memory for an ended program.

    With a number, a release that was listed again since stays listed.
    """

    program: ProgramId
    endpoint: EndpointId
    at: datetime
    number: int | None = None


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
    reserved_tokens: int = 0


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
    run: RunId = NO_RUN
    endpoints: tuple[EndpointId, ...] = ()


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
    open_request: RequestId | None = None
    overrun_tokens: int = 0
    started_at: datetime | None = None


@dataclass(frozen=True, slots=True)
class History:
    """Answer the turns of a program in order."""

    turns: tuple[Turn, ...]


@dataclass(frozen=True, slots=True)
class Release:
    """Name an engine that still holds memory for an ended program."""

    program: ProgramId
    endpoint: EndpointId
    number: int


@dataclass(frozen=True, slots=True)
class Releases:
    """Answer the releases that are still to be confirmed."""

    releases: tuple[Release, ...]


COMMANDS: tuple[type, ...] = (
    StartProgram,
    BeginRequest,
    RecordAttempt,
    FailAttempt,
    FinishRequest,
    CloseRequest,
    EndProgram,
    ConfirmRelease,
    ExpirePrograms,
)
READS: tuple[type, ...] = (
    GetProgram,
    GetOutcome,
    GetHistory,
    ListReleases,
)
RESULTS: tuple[type, ...] = (
    Done,
    Refused,
    Begun,
    RequestRecord,
    ProgramSummary,
    History,
    Releases,
)
MESSAGES: tuple[type, ...] = COMMANDS + READS + RESULTS
