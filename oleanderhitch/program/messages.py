"""Define the commands, reads and results of a program shard."""

from datetime import datetime, timedelta

from oleanderhitch.process.ids import NodeId
from oleanderhitch.program.ids import AccountId, ProgramId, RunId, SequenceNumber
from oleanderhitch.program.states import EndReason, RefusalReason, RequestProgress
from oleanderhitch.request.ids import AttemptNumber, RequestId
from oleanderhitch.request.states import Outcome
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId

# Agents that poll a tool repeat a call a few times. An agent that sends the same
# content ten times in a row is stuck in a loop.
N_REPEATS_LIMIT = 10
# Run of a command that names none. A BeginRequest without a run is never taken for a
# resent one.
NO_RUN = RunId("")


class StartProgram(Value, frozen=True):
    """Creates a program with a token budget.

    `n_repeats_limit` is the number of consecutive calls with the same content, and
    `silence_limit` the time without activity, after which the program ends.
    """

    program: ProgramId
    account: AccountId
    parent: ProgramId | None
    budget_tokens: int
    n_turns_limit: int
    silence_limit: timedelta
    at: datetime
    n_repeats_limit: int = N_REPEATS_LIMIT


class BeginRequest(Value, frozen=True):
    """Records the program's next call and reserves the most tokens it can spend.

    `reserved_tokens` covers the new turn. If the call uses the history, the shard adds
    the tokens of the history, which are recorded only there.

    `digest` identifies the kind of the call and its body: a request id that is sent
    again with another digest is refused.

    `run` identifies one request task, which distinguishes a resent command from a
    command of another task that serves the same request.
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


class RecordAttempt(Value, frozen=True):
    """Records that a call is about to be sent to an endpoint.

    `holds_cache` marks an endpoint that caches the prompt of the call: an engine. The
    first attempt of an idempotent call may be sent in parallel with this command.
    """

    program: ProgramId
    request: RequestId
    attempt: AttemptNumber
    endpoint: EndpointId
    reserved_tokens: int
    holds_cache: bool
    at: datetime
    run: RunId = NO_RUN


class FailAttempt(Value, frozen=True):
    """Records that an attempt ended without a response.

    If the usage of the attempt is unknown, `spent_tokens` is its whole reservation.
    """

    program: ProgramId
    request: RequestId
    attempt: AttemptNumber
    was_sent: bool
    spent_tokens: int
    at: datetime
    run: RunId = NO_RUN


class FinishRequest(Value, frozen=True):
    """Records the outcome of a call and settles its reservations.

    `spent_tokens` is the usage of `attempt`, the attempt that got the response. Other
    attempts that have not failed are charged their whole reservation. If `attempt` is
    None, a completed call is attributed to its last attempt, and any other call is
    charged at least the reservations of all attempts that have not failed.

    `context_tokens` is the size of the prompt and the answer, which together are the
    prefix of the next call's prompt.
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


class CloseRequest(Value, frozen=True):
    """Resolves a call whose node has failed.

    An idempotent call may be started again. Any other call ends, as not run if it has
    no attempt that may have been sent and as unknown otherwise. If `run` is given, the
    call is closed only if that is its current run.
    """

    program: ProgramId
    request: RequestId
    at: datetime
    run: RunId | None = None


class EndProgram(Value, frozen=True):
    """Ends a program; the engines that cache its prompt are listed for release."""

    program: ProgramId
    reason: EndReason
    at: datetime


class ConfirmRelease(Value, frozen=True):
    """Records that an engine no longer caches the prompt of an ended program.

    `number` is the number of the confirmed release. If the engine has been recorded
    again since, with a new number, the new release stays listed.
    """

    program: ProgramId
    endpoint: EndpointId
    at: datetime
    number: int | None = None


class ExpirePrograms(Value, frozen=True):
    """Ends the programs that have been inactive for longer than their silence limit."""

    at: datetime


class GetProgram(Value, frozen=True):
    """Reads the summary of a program."""

    program: ProgramId


class GetContext(Value, frozen=True):
    """Reads what Begun would report of a program, without beginning a call."""

    program: ProgramId
    account: AccountId


class GetOutcome(Value, frozen=True):
    """Reads what is recorded of a request."""

    program: ProgramId
    request: RequestId


class GetHistory(Value, frozen=True):
    """Reads the turns of a program."""

    program: ProgramId


class ListReleases(Value, frozen=True):
    """Reads which engines may still cache the prompts of ended programs."""


class Turn(Value, frozen=True):
    """A completed call in a program's history."""

    sequence: SequenceNumber
    content: bytes
    answer: bytes


class Done(Value, frozen=True):
    """Reports that a command took effect."""


class Refused(Value, frozen=True):
    """Reports that a command was refused and had no effect."""

    reason: RefusalReason
    detail: str


class Begun(Value, frozen=True):
    """Reports that the call may run, with the history before it.

    `attained_tokens` is what the program has spent so far, and `holders` are the
    engines that may cache its prompt.
    """

    history: tuple[Turn, ...]
    attained_tokens: int
    holders: tuple[EndpointId, ...]
    reserved_tokens: int = 0


class RequestRecord(Value, frozen=True):
    """Reports the recorded state of a request, open or ended."""

    program: ProgramId
    request: RequestId
    sequence: SequenceNumber
    node: NodeId
    progress: RequestProgress
    outcome: Outcome | None
    answer: bytes
    n_attempts: int
    is_idempotent: bool
    run: RunId = NO_RUN
    endpoints: tuple[EndpointId, ...] = ()


class ProgramSummary(Value, frozen=True):
    """Reports the state of a program without its history."""

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


class History(Value, frozen=True):
    """Reports the turns of a program in order."""

    turns: tuple[Turn, ...]


class Release(Value, frozen=True):
    """An engine that may still cache the prompt of an ended program.

    The number increases each time the shard records an engine of the program.
    """

    program: ProgramId
    endpoint: EndpointId
    number: int


class Releases(Value, frozen=True):
    """Reports the releases that have not been confirmed yet."""

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
    GetContext,
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
