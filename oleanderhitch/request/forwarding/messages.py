"""Define a request to forward, what happens to it, and what it asks for."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from oleanderhitch.connection.http.messages import Headers
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.placement.messages import AttemptResult, InferenceWorkload
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.turns.messages import BeginTurn, SettleTurn
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.request.ids import PermitId, RequestId
from oleanderhitch.version.ids import EndpointId, ServiceName


@dataclass(frozen=True, slots=True)
class TurnOfProgram:
    """Tell which program a turn belongs to and which turn it continues."""

    program: ProgramId
    budget_tokens: int | None
    previous: RequestId | None


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Hold a caller's request; the headers are those that go on to endpoints."""

    request: RequestId
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    wait_limit: timedelta | None
    affinity: str | None
    shape: InferenceWorkload | None
    turn: TurnOfProgram | None
    last_event: str | None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold the head of an endpoint's answer and what it says of the work.

    Only a signed answer comes from an endpoint that has handled the request.
    """

    status: int
    headers: Headers
    is_signed: bool
    is_refusal: bool
    is_misdirected: bool

    @property
    def is_success(self) -> bool:
        """Tell whether the endpoint served the request."""
        return 200 <= self.status < 300


# What happens to a request.


@dataclass(frozen=True, slots=True)
class Begin:
    """Start the work on the request."""


@dataclass(frozen=True, slots=True)
class RecordFailed:
    """Say that the record did not answer in time."""

    reason: str


@dataclass(frozen=True, slots=True)
class AnswerBegun:
    """Bring the head of an endpoint's answer."""

    exchange: int
    head: AnswerHead


# What a request asks for.


@dataclass(frozen=True, slots=True)
class Reserve:
    """Ask the record whether the turn may run."""

    command: BeginTurn
    due_at: datetime


@dataclass(frozen=True, slots=True)
class Settle:
    """Tell the record what was spent; a whole turn waits for the answer."""

    command: SettleTurn
    is_awaited: bool


@dataclass(frozen=True, slots=True)
class AskEndpoint:
    """Ask placement for an endpoint."""

    service: ServiceName
    rank: int
    tried: tuple[EndpointId, ...]
    may_repeat: bool
    due_at: datetime


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Ask placement to forget the request."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an endpoint."""

    exchange: int
    endpoint: ListedEndpoint
    body: bytes
    time_left: timedelta
    last_event: str | None


@dataclass(frozen=True, slots=True)
class CancelSend:
    """End an exchange whose answer is of no use."""

    exchange: int


@dataclass(frozen=True, slots=True)
class Release:
    """Give an endpoint's permit back."""

    permit: PermitId
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class NoteFirstPiece:
    """Tell placement that the endpoint has read the prompt."""

    permit: PermitId


@dataclass(frozen=True, slots=True)
class NotePace:
    """Tell placement how long the endpoint takes between events."""

    permit: PermitId
    pause: timedelta


@dataclass(frozen=True, slots=True)
class Answer:
    """Give the caller a whole answer of an endpoint."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Begin an answer that comes in pieces."""

    head: AnswerHead


@dataclass(frozen=True, slots=True)
class WritePiece:
    """Hand a piece of the answer on."""

    data: bytes


@dataclass(frozen=True, slots=True)
class FinishAnswer:
    """Mark the answer as complete."""


@dataclass(frozen=True, slots=True)
class AbortAnswer:
    """Break the answer off so that it does not look complete."""


@dataclass(frozen=True, slots=True)
class GiveVerdict:
    """Give the caller an answer of the system's own."""

    verdict: Verdict
    detail: str


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Log a decision with what decided it."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()
