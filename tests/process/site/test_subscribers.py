"""Guard against outdated routing, lists and loads that a store sends."""

from datetime import UTC, datetime, timedelta

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.crashes.messages import CONVICTION, CrashRecord, CrashTrace
from oleanderhitch.process.directory.messages import EndpointList, ListVersion
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.placement.messages import (
    EndpointLimit,
    EndpointLoad,
    SendPermitReply,
    SendPermitRequest,
)
from oleanderhitch.process.site.currency import ConfirmHellos
from oleanderhitch.process.site.messages import (
    EntryHello,
    HelloNumber,
    RoutingFound,
    SiteStatus,
    make_stores_digest,
)
from oleanderhitch.process.site.subscribers import (
    ENTRY_CONTACT_TIMEOUT,
    LIST_CONFIRMATION_TTL,
    N_RELAYS,
    Subscribers,
    make_subscribers,
)
from oleanderhitch.request.ids import RequestFingerprint
from oleanderhitch.version.ids import DataCentreName, EndpointId
from oleanderhitch.version.routes.ids import NO_ROUTING, RoutingVersion

STORES = (NodeId("s1"), NodeId("s2"))
LEADER = NodeId("s2")
ROUTING = RoutingFound(RoutingVersion(7), b"seven")


class ManualClock:
    """A clock whose time the test sets."""

    def __init__(self) -> None:
        self.time = datetime(2026, 1, 1, tzinfo=UTC)

    def now(self) -> datetime:
        """Return the time that the test has set."""
        return self.time


class FakeEntryHost:
    """Sends hellos and records the statuses that are sent back."""

    def __init__(self, name: str, subscribers: Subscribers) -> None:
        self.node = NodeId(name)
        self.received: list[SiteStatus] = []
        self.permits: list[SendPermitReply] = []
        self._subscribers = subscribers

    def send(self, message: object) -> None:
        """Record a status or a reply to a request for a permit."""
        if isinstance(message, SendPermitReply):
            self.permits.append(message)
            return
        assert isinstance(message, SiteStatus)
        self.received.append(message)

    def send_hello(self, *loads: EndpointLoad) -> SiteStatus:
        """Send a hello of an entry host without any state; return the reply."""
        hello = EntryHello(self.node, NO_ROUTING, None, loads)
        self._subscribers.handle_hello(hello, self)
        return self.received[-1]


def make_subscribers_and_clock() -> tuple[Subscribers, ManualClock]:
    """Return the subscribers of a store that has applied version 7, and the clock."""
    clock = ManualClock()
    return make_subscribers(
        lambda: ROUTING, lambda: STORES, lambda: LEADER, clock
    ), clock


def test_routing_is_sent_only_after_it_is_confirmed_current() -> None:
    """Guard against sending older versions that a replay of the log passes through."""
    subscribers, _ = make_subscribers_and_clock()
    entry = FakeEntryHost("e", subscribers)
    assert entry.send_hello().routing is None
    subscribers.confirm_current()
    assert entry.received[-1].routing == ROUTING
    subscribers.handle_leadership_change(False)
    assert entry.send_hello().routing is None


def test_list_is_not_sent_after_leadership_is_lost() -> None:
    """Guard against a list that seems current although no process reads it any more."""
    subscribers, _ = make_subscribers_and_clock()
    entry = FakeEntryHost("e", subscribers)
    entry.send_hello()
    endpoint_list = EndpointList(ListVersion(1, 1), ())
    assert subscribers.update_list(endpoint_list)
    assert not subscribers.update_list(endpoint_list)
    assert entry.received[-1].endpoints == endpoint_list
    subscribers.handle_leadership_change(False)
    assert entry.send_hello().list_version is None


# Guards against endpoints that get requests long after they have said that they leave
# (DRAIN): entry hosts read the list themselves only if no store confirms it.
def test_list_that_is_not_read_any_more_is_not_confirmed() -> None:
    """Confirm a list only for as long as the store that sends it reads it."""
    subscribers, clock = make_subscribers_and_clock()
    entry = FakeEntryHost("e", subscribers)
    endpoint_list = EndpointList(ListVersion(1, 1), ())
    subscribers.update_list(endpoint_list)
    assert entry.send_hello().list_version == ListVersion(1, 1)
    clock.time += LIST_CONFIRMATION_TTL
    subscribers.update_list(endpoint_list)
    clock.time += LIST_CONFIRMATION_TTL
    assert entry.send_hello().list_version == ListVersion(1, 1)
    clock.time += timedelta(milliseconds=1)
    late = entry.send_hello()
    assert late.list_version is None
    assert late.endpoints is None
    subscribers.update_list(endpoint_list)
    assert entry.send_hello().list_version == ListVersion(1, 1)


def test_entry_host_receives_only_the_loads_of_its_peers() -> None:
    """Guard against an entry host that counts its own loads twice."""
    subscribers, clock = make_subscribers_and_clock()
    subscribers.confirm_current()
    endpoint = EndpointId("i-1")
    first, second, third = (FakeEntryHost(name, subscribers) for name in "abc")
    first.send_hello(EndpointLoad(endpoint, 2, 100))
    second.send_hello(EndpointLoad(endpoint, 3, 50))
    expected = (EndpointLoad(endpoint, 5, 150),)
    assert third.send_hello(EndpointLoad(endpoint, 9, 9)).other_loads == expected
    clock.time += timedelta(seconds=2)
    assert third.send_hello().other_loads == ()


def test_known_stores_are_not_sent_again() -> None:
    """Guard against a list of all stores in every status."""
    subscribers, _ = make_subscribers_and_clock()
    entry = FakeEntryHost("e", subscribers)
    status = entry.send_hello()
    assert status.stores == STORES
    assert status.leader == LEADER
    digest = make_stores_digest(status.stores)
    hello = EntryHello(entry.node, NO_ROUTING, None, (), digest)
    subscribers.handle_hello(hello, entry)
    assert entry.received[-1].stores == ()


def test_only_a_current_leader_grants_sends_to_limited_endpoints() -> None:
    """Guard against two stores that each grant a whole limit."""
    subscribers, _ = make_subscribers_and_clock()
    entry = FakeEntryHost("e", subscribers)
    limit = EndpointLimit(EndpointId("i-1"), 1, 5.0, 0)
    request = SendPermitRequest(1, (limit,))
    subscribers.handle_permit_request(request, entry)
    assert not entry.permits[-1].is_leader
    subscribers.confirm_current()
    subscribers.handle_permit_request(request, entry)
    assert entry.permits[-1].endpoint == EndpointId("i-1")
    status = entry.send_hello()
    assert status.limits == (limit,)
    knowing = EntryHello(
        entry.node, NO_ROUTING, None, known_limits=status.limits_digest
    )
    subscribers.handle_hello(knowing, entry)
    assert entry.received[-1].limits is None


def test_conviction_reaches_all_entry_hosts_at_once() -> None:
    """Guard against hosts that send the content until their next hello."""
    subscribers, _ = make_subscribers_and_clock()
    subscribers.confirm_current()
    first, second = (FakeEntryHost(name, subscribers) for name in "ab")
    first.send_hello()
    second.send_hello()
    n_received = len(second.received)
    record = CrashRecord(
        RequestFingerprint("c"), {"e1/1": CrashTrace(CONVICTION, 0, 0)}
    )
    hello = EntryHello(first.node, NO_ROUTING, None, crashes=(record,))
    subscribers.handle_hello(hello, first)
    assert len(second.received) == n_received + 1
    assert second.received[-1].crashes == (record,)


def test_confirmation_does_not_repeat_the_reply_to_its_hello() -> None:
    """Guard against twice the loads, and twice the work with them, at each lease."""
    subscribers, _ = make_subscribers_and_clock()
    entry = FakeEntryHost("e", subscribers)
    peer = FakeEntryHost("p", subscribers)
    subscribers.confirm_current()
    peer.send_hello(EndpointLoad(EndpointId("e1"), 3, 0))
    assert entry.send_hello().other_loads
    number = HelloNumber(1)
    subscribers.confirm_hellos(ConfirmHellos({entry.node: number}, RoutingVersion(7)))
    confirmation = entry.received[-1]
    assert confirmation.confirmed_hello == number
    assert confirmation.routing == ROUTING
    assert confirmation.other_loads is None


def test_host_without_links_is_told_of_hosts_that_have_theirs() -> None:
    """Guard against a host that asks others that are as isolated as it is."""
    subscribers, clock = make_subscribers_and_clock()
    subscribers.confirm_current()

    def send(name: str, place: str, has_links: bool) -> SiteStatus:
        host = FakeEntryHost(name, subscribers)
        hello = EntryHello(
            NodeId(name),
            NO_ROUTING,
            None,
            data_centre=DataCentreName(place),
            relay=HostAddress(f"{name}:1") if has_links else None,
            wants_relays=not has_links,
        )
        subscribers.handle_hello(hello, host)
        return host.received[-1]

    assert send("a1", "a", True).relays is None
    send("a2", "a", True)
    send("a3", "a", False)
    for number in range(6):
        send(f"b{number}", "b", True)
    relays = send("a4", "a", False).relays
    assert relays is not None
    assert set(relays[:2]) == {"a1:1", "a2:1"}, "near ones first"
    assert all(relay.startswith("b") for relay in relays[2:])
    assert len(relays) == N_RELAYS
    # Each host asks others, so that no far host gets the load of all.
    far = {send(f"c{number}", "c", False).relays for number in range(8)}
    assert len(far) > 1
    clock.time += ENTRY_CONTACT_TIMEOUT * 2
    assert send("a4", "a", False).relays == ()
