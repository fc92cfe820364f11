"""Guard against hosts that mistake lost links for ended endpoints, or the reverse."""

from datetime import UTC, datetime, timedelta

import pytest

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.reachability.core import (
    AVOID_RELAY_DURATION,
    EVIDENCE_DURATION,
    PROBE_INTERVAL,
    UNCONFIRMED_DURATION,
    ReachabilityState,
    handle,
)
from oleanderhitch.process.reachability.messages import (
    AttemptEnded,
    Direct,
    EndpointAddressesListed,
    FindWays,
    ProbeEndpoint,
    RelaysFound,
    ReportReach,
    SendReply,
    Through,
    Way,
)
from oleanderhitch.process.reachability.states import AttemptOutcome, Reach

NOW = datetime(2026, 1, 1, tzinfo=UTC)
ENDPOINTS = tuple(HostAddress(f"10.0.0.{number}:80") for number in range(1, 9))
RELAYS = (HostAddress("10.1.0.1:7"), HostAddress("10.1.0.2:7"))
REPLY = make_mailbox("ways")


def make_state() -> ReachabilityState:
    """Return the state of a host that knows its endpoints."""
    state = ReachabilityState()
    handle(EndpointAddressesListed(ENDPOINTS), state, NOW)
    return state


def end_attempt(
    state: ReachabilityState,
    number: int,
    outcome: AttemptOutcome,
    at: datetime = NOW,
    way: Way | None = None,
) -> list[object]:
    """Return the effects of an attempt at an endpoint, directly by default."""
    message = AttemptEnded(way or Direct(), ENDPOINTS[number], outcome)
    return handle(message, state, at)


def isolate(
    state: ReachabilityState, outcome: AttemptOutcome = AttemptOutcome.SILENT
) -> list[object]:
    """Return the effects of the failures that show that all links are lost."""
    return [effect for n in range(3) for effect in end_attempt(state, n, outcome)]


def find_ways(state: ReachabilityState, at: datetime = NOW) -> tuple[Way, ...]:
    """Return the ways for the next connection."""
    (reply,) = handle(FindWays(REPLY), state, at)
    assert isinstance(reply, SendReply)
    return reply.message.ways


@pytest.mark.parametrize(
    ("outcome", "is_silent"),
    [(AttemptOutcome.SILENT, True), (AttemptOutcome.REFUSED, False)],
)
def test_failures_of_several_endpoints_show_that_the_links_are_lost(
    outcome: AttemptOutcome, is_silent: bool
) -> None:
    """Guard against open connections that hang, or are closed though they live."""
    state = make_state()
    assert isolate(state, outcome) == [ReportReach(Reach.ISOLATED, is_silent)]
    assert find_ways(state) == (Direct(),), "no other host is known yet"
    handle(RelaysFound(RELAYS), state, NOW)
    assert find_ways(state) == (Through(RELAYS[0]), Through(RELAYS[1]))
    assert find_ways(state) == (Through(RELAYS[1]), Through(RELAYS[0]))


def test_one_endpoint_that_ended_is_no_lost_link() -> None:
    """Guard against a hop for all, since one endpoint fails again and again."""
    state = make_state()
    for _ in range(10):
        assert end_attempt(state, 0, AttemptOutcome.SILENT) == []
    assert end_attempt(state, 1, AttemptOutcome.REFUSED) == []
    assert end_attempt(state, 2, AttemptOutcome.CONNECTED) == []
    assert end_attempt(state, 3, AttemptOutcome.SILENT) == []
    assert end_attempt(state, 4, AttemptOutcome.SILENT) == []
    assert state.reach is Reach.CONNECTED


def test_endpoints_that_left_or_failed_long_ago_are_no_lost_link() -> None:
    """Guard against a release of a whole service that looks like a partition."""
    state = make_state()
    end_attempt(state, 0, AttemptOutcome.REFUSED)
    end_attempt(state, 1, AttemptOutcome.REFUSED)
    handle(EndpointAddressesListed(ENDPOINTS[2:]), state, NOW)
    assert end_attempt(state, 1, AttemptOutcome.REFUSED) == []
    assert end_attempt(state, 2, AttemptOutcome.REFUSED) == []
    later = NOW + EVIDENCE_DURATION + timedelta(milliseconds=1)
    assert end_attempt(state, 3, AttemptOutcome.REFUSED, later) == []
    assert end_attempt(state, 4, AttemptOutcome.REFUSED, later) == []
    assert state.reach is Reach.CONNECTED


def test_probes_find_that_the_links_are_back() -> None:
    """Guard against a hop that stays after the links are back."""
    state = make_state()
    isolate(state)
    handle(RelaysFound(RELAYS), state, NOW)
    assert handle(Tick(), state, NOW) == []
    first, second = NOW + PROBE_INTERVAL, NOW + 2 * PROBE_INTERVAL
    assert handle(Tick(), state, first) == [ProbeEndpoint(ENDPOINTS[0])]
    end_attempt(state, 0, AttemptOutcome.SILENT, first)
    assert handle(Tick(), state, second) == [ProbeEndpoint(ENDPOINTS[1])]
    assert end_attempt(state, 1, AttemptOutcome.CONNECTED, second) == [
        ReportReach(Reach.CONNECTED)
    ]
    assert find_ways(state, second) == (Direct(),)
    assert handle(Tick(), state, second + PROBE_INTERVAL) == []


def test_hosts_that_open_no_tunnel_are_passed_over_for_a_while() -> None:
    """Guard against requests that wait for a host that is isolated as well."""
    state = make_state()
    isolate(state)
    handle(RelaysFound(RELAYS), state, NOW)
    end_attempt(state, 3, AttemptOutcome.UNUSABLE, way=Through(RELAYS[0]))
    assert find_ways(state) == (Through(RELAYS[1]),)
    end_attempt(state, 3, AttemptOutcome.UNUSABLE, way=Through(RELAYS[1]))
    assert find_ways(state) == (Direct(),)
    later = NOW + AVOID_RELAY_DURATION
    assert len(find_ways(state, later)) == len(RELAYS)


def test_hosts_that_confirm_ends_come_first() -> None:
    """Guard against responses that are broken off though another host confirms them."""
    state = make_state()
    isolate(state)
    handle(RelaysFound(RELAYS), state, NOW)
    end_attempt(state, 3, AttemptOutcome.UNCONFIRMED, way=Through(RELAYS[0]))
    expected = (Through(RELAYS[1]), Through(RELAYS[0], confirms_ends=False))
    assert [find_ways(state) for _ in range(2)] == [expected] * 2
    later = NOW + UNCONFIRMED_DURATION
    assert set(find_ways(state, later)) == {Through(relay) for relay in RELAYS}
    handle(RelaysFound(RELAYS[1:]), state, NOW)
    handle(RelaysFound(RELAYS), state, NOW)
    assert set(find_ways(state)) == {Through(relay) for relay in RELAYS}


def test_endpoint_that_others_do_not_reach_says_nothing_of_them() -> None:
    """Guard against tunnels that are given up for an endpoint that has ended."""
    state = make_state()
    isolate(state)
    handle(RelaysFound(RELAYS), state, NOW)
    end_attempt(state, 3, AttemptOutcome.REFUSED, way=Through(RELAYS[0]))
    assert len(find_ways(state)) == len(RELAYS)
    assert state.reach is Reach.ISOLATED
