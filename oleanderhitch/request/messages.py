"""Define the messages of a request task and the effects of its decisions."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from oleanderhitch.process.ids import NodeId
from oleanderhitch.program.ids import AccountId, ProgramId, RunId, SequenceNumber
from oleanderhitch.program.messages import Begun, Refused, RequestRecord, Turn
from oleanderhitch.request.ids import AttemptNumber, PermitId, RequestId
from oleanderhitch.request.states import Outcome, Reason
from oleanderhitch.version.configuration import Endpoint
from oleanderhitch.version.ids import EndpointId, PoolId


@dataclass(frozen=True, slots=True)
class ModelWork:
    """Hold the new turn of a chat completion."""

    model: str
    messages: tuple[dict[str, str], ...]
    max_tokens: int


@dataclass(frozen=True, slots=True)
class ServiceWork:
    """Hold one call of a plain service."""

    service: str
    operation: str
    body: bytes


Work = ModelWork | ServiceWork


@dataclass(frozen=True, slots=True)
class Call:
    """Hold what a caller asked for; it does not change while the request lives."""

    request: RequestId
    account: AccountId
    program: ProgramId
    sequence: SequenceNumber
    pool: PoolId
    work: Work
    is_idempotent: bool
    reserved_tokens: int
    digest: str
    deadline: datetime
    endpoints: Mapping[EndpointId, Endpoint]
    excluded: tuple[EndpointId, ...] = ()
    # The caller may have sent a call with a key of its own before.
    has_caller_key: bool = False
    trace: dict[str, str] = field(default_factory=dict)


MESSAGES: tuple[type, ...] = (ModelWork, ServiceWork)

# Messages that a request task receives.


@dataclass(frozen=True, slots=True)
class Start:
    """Start serving the call."""


@dataclass(frozen=True, slots=True)
class BeginAnswered:
    """Bring the shard's answer to the begin of the call."""

    result: Begun | RequestRecord | Refused


@dataclass(frozen=True, slots=True)
class SlotGranted:
    """Bring a permit for one attempt at an endpoint."""

    endpoint: EndpointId
    permit: PermitId
    priority: int
    is_hedge: bool


@dataclass(frozen=True, slots=True)
class SlotRefused:
    """Bring the pool's refusal to queue the call."""

    reason: str
    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class AttemptRecorded:
    """Bring the news that the attempt is durable."""

    attempt: AttemptNumber


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """Bring the shard's refusal to record the attempt."""

    attempt: AttemptNumber
    reason: Reason
    detail: str


@dataclass(frozen=True, slots=True)
class ShardUnreachable:
    """Bring the news that a command was not acknowledged in time."""

    reason: str


@dataclass(frozen=True, slots=True)
class ChunkReceived:
    """Bring a piece of the answer."""

    attempt: AttemptNumber
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """Bring the end of an answer that is whole."""

    attempt: AttemptNumber
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class StreamFailed:
    """Bring the failure of an attempt."""

    attempt: AttemptNumber
    was_sent: bool
    is_final: bool
    reason: str


@dataclass(frozen=True, slots=True)
class FinishRecorded:
    """Bring the news that the outcome is durable."""


@dataclass(frozen=True, slots=True)
class FinishRefused:
    """Bring the shard's refusal to record the outcome."""

    reason: str
    is_retryable: bool


@dataclass(frozen=True, slots=True)
class OwnerChecked:
    """Say whether the node that began the call may still be working on it."""

    is_gone: bool


@dataclass(frozen=True, slots=True)
class CloseAnswered:
    """Bring the news that a call of a lost node is closed."""


@dataclass(frozen=True, slots=True)
class LookupAnswered:
    """Bring what the endpoint knows of a call whose answer was lost."""

    is_known: bool
    answer: bytes
    was_refused: bool = False


# Effects that a request core asks for.


@dataclass(frozen=True, slots=True)
class SubmitBegin:
    """Record the call in its program's shard."""


@dataclass(frozen=True, slots=True)
class CheckOwner:
    """Ask whether a node that began the same call is gone."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class SubmitClose:
    """Close the call in the name of a node that is gone."""

    run: RunId


@dataclass(frozen=True, slots=True)
class EnqueueCall:
    """Ask the pool's owner for a slot."""

    n_turns: int
    attained_tokens: int
    history_bytes: int
    holders: tuple[EndpointId, ...]
    excluded: tuple[EndpointId, ...]


@dataclass(frozen=True, slots=True)
class WithdrawCall:
    """Take the call out of the pool's queue."""


@dataclass(frozen=True, slots=True)
class SubmitAttempt:
    """Record an attempt in the shard."""

    attempt: AttemptNumber
    endpoint: EndpointId
    reserved_tokens: int


@dataclass(frozen=True, slots=True)
class SubmitFailedAttempt:
    """Record that an attempt ended without an answer."""

    attempt: AttemptNumber
    was_sent: bool
    spent_tokens: int


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the call to an endpoint and stream the answer back."""

    attempt: AttemptNumber
    endpoint: EndpointId
    priority: int
    history: tuple[Turn, ...]
    answered: bytes


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel the stream of an attempt at its endpoint."""

    attempt: AttemptNumber


@dataclass(frozen=True, slots=True)
class LookUpCall:
    """Ask an endpoint by idempotency key whether a call ran."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class RelayChunk:
    """Pass a piece of the answer on to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class SubmitFinish:
    """Record the outcome in the shard."""

    outcome: Outcome
    answer: bytes
    spent_tokens: int
    context_tokens: int
    attempt: AttemptNumber | None


@dataclass(frozen=True, slots=True)
class ReleasePermit:
    """Give a slot back to the pool with what was observed."""

    permit: PermitId
    endpoint: EndpointId
    is_success: bool
    n_output_tokens: int
    n_computed_prompt_tokens: int
    first_token: timedelta | None
    duration: timedelta


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """End the caller's answer with its outcome."""

    outcome: Outcome
    answer: bytes
    reason: Reason
    detail: str = ""
    retry_after: timedelta | None = None
    is_replay: bool = False


@dataclass(frozen=True, slots=True)
class EndTask:
    """End the request task."""
