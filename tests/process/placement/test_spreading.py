"""Guard against many entry hosts that act alike on loads that are out of date."""

from collections import Counter
from datetime import timedelta
from random import Random

import pytest

from oleanderhitch.process.placement.core import handle
from oleanderhitch.process.placement.effects import SendReply
from oleanderhitch.process.placement.messages import (
    AttemptResult,
    EndpointGranted,
    EndpointLoad,
    EndpointsListed,
    InferenceWorkload,
    PeerLoadsReported,
    PromptPart,
    ReleaseEndpoint,
)
from oleanderhitch.process.placement.records import PlacementState
from oleanderhitch.process.placement.spreading import find_level
from oleanderhitch.version.ids import EndpointId
from tests.process.placement.test_core import (
    HOME,
    NOW,
    acquire,
    get_grant,
    make_endpoint,
)

N_HOSTS = 400
WORKLOAD = InferenceWorkload(100, 200, 100, ())


def count_choices(duration: timedelta) -> Counter[str]:
    """Return how often hosts choose each endpoint if requests take this long.

    e0 had two requests less than the others when the loads were reported.
    """
    names = [EndpointId(f"e{number}") for number in range(20)]
    endpoints = EndpointsListed(tuple(make_endpoint(name, 12) for name in names))
    loads = tuple(EndpointLoad(name, 4 + 2 * (name != "e0"), 0) for name in names)
    chosen = Counter[str]()
    for number in range(N_HOSTS):
        state = PlacementState(HOME, f"entry-{number}", Random(number))
        handle(endpoints, state, NOW)
        first = get_grant(handle(acquire("first", WORKLOAD), state, NOW))
        reported_at = NOW + duration
        released = ReleaseEndpoint(first.permit, AttemptResult.COMPLETED)
        handle(released, state, reported_at)
        handle(PeerLoadsReported(loads, N_HOSTS), state, reported_at)
        later = reported_at + timedelta(milliseconds=125)
        (effect,) = handle(acquire("second", WORKLOAD), state, later)
        assert isinstance(effect, SendReply)
        assert isinstance(effect.message, EndpointGranted)
        chosen[effect.message.endpoint.endpoint] += 1
    return chosen


def test_hosts_do_not_meet_at_the_endpoint_that_was_idle() -> None:
    """Guard against a queue at one engine while others have free slots.

    A hundred requests begin between two reports; two of them fit at the idle one.
    """
    chosen = count_choices(timedelta(milliseconds=300))
    assert len(chosen) == 20
    assert 0.02 * N_HOSTS < chosen["e0"] < 0.15 * N_HOSTS


def test_hosts_go_by_loads_that_are_still_true() -> None:
    """Guard against a random choice where requests last longer than reports take."""
    chosen = count_choices(timedelta(seconds=60))
    assert chosen["e0"] > 0.9 * N_HOSTS


def test_own_cached_prompt_is_worth_more_than_equal_loads() -> None:
    """Guard against turns that leave the engine which has their history cached."""
    workload = InferenceWorkload(9_000, 200, 100, (PromptPart("own", 9_000),))
    names = [EndpointId(f"e{number}") for number in range(20)]
    endpoints = EndpointsListed(tuple(make_endpoint(name, 12) for name in names))
    loads = tuple(EndpointLoad(name, 5, 0) for name in names)
    for number in range(50):
        state = PlacementState(HOME, f"entry-{number}", Random(number))
        handle(endpoints, state, NOW)
        later = NOW + timedelta(milliseconds=200)
        first = get_grant(handle(acquire("first", workload), state, NOW))
        released = ReleaseEndpoint(first.permit, AttemptResult.COMPLETED)
        handle(released, state, later)
        handle(PeerLoadsReported(loads, N_HOSTS), state, later)
        second = get_grant(handle(acquire("second", workload), state, later))
        assert second.endpoint == first.endpoint


@pytest.mark.parametrize(
    ("added", "level"), [(0.0, 1.0), (1.0, 2.0), (3.0, 3.0), (9.0, 5.0)]
)
def test_level_is_reached_by_what_is_added(added: float, level: float) -> None:
    """Guard against weights that do not level the costs of endpoints."""
    assert find_level([3.0, 1.0, 2.0], added) == pytest.approx(level)
