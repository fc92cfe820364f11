"""Define the messages and effects of the pool router of an entry host."""

from dataclasses import dataclass

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.routing.states import PoolRole
from oleanderhitch.process.scheduling.messages import (
    EndpointOffer,
    EnqueueRequest,
    GrantSlot,
    RefuseRequest,
    ReleaseSlot,
)
from oleanderhitch.request.ids import RequestId
from oleanderhitch.request.messages import SlotGranted, SlotRefused
from oleanderhitch.version.ids import PoolId


@dataclass(frozen=True, slots=True)
class RouteEnqueue:
    """Queue a request of this host; grants go to the address."""

    enqueue: EnqueueRequest
    reply: Address


@dataclass(frozen=True, slots=True)
class RouteWithdraw:
    """Take a request of this host out of its queue."""

    pool: PoolId
    request: RequestId


@dataclass(frozen=True, slots=True)
class RouteRelease:
    """Give a slot back to the queue that granted it."""

    release: ReleaseSlot


@dataclass(frozen=True, slots=True)
class PoolAnswered:
    """Bring a grant or a refusal from a queue of this host."""

    role: PoolRole
    answer: GrantSlot | RefuseRequest


@dataclass(frozen=True, slots=True)
class PoolsChanged:
    """Replace the pools, their endpoints and the number of entry hosts."""

    offers: dict[PoolId, tuple[EndpointOffer, ...]]
    n_entries: int


@dataclass(frozen=True, slots=True)
class OwnersChanged:
    """Replace the owners of pools and the peer addresses of entry hosts."""

    owners: dict[PoolId, NodeId]
    addresses: dict[NodeId, HostAddress]


@dataclass(frozen=True, slots=True)
class NodesGone:
    """Say which entry hosts have lost their lease."""

    nodes: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class GetQueueStatus:
    """Ask for the number of waiting and running requests of this host."""

    reply: Address


@dataclass(frozen=True, slots=True)
class QueueStatus:
    """Answer how many requests of this host wait and run."""

    n_waiting: dict[PoolId, int]
    n_running: int


@dataclass(frozen=True, slots=True)
class SendToPool:
    """Send a message to a queue of this host."""

    pool: PoolId
    role: PoolRole
    message: object


@dataclass(frozen=True, slots=True)
class SendToNode:
    """Send a message to another entry host."""

    node: NodeId
    message: object


@dataclass(frozen=True, slots=True)
class AnswerNode:
    """Answer another entry host over the connection that it asked over.

    When that connection breaks, the asking host notices and asks again.
    """

    reply: Address
    answer: GrantSlot | RefuseRequest


@dataclass(frozen=True, slots=True)
class LinkNodes:
    """Keep links to exactly these entry hosts."""

    addresses: dict[NodeId, HostAddress]


@dataclass(frozen=True, slots=True)
class NotifyRequest:
    """Send a message to a request task of this host."""

    reply: Address
    message: SlotGranted | SlotRefused


@dataclass(frozen=True, slots=True)
class ReportStatus:
    """Send the router's status to the address that asked."""

    reply: Address
    status: QueueStatus
