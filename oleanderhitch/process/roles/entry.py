"""Assemble the tasks and servers of an entry host."""

import random
import uuid
from datetime import timedelta
from functools import singledispatch

from msgspec import Struct

from oleanderhitch.connection.caller.app import make_caller_app
from oleanderhitch.connection.caller.programs import ProgramApi
from oleanderhitch.connection.caller.server import CallerServer, make_caller_server
from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.endpoint.client import make_endpoint_client
from oleanderhitch.connection.http.server_metrics import observe_servers
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.link import PeerLink, make_peer_link
from oleanderhitch.connection.peer.messages import LinkDown, PeerMessage
from oleanderhitch.connection.peer.server import PeerServer, make_peer_server
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.explaining.messages import ExplainRequest
from oleanderhitch.process.explaining.service import ExplainService
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
from oleanderhitch.process.intake.task import IntakeDependencies, make_intake
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
from oleanderhitch.process.metrics.core import (
    Metrics,
    make_counter,
    make_label_counter,
)
from oleanderhitch.process.metrics.states import Counter
from oleanderhitch.process.roles.engines import EngineComponents, make_engine_components
from oleanderhitch.process.roles.explaining import (
    EntryExplainDependencies,
    make_entry_explain_service,
)
from oleanderhitch.process.roles.status import StatusApi
from oleanderhitch.process.roles.store_access import StoreAccess
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


class EntryComponents(Struct):
    """The tasks and servers of an entry host."""

    node_task: Task[NodeCoreState]
    group_client: Task[ClientState]
    router: Task[RouterState]
    intake: Task[IntakeState]
    engines: EngineComponents
    store_access: StoreAccess
    peer_server: PeerServer
    caller_server: CallerServer
    explain_service: ExplainService

    def start(self) -> None:
        """Start all tasks, then listen for peers and callers."""
        for task in (self.group_client, self.router, self.intake, self.node_task):
            task.start()
        self.engines.start()
        self.peer_server.start()
        self.caller_server.start()

    def drain(self, timeout: timedelta) -> bool:
        """Reject new work; return whether all requests ended before the timeout."""
        mailbox = make_mailbox("drain")
        self.intake.send(BeginDrain(mailbox))
        self.node_task.send(LeaveRequested())
        return mailbox.receive(timeout) is not None

    def stop(self) -> None:
        """Close all connections and stop all tasks."""
        self.caller_server.stop()
        self.peer_server.stop()
        self.engines.stop()
        for task in (self.node_task, self.intake, self.router, self.group_client):
            task.stop()


@singledispatch
def receive(
    message: object, delivery: PeerMessage, components: EntryComponents
) -> None:
    """Deliver a peer's message to its task; unregistered types are for a store."""
    components.store_access.receive(delivery)


@receive.register(GroupAnswer)
@receive.register(GroupRedirect)
@receive.register(GroupUncertain)
def _(message: object, delivery: PeerMessage, components: EntryComponents) -> None:
    components.group_client.send(message)


@receive.register(LeaseGranted)
@receive.register(DescriptionRequested)
@receive.register(HeartbeatRedirected)
@receive.register(VersionPushed)
def _(message: object, delivery: PeerMessage, components: EntryComponents) -> None:
    components.node_task.send(message)


@receive.register(ExplainRequest)
def _(message: object, delivery: PeerMessage, components: EntryComponents) -> None:
    components.explain_service.serve(delivery)


@receive.register(EnqueueRequest)
@receive.register(WithdrawRequest)
@receive.register(ReleaseSlot)
@receive.register(HoldSlot)
@receive.register(NodeGone)
@receive.register(GrantSlot)
@receive.register(RefuseRequest)
def _(message: object, delivery: PeerMessage, components: EntryComponents) -> None:
    components.router.send(delivery)


def make_entry_components(
    settings: EntrySettings,
    store_access: StoreAccess,
    codec: Codec,
    clock: Clock,
    metrics: Metrics,
    tracer: Tracer,
) -> EntryComponents:
    """Return the tasks and servers of an entry host, not started yet."""
    node = NodeId(settings.node)
    identity = Identity(node, settings.get_key())

    count_bytes = make_counter(metrics, Counter.PEER_BYTES)

    def deliver(delivery: PeerMessage) -> None:
        receive(delivery.message, delivery, components)

    def handle_store_link_event(message: object) -> None:
        components.group_client.send(message)
        if isinstance(message, LinkDown):
            components.node_task.send(StoreUnreachable(parse_host_port(message.peer)))

    def handle_node_link_event(message: object) -> None:
        components.router.send(message)

    def make_node_link(address: HostAddress) -> PeerLink:
        return make_peer_link(
            address,
            codec,
            identity,
            deliver,
            handle_node_link_event,
            count_bytes=count_bytes,
        )

    def get_group(program: ProgramId) -> GroupId:
        return get_program_group(program, settings.n_shards)

    stores = store_access.stores
    store_access.set_callbacks(deliver, handle_store_link_event)

    def send_to_store(store: HostPort, message: object) -> None:
        store_access.send_to(HostAddress(str(store)), message)

    group_client = make_group_client(
        {store.node: store.address for store in stores}, store_access.send_to, clock
    )
    router = make_pool_router(
        node, make_node_link, PoolSettings(), clock, random.Random(uuid.uuid4().int)
    )
    budget = settings.make_server_budget()
    endpoint_client = make_endpoint_client(clock, tracer, metrics, budget.memory)
    engines = make_engine_components(
        node,
        group_client,
        [make_shard_group(shard) for shard in range(settings.n_shards)],
        get_group,
        codec,
        clock,
        metrics,
    )

    def propagate_configuration(
        configuration: Configuration, owners: dict[PoolId, NodeId]
    ) -> None:
        engines.apply_configuration(configuration, owners)
        group_client.send(
            StoresChanged(store_access.update_stores(configuration.hosts))
        )

    request_starter = _RequestStarter()
    intake = make_intake(
        node,
        DataCentreName(settings.data_centre),
        IntakeDependencies(request_starter.start, router, propagate_configuration),
        clock,
    )
    request_starter.dependencies = RequestDependencies(
        node,
        clock,
        codec,
        group_client,
        intake,
        router,
        endpoint_client,
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
    program_api = ProgramApi(group_client, intake, codec, get_group, clock, metrics)
    status_api = StatusApi(metrics, tracer, intake, router)
    app = make_caller_app(intake, program_api, status_api, tracer)
    caller_server = make_caller_server(
        HostAddress(settings.listen),
        app,
        budget,
        make_label_counter(metrics, Counter.CALLER_REFUSALS),
    )
    observe_servers(metrics, budget.memory, {"callers": caller_server.http_server})
    components = EntryComponents(
        node_task,
        group_client,
        router,
        intake,
        engines,
        store_access,
        make_peer_server(
            HostAddress(settings.peer_listen),
            codec,
            identity,
            deliver,
            count_bytes=count_bytes,
        ),
        caller_server,
        make_entry_explain_service(
            EntryExplainDependencies(
                node, clock, codec, group_client, intake, router, get_group
            ),
            metrics,
        ),
    )
    return components


class _RequestStarter:
    """Starts request tasks; the dependencies are set after the intake exists."""

    dependencies: RequestDependencies

    def start(self, call: Call, caller: Address) -> None:
        """Start a request task for a call."""
        start_request(call, caller, self.dependencies)
