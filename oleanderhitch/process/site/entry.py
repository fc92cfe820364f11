"""The entry host: a process that accepts callers' requests and forwards them."""

import random
import uuid
from collections.abc import Callable
from datetime import datetime, timedelta
from functools import partial
from typing import TYPE_CHECKING

import gevent
import gevent.event
import logbook

from oleanderhitch.connection.http.budget import (
    N_STATUS_CONNECTIONS,
    STATUS_LIMITS,
    ServerBudget,
    get_tunnels_limit,
    make_server_budget,
)
from oleanderhitch.connection.http.caller import ResponseWriter
from oleanderhitch.connection.http.endpoint import make_endpoint_connection
from oleanderhitch.connection.http.memory import get_memory_budget
from oleanderhitch.connection.http.messages import HttpRequest, HttpResponse
from oleanderhitch.connection.http.pool import LinksChanged, make_connection_pool
from oleanderhitch.connection.http.server import make_http_server
from oleanderhitch.connection.http.server_metrics import observe_servers
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.messages import PeerMessage
from oleanderhitch.connection.relay.server import RelayServer, make_relay_server
from oleanderhitch.process.caches.dialect import CacheDialect
from oleanderhitch.process.caches.task import make_caches_task
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.directory.messages import EndpointList
from oleanderhitch.process.directory.task import FetchList, make_directory_task
from oleanderhitch.process.groups.client.task import make_group_client
from oleanderhitch.process.groups.messages import (
    GroupAnswer,
    GroupRedirect,
    GroupUncertain,
)
from oleanderhitch.process.mailbox import Mailbox
from oleanderhitch.process.metrics.core import (
    Metrics,
    make_counter,
    make_label_counter,
)
from oleanderhitch.process.metrics.states import Counter
from oleanderhitch.process.placement.messages import SendPermitReply
from oleanderhitch.process.placement.task import make_placement_task
from oleanderhitch.process.quotas.messages import CreditReply
from oleanderhitch.process.quotas.task import make_quotas_task
from oleanderhitch.process.reachability.messages import ReportReach
from oleanderhitch.process.reachability.states import Reach
from oleanderhitch.process.reachability.task import (
    ConnectorDependencies,
    connect_to_endpoint,
    make_reachability_task,
)
from oleanderhitch.process.site.application import make_site_codec
from oleanderhitch.process.site.group import TURN_GROUPS, get_turn_group
from oleanderhitch.process.site.links import make_site_links
from oleanderhitch.process.site.messages import SiteStatus
from oleanderhitch.process.site.peer_codec import make_site_peer_codec
from oleanderhitch.process.site.settings import SiteEntrySettings
from oleanderhitch.process.site.subscription.core import (
    EndRelaying,
    ListReadLocally,
    SeedsConfigured,
    SetRelaysWanted,
    StatusReceived,
)
from oleanderhitch.process.site.subscription.installed_state import InstalledState
from oleanderhitch.process.site.subscription.lease import make_lease_terms
from oleanderhitch.process.site.subscription.task import (
    SubscriptionDependencies,
    make_subscription_task,
)
from oleanderhitch.request.forwarding.dialect import Dialect
from oleanderhitch.request.forwarding.history_memory import make_history_memory
from oleanderhitch.request.forwarding.task import ForwardDependencies, serve_request
from oleanderhitch.values import Value
from oleanderhitch.version.routes.configuration import CallerLimits, RouteTable

if TYPE_CHECKING:
    from oleanderhitch.connection.peer.server import PeerServer

# The load balancer stops sending connections once two readiness checks, which are 1 s
# apart, have failed.
BALANCER_DRAIN_DELAY = timedelta(milliseconds=2600)
# Part of the grace period that is left for the process to exit.
STOP_MARGIN = timedelta(milliseconds=700)
# Part of it in which the last requests get their responses.
LAST_RESPONSE_TIME = timedelta(milliseconds=300)
DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)

READY = HttpResponse(200)
NOT_READY = HttpResponse(503)

log = logbook.Logger("entry")


class EntryDependencies(Value, frozen=True):
    """Adapters that the platform package supplies to an entry host."""

    dialect: Dialect
    cache_dialect: CacheDialect
    read_routing: Callable[[bytes], RouteTable]
    fetch_list: FetchList


class EntryHost:
    """Owner of the tasks of an entry host; lives as long as the process."""

    def __init__(
        self,
        settings: SiteEntrySettings,
        dependencies: EntryDependencies,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._clock = clock
        limit = settings.site.revocation_limit
        self._installed_state = InstalledState(
            clock, None if limit is None else make_lease_terms(limit)
        )
        self._is_stopping = False
        self._end_time: datetime | None = None
        codec = make_site_peer_codec()
        count_bytes = make_counter(metrics, Counter.PEER_BYTES)
        self._links = make_site_links(
            settings.site,
            codec,
            self._deliver,
            self._handle_link_event,
            count_bytes,
            is_entry_host=True,
        )
        self._group_client = make_group_client(
            self._links.list_addresses(), self._send_to_store, clock
        )
        budget = make_server_budget(
            settings.site.memory_limit_bytes, settings.site.n_descriptors_limit
        )
        identity = Identity(settings.site.node, settings.site.peer_key)
        self._reachability = make_reachability_task(self._handle_reach, clock)
        connector = ConnectorDependencies(self._reachability, codec, identity, clock)
        self._connection_pool = make_connection_pool(
            partial(
                make_endpoint_connection,
                memory=budget.memory,
                connect=partial(connect_to_endpoint, dependencies=connector),
            ),
            clock,
        )
        self._relay_server: RelayServer | None = None
        if settings.relay_address is not None:
            self._relay_server = make_relay_server(
                settings.relay_address,
                codec,
                identity,
                clock,
                get_tunnels_limit(settings.site.n_descriptors_limit),
            )
        self._caches = make_caches_task(
            dependencies.cache_dialect, self._connection_pool, clock
        )
        self._placement = make_placement_task(
            settings.site.node,
            settings.site.data_centre,
            self._caches,
            self._tell_subscription,
            clock,
            random.Random(uuid.uuid4().int),
            metrics,
            settings.is_ramp_up_enabled,
        )
        self._directory = make_directory_task(
            dependencies.fetch_list, self._handle_local_list, clock
        )
        subscription_dependencies = SubscriptionDependencies(
            self._installed_state,
            self._links,
            (self._group_client,),
            self._placement,
            self._directory,
            dependencies.read_routing,
            metrics,
            reachability=self._reachability,
        )
        self._subscription = make_subscription_task(
            settings.site.node,
            subscription_dependencies,
            clock,
            settings.site.data_centre,
            settings.relay_address,
        )
        self._quotas = make_quotas_task(
            self._tell_subscription, clock, metrics, random.Random(uuid.uuid4().int)
        )
        subscription_dependencies.quotas = self._quotas
        forward_dependencies = ForwardDependencies(
            dependencies.dialect,
            self._installed_state,
            TURN_GROUPS,
            get_turn_group,
            self._group_client,
            make_site_codec(),
            self._placement,
            self._connection_pool,
            clock,
            random.Random(uuid.uuid4().int),
            metrics,
            budget.memory,
            self._get_end_time,
            quotas=None if settings.site.quota_bounds is None else self._quotas,
            history_memory=make_history_memory(
                get_memory_budget(settings.site.memory_limit_bytes)
            ),
        )
        count_refusal = make_label_counter(metrics, Counter.CALLER_REFUSALS)
        self._caller_server = make_http_server(
            settings.caller_address,
            partial(_serve, dependencies=forward_dependencies),
            clock,
            self._get_caller_limits,
            budget,
            count_refusal,
        )
        self._readiness_server = make_http_server(
            settings.readiness_address,
            self._serve_readiness,
            clock,
            lambda: STATUS_LIMITS,
            ServerBudget(budget.memory, N_STATUS_CONNECTIONS),
            count_refusal,
        )
        self._explain_server: PeerServer | None = None
        if settings.has_operator_calls:
            # Other hosts do not pay for it at their start.
            from oleanderhitch.process.site.explaining import make_site_explain_server

            self._explain_server = make_site_explain_server(
                settings.site, forward_dependencies
            )
        observe_servers(
            metrics,
            budget.memory,
            {"callers": self._caller_server, "readiness": self._readiness_server},
        )

    def start(self) -> None:
        """Start all tasks and listen; raise OSError if an address is unavailable."""
        for task in (
            self._group_client,
            self._reachability,
            self._connection_pool,
            self._caches,
            self._placement,
            self._directory,
            self._subscription,
            self._quotas,
        ):
            task.start()
        if self._relay_server is not None:
            self._relay_server.start()
        self._links.start()
        self._subscription.send(SeedsConfigured(self._settings.site.seeds))
        self._caller_server.start()
        self._readiness_server.start()
        if self._explain_server is not None:
            self._explain_server.start()

    def apply_settings(self, settings: SiteEntrySettings) -> None:
        """Open links to new seeds; ignore all other changes of the settings."""
        self._subscription.send(SeedsConfigured(settings.site.seeds))

    def stop(self) -> None:
        """Stop gracefully: fail the readiness check, drain requests, stop all tasks."""
        drain_timeout = self._settings.site.stop_grace_period - STOP_MARGIN
        self._is_stopping = True
        self._subscription.send(EndRelaying())
        if self._relay_server is not None:
            self._relay_server.stop_accepting()
        self._end_time = self._clock.now() + drain_timeout
        gevent.sleep(min(BALANCER_DRAIN_DELAY, drain_timeout).total_seconds())
        self._caller_server.stop()
        self._caller_server.drain_connections()
        self._await_requests(self._end_time)
        n_ended = self._caller_server.n_active_requests
        self._caller_server.end_requests()
        self._await_requests(self._end_time + LAST_RESPONSE_TIME)
        n_cut = self._caller_server.n_active_requests
        log.info("entry host stopped", n_ended=n_ended, n_cut=n_cut)
        self.close()

    def _await_requests(self, until: datetime) -> None:
        """Return once no request is in progress, or at the given time.

        Requests of other hosts may be in progress in their tunnels.
        """
        while self._clock.now() < until and (
            self._caller_server.n_active_requests or self._has_tunnels
        ):
            gevent.sleep(DRAIN_POLL_INTERVAL.total_seconds())

    @property
    def _has_tunnels(self) -> bool:
        return self._relay_server is not None and self._relay_server.n_tunnels > 0

    def close(self) -> None:
        """Stop all tasks without waiting for running requests."""
        self._caller_server.stop()
        self._readiness_server.stop()
        if self._explain_server is not None:
            self._explain_server.stop()
        if self._relay_server is not None:
            self._relay_server.stop()
        self._links.stop()
        for task in (
            self._quotas,
            self._subscription,
            self._directory,
            self._placement,
            self._caches,
            self._connection_pool,
            self._reachability,
            self._group_client,
        ):
            task.stop()

    def _handle_reach(self, report: ReportReach) -> None:
        is_isolated = report.reach is Reach.ISOLATED
        self._connection_pool.send(LinksChanged(is_isolated, report.is_silent))
        self._subscription.send(SetRelaysWanted(is_isolated))

    def _get_end_time(self) -> datetime | None:
        return self._end_time

    def _get_caller_limits(self) -> CallerLimits:
        table = self._installed_state.table
        return CallerLimits() if table is None else table.configuration.limits

    def _is_ready(self) -> bool:
        has_state = (
            self._installed_state.is_serving and self._installed_state.has_endpoints
        )
        return has_state and not self._is_stopping

    def _serve_readiness(
        self,
        request: HttpRequest,
        writer: ResponseWriter,
        mailbox: Mailbox,
        at: datetime,
    ) -> None:
        writer.respond(READY if self._is_ready() else NOT_READY)

    def _send_to_store(self, address: HostAddress, message: object) -> None:
        link = self._links.find_by_address(address)
        if link is not None:
            link.send(message)

    def _deliver(self, delivery: PeerMessage) -> None:
        message = delivery.message
        if isinstance(message, SiteStatus):
            self._subscription.send(StatusReceived(delivery.node, message))
        elif isinstance(message, SendPermitReply):
            self._placement.send(message)
        elif isinstance(message, CreditReply):
            self._quotas.send(message)
        elif isinstance(message, GroupAnswer | GroupRedirect | GroupUncertain):
            self._group_client.send(message)
        else:
            log.warning("unexpected message type", type=type(message).__name__)

    def _tell_subscription(self, message: object) -> None:
        self._subscription.send(message)

    def _handle_link_event(self, message: object) -> None:
        self._group_client.send(message)
        self._subscription.send(message)

    def _handle_local_list(self, endpoint_list: EndpointList) -> None:
        self._subscription.send(ListReadLocally(endpoint_list))


def _serve(
    request: HttpRequest,
    writer: ResponseWriter,
    mailbox: Mailbox,
    now: datetime,
    dependencies: ForwardDependencies,
) -> None:
    serve_request(request, writer, mailbox, now, dependencies)


def make_entry_host(
    settings: SiteEntrySettings,
    dependencies: EntryDependencies,
    clock: Clock,
    metrics: Metrics,
) -> EntryHost:
    """Return an entry host that is not started yet.

    `clock` has to count suspensions of the host: leases and credits end by it.
    """
    return EntryHost(settings, dependencies, clock, metrics)
