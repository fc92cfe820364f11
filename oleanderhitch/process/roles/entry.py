"""Assemble the parts of an entry host."""

import random
import uuid
from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatch

from oleanderhitch.connection.caller.app import make_caller_app
from oleanderhitch.connection.caller.programs import ProgramApi
from oleanderhitch.connection.caller.server import CallerServer, make_caller_server
from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.endpoint.client import make_endpoint_client
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.link import PeerLink, make_peer_link
from oleanderhitch.connection.peer.messages import LinkDown, PeerMessage
from oleanderhitch.connection.peer.server import PeerServer, make_peer_server
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.client.core import ClientState
from oleanderhitch.process.groups.client.task import make_group_client
from oleanderhitch.process.groups.messages import (
    GroupAnswer,
    GroupRedirect,
    GroupUncertain,
    StoresChanged,
)
from oleanderhitch.process.groups.placement import get_program_group, make_shard_group
from oleanderhitch.process.ids import GroupId, NodeId
from oleanderhitch.process.intake.core import IntakeState
from oleanderhitch.process.intake.messages import BeginDrain
from oleanderhitch.process.intake.task import IntakeServices, make_intake
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.membership.messages import (
    DescriptionRequested,
    HeartbeatRedirected,
    LeaseGranted,
    VersionPushed,
)
from oleanderhitch.process.membership.node.core import NodeCoreState, make_node_state
from oleanderhitch.process.membership.node.messages import (
    LeaveRequested,
    StoreUnreachable,
)
from oleanderhitch.process.membership.node.task import make_node_task
from oleanderhitch.process.metrics.core import Metrics, make_counter
from oleanderhitch.process.metrics.states import Counter
from oleanderhitch.process.roles.engines import EngineParts, make_engine_parts
from oleanderhitch.process.roles.links import StoreAccess
from oleanderhitch.process.roles.status import StatusFront
from oleanderhitch.process.routing.core import RouterState
from oleanderhitch.process.routing.task import make_pool_router
from oleanderhitch.process.scheduling.messages import (
    EnqueueRequest,
    GrantSlot,
    HoldSlot,
    NodeGone,
    RefuseRequest,
    ReleaseSlot,
    WithdrawRequest,
)
from oleanderhitch.process.scheduling.settings import PoolSettings
from oleanderhitch.process.settings import EntrySettings
from oleanderhitch.process.task import Task
from oleanderhitch.process.tracing.tracer import Tracer
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.request.messages import Call
from oleanderhitch.request.task import RequestDependencies, start_request
from oleanderhitch.version.addresses import HostPort, parse_host_port
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.ids import DataCentreName, PoolId
from oleanderhitch.version.states import HostRole


@dataclass(slots=True)
class EntryParts:
    """Hold the tasks of an entry host."""

    node: Task[NodeCoreState]
    groups: Task[ClientState]
    router: Task[RouterState]
    intake: Task[IntakeState]
    engines: EngineParts
    access: StoreAccess
    peers: PeerServer
    callers: CallerServer

    def start(self) -> None:
        """Start all tasks, then listen for peers and callers."""
        for task in (self.groups, self.router, self.intake, self.node):
            task.start()
        self.engines.start()
        self.peers.start()
        self.callers.start()

    def drain(self, timeout: timedelta) -> bool:
        """Take no new work; return whether all requests ended in time."""
        mailbox = make_mailbox("drain")
        self.intake.send(BeginDrain(mailbox))
        self.node.send(LeaveRequested())
        return mailbox.receive(timeout) is not None

    def stop(self) -> None:
        """Close all connections and stop all tasks."""
        self.callers.stop()
        self.peers.stop()
        self.engines.stop()
        for task in (self.node, self.intake, self.router, self.groups):
            task.stop()


@singledispatch
def receive(message: object, delivery: PeerMessage, parts: EntryParts) -> None:
    """Hand a message of a peer to the part that it is for."""
    parts.access.receive(delivery)


@receive.register(GroupAnswer)
@receive.register(GroupRedirect)
@receive.register(GroupUncertain)
def _(message: object, delivery: PeerMessage, parts: EntryParts) -> None:
    parts.groups.send(message)


@receive.register(LeaseGranted)
@receive.register(DescriptionRequested)
@receive.register(HeartbeatRedirected)
@receive.register(VersionPushed)
def _(message: object, delivery: PeerMessage, parts: EntryParts) -> None:
    parts.node.send(message)


@receive.register(EnqueueRequest)
@receive.register(WithdrawRequest)
@receive.register(ReleaseSlot)
@receive.register(HoldSlot)
@receive.register(NodeGone)
@receive.register(GrantSlot)
@receive.register(RefuseRequest)
def _(message: object, delivery: PeerMessage, parts: EntryParts) -> None:
    parts.router.send(delivery)


def make_entry_parts(
    settings: EntrySettings,
    access: StoreAccess,
    codec: Codec,
    clock: Clock,
    metrics: Metrics,
    tracer: Tracer,
) -> EntryParts:
    """Return the parts of an entry host, not started yet."""
    node = NodeId(settings.node)
    identity = Identity(node, settings.get_key())

    count_bytes = make_counter(metrics, Counter.PEER_BYTES)

    def deliver(delivery: PeerMessage) -> None:
        receive(delivery.message, delivery, parts)

    def notify_store(message: object) -> None:
        parts.groups.send(message)
        if isinstance(message, LinkDown):
            parts.node.send(StoreUnreachable(parse_host_port(message.peer)))

    def notify_node(message: object) -> None:
        parts.router.send(message)

    def make_node_link(address: HostAddress) -> PeerLink:
        return make_peer_link(
            address,
            codec,
            identity,
            deliver,
            notify_node,
            count_bytes=count_bytes,
        )

    def get_group(program: ProgramId) -> GroupId:
        return get_program_group(program, settings.n_shards)

    stores = access.stores
    access.open(deliver, notify_store)

    def send_to_store(store: HostPort, message: object) -> None:
        access.send_to(HostAddress(str(store)), message)

    groups = make_group_client(
        {store.node: store.address for store in stores}, access.send_to, clock
    )
    router = make_pool_router(
        node, make_node_link, PoolSettings(), clock, random.Random(uuid.uuid4().int)
    )
    attempts = make_endpoint_client(clock, tracer, metrics)
    engines = make_engine_parts(
        node,
        groups,
        [make_shard_group(shard) for shard in range(settings.n_shards)],
        get_group,
        codec,
        clock,
        metrics,
    )

    def follow(configuration: Configuration, owners: dict[PoolId, NodeId]) -> None:
        engines.follow(configuration, owners)
        groups.send(StoresChanged(access.follow(configuration.hosts)))

    services = _RequestStarter()
    intake = make_intake(
        node,
        DataCentreName(settings.data_centre),
        IntakeServices(services.start, router, follow),
        clock,
    )
    services.services = RequestDependencies(
        node,
        clock,
        codec,
        groups,
        intake,
        router,
        attempts,
        get_group,
        metrics,
        tracer,
    )
    node_task = make_node_task(
        make_node_state(
            node,
            uuid.uuid4().hex,
            HostRole.ENTRY,
            DataCentreName(settings.data_centre),
            parse_host_port(settings.peer_listen),
            [parse_host_port(store.address) for store in stores],
        ),
        clock,
        send_to_store,
        intake,
    )
    programs = ProgramApi(groups, intake, codec, get_group, clock, metrics)
    status = StatusFront(metrics, tracer, intake, router)
    app = make_caller_app(intake, programs, status, tracer)
    parts = EntryParts(
        node_task,
        groups,
        router,
        intake,
        engines,
        access,
        make_peer_server(
            HostAddress(settings.peer_listen),
            codec,
            identity,
            deliver,
            count_bytes=count_bytes,
        ),
        make_caller_server(HostAddress(settings.listen), app),
    )
    return parts


class _RequestStarter:
    """Start requests with services that are known only later."""

    services: RequestDependencies

    def start(self, call: Call, caller: Address) -> None:
        """Start serving a call."""
        start_request(call, caller, self.services)
