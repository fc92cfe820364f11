"""The store: a process with a replica of the site's state and a service for operators.

A store also sends entry hosts the state that they need.
"""

import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import singledispatch

import gevent
import gevent.event
import logbook

from oleanderhitch.connection.http.server import make_http_server
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.messages import PeerMessage
from oleanderhitch.connection.peer.server import make_peer_server
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.directory.core import SetReaderTerm
from oleanderhitch.process.directory.messages import EndpointList
from oleanderhitch.process.directory.task import FetchList, make_directory_task
from oleanderhitch.process.groups.client.task import make_group_client
from oleanderhitch.process.groups.messages import (
    GroupAnswer,
    GroupCall,
    GroupRedirect,
    GroupUncertain,
    LocalCall,
    ReplicaEnvelope,
    StoresChanged,
)
from oleanderhitch.process.ids import CallId, NodeId, ReplicaId
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.metrics.core import Metrics, make_counter
from oleanderhitch.process.metrics.states import Counter, Gauge
from oleanderhitch.process.repair.messages import (
    ReplicaRemoved,
    StoreHello,
    StoreRecordsChanged,
)
from oleanderhitch.process.repair.task import RepairDependencies, make_repair_task
from oleanderhitch.process.replication.effect_handlers import OperatorCall
from oleanderhitch.process.replication.effects import LeadershipChanged
from oleanderhitch.process.replication.messages import (
    GetReplicationStatus,
    ReplicationStatus,
    TransferLeadership,
)
from oleanderhitch.process.replication.states import Role
from oleanderhitch.process.replication.task import make_group_task
from oleanderhitch.process.site.application import (
    make_site_application,
    make_site_codec,
)
from oleanderhitch.process.site.group import (
    SITE_GROUP,
    SITE_LIMITS,
    SITE_STORAGE_LIMITS,
    SITE_TIMING,
)
from oleanderhitch.process.site.links import LINK_TIMING, make_site_links
from oleanderhitch.process.site.messages import EntryHello, GetRouting, RoutingFound
from oleanderhitch.process.site.operators import (
    OperatorDependencies,
    OperatorDialect,
    make_operator_service,
)
from oleanderhitch.process.site.peer_codec import make_site_peer_codec
from oleanderhitch.process.site.settings import SiteStoreSettings
from oleanderhitch.process.site.subscribers import make_subscribers
from oleanderhitch.process.storage.identity import get_node
from oleanderhitch.process.storage.task import open_storage
from oleanderhitch.process.usage.monitor import make_usage_monitor
from oleanderhitch.version.routes.configuration import CallerLimits

CONTENTS_FOLDER = "contents"
HELLO_INTERVAL = timedelta(milliseconds=400)
# A store that has sent no hello for this long is no longer listed to other nodes. A
# replica on it can still be reached, since a replica id contains the node id.
STORE_CONTACT_TIMEOUT = timedelta(seconds=30)
# Time that a stopping leader waits for another replica to become the leader.
LEADERSHIP_TRANSFER_TIMEOUT = timedelta(milliseconds=600)
# A replica that waits for its disk must not delay the exit of the process.
REPLICA_STOP_TIMEOUT = timedelta(milliseconds=300)
STATUS_TIMEOUT = timedelta(milliseconds=500)
# A new leader rejects reads until the first entry of its term is committed.
CONFIRM_RETRY_INTERVAL = timedelta(milliseconds=50)
# One line on the process each second and one on its replica each five.
USAGE_INTERVAL = timedelta(seconds=1)
N_USAGES_PER_GROUP_STATE = 5
N_VOTERS_MIN = 3
# Commands of the group are smaller than this. The limits in the routing configuration
# apply to callers only.
OPERATOR_LIMITS = CallerLimits(body_bytes=6 * 1024 * 1024)

log = logbook.Logger("store")


@dataclass(frozen=True, slots=True)
class StoreDependencies:
    """Adapters that the platform package supplies to a store."""

    dialect: OperatorDialect
    fetch_list: FetchList


class _LocalReplyAddress:
    """Reply address that forwards the local replica's replies to the group client."""

    def __init__(self, group_client: Address) -> None:
        self._group_client = group_client

    def send(self, message: object) -> None:
        """Forward a reply."""
        self._group_client.send(message)


class _ConfirmationReplyAddress:
    """Reply address of the read that confirms that a new leader's state is current."""

    def __init__(self, store: "Store") -> None:
        self._store = store

    def send(self, message: object) -> None:
        """Record a successful read; retry a rejected one."""
        if isinstance(message, GroupAnswer):
            self._store.confirm_current()
        else:
            self._store.retry_confirmation()


class Store:
    """Owner of the tasks of a store from its start until it is stopped or closed."""

    def __init__(
        self,
        settings: SiteStoreSettings,
        dependencies: StoreDependencies,
        clock: Clock,
        metrics: Metrics,
        end_store: Callable[[str, bool], None],
    ) -> None:
        site = settings.site
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._end_store = end_store
        self._last_contact_at: dict[NodeId, datetime] = {}
        self._seeds = site.seeds
        self._role = Role.FOLLOWER
        self._has_started = False
        self._has_stopped = False
        codec = make_site_peer_codec()
        count_bytes = make_counter(metrics, Counter.PEER_BYTES)
        self._usage_monitor = make_usage_monitor(clock)
        self._links = make_site_links(
            site, codec, self._deliver, self._handle_link_event, count_bytes
        )
        self._group_client = make_group_client(
            self._list_addresses(), self._send_to_store, clock
        )
        self._storage = open_storage(
            settings.data_dir, site.node, clock, SITE_STORAGE_LIMITS
        )
        self._subscribers = make_subscribers(
            self._get_routing, self._list_stores, clock
        )
        self._application = make_site_application(
            settings.data_dir / CONTENTS_FOLDER,
            self._subscribers.notify_all,
            self._send_records_to_repair,
        )
        self._directory = make_directory_task(
            dependencies.fetch_list, self._handle_list, clock
        )
        self._replica = make_group_task(
            SITE_GROUP,
            site.node,
            site.seeds,
            self._storage,
            self._application,
            self,
            clock,
            random.Random(uuid.uuid4().int),
            SITE_TIMING,
            SITE_LIMITS,
            self._handle_leadership_change,
            may_bootstrap=settings.may_bootstrap,
        )
        site_codec = self._site_codec = make_site_codec()
        n_voters = max(N_VOTERS_MIN, 2 * settings.n_losses_tolerated + 1)
        self._repair = make_repair_task(
            n_voters,
            RepairDependencies(
                SITE_GROUP, self._replica, site_codec, self.send_to_node
            ),
            clock,
        )
        self._peer_server = make_peer_server(
            HostAddress(site.node),
            codec,
            Identity(site.node, site.peer_key),
            self._deliver,
            LINK_TIMING,
            count_bytes,
        )
        self._operator_server = make_http_server(
            settings.operator_address,
            make_operator_service(
                OperatorDependencies(
                    dependencies.dialect,
                    SITE_GROUP,
                    self._group_client,
                    site_codec,
                    metrics,
                )
            ),
            clock,
            lambda: OPERATOR_LIMITS,
        )

    def start(self) -> None:
        """Start all tasks and listen; raise OSError if an address is unavailable."""
        self._has_started = True
        self._storage.start()
        for task in (self._group_client, self._directory, self._repair, self._replica):
            task.start()
        self._send_records_to_repair()
        self._links.start()
        self._peer_server.start()
        self._operator_server.start()
        gevent.spawn(self._announce)
        self._usage_monitor.start()
        gevent.spawn(self._report_usage)

    def apply_settings(self, settings: SiteStoreSettings) -> None:
        """Open links to new seeds; ignore all other changes of the settings."""
        self._seeds = settings.site.seeds
        self._add_stores(settings.site.seeds)

    @property
    def is_leader(self) -> bool:
        """Whether this store's replica leads the group."""
        return self._role is Role.LEADER

    @property
    def replica_id(self) -> ReplicaId:
        """The id of this store's replica; a new disk gets a new id."""
        return self._storage.replica

    def list_voters(self) -> tuple[ReplicaId, ...]:
        """Return the voters known to this store's replica; empty without a reply."""
        status = self._find_status()
        return () if status is None else status.membership.voters

    def _find_status(self) -> ReplicationStatus | None:
        reply_mailbox = make_mailbox("status")
        request = GetReplicationStatus(0, SITE_GROUP)
        self._replica.send(OperatorCall(request, reply_mailbox))
        status = reply_mailbox.receive(STATUS_TIMEOUT)
        return status if isinstance(status, ReplicationStatus) else None

    def stop(self) -> None:
        """Transfer the leadership to another replica and stop all tasks."""
        self._operator_server.drain_connections()
        if self._role is Role.LEADER:
            request = TransferLeadership()
            self._replica.send(
                OperatorCall(request, _LocalReplyAddress(self._group_client))
            )
            deadline = self._clock.now() + LEADERSHIP_TRANSFER_TIMEOUT
            while self._role is Role.LEADER and self._clock.now() < deadline:
                gevent.sleep(0.02)
        self._stop_tasks()

    def close(self) -> None:
        """Stop all tasks without a leadership transfer and release the files."""
        self._operator_server.drain_connections()
        self._stop_tasks()
        self._storage.close()

    def _stop_tasks(self) -> None:
        self._has_stopped = True
        self._operator_server.stop()
        self._peer_server.stop()
        self._links.stop()
        self._usage_monitor.stop()
        for task in (self._replica, self._repair, self._directory, self._group_client):
            task.stop()
        self._replica.join(REPLICA_STOP_TIMEOUT)

    # The group's task uses this object as its transport.

    def send(self, message: object) -> None:
        """Send an envelope to the store of the receiving replica."""
        assert isinstance(message, ReplicaEnvelope)
        self.send_to_node(get_node(message.receiver), message)

    def send_to_node(self, node: NodeId, message: object) -> None:
        """Send a message to a store, opening a link if there is none."""
        if node == self._settings.site.node:
            return
        if self._links.get_link(node) is None:
            self._add_stores((node,))
        link = self._links.get_link(node)
        if link is not None:
            link.send(message)

    def _list_addresses(self) -> dict[NodeId, HostAddress]:
        own_node = self._settings.site.node
        return {own_node: HostAddress(own_node), **self._links.list_addresses()}

    def _add_stores(self, nodes: tuple[NodeId, ...]) -> None:
        new_stores = [
            node
            for node in nodes
            if node != self._settings.site.node and self._links.get_link(node) is None
        ]
        for node in new_stores:
            self._links.add_node(node)
        if new_stores:
            log.info("new stores discovered", stores=new_stores)
            self._group_client.send(StoresChanged(self._list_addresses()))

    def _send_to_store(self, address: HostAddress, message: object) -> None:
        if address == HostAddress(self._settings.site.node):
            assert isinstance(message, GroupCall)
            self._replica.send(
                LocalCall(message, _LocalReplyAddress(self._group_client))
            )
            return
        link = self._links.find_by_address(address)
        if link is not None:
            link.send(message)

    def _deliver(self, delivery: PeerMessage) -> None:
        _receive(delivery.message, delivery, self)

    def _handle_link_event(self, message: object) -> None:
        self._group_client.send(message)

    def _announce(self) -> None:
        while not self._has_stopped:
            hello = StoreHello(
                self._settings.site.host,
                self._settings.site.node,
                self._storage.replica,
                self._settings.site.data_centre,
                self._list_stores(),
            )
            self._repair.send(hello)
            for link in list(self._links.links.values()):
                link.send(hello)
            gevent.sleep(HELLO_INTERVAL.total_seconds())

    def _report_usage(self) -> None:
        n_reports = 0
        while not self._has_stopped:
            gevent.sleep(USAGE_INTERVAL.total_seconds())
            self._report_process_usage()
            n_reports += 1
            if n_reports % N_USAGES_PER_GROUP_STATE == 0:
                self._report_group_state()

    def _report_process_usage(self) -> None:
        usage = self._usage_monitor.take()
        n_waiting = max(
            (link.n_waiting for link in self._links.links.values()), default=0
        )
        delay_s = usage.loop_delay.total_seconds()
        if usage.memory_bytes is not None:
            self._metrics.set_gauge(Gauge.PROCESS_MEMORY, usage.memory_bytes)
        self._metrics.set_gauge(Gauge.LOOP_DELAY, delay_s)
        self._metrics.set_gauge(Gauge.LINK_QUEUE_LENGTH, n_waiting)
        log.info(
            "process usage",
            memory_bytes=usage.memory_bytes,
            loop_delay_ms=round(delay_s * 1000),
            link_queue_length=n_waiting,
        )

    def _report_group_state(self) -> None:
        status = self._find_status()
        n_turns = self._application.n_turns
        if status is None:
            log.warning("group state unknown", group=SITE_GROUP, n_turns=n_turns)
            return
        set_gauge = self._metrics.set_gauge
        set_gauge(Gauge.GROUP_LOG_BYTES, status.n_log_bytes, SITE_GROUP)
        set_gauge(Gauge.GROUP_SNAPSHOT_BYTES, status.n_snapshot_bytes, SITE_GROUP)
        set_gauge(Gauge.GROUP_TURNS, n_turns, SITE_GROUP)
        log.info(
            "group state",
            group=SITE_GROUP,
            role=status.role.value,
            term=status.term,
            leader=status.leader,
            commit_index=status.commit_index,
            n_uncommitted=status.last_index - status.commit_index,
            log_bytes=status.n_log_bytes,
            snapshot_bytes=status.n_snapshot_bytes,
            n_turns=n_turns,
        )

    def _list_stores(self) -> tuple[NodeId, ...]:
        now = self._clock.now()
        recent_stores = {
            node
            for node, last_contact_at in self._last_contact_at.items()
            if now - last_contact_at < STORE_CONTACT_TIMEOUT
        }
        return tuple(sorted({self._settings.site.node, *recent_stores}))

    def handle_store_hello(self, hello: StoreHello) -> None:
        """Record the contact with another store and link to the stores it lists."""
        self._last_contact_at[hello.node] = self._clock.now()
        self._add_stores((hello.node, *hello.known))
        self._repair.send(hello)

    def handle_entry_hello(self, hello: EntryHello, reply_address: Address) -> None:
        """Reply to an entry host with the state that it lacks."""
        self._subscribers.handle_hello(hello, reply_address)

    def handle_replica_removed(self, message: ReplicaRemoved) -> None:
        """Request a restart with an empty data directory if its replica was removed."""
        if message.replica == self._storage.replica:
            self._end_store("this replica was replaced; its data is dropped", True)

    def deliver_to_replica(self, message: object) -> None:
        """Forward a message to the group's replica."""
        self._replica.send(message)

    def deliver_to_group_client(self, message: object) -> None:
        """Forward a reply to the group client."""
        self._group_client.send(message)

    def _get_routing(self) -> RoutingFound:
        return self._application.routing

    def _request_confirmation(self) -> None:
        body = self._site_codec.encode(GetRouting())
        call = GroupCall(CallId(0), SITE_GROUP, body, True)
        self._replica.send(LocalCall(call, _ConfirmationReplyAddress(self)))

    def confirm_current(self) -> None:
        """Record that this store's state is current, if it still leads."""
        if self._role is Role.LEADER:
            self._subscribers.confirm_current()

    def retry_confirmation(self) -> None:
        """Retry the confirming read after a delay, if this store still leads."""
        if self._role is Role.LEADER:
            gevent.spawn_later(
                CONFIRM_RETRY_INTERVAL.total_seconds(), self._request_confirmation
            )

    def _handle_list(self, endpoint_list: EndpointList) -> None:
        if self._subscribers.update_list(endpoint_list):
            log.info(
                "list of endpoints read",
                version=[endpoint_list.version.term, endpoint_list.version.number],
                n_endpoints=len(endpoint_list.endpoints),
            )

    def _send_records_to_repair(self) -> None:
        if not self._has_started:
            # Recovery restores a snapshot before the repair task exists; `start()`
            # sends it the restored records.
            return
        self._repair.send(StoreRecordsChanged(self._application.records))

    def _handle_leadership_change(self, change: LeadershipChanged) -> None:
        self._role = change.role
        is_leader = change.role is Role.LEADER
        self._subscribers.handle_leadership_change(is_leader)
        if is_leader:
            self._metrics.count(Counter.ELECTIONS, SITE_GROUP)
            self._request_confirmation()
        self._metrics.set_gauge(Gauge.LEADER, int(is_leader), SITE_GROUP)
        self._directory.send(SetReaderTerm(change.term if is_leader else None))
        if change.role is Role.STOPPED:
            self._end_store("the replica stopped", False)


@singledispatch
def _receive(message: object, delivery: PeerMessage, store: Store) -> None:
    log.warning(
        "unexpected message type", type=type(message).__name__, peer=delivery.node
    )


@_receive.register
def _(message: ReplicaEnvelope, delivery: PeerMessage, store: Store) -> None:
    store.deliver_to_replica(message)


@_receive.register
def _(message: GroupCall, delivery: PeerMessage, store: Store) -> None:
    store.deliver_to_replica(LocalCall(message, delivery.reply_address))


@_receive.register(GroupAnswer)
@_receive.register(GroupRedirect)
@_receive.register(GroupUncertain)
def _(message: object, delivery: PeerMessage, store: Store) -> None:
    store.deliver_to_group_client(message)


@_receive.register
def _(message: StoreHello, delivery: PeerMessage, store: Store) -> None:
    store.handle_store_hello(message)


@_receive.register
def _(message: ReplicaRemoved, delivery: PeerMessage, store: Store) -> None:
    store.handle_replica_removed(message)


@_receive.register
def _(message: EntryHello, delivery: PeerMessage, store: Store) -> None:
    store.handle_entry_hello(message, delivery.reply_address)


def make_store(
    settings: SiteStoreSettings,
    dependencies: StoreDependencies,
    clock: Clock,
    metrics: Metrics,
    end_store: Callable[[str, bool], None],
) -> Store:
    """Return a store that is not started yet; raise StorageError.

    `end_store` is called when the store can't continue, with the reason and whether the
    data directory must be emptied before a restart.
    """
    return Store(settings, dependencies, clock, metrics, end_store)
