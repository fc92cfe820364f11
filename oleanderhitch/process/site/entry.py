"""Assemble an entry: it forwards the requests of callers."""

import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import partial

import gevent
import gevent.event
import logbook

from oleanderhitch.connection.http.caller import ResponseWriter
from oleanderhitch.connection.http.endpoint import make_endpoint_connection
from oleanderhitch.connection.http.messages import HttpRequest, HttpResponse
from oleanderhitch.connection.http.pool import make_connection_pool
from oleanderhitch.connection.http.server import make_http_server
from oleanderhitch.connection.peer.messages import PeerMessage
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
from oleanderhitch.process.metrics.core import Metrics, make_counter
from oleanderhitch.process.metrics.states import Counter
from oleanderhitch.process.placement.task import make_placement_task
from oleanderhitch.process.site.application import make_site_codec
from oleanderhitch.process.site.follower.core import ListReadByEntry, StoresKnown
from oleanderhitch.process.site.follower.installed import Installed
from oleanderhitch.process.site.follower.task import FollowerParts, make_follower_task
from oleanderhitch.process.site.group import SITE_GROUP
from oleanderhitch.process.site.links import make_site_links
from oleanderhitch.process.site.messages import SiteStatus
from oleanderhitch.process.site.registry import make_site_peer_codec
from oleanderhitch.process.site.settings import EntrySettings
from oleanderhitch.request.forwarding.dialect import Dialect
from oleanderhitch.request.forwarding.task import ForwardDependencies, serve_request
from oleanderhitch.version.routes.configuration import CallerLimits, RouteTable

# The balancer needs two checks, one second apart, to send no more connections.
ROTATION_DELAY = timedelta(milliseconds=2600)
# Left of the stop limit for the process to end.
STOP_MARGIN = timedelta(milliseconds=700)
STOP_CHECK_INTERVAL = timedelta(milliseconds=50)

READY = HttpResponse(200)
NOT_READY = HttpResponse(503)

log = logbook.Logger("entry")


@dataclass(frozen=True, slots=True)
class EntryTranslation:
    """Hold what the platform's side supplies to an entry."""

    dialect: Dialect
    caches: CacheDialect
    read_routing: Callable[[bytes], RouteTable]
    fetch_list: FetchList


class Entry:
    """Own the tasks of an entry from its start to its end."""

    def __init__(
        self,
        settings: EntrySettings,
        translation: EntryTranslation,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._installed = Installed()
        self._is_stopping = False
        codec = make_site_peer_codec()
        count_bytes = make_counter(metrics, Counter.PEER_BYTES)
        self._links = make_site_links(
            settings.site, codec, self._deliver, self._notify, count_bytes
        )
        self._client = make_group_client(
            self._links.list_addresses(), self._send_to_store, clock
        )
        self._pool = make_connection_pool(make_endpoint_connection, clock)
        self._caches = make_caches_task(translation.caches, self._pool, clock)
        self._placement = make_placement_task(
            settings.site.node, settings.site.data_centre, self._caches, clock
        )
        self._directory = make_directory_task(
            translation.fetch_list, self._take_own_list, clock
        )
        self._follower = make_follower_task(
            settings.site.node,
            FollowerParts(
                self._installed,
                self._links,
                (self._client,),
                self._placement,
                self._directory,
                translation.read_routing,
            ),
            clock,
        )
        forward = ForwardDependencies(
            translation.dialect,
            self._installed.await_table,
            SITE_GROUP,
            self._client,
            make_site_codec(),
            self._placement,
            self._pool,
            clock,
            random.Random(uuid.uuid4().int),
            metrics,
        )
        self._server = make_http_server(
            settings.caller_address,
            partial(_serve, parts=forward),
            clock,
            self._get_limits,
        )
        self._readiness = make_http_server(
            settings.readiness_address, self._serve_readiness, clock
        )

    def start(self) -> None:
        """Start all tasks and listen; raise OSError."""
        for task in (
            self._client,
            self._pool,
            self._caches,
            self._placement,
            self._directory,
            self._follower,
        ):
            task.start()
        self._links.start()
        self._follower.send(StoresKnown(self._settings.site.seeds))
        self._server.start()
        self._readiness.start()

    def add_seeds(self, settings: EntrySettings) -> None:
        """Link to the seeds of changed settings."""
        self._follower.send(StoresKnown(settings.site.seeds))

    def stop(self) -> None:
        """Stop taking requests, finish those under way, end all tasks."""
        started_at = self._clock.now()
        self._is_stopping = True
        limit = self._settings.site.stop_limit - STOP_MARGIN
        gevent.sleep(min(ROTATION_DELAY, limit).total_seconds())
        # Requests that arrive from now on could not end before the process does.
        self._server.stop()
        self._server.drain_connections()
        while self._server.n_active_requests and self._clock.now() - started_at < limit:
            gevent.sleep(STOP_CHECK_INTERVAL.total_seconds())
        log.info("stopped", n_cut=self._server.n_active_requests)
        self.close()

    def close(self) -> None:
        """End all tasks at once."""
        self._server.stop()
        self._readiness.stop()
        self._links.stop()
        for task in (
            self._follower,
            self._directory,
            self._placement,
            self._caches,
            self._pool,
            self._client,
        ):
            task.stop()

    def _get_limits(self) -> CallerLimits:
        table = self._installed.table
        return CallerLimits() if table is None else table.configuration.limits

    def _is_ready(self) -> bool:
        has_state = self._installed.table is not None and self._installed.has_endpoints
        return has_state and not self._is_stopping

    def _serve_readiness(
        self,
        request: HttpRequest,
        writer: ResponseWriter,
        mailbox: Mailbox,
        at: datetime,
    ) -> None:
        writer.respond(READY if self._is_ready() else NOT_READY)

    def _send_to_store(self, address: object, message: object) -> None:
        for link in self._links.links.values():
            if link.peer == address:
                link.send(message)

    def _deliver(self, delivery: PeerMessage) -> None:
        message = delivery.message
        if isinstance(message, SiteStatus):
            self._follower.send(message)
        elif isinstance(message, GroupAnswer | GroupRedirect | GroupUncertain):
            self._client.send(message)
        else:
            log.warning("unexpected message", type=type(message).__name__)

    def _notify(self, message: object) -> None:
        self._client.send(message)
        self._follower.send(message)

    def _take_own_list(self, found: EndpointList) -> None:
        self._follower.send(ListReadByEntry(found))


def _serve(
    request: HttpRequest,
    writer: ResponseWriter,
    mailbox: Mailbox,
    now: datetime,
    parts: ForwardDependencies,
) -> None:
    serve_request(request, writer, mailbox, now, parts)


def make_entry(
    settings: EntrySettings,
    translation: EntryTranslation,
    clock: Clock,
    metrics: Metrics,
) -> Entry:
    """Return an entry that is not started yet."""
    return Entry(settings, translation, clock, metrics)
