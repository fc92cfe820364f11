"""Assemble a store: a replica of the site's state and the operators' interface."""

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
from oleanderhitch.process.directory.core import ReaderAppointed
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
    StandingChanged,
    StoreHello,
)
from oleanderhitch.process.repair.task import RepairParts, make_repair_task
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
from oleanderhitch.process.site.links import TIMING, make_site_links
from oleanderhitch.process.site.messages import EntryHello, GetRouting, RoutingFound
from oleanderhitch.process.site.operators import (
    OperatorDialect,
    OperatorParts,
    make_operator_service,
)
from oleanderhitch.process.site.registry import make_site_peer_codec
from oleanderhitch.process.site.settings import StoreSettings
from oleanderhitch.process.site.subscribers import make_subscribers
from oleanderhitch.process.storage.identity import get_node
from oleanderhitch.process.storage.task import open_storage
from oleanderhitch.version.routes.configuration import CallerLimits

HELLO_INTERVAL = timedelta(milliseconds=400)
# Stores that were not heard for so long and hold no replica are forgotten.
STORE_SILENCE_LIMIT = timedelta(seconds=30)
# Time for the leadership to move before a stopping leader ends.
HANDOVER_LIMIT = timedelta(milliseconds=600)
# A replica that waits for its disk must not hold the end of the process back.
TASK_END_LIMIT = timedelta(milliseconds=300)
STATUS_TIMEOUT = timedelta(milliseconds=500)
# A leader's reads are rejected until its first entry is committed.
CONFIRM_INTERVAL = timedelta(milliseconds=50)
N_VOTERS_MIN = 3
# Commands of the group are smaller than this, whatever the routes of operators.
OPERATOR_LIMITS = CallerLimits(body_bytes=6 * 1024 * 1024)

log = logbook.Logger("store")


@dataclass(frozen=True, slots=True)
class StoreTranslation:
    """Hold what the platform's side supplies to a store."""

    dialect: OperatorDialect
    fetch_list: FetchList


class _OwnReply:
    """Hand the answers of this store's own replica to its group client."""

    def __init__(self, client: Address) -> None:
        self._client = client

    def send(self, message: object) -> None:
        """Pass an answer on."""
        self._client.send(message)


class _Confirmation:
    """Tell a store that a read of its own was answered."""

    def __init__(self, store: "Store") -> None:
        self._store = store

    def send(self, message: object) -> None:
        """Take the answer; a read that was rejected is asked again."""
        if isinstance(message, GroupAnswer):
            self._store.note_current()
        else:
            self._store.retry_confirmation()


class Store:
    """Own the tasks of a store from its start to its end."""

    def __init__(
        self,
        settings: StoreSettings,
        translation: StoreTranslation,
        clock: Clock,
        metrics: Metrics,
        end: Callable[[str, bool], None],
    ) -> None:
        site = settings.site
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._end = end
        self._stores_heard: dict[NodeId, datetime] = {}
        self._seeds = site.seeds
        self._role = Role.FOLLOWER
        self._has_started = False
        self._has_ended = False
        codec = make_site_peer_codec()
        count_bytes = make_counter(metrics, Counter.PEER_BYTES)
        self._links = make_site_links(
            site, codec, self._deliver, self._notify, count_bytes
        )
        self._client = make_group_client(
            self._list_addresses(), self._send_to_store, clock
        )
        self._storage = open_storage(
            settings.data_dir, site.node, clock, SITE_STORAGE_LIMITS
        )
        self._subscribers = make_subscribers(
            self._get_routing, self._list_stores, clock
        )
        self._application = make_site_application(
            self._subscribers.tell_all, self._tell_repair
        )
        self._directory = make_directory_task(
            translation.fetch_list, self._take_list, clock
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
            self._note_leadership,
            may_bootstrap=settings.may_found,
        )
        site_codec = self._site_codec = make_site_codec()
        n_voters = max(N_VOTERS_MIN, 2 * settings.n_losses_tolerated + 1)
        self._repair = make_repair_task(
            n_voters,
            RepairParts(SITE_GROUP, self._replica, site_codec, self.send_to_node),
            clock,
        )
        self._peers = make_peer_server(
            HostAddress(site.node),
            codec,
            Identity(site.node, site.peer_key),
            self._deliver,
            TIMING,
            count_bytes,
        )
        self._operators = make_http_server(
            settings.operator_address,
            make_operator_service(
                OperatorParts(
                    translation.dialect, SITE_GROUP, self._client, site_codec, metrics
                )
            ),
            clock,
            lambda: OPERATOR_LIMITS,
        )

    def start(self) -> None:
        """Start all tasks and listen; raise OSError."""
        self._has_started = True
        self._storage.start()
        for task in (self._client, self._directory, self._repair, self._replica):
            task.start()
        self._tell_repair()
        self._links.start()
        self._peers.start()
        self._operators.start()
        gevent.spawn(self._announce)

    def add_seeds(self, settings: StoreSettings) -> None:
        """Link to the seeds of changed settings."""
        self._seeds = settings.site.seeds
        self._learn_stores(settings.site.seeds)

    @property
    def is_leader(self) -> bool:
        """Tell whether this store's replica leads the group."""
        return self._role is Role.LEADER

    @property
    def replica_id(self) -> ReplicaId:
        """Return the id of this store's replica, which changes with its disk."""
        return self._storage.replica

    def list_voters(self) -> tuple[ReplicaId, ...]:
        """Return the voters that this store's replica knows; empty if it is busy."""
        reply = make_mailbox("status")
        request = GetReplicationStatus(0, SITE_GROUP)
        self._replica.send(OperatorCall(request, reply))
        status = reply.receive(STATUS_TIMEOUT)
        if not isinstance(status, ReplicationStatus):
            return ()
        return status.membership.voters

    def stop(self) -> None:
        """Hand the leadership over and end all tasks."""
        self._operators.drain_connections()
        if self._role is Role.LEADER:
            request = TransferLeadership()
            self._replica.send(OperatorCall(request, _OwnReply(self._client)))
            deadline = self._clock.now() + HANDOVER_LIMIT
            while self._role is Role.LEADER and self._clock.now() < deadline:
                gevent.sleep(0.02)
        self._end_tasks()

    def close(self) -> None:
        """End all tasks at once, as a crash would, and release the files."""
        self._operators.drain_connections()
        self._end_tasks()
        self._storage.close()

    def _end_tasks(self) -> None:
        self._has_ended = True
        self._operators.stop()
        self._peers.stop()
        self._links.stop()
        for task in (self._replica, self._repair, self._directory, self._client):
            task.stop()
        self._replica.join(TASK_END_LIMIT)

    # The group's task sends envelopes through this object.

    def send(self, message: object) -> None:
        """Send an envelope to the store of the receiving replica."""
        assert isinstance(message, ReplicaEnvelope)
        self.send_to_node(get_node(message.receiver), message)

    def send_to_node(self, node: NodeId, message: object) -> None:
        """Send a message to a store, whose link is opened when needed."""
        if node == self._settings.site.node:
            return
        if self._links.get_link(node) is None:
            self._learn_stores((node,))
        link = self._links.get_link(node)
        if link is not None:
            link.send(message)

    def _list_addresses(self) -> dict[NodeId, HostAddress]:
        own = self._settings.site.node
        return {own: HostAddress(own), **self._links.list_addresses()}

    def _learn_stores(self, nodes: tuple[NodeId, ...]) -> None:
        new = [
            node
            for node in nodes
            if node != self._settings.site.node and self._links.get_link(node) is None
        ]
        for node in new:
            self._links.add_node(node)
        if new:
            log.info("stores learned", stores=new)
            self._client.send(StoresChanged(self._list_addresses()))

    def _send_to_store(self, address: HostAddress, message: object) -> None:
        if address == HostAddress(self._settings.site.node):
            assert isinstance(message, GroupCall)
            self._replica.send(LocalCall(message, _OwnReply(self._client)))
            return
        link = self._links.find_by_address(address)
        if link is not None:
            link.send(message)

    def _deliver(self, delivery: PeerMessage) -> None:
        _receive(delivery.message, delivery, self)

    def _notify(self, message: object) -> None:
        self._client.send(message)

    def _announce(self) -> None:
        while not self._has_ended:
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

    def _list_stores(self) -> tuple[NodeId, ...]:
        now = self._clock.now()
        heard = {
            node
            for node, heard_at in self._stores_heard.items()
            if now - heard_at < STORE_SILENCE_LIMIT
        }
        return tuple(sorted({self._settings.site.node, *heard}))

    def note_hello(self, hello: StoreHello) -> None:
        """Take account of another store."""
        self._stores_heard[hello.node] = self._clock.now()
        self._learn_stores((hello.node, *hello.known))
        self._repair.send(hello)

    def note_entry(self, hello: EntryHello, reply: Address) -> None:
        """Answer an entry with what it lacks."""
        self._subscribers.note_entry(hello, reply)

    def note_removed(self, message: ReplicaRemoved) -> None:
        """End with an empty disk if this replica was replaced."""
        if message.replica == self._storage.replica:
            self._end("this replica was replaced; its data is dropped", True)

    def deliver_to_replica(self, message: object) -> None:
        """Hand a message to the group's replica."""
        self._replica.send(message)

    def deliver_to_client(self, message: object) -> None:
        """Hand an answer to the group client."""
        self._client.send(message)

    def _get_routing(self) -> RoutingFound:
        return self._application.routing

    def _confirm_leadership(self) -> None:
        body = self._site_codec.encode(GetRouting())
        call = GroupCall(CallId(0), SITE_GROUP, body, True)
        self._replica.send(LocalCall(call, _Confirmation(self)))

    def note_current(self) -> None:
        """Tell the routing from now on, while this store leads."""
        if self._role is Role.LEADER:
            self._subscribers.note_current()

    def retry_confirmation(self) -> None:
        """Ask again whether this store has applied all that was accepted."""
        if self._role is Role.LEADER:
            gevent.spawn_later(
                CONFIRM_INTERVAL.total_seconds(), self._confirm_leadership
            )

    def _take_list(self, found: EndpointList) -> None:
        if self._subscribers.take_list(found):
            log.info(
                "list of endpoints read",
                version=[found.version.term, found.version.number],
                n_endpoints=len(found.endpoints),
            )

    def _tell_repair(self) -> None:
        if not self._has_started:
            # Recovery restores a snapshot before the repair task exists; the
            # start tells it what was restored.
            return
        self._repair.send(StandingChanged(self._application.records))

    def _note_leadership(self, change: LeadershipChanged) -> None:
        self._role = change.role
        is_leader = change.role is Role.LEADER
        self._subscribers.note_leadership_changed(is_leader)
        if is_leader:
            self._metrics.count(Counter.ELECTIONS, SITE_GROUP)
            self._confirm_leadership()
        self._metrics.set_gauge(Gauge.LEADER, int(is_leader), SITE_GROUP)
        self._directory.send(ReaderAppointed(change.term if is_leader else None))
        if change.role is Role.STOPPED:
            self._end("the replica stopped", False)


@singledispatch
def _receive(message: object, delivery: PeerMessage, store: Store) -> None:
    log.warning("unexpected message", type=type(message).__name__, peer=delivery.node)


@_receive.register
def _(message: ReplicaEnvelope, delivery: PeerMessage, store: Store) -> None:
    store.deliver_to_replica(message)


@_receive.register
def _(message: GroupCall, delivery: PeerMessage, store: Store) -> None:
    store.deliver_to_replica(LocalCall(message, delivery.reply))


@_receive.register(GroupAnswer)
@_receive.register(GroupRedirect)
@_receive.register(GroupUncertain)
def _(message: object, delivery: PeerMessage, store: Store) -> None:
    store.deliver_to_client(message)


@_receive.register
def _(message: StoreHello, delivery: PeerMessage, store: Store) -> None:
    store.note_hello(message)


@_receive.register
def _(message: ReplicaRemoved, delivery: PeerMessage, store: Store) -> None:
    store.note_removed(message)


@_receive.register
def _(message: EntryHello, delivery: PeerMessage, store: Store) -> None:
    store.note_entry(message, delivery.reply)


def make_store(
    settings: StoreSettings,
    translation: StoreTranslation,
    clock: Clock,
    metrics: Metrics,
    end: Callable[[str, bool], None],
) -> Store:
    """Return a store that is not started yet; raise StorageError.

    `end` is called with a reason and whether the data directory is to be
    emptied when the store can't go on.
    """
    return Store(settings, translation, clock, metrics, end)
