"""Messages that a request task receives and effects of its decisions.

The `answer` of a message is the output of a call: the text that a model generated, or
the body of a service's response.
"""

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
    """The new turn of a chat completion."""

    model: str
    messages: tuple[dict[str, str], ...]
    max_tokens: int


@dataclass(frozen=True, slots=True)
class ServiceWork:
    """One call of a service that is not a model."""

    service: str
    operation: str
    body: bytes


Work = ModelWork | ServiceWork


@dataclass(frozen=True, slots=True)
class Call:
    """The call of a caller, unchanged for the lifetime of the request."""

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
    # Endpoints where the account's location rule does not allow the call to run.
    excluded: tuple[EndpointId, ...] = ()
    # The caller chose the idempotency key, so the call may be a duplicate.
    has_idempotency_key: bool = False
    trace: dict[str, str] = field(default_factory=dict)


# Types that are encoded in frames and records.
MESSAGES: tuple[type, ...] = (ModelWork, ServiceWork)

# Messages that a request task receives.


@dataclass(frozen=True, slots=True)
class Start:
    """Starts serving the call."""


@dataclass(frozen=True, slots=True)
class BeginReplyReceived:
    """Delivers the shard's reply to SubmitBegin."""

    result: Begun | RequestRecord | Refused


@dataclass(frozen=True, slots=True)
class SlotGranted:
    """Grants a permit for one attempt at an endpoint."""

    endpoint: EndpointId
    permit: PermitId
    priority: int
    is_hedge: bool


@dataclass(frozen=True, slots=True)
class SlotRefused:
    """Reports that the pool refused to queue the call."""

    reason: str
    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class AttemptRecorded:
    """Reports that the attempt is recorded durably."""

    attempt: AttemptNumber


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """Reports that the shard refused to record the attempt."""

    attempt: AttemptNumber
    reason: Reason
    detail: str


@dataclass(frozen=True, slots=True)
class ShardUnreachable:
    """Reports that the shard did not acknowledge a command in time."""

    reason: str


@dataclass(frozen=True, slots=True)
class ChunkReceived:
    """Delivers a chunk of the answer, at an offset from the attempt's first byte."""

    attempt: AttemptNumber
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """Reports that the answer is complete."""

    attempt: AttemptNumber
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class StreamFailed:
    """Reports that an attempt failed."""

    attempt: AttemptNumber
    # The endpoint may have received the call.
    was_sent: bool
    # Another attempt would fail in the same way.
    is_final: bool
    reason: str


@dataclass(frozen=True, slots=True)
class FinishRecorded:
    """Reports that the outcome is recorded durably."""


@dataclass(frozen=True, slots=True)
class FinishRefused:
    """Reports that the shard refused to record the outcome."""

    reason: str
    is_retryable: bool


@dataclass(frozen=True, slots=True)
class OwnerChecked:
    """Reports whether the node that began the call has left the deployment."""

    is_lost: bool


@dataclass(frozen=True, slots=True)
class CloseReplyReceived:
    """Reports that the run of a lost node has been closed."""


@dataclass(frozen=True, slots=True)
class LookupCompleted:
    """Reports what the endpoint has stored for a call whose answer was lost."""

    is_found: bool
    answer: bytes
    # The endpoint responded to the call with an error status.
    was_refused: bool = False


# Effects that the decision core of a request returns.


@dataclass(frozen=True, slots=True)
class SubmitBegin:
    """Records the call in the shard of its program."""


@dataclass(frozen=True, slots=True)
class CheckOwner:
    """Checks whether the node that began the same call is lost."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class SubmitClose:
    """Closes the run of a lost node."""

    run: RunId


@dataclass(frozen=True, slots=True)
class EnqueueCall:
    """Requests a slot from the pool's owner."""

    n_turns: int
    attained_tokens: int
    history_bytes: int
    # Endpoints that may have a prefix of the program's prompt cached.
    holders: tuple[EndpointId, ...]
    excluded: tuple[EndpointId, ...]


@dataclass(frozen=True, slots=True)
class WithdrawCall:
    """Removes the call from the pool's queue."""


@dataclass(frozen=True, slots=True)
class SubmitAttempt:
    """Records an attempt in the shard."""

    attempt: AttemptNumber
    endpoint: EndpointId
    reserved_tokens: int


@dataclass(frozen=True, slots=True)
class SubmitFailedAttempt:
    """Records that an attempt ended without an answer."""

    attempt: AttemptNumber
    was_sent: bool
    spent_tokens: int


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Sends the call to an endpoint and streams the answer back."""

    attempt: AttemptNumber
    endpoint: EndpointId
    priority: int
    history: tuple[Turn, ...]
    # Answer received from earlier attempts, which this one continues.
    partial_answer: bytes


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancels the stream of an attempt at its endpoint."""

    attempt: AttemptNumber


@dataclass(frozen=True, slots=True)
class LookUpCall:
    """Looks up by idempotency key at an endpoint whether a call ran."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class RelayChunk:
    """Relays a chunk of the answer to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class SubmitFinish:
    """Records the outcome in the shard."""

    outcome: Outcome
    answer: bytes
    spent_tokens: int
    context_tokens: int
    attempt: AttemptNumber | None


@dataclass(frozen=True, slots=True)
class ReleasePermit:
    """Releases a slot and reports how the endpoint performed."""

    permit: PermitId
    endpoint: EndpointId
    is_success: bool
    n_output_tokens: int
    n_computed_prompt_tokens: int
    time_to_first_token: timedelta | None
    duration: timedelta


@dataclass(frozen=True, slots=True)
class RespondToCaller:
    """Ends the response to the caller with the outcome and the answer of its call."""

    outcome: Outcome
    answer: bytes
    reason: Reason
    detail: str = ""
    retry_after: timedelta | None = None
    is_replay: bool = False


@dataclass(frozen=True, slots=True)
class EndTask:
    """Ends the request task."""
