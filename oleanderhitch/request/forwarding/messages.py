"""Requests to forward, the messages that they receive and their effects."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from oleanderhitch.connection.http.messages import Headers
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.placement.messages import AttemptResult, InferenceWorkload
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.turns.messages import BeginTurn, FindTurn, SettleTurn
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.request.ids import PermitId, RequestId
from oleanderhitch.version.ids import EndpointId, ServiceName


@dataclass(frozen=True, slots=True)
class ProgramTurn:
    """The program of a turn and the preceding turn, if any."""

    program: ProgramId
    budget_tokens: int | None
    previous: RequestId | None


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A caller's request, with the headers that are forwarded to endpoints."""

    request: RequestId
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    caller_timeout: timedelta | None
    affinity_key: str | None
    workload: InferenceWorkload | None
    turn: ProgramTurn | None
    last_event_id: str | None

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class EndpointResponseHead:
    """Status and headers of an endpoint's response, with what they imply.

    Only a signed response comes from an endpoint that has handled the request; a
    refusal states that the request was not run. A misdirected request has reached a
    server that is not meant to serve it.
    """

    status: int
    headers: Headers
    is_signed: bool
    is_refusal: bool
    is_misdirected: bool

    @property
    def is_success(self) -> bool:
        """Whether the endpoint served the request."""
        return 200 <= self.status < 300


# Messages that a request receives.


@dataclass(frozen=True, slots=True)
class Start:
    """Starts the work on the request."""


@dataclass(frozen=True, slots=True)
class RecordFailed:
    """Reports that the program record gave no result in time, or an unreadable one."""

    reason: str


@dataclass(frozen=True, slots=True)
class RecordAway:
    """Reports that a command was not sent, since the program record does not answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseBegun:
    """Reports that an endpoint's response has begun."""

    exchange_id: int
    head: EndpointResponseHead


# Effects. Their class names appear in log lines.


@dataclass(frozen=True, slots=True)
class ReserveTokens:
    """Reserves tokens for the turn in the program record."""

    command: BeginTurn
    deadline: datetime


@dataclass(frozen=True, slots=True)
class SearchTurn:
    """Searches the turn to continue in all groups except that of the program."""

    query: FindTurn
    program: ProgramId
    deadline: datetime


@dataclass(frozen=True, slots=True)
class SettleReservation:
    """Replaces the turn's reservation in the program record with its spend.

    The record of a completed turn is awaited.
    """

    command: SettleTurn
    is_awaited: bool


@dataclass(frozen=True, slots=True)
class RequestEndpoint:
    """Requests an endpoint from placement; a lower rank is more urgent.

    `is_retryable` means that the request can be retried after it may have run.
    """

    service: ServiceName
    rank: int
    tried: tuple[EndpointId, ...]
    is_retryable: bool
    deadline: datetime


@dataclass(frozen=True, slots=True)
class WithdrawEndpointRequest:
    """Withdraws the request for an endpoint from placement."""


@dataclass(frozen=True, slots=True)
class SendToEndpoint:
    """Sends the request to an endpoint."""

    exchange_id: int
    endpoint: ListedEndpoint
    body: bytes
    time_left: timedelta
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class CancelEndpointExchange:
    """Cancels an exchange whose response is no longer needed."""

    exchange_id: int


@dataclass(frozen=True, slots=True)
class ReturnPermit:
    """Releases the permit of an endpoint and reports the result of the attempt."""

    permit: PermitId
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class ReportFirstChunk:
    """Reports to placement that the endpoint has finished its prefill."""

    permit: PermitId


@dataclass(frozen=True, slots=True)
class ReportEventLatency:
    """Reports to placement the endpoint's mean time between two events."""

    permit: PermitId
    latency: timedelta


@dataclass(frozen=True, slots=True)
class SendResponse:
    """Sends the caller a complete response of an endpoint."""

    head: EndpointResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class StartResponse:
    """Starts a streamed response."""

    head: EndpointResponseHead


@dataclass(frozen=True, slots=True)
class WriteResponseChunk:
    """Writes a chunk of the streamed response."""

    data: bytes


@dataclass(frozen=True, slots=True)
class FinishResponse:
    """Completes the streamed response."""


@dataclass(frozen=True, slots=True)
class AbortResponse:
    """Aborts the response so that the caller can detect that it is incomplete."""


@dataclass(frozen=True, slots=True)
class SendVerdict:
    """Sends the caller a response that this system generates."""

    verdict: Verdict
    detail: str


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Logs a decision with its reasons."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()
