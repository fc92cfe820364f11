"""Define the messages and effects of the intake of an entry host."""

from datetime import timedelta

from msgspec import field

from oleanderhitch.process.address import Address
from oleanderhitch.process.explaining.messages import Fact
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.routing.messages import (
    NodesGone,
    OwnersChanged,
    PoolsChanged,
)
from oleanderhitch.program.ids import AccountId, ProgramId, SequenceNumber
from oleanderhitch.request.ids import RequestId
from oleanderhitch.request.messages import Call, RespondToCaller, Work
from oleanderhitch.values import Value
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.ids import ConfigurationVersion, PoolId


class IncomingCall(Value, frozen=True):
    """Call as parsed from the caller's request, before admission.

    `has_idempotency_key` is true if the caller sent its own Idempotency-Key; otherwise
    the request id is new and the call can't be a repeat.
    """

    request: RequestId
    account: AccountId
    program: ProgramId
    sequence: SequenceNumber
    work: Work
    digest: str
    caller_timeout: timedelta
    has_idempotency_key: bool = False
    trace: dict[str, str] = field(default_factory=dict)


class SubmitCall(Value, frozen=True):
    """Submits a call; chunks and the outcome go to the reply address."""

    call: IncomingCall
    reply_address: Address


class ExplainCall(Value, frozen=True):
    """Asks whether a call would be admitted, which it is not."""

    call: IncomingCall
    reply_address: Address


class CallExplained(Value, frozen=True):
    """Reports what the intake would do with a call, and what it goes by."""

    result: Call | RespondToCaller
    version: ConfigurationVersion
    facts: tuple[Fact, ...]


class ProgramLimits(Value, frozen=True):
    """Reports the limits that apply to a new program."""

    budget_tokens: int
    n_turns_limit: int
    silence_limit: timedelta


class GetProgramLimits(Value, frozen=True):
    """Requests the limits for a new program of an account.

    The reply is ProgramLimits, or RespondToCaller if the account may not start one.
    """

    account: AccountId
    budget_tokens: int | None
    reply_address: Address


class CheckRequestOwner(Value, frozen=True):
    """Queries whether the node that began a request may still be running it."""

    request: RequestId
    node: NodeId
    reply_address: Address


class RequestEnded(Value, frozen=True):
    """Reports that a request task has ended."""

    request: RequestId


class BeginDrain(Value, frozen=True):
    """Refuses new work from now on; Drained follows when the last request has ended."""

    reply_address: Address


class Drained(Value, frozen=True):
    """Reports that no request is in progress any more."""


class GetReadiness(Value, frozen=True):
    """Requests the readiness of this host."""

    reply_address: Address


class Readiness(Value, frozen=True):
    """Reports whether new work is accepted, and the number of requests in progress.

    The fields are keys of the response to /readyz.
    """

    is_ready: bool
    detail: str
    n_requests: int
    version: ConfigurationVersion


class StartRequest(Value, frozen=True):
    """Starts a request task."""

    call: Call
    reply_address: Address


class SendReply(Value, frozen=True):
    """Sends a message to a reply address."""

    reply_address: Address
    message: object


class PropagateConfiguration(Value, frozen=True):
    """Passes the configuration and the pool owners on.

    With them, the host polls the engines of the pools that it owns and connects to the
    configured stores.
    """

    configuration: Configuration
    owners: dict[PoolId, NodeId]


class UpdateRouter(Value, frozen=True):
    """Sends changed pools, changed owners or nodes that are gone to the pool router."""

    message: PoolsChanged | OwnersChanged | NodesGone
