"""Guard against entries that are told old routing, old lists or wrong loads."""

from datetime import UTC, datetime, timedelta

from oleanderhitch.process.directory.messages import EndpointList, ListVersion
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.placement.messages import EndpointLoad
from oleanderhitch.process.site.messages import EntryHello, RoutingFound, SiteStatus
from oleanderhitch.process.site.subscribers import Subscribers, make_subscribers
from oleanderhitch.version.ids import EndpointId
from oleanderhitch.version.routes.ids import NO_ROUTING, RoutingVersion

ROUTING = RoutingFound(RoutingVersion(7), b"seven")


class ScriptedClock:
    """Tell the time that the test sets."""

    def __init__(self) -> None:
        self.time = datetime(2026, 1, 1, tzinfo=UTC)

    def now(self) -> datetime:
        """Return the time."""
        return self.time


class Entry:
    """Say hello and keep what comes back."""

    def __init__(self, name: str, subscribers: Subscribers) -> None:
        self.name = NodeId(name)
        self.told: list[SiteStatus] = []
        self._subscribers = subscribers

    def send(self, message: object) -> None:
        """Take what a store tells."""
        assert isinstance(message, SiteStatus)
        self.told.append(message)

    def say_hello(self, *loads: EndpointLoad) -> SiteStatus:
        """Return the answer to a hello of an entry that has nothing."""
        hello = EntryHello(self.name, NO_ROUTING, None, loads)
        self._subscribers.handle_hello(hello, self)
        return self.told[-1]


def make_parts() -> tuple[Subscribers, ScriptedClock]:
    """Return subscribers of a store that has applied version 7."""
    clock = ScriptedClock()
    return make_subscribers(lambda: ROUTING, lambda: (), clock), clock


def test_routing_is_told_only_once_it_is_known_to_be_current() -> None:
    """A replica that replays its log passes through older versions."""
    subscribers, _ = make_parts()
    entry = Entry("e", subscribers)
    assert entry.say_hello().routing is None
    subscribers.confirm_current()
    assert entry.told[-1].routing == ROUTING
    subscribers.handle_leadership_change(False)
    assert entry.say_hello().routing is None


def test_list_of_a_lost_leadership_is_not_told() -> None:
    """A list that nobody reads any more would look current."""
    subscribers, _ = make_parts()
    entry = Entry("e", subscribers)
    entry.say_hello()
    found = EndpointList(ListVersion(1, 1), ())
    assert subscribers.update_list(found)
    assert not subscribers.update_list(found)
    assert entry.told[-1].endpoints == found
    subscribers.handle_leadership_change(False)
    assert entry.say_hello().list_version is None


def test_entry_hears_the_loads_of_the_others_only() -> None:
    """An entry knows its own work better than any store does."""
    subscribers, clock = make_parts()
    subscribers.confirm_current()
    endpoint = EndpointId("i-1")
    first, second, third = (Entry(name, subscribers) for name in "abc")
    first.say_hello(EndpointLoad(endpoint, 2, 100))
    second.say_hello(EndpointLoad(endpoint, 3, 50))
    expected = (EndpointLoad(endpoint, 5, 150),)
    assert third.say_hello(EndpointLoad(endpoint, 9, 9)).other_loads == expected
    clock.time += timedelta(seconds=2)
    assert third.say_hello().other_loads == ()
