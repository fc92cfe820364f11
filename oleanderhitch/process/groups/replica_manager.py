"""Run a store's replicas of all groups and route messages to them."""

from collections.abc import Callable, Sequence
from functools import partial, singledispatch
from random import Random

import logbook
from msgspec import Struct, field

from oleanderhitch.connection.peer.messages import PeerMessage
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.application import Application
from oleanderhitch.process.groups.messages import (
    GetStoreIdentity,
    GroupCall,
    GroupRedirect,
    LocalCall,
    ReplicaEnvelope,
    StoreIdentity,
)
from oleanderhitch.process.groups.placement import Store, choose_replicas
from oleanderhitch.process.ids import GroupId, NodeId
from oleanderhitch.process.replication.effect_handlers import GroupState, OperatorCall
from oleanderhitch.process.replication.effects import LeadershipChanged
from oleanderhitch.process.replication.messages import OPERATOR_REQUESTS
from oleanderhitch.process.replication.task import make_group_task
from oleanderhitch.process.storage.identity import get_node
from oleanderhitch.process.storage.task import Storage
from oleanderhitch.process.task import Task
from oleanderhitch.process.tracing.states import Hop
from oleanderhitch.process.tracing.tracer import HopSpan, Tracer
from oleanderhitch.request.ids import RequestId

FindLink = Callable[[NodeId], Address | None]
MakeApplication = Callable[[GroupId], Application]
GroupLeadershipCallback = Callable[[GroupId, LeadershipChanged], None]

log = logbook.Logger("groups")


class EnvelopeTransport:
    """Transport that sends envelopes to the node that runs the receiving replica."""

    def __init__(
        self, node: NodeId, find_link: FindLink, local_receiver: Address
    ) -> None:
        self._node = node
        self._find_link = find_link
        self._local_receiver = local_receiver

    def send(self, message: object) -> None:
        """Send an envelope, or drop it if there is no link to the node."""
        assert isinstance(message, ReplicaEnvelope)
        node = get_node(message.receiver)
        link = self._local_receiver if node == self._node else self._find_link(node)
        if link is not None:
            link.send(message)


class TracingReplyAddress:
    """Reply address that ends the trace span of a call when the reply is sent."""

    def __init__(self, reply_address: Address, span: HopSpan) -> None:
        self._reply_address = reply_address
        self._span = span

    def send(self, message: object) -> None:
        """End the span and forward the reply."""
        self._span.set_attribute("answer", type(message).__name__)
        self._span.end()
        self._reply_address.send(message)


class ReplicaManager(Struct):
    """Tasks of the group replicas that one process runs."""

    node: NodeId
    stores: Sequence[Store]
    storage: Storage
    find_link: FindLink
    make_application: MakeApplication
    clock: Clock
    random_source: Random
    known_groups: frozenset[GroupId]
    on_group_leadership_change: GroupLeadershipCallback
    tracer: Tracer
    groups: dict[GroupId, Task[GroupState]] = field(default_factory=dict)

    def start(self) -> None:
        """Start the storage and this node's replicas.

        They are those placed on this node and those with state in its data directory,
        such as replicas that were added to a group later.
        """
        self.storage.start()
        for group in sorted(self.known_groups):
            is_placed = self.node in choose_replicas(group, self.stores)
            if is_placed or group in self.storage.groups:
                self.start_replica(group)

    def start_replica(self, group: GroupId) -> Task[GroupState]:
        """Start this node's replica of a group."""
        task = make_group_task(
            group,
            self.node,
            choose_replicas(group, self.stores),
            self.storage,
            self.make_application(group),
            EnvelopeTransport(self.node, self.find_link, self),
            self.clock,
            Random(self.random_source.getrandbits(64)),
            on_leadership_change=partial(self.on_group_leadership_change, group),
        )
        self.groups[group] = task
        task.start()
        return task

    def send(self, message: object) -> None:
        """Deliver an envelope between two replicas of this process."""
        assert isinstance(message, ReplicaEnvelope)
        route(message, PeerMessage(self.node, message, self), self)

    def stop(self) -> None:
        """Stop all replicas and close the storage."""
        for task in self.groups.values():
            task.stop()
        for task in self.groups.values():
            task.join()
        self.storage.close()

    def get_or_start_replica(self, group: GroupId) -> Task[GroupState] | None:
        """Return the task of a group, or None if the group is not known.

        A replica that does not run yet is started, since this node may be added to a
        group after the process has started.
        """
        task = self.groups.get(group)
        if task is None and group in self.known_groups:
            task = self.start_replica(group)
        return task


@singledispatch
def route(message: object, delivery: PeerMessage, manager: ReplicaManager) -> None:
    """Deliver a peer's message to the task that handles it."""
    log.warning(
        "{} sent a message of unsupported type {}", delivery.node, type(message)
    )


@route.register
def _(message: GroupCall, delivery: PeerMessage, manager: ReplicaManager) -> None:
    task = manager.groups.get(message.group)
    if task is None:
        delivery.reply_address.send(GroupRedirect(message.call, None))
    else:
        span = manager.tracer.start_hop(Hop.SHARD, RequestId(""), message.trace)
        span.set_attribute("group", message.group)
        task.send(LocalCall(message, TracingReplyAddress(delivery.reply_address, span)))


@route.register
def _(message: ReplicaEnvelope, delivery: PeerMessage, manager: ReplicaManager) -> None:
    task = manager.get_or_start_replica(message.group)
    if task is not None:
        task.send(message)


@route.register
def _(
    message: GetStoreIdentity, delivery: PeerMessage, manager: ReplicaManager
) -> None:
    groups = tuple(sorted(manager.groups))
    delivery.reply_address.send(
        StoreIdentity(manager.node, manager.storage.replica, groups)
    )


def _route_operator_request(
    message: object, delivery: PeerMessage, manager: ReplicaManager
) -> None:
    group: GroupId = message.group  # type: ignore[attr-defined]
    task = manager.get_or_start_replica(group)
    if task is not None:
        task.send(OperatorCall(message, delivery.reply_address))


for _request_type in OPERATOR_REQUESTS:
    route.register(_request_type, _route_operator_request)
