"""Define the messages and effects of the intake of an entry host."""

from dataclasses import dataclass, field
from datetime import timedelta

from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.routing.messages import (
    NodesGone,
    OwnersChanged,
    PoolsChanged,
)
from oleanderhitch.program.ids import AccountId, ProgramId, SequenceNumber
from oleanderhitch.request.ids import RequestId
from oleanderhitch.request.messages import Call, Work
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.ids import ConfigurationVersion, PoolId


@dataclass(frozen=True, slots=True)
class IncomingCall:
    """Hold a call as its caller stated it."""

    request: RequestId
    account: AccountId
    program: ProgramId
    sequence: SequenceNumber
    work: Work
    digest: str
    time_limit: timedelta
    has_idempotency_key: bool = False
    trace: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SubmitCall:
    """Ask for a call to be served; chunks and the answer go to the address."""

    call: IncomingCall
    reply: Address


@dataclass(frozen=True, slots=True)
class ProgramLimits:
    """Hold the limits that a new program gets."""

    budget_tokens: int
    n_turns_limit: int
    silence_limit: timedelta


@dataclass(frozen=True, slots=True)
class GetProgramLimits:
    """Ask whether an account may start a program and with which limits."""

    account: AccountId
    budget_tokens: int | None
    reply: Address


@dataclass(frozen=True, slots=True)
class CheckRequestOwner:
    """Ask whether a node that began a request may still be working on it."""

    request: RequestId
    node: NodeId
    reply: Address


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Bring the news that a request task ended."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """Ask for no new work and for word when the last request has ended."""

    reply: Address


@dataclass(frozen=True, slots=True)
class Drained:
    """Say that no request is in progress any more."""


@dataclass(frozen=True, slots=True)
class GetReadiness:
    """Ask whether new work is accepted."""

    reply: Address


@dataclass(frozen=True, slots=True)
class Readiness:
    """Say whether new work is accepted, and what is in progress."""

    is_ready: bool
    detail: str
    n_requests: int
    version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Start a request task."""

    call: Call
    reply: Address


@dataclass(frozen=True, slots=True)
class SendAnswer:
    """Send a message to the address that asked."""

    reply: Address
    message: object


@dataclass(frozen=True, slots=True)
class FollowEngines:
    """Follow the engines of the pools that this host owns."""

    configuration: Configuration
    owners: dict[PoolId, NodeId]


@dataclass(frozen=True, slots=True)
class RoutePools:
    """Tell the pool router about pools, owners or lost nodes."""

    message: PoolsChanged | OwnersChanged | NodesGone
