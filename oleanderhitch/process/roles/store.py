"""Assemble the parts of a disk host."""

from dataclasses import dataclass, field
from functools import singledispatch
from pathlib import Path
from random import Random

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.peer.messages import PeerMessage
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.configuration.application import (
    ConfigurationApplication,
    make_configuration_application,
)
from oleanderhitch.process.groups.application import Application
from oleanderhitch.process.groups.messages import (
    GroupAnswer,
    GroupCall,
    LocalCall,
    StoresChanged,
)
from oleanderhitch.process.groups.placement import (
    CONFIGURATION_GROUP,
    Store,
    list_groups,
)
from oleanderhitch.process.groups.replica_manager import ReplicaManager, route
from oleanderhitch.process.ids import GroupId, NodeId
from oleanderhitch.process.leadership.core import LeadershipState
from oleanderhitch.process.leadership.task import make_leadership_task
from oleanderhitch.process.membership.core import MembershipState
from oleanderhitch.process.membership.messages import (
    GetNodeStatus,
    NodeHeartbeat,
    StatusQuery,
)
from oleanderhitch.process.membership.task import make_membership_task
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter, Gauge
from oleanderhitch.process.replication.effects import LeadershipChanged
from oleanderhitch.process.replication.replica import ReplicationTiming
from oleanderhitch.process.replication.states import Role
from oleanderhitch.process.roles.declared_stores import list_stores
from oleanderhitch.process.roles.orders import OrderParts, make_order_parts
from oleanderhitch.process.roles.store_links import StoreLinks
from oleanderhitch.process.storage.task import open_storage
from oleanderhitch.process.task import Task
from oleanderhitch.process.tracing.tracer import Tracer
from oleanderhitch.program.application import make_program_application
from oleanderhitch.program.history_file import make_file_history
from oleanderhitch.version.addresses import parse_host_port
from oleanderhitch.version.configuration import Configuration

HISTORY_FOLDER = "history"


@dataclass(slots=True)
class StoreParameters:
    """Hold where a store stands and what it talks through."""

    node: NodeId
    stores: tuple[Store, ...]
    n_shards: int
    data_dir: Path
    weight_store_bytes_per_s: float
    links: StoreLinks


@dataclass(slots=True)
class NodeConnections:
    """Hold the connection over which each node was heard last."""

    addresses: dict[NodeId, Address] = field(default_factory=dict)

    def send(self, node: NodeId, message: object) -> None:
        """Send a message to a node, or drop it when the node was never heard."""
        address = self.addresses.get(node)
        if address is not None:
            address.send(message)


@dataclass(slots=True)
class StoreParts:
    """Hold the tasks of a store."""

    host: ReplicaManager
    membership: Task[MembershipState]
    leadership: Task[LeadershipState]
    orders: OrderParts
    configuration: ConfigurationApplication
    connections: NodeConnections

    def start(self) -> None:
        """Start all tasks."""
        self.membership.start()
        self.leadership.start()
        self.orders.start()
        self.host.start()

    def stop(self) -> None:
        """Stop all tasks and close the storage."""
        self.host.stop()
        self.leadership.stop()
        self.orders.stop()
        self.membership.stop()

    def deliver(self, delivery: PeerMessage) -> None:
        """Hand a message of a peer to the part that it is for."""
        receive(delivery.message, delivery, self)


@singledispatch
def receive(message: object, delivery: PeerMessage, parts: StoreParts) -> None:
    """Hand a message to the store's own parts, all others to its groups."""
    route(message, delivery, parts.host)


@receive.register
def _(message: NodeHeartbeat, delivery: PeerMessage, parts: StoreParts) -> None:
    parts.connections.addresses[message.node] = delivery.reply
    parts.membership.send(message)


@receive.register
def _(message: GetNodeStatus, delivery: PeerMessage, parts: StoreParts) -> None:
    parts.membership.send(StatusQuery(delivery.reply))


@receive.register
def _(message: GroupCall, delivery: PeerMessage, parts: StoreParts) -> None:
    refusal = None
    if message.group == CONFIGURATION_GROUP and not message.is_read:
        refusal = parts.configuration.find_refusal(message.body)
    if refusal is None:
        route(message, delivery, parts.host)
    else:
        delivery.reply.send(GroupAnswer(message.call, refusal))


def make_store_components(
    site: StoreParameters,
    codec: Codec,
    clock: Clock,
    random_source: Random,
    metrics: Metrics,
    tracer: Tracer,
) -> StoreParts:
    """Return the parts of a store, not started yet; raise StorageError."""
    connections = NodeConnections()
    orders = make_order_parts(site.weight_store_bytes_per_s, clock, metrics)

    def follow_hosts(configuration: Configuration) -> None:
        site.links.follow(list_stores(configuration.hosts))
        orders.follow(configuration)
        addresses = {store.node: store.address for store in site.stores}
        leadership.send(StoresChanged({**addresses, **site.links.list_addresses()}))

    membership = make_membership_task(clock, connections.send, follow_hosts)
    configuration = make_configuration_application(membership)

    def make_application(group: GroupId) -> Application:
        if group == CONFIGURATION_GROUP:
            return configuration
        history = make_file_history(site.data_dir / HISTORY_FOLDER / group)
        return make_program_application(codec, history)

    def send_to_group(call: LocalCall) -> None:
        host.groups[CONFIGURATION_GROUP].send(call)

    def on_leadership(group: GroupId, change: LeadershipChanged) -> None:
        if change.role is Role.LEADER:
            metrics.count(Counter.ELECTIONS, group)
        metrics.set_gauge(Gauge.LEADER, int(change.role is Role.LEADER), group)
        if group == CONFIGURATION_GROUP:
            leadership.send(change)

    leadership = make_leadership_task(
        ReplicationTiming().election_timeout_min,
        {store.node: parse_host_port(store.address) for store in site.stores},
        send_to_group,
        (membership, orders),
        codec,
        clock,
    )
    host = ReplicaManager(
        site.node,
        site.stores,
        open_storage(site.data_dir, site.node, clock),
        site.links.get_link,
        make_application,
        clock,
        random_source,
        frozenset(list_groups(site.n_shards)),
        on_leadership,
        tracer,
    )
    return StoreParts(host, membership, leadership, orders, configuration, connections)
