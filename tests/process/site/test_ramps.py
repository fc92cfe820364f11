"""Guard against endpoints that are flooded or left idle when they start or recover."""

from datetime import timedelta

import pytest
from msgspec.structs import replace

from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.placement import messages
from oleanderhitch.process.placement.core import handle
from oleanderhitch.process.placement.pace import take_ramp_observations
from oleanderhitch.process.placement.records import PlacementState
from oleanderhitch.process.site.messages import NO_SPEEDS
from oleanderhitch.process.site.ramps import HALVING_INTERVAL, IDLE_TTL, Ramp
from oleanderhitch.process.site.speed_totals import make_speed_totals
from oleanderhitch.version.ids import EndpointId
from tests.process.placement.test_core import (
    HOME,
    NOW,
    acquire,
    get_grant,
    make_endpoint,
    make_workload,
)
from tests.process.site.test_speeds import ENGINES, N_HOSTS, N_TURNS, Site

N_SLOTS = 12
NEW = replace(make_endpoint("new", N_SLOTS), born_ms=5)
STARTED = messages.RampObservations(N_SLOTS, True, 0, 0, 0)
FAST = messages.RampObservations(N_SLOTS, False, 1, 0, 0)
SLOW = messages.RampObservations(N_SLOTS, False, 0, 1, 0)
FAILED = messages.RampObservations(N_SLOTS, False, 0, 0, 1)


def play_start(new: ListedEndpoint, is_enabled: bool) -> tuple[list[int], int]:
    """Let an endpoint start among busy ones.

    Return the most requests in progress in each round, and the requests that it gets
    from the ninth round on.
    """
    site = Site({})
    for placement, _ in site.hosts:
        placement.is_ramp_up_enabled = is_enabled
    site.play(4)
    for placement, _ in site.hosts:
        handle(messages.EndpointsListed((*ENGINES, new)), placement, site.time)
    most = []
    for number in range(20):
        if number == 8:
            site.counts.clear()
        site.n_most.clear()
        site.play(1)
        most.append(site.n_most["new"])
    return most, site.counts["new"]


def test_new_endpoint_is_neither_flooded_nor_left_idle() -> None:
    """Guard against all hosts that find the same new endpoint idle (RAMP)."""
    flooded, _ = play_start(NEW, is_enabled=False)
    assert max(flooded) > N_SLOTS
    for new, is_enabled in ((NEW, True), (replace(NEW, is_cold=True), False)):
        most, n_requests = play_start(new, is_enabled)
        assert most[0] <= 3
        assert max(most[:4]) <= N_SLOTS
        # Half of what an endpoint gets on average.
        assert n_requests > 0.5 * 12 * N_HOSTS * N_TURNS / (len(ENGINES) + 1)


@pytest.mark.parametrize(
    ("observed", "n_allowed"),
    [
        ((STARTED,), 1),
        ((STARTED, FAST, FAST, STARTED), 3),
        ((STARTED, FAST, SLOW, SLOW), 2),
        ((STARTED, *[FAST] * 7, FAILED, FAILED), 4),
        ((STARTED, *[FAST] * 11), 0),
        ((STARTED, *[FAST] * 11, FAILED, STARTED), 0),
        ((SLOW, FAILED, FAILED, FAILED), 1),
        ((*[FAST] * 9, FAILED, FAILED, FAILED), 0),
    ],
)
def test_limit_follows_the_answers(
    observed: tuple[messages.RampObservations, ...], n_allowed: int
) -> None:
    """Guard against a ramp in time, and one host that limits an endpoint for all."""
    ramp = Ramp()
    for item in observed:
        ramp.observe(item, NOW + HALVING_INTERVAL)
        if item is STARTED:
            ramp.halved_at = NOW
    assert ramp.n_allowed == n_allowed


def test_ramp_without_requests_ends() -> None:
    """Guard against an endpoint that is limited for ever since nobody needs it."""
    totals = make_speed_totals(NOW)
    totals.observe(
        messages.SpeedObservations(NEW.endpoint, 5, 0, 0, 0, 0, STARTED), NOW
    )
    change = totals.find_change(NO_SPEEDS, NOW)
    assert change is not None
    assert change.speeds[0].n_allowed == 1
    later = NOW + IDLE_TTL + timedelta(seconds=1)
    change = totals.find_change(change.version, later)
    assert change is not None
    assert change.speeds[0].n_allowed == 0


def make_ramping_state(n_old_slots: int) -> PlacementState:
    """Return the state of a host after an endpoint has started beside another."""
    state = PlacementState(HOME, "h", is_ramp_up_enabled=True)
    old = make_endpoint("old", n_old_slots)
    handle(messages.EndpointsListed((old,)), state, NOW)
    handle(messages.EndpointsListed((old, NEW)), state, NOW)
    return state


def test_ramp_lets_no_request_wait() -> None:
    """Guard against a limit that refuses requests while slots are free."""
    state = make_ramping_state(n_old_slots=1)
    handle(messages.PeerLoadsReported((), 50), state, NOW)
    state.endpoints[NEW.endpoint].has_trial = False
    for expected in ("old", "new"):
        request = acquire(expected, make_workload("a"))
        assert get_grant(handle(request, state, NOW)).endpoint.endpoint == expected


def test_without_a_leader_each_host_sends_one_at_a_time() -> None:
    """Guard against hosts that wait for a leader, or that all flood an endpoint."""
    state = make_ramping_state(n_old_slots=9)
    for number in range(6):
        handle(acquire(str(number)), state, NOW)
    assert len(state.endpoints[NEW.endpoint].permits) == 1


def test_calls_are_compared_with_those_of_peers_and_earlier_ones() -> None:
    """Guard against an endpoint that is slow for good and is never used."""
    state = make_ramping_state(n_old_slots=9)
    found = []
    for name, duration_ms in (("new", 10), ("new", 60), *[("old", 60)] * 20):
        other = "old" if name == "new" else "new"
        grant = get_grant(handle(acquire("r", tried=(other,)), state, NOW))
        at = NOW + timedelta(milliseconds=duration_ms)
        released = messages.ReleaseEndpoint(
            grant.permit, messages.AttemptResult.COMPLETED
        )
        handle(released, state, at)
        found.append(take_ramp_observations(state.endpoints[EndpointId(name)]))
    is_fast = [item is not None and item.n_fast == 1 for item in found]
    assert is_fast[:2] == [True, False]
    assert is_fast[-10:] == [True] * 10


def test_answers_of_an_earlier_start_do_not_end_the_ramp() -> None:
    """Guard against a new endpoint that is flooded for the answers of the old one."""
    state = PlacementState(HOME, "h", is_ramp_up_enabled=True)
    handle(messages.EndpointsListed((NEW,)), state, NOW)
    request = acquire("r", make_workload("a"))
    permit = get_grant(handle(request, state, NOW)).permit
    again = replace(NEW, born_ms=NEW.born_ms + 1)
    handle(messages.EndpointsListed((again,)), state, NOW)
    handle(messages.FirstChunkReceived(permit), state, NOW)
    found = take_ramp_observations(state.endpoints[NEW.endpoint])
    assert found is not None
    assert found.has_started
    assert not found.n_fast
