"""Define the state that a shard keeps in memory for its programs."""

from datetime import datetime, timedelta

from msgspec import Struct, field

from oleanderhitch.process.ids import NodeId
from oleanderhitch.program.history import HistoryStore
from oleanderhitch.program.ids import AccountId, ProgramId, RunId, SequenceNumber
from oleanderhitch.program.states import AttemptState, EndReason
from oleanderhitch.request.ids import AttemptNumber, RequestId
from oleanderhitch.version.ids import EndpointId

# Attempts are numbered from 1 within each run.
FIRST_ATTEMPT = AttemptNumber(1)


class AttemptEntry(Struct):
    """The record of one attempt."""

    number: AttemptNumber
    endpoint: EndpointId | None
    reserved_tokens: int
    state: AttemptState


class RequestEntry(Struct):
    """The record of a program's open request, which has no outcome yet.

    A run is one request task that serves the request. An idempotent request that was
    interrupted can be started again by a new run; `past_runs` are the interrupted ones,
    whose tokens are settled. `attempts` holds the attempts of the current run only,
    while `n_attempts` and `endpoints` cover all runs. `spare_tokens` are reserved but
    not yet assigned to an attempt.
    """

    request: RequestId
    sequence: SequenceNumber
    node: NodeId
    run: RunId
    is_idempotent: bool
    digest: str
    content: bytes
    spare_tokens: int
    attempts: list[AttemptEntry] = field(default_factory=list)
    n_attempts: int = 0
    endpoints: dict[EndpointId, None] = field(default_factory=dict)
    is_interrupted: bool = False
    past_runs: dict[RunId, None] = field(default_factory=dict)

    @property
    def running_attempts(self) -> list[AttemptEntry]:
        """The attempts of the current run that have not failed."""
        return [a for a in self.attempts if a.state is AttemptState.RUNNING]

    @property
    def reserved_tokens(self) -> int:
        """The tokens that the request has reserved and not yet settled."""
        attempt_tokens = sum(
            attempt.reserved_tokens for attempt in self.running_attempts
        )
        return self.spare_tokens + attempt_tokens

    @property
    def has_sent_attempt(self) -> bool:
        """Whether an attempt of the current run may have been sent."""
        return any(a.state is not AttemptState.NOT_SENT for a in self.attempts)

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have executed the request in any run."""
        return bool(self.past_runs) or self.has_sent_attempt

    @property
    def has_first_attempt(self) -> bool:
        """Whether the first attempt of the current run is recorded."""
        return self.find_attempt(FIRST_ATTEMPT) is not None

    def find_attempt(self, number: AttemptNumber) -> AttemptEntry | None:
        """Return an attempt of the current run, or None."""
        for attempt in self.attempts:
            if attempt.number == number:
                return attempt
        return None


class ProgramEntry(Struct):
    """The record of one program.

    While a child runs, its whole budget counts as reserved by its parent. After the
    child has ended, only the reservation of its open request still does.

    `n_ordered` counts the ended requests that used up a sequence number, and
    `n_not_run` those that did not run, whose number is used again. `n_holds` counts how
    often an engine was recorded as one that may cache the program's prompt, and
    `holders` maps each such engine to the count at its latest record, which numbers its
    release; `released` names the engines that have confirmed their release.
    `context_tokens` is the size of the latest prompt and answer, and `overrun_tokens`
    what endpoints used beyond the budget.
    """

    program: ProgramId
    account: AccountId
    parent: ProgramId | None
    budget_tokens: int
    n_turns_limit: int
    n_repeats_limit: int
    silence_limit: timedelta
    last_active_at: datetime
    spent_tokens: int = 0
    reserved_tokens: int = 0
    overrun_tokens: int = 0
    history_bytes: int = 0
    n_ordered: int = 0
    n_turns: int = 0
    n_not_run: int = 0
    n_repeats: int = 0
    last_content_hash: bytes = b""
    end_reason: EndReason | None = None
    ended_at: datetime | None = None
    open_request: RequestEntry | None = None
    children: dict[ProgramId, None] = field(default_factory=dict)
    holders: dict[EndpointId, int] = field(default_factory=dict)
    released: dict[EndpointId, None] = field(default_factory=dict)
    n_holds: int = 0
    context_tokens: int = 0
    started_at: datetime | None = None

    @property
    def next_sequence(self) -> SequenceNumber:
        """The sequence number that the next new call must have."""
        n_taken = self.n_ordered + (self.open_request is not None)
        return SequenceNumber(n_taken + 1)


class ShardState(Struct):
    """The programs of one shard.

    `include_history` is off on followers and during log replay: results are not used
    there, and reading the history is most of the cost of a call.
    """

    history: HistoryStore
    retention: timedelta
    programs: dict[ProgramId, ProgramEntry] = field(default_factory=dict)
    include_history: bool = True

    def find_parent(self, entry: ProgramEntry) -> ProgramEntry | None:
        """Return the entry of a program's parent, or None for a root."""
        return None if entry.parent is None else self.programs.get(entry.parent)


def record_activity(state: ShardState, entry: ProgramEntry, at: datetime) -> None:
    """Record activity of a program and of all its ancestors.

    A parent sends no commands while it waits for its sub-agents, and must not expire
    because of that.
    """
    current: ProgramEntry | None = entry
    while current is not None:
        current.last_active_at = max(current.last_active_at, at)
        current = state.find_parent(current)
