"""Assemble the tasks of a store, which runs on a disk host."""

from functools import singledispatch
from pathlib import Path
from random import Random

from msgspec import Struct, field

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
    GetLocalNodeStatus,
    GetNodeStatus,
    NodeHeartbeat,
)
from oleanderhitch.process.membership.task import make_membership_task
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter, Gauge
from oleanderhitch.process.replication.effects import LeadershipChanged
from oleanderhitch.process.replication.replica import ReplicationTiming
from oleanderhitch.process.replication.states import Role
from oleanderhitch.process.roles.declared_stores import list_declared_stores
from oleanderhitch.process.roles.orders import EngineOrders, make_engine_orders
from oleanderhitch.process.roles.store_links import StoreLinks
from oleanderhitch.process.storage.task import open_storage
from oleanderhitch.process.task import Task
from oleanderhitch.process.tracing.tracer import Tracer
from oleanderhitch.program.application import make_program_application
from oleanderhitch.program.history_file import make_file_history
from oleanderhitch.version.addresses import parse_host_port
from oleanderhitch.version.configuration import Configuration

HISTORY_FOLDER = "history"


class StoreParameters(Struct):
    """Identity, settings and links of a store."""

    node: NodeId
    stores: tuple[Store, ...]
    n_shards: int
    data_dir: Path
    weight_store_bytes_per_s: float
    links: StoreLinks


class NodeReplyAddresses(Struct):
    """The reply address of each node's last heartbeat."""

    addresses: dict[NodeId, Address] = field(default_factory=dict)

    def send(self, node: NodeId, message: object) -> None:
        """Send a message to a node, or drop it if the node sent no heartbeat yet."""
        address = self.addresses.get(node)
        if address is not None:
            address.send(message)


class StoreComponents(Struct):
    """The tasks of a store."""

    replica_manager: ReplicaManager
    membership: Task[MembershipState]
    leadership: Task[LeadershipState]
    engine_orders: EngineOrders
    configuration_application: ConfigurationApplication
    reply_addresses: NodeReplyAddresses

    def start(self) -> None:
        """Start all tasks."""
        self.membership.start()
        self.leadership.start()
        self.engine_orders.start()
        self.replica_manager.start()

    def stop(self) -> None:
        """Stop all tasks and close the storage."""
        self.replica_manager.stop()
        self.leadership.stop()
        self.engine_orders.stop()
        self.membership.stop()

    def deliver(self, delivery: PeerMessage) -> None:
        """Deliver a peer's message to the task that handles it."""
        receive(delivery.message, delivery, self)


@singledispatch
def receive(
    message: object, delivery: PeerMessage, components: StoreComponents
) -> None:
    """Deliver a peer's message to its task; unregistered types are for a replica."""
    route(message, delivery, components.replica_manager)


@receive.register
def _(
    message: NodeHeartbeat, delivery: PeerMessage, components: StoreComponents
) -> None:
    components.reply_addresses.addresses[message.node] = delivery.reply_address
    components.membership.send(message)


@receive.register
def _(
    message: GetNodeStatus, delivery: PeerMessage, components: StoreComponents
) -> None:
    components.membership.send(GetLocalNodeStatus(delivery.reply_address))


@receive.register
def _(message: GroupCall, delivery: PeerMessage, components: StoreComponents) -> None:
    refusal = None
    if message.group == CONFIGURATION_GROUP and not message.is_read:
        refusal = components.configuration_application.find_refusal(message.body)
    if refusal is None:
        route(message, delivery, components.replica_manager)
    else:
        delivery.reply_address.send(GroupAnswer(message.call, refusal))


def make_store_components(
    parameters: StoreParameters,
    codec: Codec,
    clock: Clock,
    random_source: Random,
    metrics: Metrics,
    tracer: Tracer,
) -> StoreComponents:
    """Return the tasks of a store, not started yet; raise StorageError."""
    reply_addresses = NodeReplyAddresses()
    engine_orders = make_engine_orders(
        parameters.weight_store_bytes_per_s, clock, metrics
    )

    def apply_configuration(configuration: Configuration) -> None:
        parameters.links.update_stores(list_declared_stores(configuration.hosts))
        engine_orders.apply_configuration(configuration)
        addresses = {store.node: store.address for store in parameters.stores}
        leadership.send(
            StoresChanged({**addresses, **parameters.links.list_addresses()})
        )

    membership = make_membership_task(clock, reply_addresses.send, apply_configuration)
    configuration_application = make_configuration_application(membership)

    def make_application(group: GroupId) -> Application:
        if group == CONFIGURATION_GROUP:
            return configuration_application
        history = make_file_history(parameters.data_dir / HISTORY_FOLDER / group)
        return make_program_application(codec, history)

    def send_to_group(call: LocalCall) -> None:
        replica_manager.groups[CONFIGURATION_GROUP].send(call)

    def on_group_leadership_change(group: GroupId, change: LeadershipChanged) -> None:
        if change.role is Role.LEADER:
            metrics.count(Counter.ELECTIONS, group)
        metrics.set_gauge(Gauge.LEADER, int(change.role is Role.LEADER), group)
        if group == CONFIGURATION_GROUP:
            leadership.send(change)

    leadership = make_leadership_task(
        ReplicationTiming().election_timeout_min,
        {store.node: parse_host_port(store.address) for store in parameters.stores},
        send_to_group,
        (membership, engine_orders),
        codec,
        clock,
    )
    replica_manager = ReplicaManager(
        parameters.node,
        parameters.stores,
        open_storage(parameters.data_dir, parameters.node, clock),
        parameters.links.get_link,
        make_application,
        clock,
        random_source,
        frozenset(list_groups(parameters.n_shards)),
        on_group_leadership_change,
        tracer,
    )
    return StoreComponents(
        replica_manager,
        membership,
        leadership,
        engine_orders,
        configuration_application,
        reply_addresses,
    )
