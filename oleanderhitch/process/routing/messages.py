"""Define the messages and effects of the pool router of an entry host."""

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.routing.states import QueueRole
from oleanderhitch.process.scheduling.messages import (
    EndpointOffer,
    EnqueueRequest,
    ExplainSlot,
    GrantSlot,
    RefuseRequest,
    ReleaseSlot,
)
from oleanderhitch.request.ids import RequestId
from oleanderhitch.request.messages import SlotGranted, SlotRefused
from oleanderhitch.values import Value
from oleanderhitch.version.ids import PoolId


class RouteEnqueue(Value, frozen=True):
    """Queues a request of this host; grants and refusals go to the reply address."""

    enqueue: EnqueueRequest
    reply_address: Address


class RouteWithdraw(Value, frozen=True):
    """Removes a request of this host from its queue."""

    pool: PoolId
    request: RequestId


class RouteRelease(Value, frozen=True):
    """Releases a slot at the queue that granted it."""

    release: ReleaseSlot


class QueueDecided(Value, frozen=True):
    """Delivers a grant or a refusal from a queue of this host."""

    role: QueueRole
    decision: GrantSlot | RefuseRequest


class PoolsChanged(Value, frozen=True):
    """Replaces the pools, their endpoints and the number of entry hosts."""

    offers: dict[PoolId, tuple[EndpointOffer, ...]]
    n_entry_hosts: int


class OwnersChanged(Value, frozen=True):
    """Replaces the owners of pools and the addresses of entry hosts for peers."""

    owners: dict[PoolId, NodeId]
    addresses: dict[NodeId, HostAddress]


class NodesGone(Value, frozen=True):
    """Reports the entry hosts whose leases have expired."""

    nodes: tuple[NodeId, ...]


class ExplainEnqueue(Value, frozen=True):
    """Asks what the pool's queue would do with a request, which is not queued.

    The reply is SchedulingExplanation, or OwnerElsewhere if another host has the queue.
    """

    enqueue: EnqueueRequest
    reply_address: Address


class OwnerElsewhere(Value, frozen=True):
    """Reports that another entry host has the queue of a pool."""

    node: NodeId
    address: HostAddress | None


class AskQueue(Value, frozen=True):
    """Asks a queue of this host, which need not exist, for an explanation."""

    role: QueueRole
    question: ExplainSlot


class GetQueueStatus(Value, frozen=True):
    """Requests the number of waiting requests and running attempts of this host."""

    reply_address: Address


class QueueStatus(Value, frozen=True):
    """Reports the numbers of waiting requests by pool and of running attempts."""

    n_waiting: dict[PoolId, int]
    n_running: int


class SendToQueue(Value, frozen=True):
    """Sends a message to a queue of this host."""

    pool: PoolId
    role: QueueRole
    message: object


class SendToNode(Value, frozen=True):
    """Sends a message to another entry host."""

    node: NodeId
    message: object


class ReplyToNode(Value, frozen=True):
    """Sends a decision to another entry host over the connection of its last request.

    If that connection breaks, that host detects it and enqueues again.
    """

    reply_address: Address
    decision: GrantSlot | RefuseRequest


class SetPeerLinks(Value, frozen=True):
    """Opens and closes links so that exactly these entry hosts are connected."""

    addresses: dict[NodeId, HostAddress]


class NotifyRequest(Value, frozen=True):
    """Sends a message to a request task of this host."""

    reply_address: Address
    message: SlotGranted | SlotRefused


class SendReply(Value, frozen=True):
    """Sends a message to a reply address."""

    reply_address: Address
    message: QueueStatus | OwnerElsewhere
