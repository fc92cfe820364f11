"""Entry hosts that subscribe to a store's state, and what the store sends them."""

from collections.abc import Callable
from datetime import datetime, timedelta

import logbook
from msgspec import Struct

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.crashes.evidence import make_crash_evidence
from oleanderhitch.process.directory.core import READ_INTERVAL
from oleanderhitch.process.directory.messages import EndpointList
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.placement.messages import (
    EndpointLimit,
    SendPermitReply,
    SendPermitRequest,
)
from oleanderhitch.process.site.currency import ConfirmHellos
from oleanderhitch.process.site.load_totals import LoadTotals
from oleanderhitch.process.site.messages import (
    EntryHello,
    HelloNumber,
    RoutingFound,
    SiteStatus,
    hash_node,
    make_stores_digest,
)
from oleanderhitch.process.site.ramps import RampChange
from oleanderhitch.process.site.send_permits import SendPermits
from oleanderhitch.process.site.speed_totals import make_speed_totals

# An entry host that sent no hello for this long has stopped or uses another connection.
ENTRY_CONTACT_TIMEOUT = timedelta(seconds=3)

# Two reads of the list and what they take. A list that is older may lack endpoints that
# leave, and entry hosts had better read it themselves.
LIST_CONFIRMATION_TTL = 2 * READ_INTERVAL + timedelta(milliseconds=200)
# Entry hosts that a host without links to the endpoints is told of.
N_RELAYS = 4

log = logbook.Logger("subscribers")


class Subscriber(Struct):
    """An entry host with its latest hello and the connection it came over."""

    hello: EntryHello
    reply_address: Address
    last_contact_at: datetime


class Subscribers:
    """Owner of the subscribed entry hosts of a store and the state to send them."""

    def __init__(
        self,
        get_routing: Callable[[], RoutingFound],
        list_stores: Callable[[], tuple[NodeId, ...]],
        find_leader: Callable[[], NodeId | None],
        clock: Clock,
    ) -> None:
        self._get_routing = get_routing
        self._list_stores = list_stores
        self._find_leader = find_leader
        self._clock = clock
        self._subscribers: dict[NodeId, Subscriber] = {}
        self._loads = LoadTotals()
        self._permits = SendPermits()
        self._speeds = make_speed_totals(clock.now())
        self._crashes = make_crash_evidence()
        self._endpoint_list: EndpointList | None = None
        self._list_read_at = clock.now()
        # Routing is only sent after a read through the group has shown that this leader
        # has applied everything accepted before. A replica that replays its log passes
        # through older versions.
        self._is_current = False

    def handle_hello(self, hello: EntryHello, reply_address: Address) -> None:
        """Record an entry host and reply with the state that it lacks."""
        now = self._clock.now()
        subscriber = Subscriber(hello, reply_address, now)
        self._subscribers[hello.node] = subscriber
        self._loads.report(hello.node, hello.loads, now)
        self._observe_limits(hello.limits, now)
        for observed in hello.speeds:
            change = self._speeds.observe(observed, now)
            if self._is_current and change is not RampChange.NONE:
                log.info(change.value, endpoint=observed.endpoint)
        self._expire_crashes(now)
        quarantined = self._crashes.merge(hello.crashes, now)
        if quarantined and self._is_current:
            # Each entry host may get the content next, so none waits for its hello.
            log.warning("content quarantined", contents=sorted(quarantined))
            self.notify_all()
        else:
            self._notify(subscriber)

    def _expire_crashes(self, now: datetime) -> None:
        if self._crashes.records and self._crashes.expire(now):
            log.info("crashes of long ago forgotten")

    def handle_permit_request(
        self, request: SendPermitRequest, reply_address: Address
    ) -> None:
        """Grant an entry host a send to an endpoint with a rate limit, or none.

        Only a leader does, so that one place counts the sends of all entry hosts.
        """
        if not self._is_current:
            reply_address.send(SendPermitReply(request.number, is_leader=False))
            return
        now = self._clock.now()
        self._observe_limits(request.limits, now)
        reply_address.send(self._permits.grant(request, now))

    def _observe_limits(self, limits: tuple[EndpointLimit, ...], now: datetime) -> None:
        for limit in limits:
            if self._permits.observe(limit, now):
                log.info(
                    "rate limit of an endpoint changed",
                    endpoint=limit.endpoint,
                    requests_per_s=limit.requests_per_s,
                    age_ms=limit.age_ms,
                )

    def confirm_current(self) -> None:
        """Start sending the routing and peer loads, since the state is current."""
        if not self._is_current:
            # Another leader may have learned other speeds in the meantime.
            self._speeds = make_speed_totals(self._clock.now())
        self._is_current = True
        self.notify_all()

    def confirm_hellos(self, confirmation: ConfirmHellos) -> None:
        """Confirm the hellos of entry hosts that have, or get now, what a read found.

        The others are confirmed by a later read.
        """
        if not self._is_current:
            return
        available = self._get_routing().version
        for node, number in confirmation.hellos.items():
            subscriber = self._subscribers.get(node)
            if subscriber is not None and confirmation.version <= max(
                available, subscriber.hello.routing
            ):
                self._notify(subscriber, number)

    def handle_leadership_change(self, is_leader: bool) -> None:
        """Send no routing until the next confirmation, and no list as a follower."""
        self._is_current = False
        if not is_leader:
            # The next leader reads the list; the list of this store would wrongly seem
            # current.
            self._endpoint_list = None

    def update_list(self, endpoint_list: EndpointList) -> bool:
        """Store the list to send; return whether its version is new."""
        is_new = (
            self._endpoint_list is None
            or self._endpoint_list.version != endpoint_list.version
        )
        self._endpoint_list = endpoint_list
        self._list_read_at = self._clock.now()
        if is_new:
            self.notify_all()
        return is_new

    def notify_all(self) -> None:
        """Send all entry hosts the state they lack; drop those out of contact."""
        now = self._clock.now()
        for node, subscriber in list(self._subscribers.items()):
            if now - subscriber.last_contact_at > ENTRY_CONTACT_TIMEOUT:
                del self._subscribers[node]
            else:
                self._notify(subscriber)

    def _notify(
        self, subscriber: Subscriber, confirmed_hello: HelloNumber | None = None
    ) -> None:
        hello = subscriber.hello
        routing = self._get_routing()
        needs_routing = self._is_current and routing.version > hello.routing
        endpoint_list = self._endpoint_list
        if self._clock.now() - self._list_read_at > LIST_CONFIRMATION_TTL:
            endpoint_list = None
        list_version = None if endpoint_list is None else endpoint_list.version
        needs_list = list_version != hello.list_version
        stores = self._list_stores()
        other_loads = limits = crashes = speeds = relays = None
        # A confirmation follows the reply to its hello by a few milliseconds.
        if self._is_current and confirmed_hello is None:
            now = self._clock.now()
            other_loads = self._loads.list_others(hello.node, now)
            self._permits.expire(now)
            if self._permits.digest != hello.known_limits:
                limits = self._permits.list_limits(now)
            if self._crashes.digest != hello.crashes_digest:
                crashes = self._crashes.list_records(now)
            speeds = self._speeds.find_change(hello.known_speeds, now)
            if hello.wants_relays:
                relays = self._choose_relays(hello, now)
        subscriber.reply_address.send(
            SiteStatus(
                () if make_stores_digest(stores) == hello.known_stores else stores,
                routing if needs_routing else None,
                list_version,
                endpoint_list if needs_list else None,
                other_loads,
                self._find_leader(),
                limits,
                self._permits.digest,
                len(self._subscribers),
                crashes,
                self._crashes.digest,
                speeds,
                confirmed_hello,
                relays,
            )
        )

    def _choose_relays(
        self, hello: EntryHello, now: datetime
    ) -> tuple[HostAddress, ...]:
        """Return entry hosts that open tunnels, those of the same data centre first.

        Each asking host gets others, so that all of them share the load.
        """
        offers = [
            subscriber.hello
            for subscriber in self._subscribers.values()
            if now - subscriber.last_contact_at <= ENTRY_CONTACT_TIMEOUT
            and subscriber.hello.relay is not None
            and subscriber.hello.node != hello.node
        ]
        offers.sort(
            key=lambda offer: (
                offer.data_centre != hello.data_centre,
                hash_node(NodeId(f"{hello.node} {offer.node}")),
            )
        )
        return tuple(
            offer.relay for offer in offers[:N_RELAYS] if offer.relay is not None
        )


def make_subscribers(
    get_routing: Callable[[], RoutingFound],
    list_stores: Callable[[], tuple[NodeId, ...]],
    find_leader: Callable[[], NodeId | None],
    clock: Clock,
) -> Subscribers:
    """Return the subscribers of a store, initially none."""
    return Subscribers(get_routing, list_stores, find_leader, clock)
