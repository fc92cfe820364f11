"""The store: a process with replicas of the site's groups and a service for operators.

A store also sends entry hosts the state that they need.
"""

from collections.abc import Callable
from datetime import datetime, timedelta
from functools import singledispatch

import gevent
import gevent.event
import logbook

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.http.budget import make_server_budget
from oleanderhitch.connection.http.server import make_http_server
from oleanderhitch.connection.http.server_metrics import observe_servers
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.link import PeerLink
from oleanderhitch.connection.peer.messages import PeerMessage
from oleanderhitch.connection.peer.server import make_peer_server
from oleanderhitch.exceptions import OleanderhitchError
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
from oleanderhitch.process.ids import CallId, GroupId, NodeId, ReplicaId
from oleanderhitch.process.metrics.core import (
    Metrics,
    make_counter,
    make_label_counter,
)
from oleanderhitch.process.metrics.states import Counter, Gauge
from oleanderhitch.process.placement.messages import SendPermitRequest
from oleanderhitch.process.quotas.messages import (
    CreditRequest,
    GetLedger,
    LedgerHandedOver,
)
from oleanderhitch.process.repair.core import BalanceSlot
from oleanderhitch.process.repair.damage import LeadershipWatch, is_majority_proven
from oleanderhitch.process.repair.messages import ReplicaRemoved, StoreHello
from oleanderhitch.process.replication.effect_handlers import (
    OperatorCall,
    make_any_replica_receiver,
)
from oleanderhitch.process.replication.effects import LeadershipChanged
from oleanderhitch.process.replication.messages import (
    GetLeaderContact,
    LeaderContact,
)
from oleanderhitch.process.replication.states import Role
from oleanderhitch.process.site.application import make_site_codec
from oleanderhitch.process.site.currency import (
    BeginRead,
    ConfirmHellos,
    CurrencyState,
    HelloArrived,
    LeadershipObserved,
    ReadCompleted,
    ReadFailed,
    ReadNumber,
)
from oleanderhitch.process.site.currency import handle as handle_currency
from oleanderhitch.process.site.group import SITE_GROUP, SITE_GROUPS
from oleanderhitch.process.site.links import LINK_TIMING, make_site_links
from oleanderhitch.process.site.member import (
    GroupMember,
    MemberDependencies,
    MemberSettings,
    make_group_member,
    set_aside_directory,
)
from oleanderhitch.process.site.messages import (
    EntryHello,
    GetRouting,
    RoutingFound,
    StoreAnnouncement,
)
from oleanderhitch.process.site.operators import (
    OperatorDependencies,
    OperatorDialect,
    make_operator_service,
)
from oleanderhitch.process.site.peer_codec import make_site_peer_codec
from oleanderhitch.process.site.quota_lender import QuotaLender, make_quota_lender
from oleanderhitch.process.site.settings import SiteStoreSettings
from oleanderhitch.process.site.subscribers import make_subscribers
from oleanderhitch.process.storage.exceptions import DamagedDataError
from oleanderhitch.process.storage.identity import IDENTITY_FILE, get_node
from oleanderhitch.process.task import make_task
from oleanderhitch.process.usage.monitor import make_usage_monitor
from oleanderhitch.values import Value
from oleanderhitch.version.routes.configuration import CallerLimits, RouteTable

ANNOUNCEMENT_INTERVAL = timedelta(milliseconds=400)
# Leaders tell all stores that they lead and need to know which stores there are. The
# others tell each other less often, since this grows with the square of the stores.
N_ANNOUNCEMENTS_PER_BROADCAST = 5
# A leader that has missed two announcements may have failed, so that calls are no
# longer redirected to it.
LEADER_ANNOUNCEMENT_TTL = timedelta(milliseconds=1000)
# A store that has sent no announcement for this long is no longer listed to other
# nodes. A replica on it can still be reached, since a replica id contains the node id.
STORE_CONTACT_TIMEOUT = timedelta(seconds=30)
# Time that a stopping leader waits for other replicas to become the leaders.
LEADERSHIP_TRANSFER_TIMEOUT = timedelta(milliseconds=600)
# A new leader rejects reads until the first entry of its term is committed.
CONFIRM_RETRY_INTERVAL = timedelta(milliseconds=50)
# Short against the time for which a leader must have been announced.
DAMAGE_CHECK_INTERVAL = timedelta(milliseconds=100)
# One line on the process each second and one on each replica each five.
USAGE_INTERVAL = timedelta(seconds=1)
# A process that passes its memory limit while it recovers may run for less than a
# second.
START_USAGE_INTERVAL = timedelta(milliseconds=200)
N_START_USAGES = 10
N_USAGES_PER_GROUP_STATE = 5
N_VOTERS_MIN = 3
# Commands of the group are smaller than this. The limits in the routing configuration
# apply to callers only.
OPERATOR_LIMITS = CallerLimits(body_bytes=6 * 1024 * 1024)

log = logbook.Logger("store")


class StoreDependencies(Value, frozen=True):
    """Adapters that the platform package supplies to a store."""

    dialect: OperatorDialect
    fetch_list: FetchList
    read_routing: Callable[[bytes], RouteTable]


class StoreContact(Value, frozen=True):
    """The groups that another store leads, and the time of its last announcement."""

    led: tuple[GroupId, ...]
    last_contact_at: datetime


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


class _CurrencyReplyAddress:
    """Reply address of one read that confirms the hellos of entry hosts."""

    def __init__(self, read: ReadNumber, currency: Address, codec: Codec) -> None:
        self._read = read
        self._currency = currency
        self._codec = codec

    def send(self, message: object) -> None:
        """Report the version that the read found, or that it found none."""
        result = None
        if isinstance(message, GroupAnswer):
            result = self._codec.decode(message.body)
        if isinstance(result, RoutingFound):
            self._currency.send(ReadCompleted(self._read, result.version))
        else:
            self._currency.send(ReadFailed(self._read))


class _OwnContactAddress:
    """Reply address of the question for the last leader of this store's replica."""

    def __init__(self, lender: QuotaLender) -> None:
        self._lender = lender

    def send(self, message: object) -> None:
        """Report the contact to the lender."""
        assert isinstance(message, LeaderContact)
        self._lender.handle_contact(message, is_own=True)


class Store:
    """Owner of the tasks of a store from its start until it is stopped or closed."""

    def __init__(
        self,
        settings: SiteStoreSettings,
        dependencies: StoreDependencies,
        clock: Clock,
        boot_clock: Clock,
        metrics: Metrics,
        end_process: Callable[[str], None],
    ) -> None:
        site = settings.site
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._end_process = end_process
        self._announced_stores: dict[NodeId, StoreContact] = {}
        self._announcement_due = gevent.event.Event()
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
        self._local_reply_address = _LocalReplyAddress(self._group_client)
        self._subscribers = make_subscribers(
            self._get_routing, self._list_stores, self._find_site_leader, clock
        )
        self._currency = make_task(
            "currency",
            CurrencyState(),
            handle_currency,
            self._perform_currency,
            clock,
            find_next_tick=lambda state: state.next_tick_at,
        )
        self._quota_lender = make_quota_lender(
            site.quota_bounds,
            self._get_routing,
            dependencies.read_routing,
            self._request_read,
            self._request_ledger,
            boot_clock,
            metrics,
        )
        self._directory = make_directory_task(
            dependencies.fetch_list, self._handle_list, clock
        )
        self._site_codec = make_site_codec()
        member_dependencies = MemberDependencies(
            self,
            self.send_to_node,
            self._site_codec,
            self._handle_leadership_change,
            self._handle_routing_change,
            end_process,
        )
        self._members = {
            group: make_group_member(
                self._make_member_settings(group), member_dependencies, clock
            )
            for group in SITE_GROUPS
        }
        self._peer_server = make_peer_server(
            HostAddress(site.node),
            codec,
            Identity(site.node, site.peer_key),
            self._deliver,
            LINK_TIMING,
            count_bytes,
        )
        # Operators have a budget of their own: what stores hold is not theirs.
        budget = make_server_budget(site.memory_limit_bytes, site.n_descriptors_limit)
        self._operator_server = make_http_server(
            settings.operator_address,
            make_operator_service(
                OperatorDependencies(
                    dependencies.dialect, self._group_client, self._site_codec, metrics
                )
            ),
            clock,
            lambda: OPERATOR_LIMITS,
            budget,
            make_label_counter(metrics, Counter.CALLER_REFUSALS),
        )
        observe_servers(metrics, budget.memory, {"operators": self._operator_server})

    def _make_member_settings(self, group: GroupId) -> MemberSettings:
        settings = self._settings
        return MemberSettings(
            group,
            settings.site.node,
            settings.site.seeds,
            settings.data_dir / group,
            settings.may_bootstrap,
            max(N_VOTERS_MIN, 2 * settings.n_losses_tolerated + 1),
            BalanceSlot(SITE_GROUPS.index(group), len(SITE_GROUPS)),
        )

    def start(self) -> None:
        """Start all tasks and listen; raise OSError if an address is unavailable."""
        for task in (self._group_client, self._directory, self._currency):
            task.start()
        self._links.start()
        self._peer_server.start()
        self._operator_server.start()
        self._usage_monitor.start()
        gevent.spawn(self._open_members)
        gevent.spawn(self._announce)
        gevent.spawn(self._report_usage)

    def apply_settings(self, settings: SiteStoreSettings) -> None:
        """Open links to new seeds; ignore all other changes of the settings."""
        self._add_stores(settings.site.seeds)

    @property
    def is_leader(self) -> bool:
        """Whether this store leads the group that has the routing configuration."""
        return self._members[SITE_GROUP].role is Role.LEADER

    @property
    def replica_id(self) -> ReplicaId | None:
        """The id of this store's replica of the group of the routing configuration."""
        return self._members[SITE_GROUP].replica_id

    def list_voters(self, group: GroupId = SITE_GROUP) -> tuple[ReplicaId, ...]:
        """Return the voters known to this store's replica; empty without a reply."""
        status = self._members[group].find_status()
        return () if status is None else status.membership.voters

    def count_turns(self) -> int:
        """Return the number of turns in the replicas of this store."""
        return sum(member.n_turns for member in self._members.values())

    def find_replica_id(self, group: GroupId) -> ReplicaId | None:
        """Return the id of this store's replica of a group, None before it is open."""
        return self._members[group].replica_id

    def stop(self) -> None:
        """Transfer the leadership of all groups and stop all tasks."""
        self._operator_server.drain_connections()
        for member in self._members.values():
            member.transfer_leadership()
        deadline = self._clock.now() + LEADERSHIP_TRANSFER_TIMEOUT
        while self._clock.now() < deadline and (
            self._list_led_groups() or self._quota_lender.has_ledger_to_hand_over
        ):
            gevent.sleep(0.02)
        self._stop_tasks()
        for member in self._members.values():
            member.stop()

    def close(self) -> None:
        """Stop all tasks without a leadership transfer and release the files."""
        self._operator_server.drain_connections()
        self._stop_tasks()
        for member in self._members.values():
            member.close()

    def _stop_tasks(self) -> None:
        self._has_stopped = True
        self._operator_server.stop()
        self._peer_server.stop()
        self._links.stop()
        self._usage_monitor.stop()
        for task in (self._directory, self._group_client, self._currency):
            task.stop()

    def _open_members(self) -> None:
        if (self._settings.data_dir / IDENTITY_FILE).exists():
            self._end_process(
                f"data directory {self._settings.data_dir} has a single replica of an "
                f"earlier release; empty it, on one store after the other, so that the "
                f"store gets its replicas from its peers"
            )
            return
        # The group of the routing configuration comes first and has little state, so
        # that the configuration is served before the turns are read.
        for member in self._members.values():
            if self._has_stopped:
                return
            try:
                member.open()
            except DamagedDataError as error:
                if not self._has_other_seeds():
                    self._end_process(f"group {member.group} can't be opened: {error}")
                    return
                gevent.spawn(self._replace_damaged, member, str(error))
            except (OSError, OleanderhitchError) as error:
                self._end_process(f"group {member.group} can't be opened: {error}")
                return
            usage = self._usage_monitor.take()
            log.info(
                "replica opened",
                group=member.group,
                replica=member.replica_id,
                memory_bytes=usage.memory_bytes,
                peak_memory_bytes=usage.peak_memory_bytes,
            )
            self._announcement_due.set()
            gevent.sleep(0)

    def _has_other_seeds(self) -> bool:
        site = self._settings.site
        return any(seed != site.node for seed in site.seeds)

    def _replace_damaged(self, member: GroupMember, reason: str) -> None:
        """Start a damaged replica anew once the group is led without it.

        Until then its log may be needed, and the other replicas of this store run.
        """
        log.error("damaged replica waits for a leader", group=member.group, why=reason)
        watch = LeadershipWatch()
        while not self._has_stopped:
            leader = self._find_announced_leader(member.group)
            if is_majority_proven(watch, leader, self._clock.now()):
                member.start_anew(reason, set_aside_directory)
                return
            gevent.sleep(DAMAGE_CHECK_INTERVAL.total_seconds())

    # The groups' tasks use this object as their transport.

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
            self.deliver_call(message, self._local_reply_address)
            return
        link = self._links.find_by_address(address)
        if link is not None:
            link.send(message)

    def _deliver(self, delivery: PeerMessage) -> None:
        _receive(delivery.message, delivery, self)

    def _handle_link_event(self, message: object) -> None:
        self._group_client.send(message)

    def _announce(self) -> None:
        n_announcements = 0
        is_change = True
        while not self._has_stopped:
            self._announcement_due.clear()
            announcement = self._make_announcement()
            self._observe_store(announcement)
            for link in self._list_announcement_links(n_announcements, is_change):
                link.send(announcement)
            n_announcements += 1
            is_change = self._announcement_due.wait(
                ANNOUNCEMENT_INTERVAL.total_seconds()
            )

    def _list_announcement_links(
        self, n_announcements: int, is_change: bool
    ) -> list[PeerLink]:
        links = self._links.links
        is_for_all = n_announcements % N_ANNOUNCEMENTS_PER_BROADCAST == 0
        if is_change or is_for_all or self._list_led_groups():
            return list(links.values())
        return [
            links[node]
            for node, store in self._announced_stores.items()
            if store.led and node in links
        ]

    def _make_announcement(self) -> StoreAnnouncement:
        site = self._settings.site
        replicas = {
            group: member.replica_id
            for group, member in self._members.items()
            if member.replica_id is not None
        }
        followed = tuple(
            group
            for group, member in self._members.items()
            if member.leader is not None and member.role is not Role.LEADER
        )
        return StoreAnnouncement(
            site.host,
            site.node,
            site.data_centre,
            replicas,
            followed,
            self._list_led_groups(),
            self._list_stores(),
        )

    def _list_led_groups(self) -> tuple[GroupId, ...]:
        return tuple(
            group
            for group, member in self._members.items()
            if member.role is Role.LEADER
        )

    def _observe_store(self, announcement: StoreAnnouncement) -> None:
        for group, replica in announcement.replicas.items():
            member = self._members.get(group)
            if member is not None:
                hello = StoreHello(
                    announcement.host,
                    announcement.node,
                    replica,
                    announcement.data_centre,
                    len(announcement.followed) + len(announcement.led),
                    len(announcement.led),
                )
                member.observe_store(hello)

    def _report_usage(self) -> None:
        n_reports = 0
        while not self._has_stopped:
            is_starting = n_reports < N_START_USAGES
            interval = START_USAGE_INTERVAL if is_starting else USAGE_INTERVAL
            gevent.sleep(interval.total_seconds())
            self._report_process_usage()
            n_reports += 1
            if n_reports % N_USAGES_PER_GROUP_STATE == 0:
                for member in self._members.values():
                    self._report_group_state(member)

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
            peak_memory_bytes=usage.peak_memory_bytes,
            n_streams=self._peer_server.n_streams,
            loop_delay_ms=round(delay_s * 1000),
            link_queue_length=n_waiting,
        )

    def _report_group_state(self, member: GroupMember) -> None:
        status = member.find_status()
        group, n_turns = member.group, member.n_turns
        if status is None:
            log.warning("group state unknown", group=group, n_turns=n_turns)
            return
        set_gauge = self._metrics.set_gauge
        set_gauge(Gauge.GROUP_LOG_BYTES, status.n_log_bytes, group)
        set_gauge(Gauge.GROUP_SNAPSHOT_BYTES, status.n_snapshot_bytes, group)
        set_gauge(Gauge.GROUP_TURNS, n_turns, group)
        log.info(
            "group state",
            group=group,
            role=status.role.value,
            term=status.term,
            leader=status.leader,
            commit_index=status.commit_index,
            n_uncommitted=status.last_index - status.commit_index,
            log_bytes=status.n_log_bytes,
            uncommitted_bytes=status.n_uncommitted_bytes,
            incoming_snapshot_bytes=status.n_incoming_bytes,
            snapshot_bytes=status.n_snapshot_bytes,
            n_turns=n_turns,
        )

    def _list_stores(self) -> tuple[NodeId, ...]:
        now = self._clock.now()
        recent_stores = {
            node
            for node, store in self._announced_stores.items()
            if now - store.last_contact_at < STORE_CONTACT_TIMEOUT
        }
        return tuple(sorted({self._settings.site.node, *recent_stores}))

    def handle_announcement(self, announcement: StoreAnnouncement) -> None:
        """Record the contact with another store and link to the stores it lists."""
        self._announced_stores[announcement.node] = StoreContact(
            announcement.led, self._clock.now()
        )
        self._add_stores((announcement.node, *announcement.known))
        self._observe_store(announcement)

    def handle_entry_hello(self, hello: EntryHello, reply_address: Address) -> None:
        """Reply to an entry host with the state that it lacks."""
        self._subscribers.handle_hello(hello, reply_address)
        if hello.number is not None:
            self._currency.send(HelloArrived(hello.node, hello.number))

    def handle_permit_request(
        self, request: SendPermitRequest, reply_address: Address
    ) -> None:
        """Reply to an entry host that asks for a send to a limited endpoint."""
        self._subscribers.handle_permit_request(request, reply_address)

    def handle_credit_request(
        self, request: CreditRequest, reply_address: Address
    ) -> None:
        """Reply to an entry host that asks for credits of client accounts."""
        self._quota_lender.handle_request(request, reply_address)

    def handle_ledger_request(self, request: GetLedger, reply_address: Address) -> None:
        """Hand the credits of client accounts over to the next leader.

        It is told as well when this store's replica followed a leader before it.
        """
        self._quota_lender.handle_ledger_request(request, reply_address)
        self._members[SITE_GROUP].send(
            OperatorCall(GetLeaderContact(request.term), reply_address)
        )

    def handle_ledger(self, handed_over: LedgerHandedOver) -> None:
        """Take the credits of client accounts over from the leader before."""
        self._quota_lender.handle_ledger(handed_over)

    def handle_leader_contact(self, contact: LeaderContact) -> None:
        """Take account of the last contact of a replica with an earlier leader."""
        self._quota_lender.handle_contact(contact)

    def handle_replica_removed(self, message: ReplicaRemoved) -> None:
        """Start the replica anew that was removed from its group."""
        for member in self._members.values():
            if member.replica_id == message.replica:
                member.start_anew("the replica was replaced; its data is dropped")

    def deliver_envelope(self, envelope: ReplicaEnvelope) -> None:
        """Forward a message to this store's replica of its group."""
        member = self._members.get(envelope.group)
        if member is not None:
            member.send(envelope)

    def deliver_call(self, call: GroupCall, reply_address: Address) -> None:
        """Forward a call to this store's replica of its group.

        A replica that is no voter knows no leader; the call is redirected to the store
        that has announced that it leads the group.
        """
        member = self._members.get(call.group)
        announced_leader = self._find_announced_leader(call.group)
        if member is None or (
            member.leader is None
            and member.role is Role.FOLLOWER
            and announced_leader is not None
        ):
            reply_address.send(GroupRedirect(call.call, announced_leader))
        else:
            member.call(LocalCall(call, reply_address))

    def _find_announced_leader(self, group: GroupId) -> ReplicaId | None:
        now = self._clock.now()
        for node, store in self._announced_stores.items():
            if (
                group in store.led
                and now - store.last_contact_at < LEADER_ANNOUNCEMENT_TTL
            ):
                return make_any_replica_receiver(node)
        return None

    def _find_site_leader(self) -> NodeId | None:
        leader = self._members[SITE_GROUP].leader
        leader = leader or self._find_announced_leader(SITE_GROUP)
        return None if leader is None else get_node(leader)

    def deliver_to_group_client(self, message: object) -> None:
        """Forward a reply to the group client."""
        self._group_client.send(message)

    def _get_routing(self) -> RoutingFound:
        return self._members[SITE_GROUP].routing

    def _handle_routing_change(self, group: GroupId) -> None:
        if group == SITE_GROUP:
            self._subscribers.notify_all()

    def _request_confirmation(self) -> None:
        self._request_read(_ConfirmationReplyAddress(self))

    def _request_read(self, reply_address: Address) -> None:
        """Read the routing through the group, which only the leader can."""
        body = self._site_codec.encode(GetRouting())
        call = GroupCall(CallId(0), SITE_GROUP, body, True)
        self._members[SITE_GROUP].call(LocalCall(call, reply_address))

    def _request_ledger(self, request: GetLedger) -> None:
        """Ask all stores, since this one may not know which of them led before."""
        for link in self._links.links.values():
            link.send(request)
        self._members[SITE_GROUP].send(
            OperatorCall(
                GetLeaderContact(request.term), _OwnContactAddress(self._quota_lender)
            )
        )

    def _perform_currency(self, effect: object) -> None:
        _perform_currency(effect, self)

    def begin_read(self, read: ReadNumber) -> None:
        """Read the routing through the group, for the hellos that wait for it."""
        self._request_read(
            _CurrencyReplyAddress(read, self._currency, self._site_codec)
        )

    def confirm_hellos(self, confirmation: ConfirmHellos) -> None:
        """Confirm to entry hosts that their routing is the newest."""
        self._subscribers.confirm_hellos(confirmation)

    def confirm_current(self) -> None:
        """Record that this store's state is current, if it still leads."""
        if self.is_leader:
            self._subscribers.confirm_current()
            self._currency.send(LeadershipObserved(True))

    def retry_confirmation(self) -> None:
        """Retry the confirming read after a delay, if this store still leads."""
        if self.is_leader:
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

    def _handle_leadership_change(
        self, group: GroupId, change: LeadershipChanged
    ) -> None:
        is_leader = change.role is Role.LEADER
        if is_leader:
            self._metrics.count(Counter.ELECTIONS, group)
        self._metrics.set_gauge(Gauge.LEADER, int(is_leader), group)
        self._announcement_due.set()
        if group == SITE_GROUP:
            self._subscribers.handle_leadership_change(is_leader)
            self._currency.send(LeadershipObserved(False))
            self._quota_lender.handle_leadership_change(is_leader, change.term)
            self._directory.send(SetReaderTerm(change.term if is_leader else None))
            if is_leader:
                self._request_confirmation()
            elif change.leader is not None:
                # Entry hosts look for this leader.
                self._subscribers.notify_all()
        if change.role is Role.STOPPED:
            self._end_process(f"the replica of group {group} stopped")


@singledispatch
def _receive(message: object, delivery: PeerMessage, store: Store) -> None:
    log.warning(
        "unexpected message type", type=type(message).__name__, peer=delivery.node
    )


@_receive.register
def _(message: ReplicaEnvelope, delivery: PeerMessage, store: Store) -> None:
    store.deliver_envelope(message)


@_receive.register
def _(message: GroupCall, delivery: PeerMessage, store: Store) -> None:
    store.deliver_call(message, delivery.reply_address)


@_receive.register(GroupAnswer)
@_receive.register(GroupRedirect)
@_receive.register(GroupUncertain)
def _(message: object, delivery: PeerMessage, store: Store) -> None:
    store.deliver_to_group_client(message)


@_receive.register
def _(message: StoreAnnouncement, delivery: PeerMessage, store: Store) -> None:
    store.handle_announcement(message)


@_receive.register
def _(message: ReplicaRemoved, delivery: PeerMessage, store: Store) -> None:
    store.handle_replica_removed(message)


@_receive.register
def _(message: EntryHello, delivery: PeerMessage, store: Store) -> None:
    store.handle_entry_hello(message, delivery.reply_address)


@_receive.register
def _(message: SendPermitRequest, delivery: PeerMessage, store: Store) -> None:
    store.handle_permit_request(message, delivery.reply_address)


@singledispatch
def _perform_currency(effect: object, store: Store) -> None:
    raise TypeError(f"currency does not support effect type {type(effect).__name__}")


@_perform_currency.register
def _(effect: BeginRead, store: Store) -> None:
    store.begin_read(effect.read)


@_perform_currency.register
def _(effect: ConfirmHellos, store: Store) -> None:
    store.confirm_hellos(effect)


@_receive.register
def _(message: CreditRequest, delivery: PeerMessage, store: Store) -> None:
    store.handle_credit_request(message, delivery.reply_address)


@_receive.register
def _(message: GetLedger, delivery: PeerMessage, store: Store) -> None:
    store.handle_ledger_request(message, delivery.reply_address)


@_receive.register
def _(message: LedgerHandedOver, delivery: PeerMessage, store: Store) -> None:
    store.handle_ledger(message)


@_receive.register
def _(message: LeaderContact, delivery: PeerMessage, store: Store) -> None:
    store.handle_leader_contact(message)


def make_store(
    settings: SiteStoreSettings,
    dependencies: StoreDependencies,
    clock: Clock,
    boot_clock: Clock,
    metrics: Metrics,
    end_process: Callable[[str], None],
) -> Store:
    """Return a store that is not started yet.

    `boot_clock` counts suspensions of the host; credits are lent by it. `end_process`
    is called with the reason when the store can't continue.
    """
    return Store(settings, dependencies, clock, boot_clock, metrics, end_process)
