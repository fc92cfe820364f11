"""Define the messages and effects of the pool router of an entry host."""

from dataclasses import dataclass

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.routing.states import QueueRole
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
    """Queues a request of this host; grants and refusals go to the reply address."""

    enqueue: EnqueueRequest
    reply_address: Address


@dataclass(frozen=True, slots=True)
class RouteWithdraw:
    """Removes a request of this host from its queue."""

    pool: PoolId
    request: RequestId


@dataclass(frozen=True, slots=True)
class RouteRelease:
    """Releases a slot at the queue that granted it."""

    release: ReleaseSlot


@dataclass(frozen=True, slots=True)
class QueueDecided:
    """Delivers a grant or a refusal from a queue of this host."""

    role: QueueRole
    decision: GrantSlot | RefuseRequest


@dataclass(frozen=True, slots=True)
class PoolsChanged:
    """Replaces the pools, their endpoints and the number of entry hosts."""

    offers: dict[PoolId, tuple[EndpointOffer, ...]]
    n_entry_hosts: int


@dataclass(frozen=True, slots=True)
class OwnersChanged:
    """Replaces the owners of pools and the addresses of entry hosts for peers."""

    owners: dict[PoolId, NodeId]
    addresses: dict[NodeId, HostAddress]


@dataclass(frozen=True, slots=True)
class NodesGone:
    """Reports the entry hosts whose leases have expired."""

    nodes: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class GetQueueStatus:
    """Requests the number of waiting requests and running attempts of this host."""

    reply_address: Address


@dataclass(frozen=True, slots=True)
class QueueStatus:
    """Reports the numbers of waiting requests by pool and of running attempts."""

    n_waiting: dict[PoolId, int]
    n_running: int


@dataclass(frozen=True, slots=True)
class SendToQueue:
    """Sends a message to a queue of this host."""

    pool: PoolId
    role: QueueRole
    message: object


@dataclass(frozen=True, slots=True)
class SendToNode:
    """Sends a message to another entry host."""

    node: NodeId
    message: object


@dataclass(frozen=True, slots=True)
class ReplyToNode:
    """Sends a decision to another entry host over the connection of its last request.

    If that connection breaks, that host detects it and enqueues again.
    """

    reply_address: Address
    decision: GrantSlot | RefuseRequest


@dataclass(frozen=True, slots=True)
class SetPeerLinks:
    """Opens and closes links so that exactly these entry hosts are connected."""

    addresses: dict[NodeId, HostAddress]


@dataclass(frozen=True, slots=True)
class NotifyRequest:
    """Sends a message to a request task of this host."""

    reply_address: Address
    message: SlotGranted | SlotRefused


@dataclass(frozen=True, slots=True)
class SendReply:
    """Sends a message to a reply address."""

    reply_address: Address
    message: QueueStatus
