"""Messages that a request task receives and effects of its decisions.

The `answer` of a message is the output of a call: the text that a model generated, or
the body of a service's response.
"""

from collections.abc import Mapping
from datetime import datetime, timedelta

from msgspec import field

from oleanderhitch.process.ids import NodeId
from oleanderhitch.program.ids import AccountId, ProgramId, RunId, SequenceNumber
from oleanderhitch.program.messages import Begun, Refused, RequestRecord, Turn
from oleanderhitch.request.ids import AttemptNumber, PermitId, RequestId
from oleanderhitch.request.states import Outcome, Reason
from oleanderhitch.values import Value
from oleanderhitch.version.configuration import Endpoint
from oleanderhitch.version.ids import EndpointId, PoolId


class ModelWork(Value, frozen=True):
    """The new turn of a chat completion."""

    model: str
    messages: tuple[dict[str, str], ...]
    max_tokens: int


class ServiceWork(Value, frozen=True):
    """One call of a service that is not a model."""

    service: str
    operation: str
    body: bytes


Work = ModelWork | ServiceWork


class Call(Value, frozen=True):
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


class Start(Value, frozen=True):
    """Starts serving the call."""


class BeginReplyReceived(Value, frozen=True):
    """Delivers the shard's reply to SubmitBegin."""

    result: Begun | RequestRecord | Refused


class SlotGranted(Value, frozen=True):
    """Grants a permit for one attempt at an endpoint."""

    endpoint: EndpointId
    permit: PermitId
    priority: int
    is_hedge: bool


class SlotRefused(Value, frozen=True):
    """Reports that the pool refused to queue the call."""

    reason: str
    retry_after: timedelta


class AttemptRecorded(Value, frozen=True):
    """Reports that the attempt is recorded durably."""

    attempt: AttemptNumber


class AttemptRefused(Value, frozen=True):
    """Reports that the shard refused to record the attempt."""

    attempt: AttemptNumber
    reason: Reason
    detail: str


class ShardUnreachable(Value, frozen=True):
    """Reports that the shard did not acknowledge a command in time."""

    reason: str


class ChunkReceived(Value, frozen=True):
    """Delivers a chunk of the answer, at an offset from the attempt's first byte."""

    attempt: AttemptNumber
    offset: int
    data: bytes


class StreamEnded(Value, frozen=True):
    """Reports that the answer is complete."""

    attempt: AttemptNumber
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class StreamFailed(Value, frozen=True):
    """Reports that an attempt failed."""

    attempt: AttemptNumber
    # The endpoint may have received the call.
    was_sent: bool
    # Another attempt would fail in the same way.
    is_final: bool
    reason: str


class FinishRecorded(Value, frozen=True):
    """Reports that the outcome is recorded durably."""


class FinishRefused(Value, frozen=True):
    """Reports that the shard refused to record the outcome."""

    reason: str
    is_retryable: bool


class OwnerChecked(Value, frozen=True):
    """Reports whether the node that began the call has left the deployment."""

    is_lost: bool


class CloseReplyReceived(Value, frozen=True):
    """Reports that the run of a lost node has been closed."""


class LookupCompleted(Value, frozen=True):
    """Reports what the endpoint has stored for a call whose answer was lost."""

    is_found: bool
    answer: bytes
    # The endpoint responded to the call with an error status.
    was_refused: bool = False


# Effects that the decision core of a request returns.


class SubmitBegin(Value, frozen=True):
    """Records the call in the shard of its program."""


class CheckOwner(Value, frozen=True):
    """Checks whether the node that began the same call is lost."""

    node: NodeId


class SubmitClose(Value, frozen=True):
    """Closes the run of a lost node."""

    run: RunId


class EnqueueCall(Value, frozen=True):
    """Requests a slot from the pool's owner."""

    n_turns: int
    attained_tokens: int
    history_bytes: int
    # Endpoints that may have a prefix of the program's prompt cached.
    holders: tuple[EndpointId, ...]
    excluded: tuple[EndpointId, ...]


class WithdrawCall(Value, frozen=True):
    """Removes the call from the pool's queue."""


class SubmitAttempt(Value, frozen=True):
    """Records an attempt in the shard."""

    attempt: AttemptNumber
    endpoint: EndpointId
    reserved_tokens: int


class SubmitFailedAttempt(Value, frozen=True):
    """Records that an attempt ended without an answer."""

    attempt: AttemptNumber
    was_sent: bool
    spent_tokens: int


class Dispatch(Value, frozen=True):
    """Sends the call to an endpoint and streams the answer back."""

    attempt: AttemptNumber
    endpoint: EndpointId
    priority: int
    history: tuple[Turn, ...]
    # Answer received from earlier attempts, which this one continues.
    partial_answer: bytes


class CancelAttempt(Value, frozen=True):
    """Cancels the stream of an attempt at its endpoint."""

    attempt: AttemptNumber


class LookUpCall(Value, frozen=True):
    """Looks up by idempotency key at an endpoint whether a call ran."""

    endpoint: EndpointId


class RelayChunk(Value, frozen=True):
    """Relays a chunk of the answer to the caller."""

    data: bytes


class SubmitFinish(Value, frozen=True):
    """Records the outcome in the shard."""

    outcome: Outcome
    answer: bytes
    spent_tokens: int
    context_tokens: int
    attempt: AttemptNumber | None


class ReleasePermit(Value, frozen=True):
    """Releases a slot and reports how the endpoint performed."""

    permit: PermitId
    endpoint: EndpointId
    is_success: bool
    n_output_tokens: int
    n_computed_prompt_tokens: int
    time_to_first_token: timedelta | None
    duration: timedelta


class RespondToCaller(Value, frozen=True):
    """Ends the response to the caller with the outcome and the answer of its call."""

    outcome: Outcome
    answer: bytes
    reason: Reason
    detail: str = ""
    retry_after: timedelta | None = None
    is_replay: bool = False


class EndTask(Value, frozen=True):
    """Ends the request task."""
