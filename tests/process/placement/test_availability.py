"""Guard against crowds at an endpoint that may not be back, and waits for others."""

from collections import Counter
from datetime import timedelta

import pytest

from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.core import handle
from oleanderhitch.process.placement.effects import SendReply
from oleanderhitch.process.placement.health import (
    AVOID_AFTER_REFUSAL,
    AVOID_AFTER_UNREACHABLE,
    TRIAL_DURATION,
)
from oleanderhitch.process.placement.messages import (
    AttemptResult,
    EndpointGranted,
    EndpointsListed,
    FirstChunkReceived,
    InferenceWorkload,
    ReleaseEndpoint,
)
from oleanderhitch.process.placement.records import PlacementState
from tests.process.placement.test_core import (
    NOW,
    acquire,
    get_grant,
    make_endpoint,
    make_state,
    make_workload,
)

N_WAITING = 5
BACK_AT = NOW + AVOID_AFTER_UNREACHABLE


def list_grants(effects: list[object]) -> list[EndpointGranted]:
    """Return the grants among effects."""
    replies = [effect.message for effect in effects if isinstance(effect, SendReply)]
    return [reply for reply in replies if isinstance(reply, EndpointGranted)]


def make_unreachable(result: AttemptResult) -> tuple[PlacementState, EndpointGranted]:
    """Return a state with requests that wait for an endpoint, and the first trial."""
    state = make_state(make_endpoint("e1", 20))
    grant = get_grant(handle(acquire("1"), state, NOW))
    handle(ReleaseEndpoint(grant.permit, result), state, NOW)
    for number in range(N_WAITING):
        assert not handle(acquire(f"w{number}"), state, NOW)
    assert not handle(Tick(), state, BACK_AT - timedelta(milliseconds=1))
    (trial,) = list_grants(handle(Tick(), state, BACK_AT))
    return state, trial


@pytest.mark.parametrize(
    "result", [AttemptResult.NOT_CONNECTED, AttemptResult.MISDIRECTED]
)
def test_one_request_finds_out_whether_an_endpoint_is_back(
    result: AttemptResult,
) -> None:
    """Guard against requests that all spend a send on an endpoint that is still gone.

    The next one tries only after the endpoint was avoided again.
    """
    state, trial = make_unreachable(result)
    soon = BACK_AT + timedelta(milliseconds=2)
    assert not list_grants(handle(Tick(), state, soon))
    assert not list_grants(handle(ReleaseEndpoint(trial.permit, result), state, soon))
    assert not list_grants(handle(Tick(), state, BACK_AT + TRIAL_DURATION))
    again = handle(Tick(), state, soon + AVOID_AFTER_UNREACHABLE)
    assert len(list_grants(again)) == 1


@pytest.mark.parametrize("has_completed", [False, True])
def test_first_answer_makes_the_endpoint_available_to_all(has_completed: bool) -> None:
    """Guard against requests that wait although another one was just answered."""
    state, trial = make_unreachable(AttemptResult.NOT_CONNECTED)
    answered = FirstChunkReceived(trial.permit)
    if has_completed:
        answered = ReleaseEndpoint(trial.permit, AttemptResult.COMPLETED)
    soon = BACK_AT + timedelta(milliseconds=5)
    assert len(list_grants(handle(answered, state, soon))) == N_WAITING - 1


def test_connection_that_was_not_refused_shows_that_the_endpoint_is_back() -> None:
    """Guard against requests that wait for the end of a long call."""
    state, _ = make_unreachable(AttemptResult.NOT_CONNECTED)
    effects = handle(Tick(), state, BACK_AT + TRIAL_DURATION)
    assert len(list_grants(effects)) == N_WAITING - 1


def test_answer_to_an_earlier_request_is_no_sign_of_a_return() -> None:
    """Guard against a crowd at a crashed endpoint whose last events are still read."""
    state = make_state(make_endpoint("e1", 20))
    earlier = get_grant(handle(acquire("1"), state, NOW))
    grant = get_grant(handle(acquire("2"), state, NOW))
    later = NOW + timedelta(milliseconds=1)
    released = ReleaseEndpoint(grant.permit, AttemptResult.NOT_CONNECTED)
    handle(released, state, later)
    assert not handle(acquire("3"), state, later)
    assert not list_grants(handle(FirstChunkReceived(earlier.permit), state, later))


@pytest.mark.parametrize("is_engine", [False, True])
def test_interrupted_requests_go_on_at_once_and_are_spread(is_engine: bool) -> None:
    """Guard against a crash that moves all its requests to one other endpoint."""

    def get_workload(number: int) -> InferenceWorkload | None:
        return make_workload(f"prompt {number}") if is_engine else None

    n_requests, names = 12, [f"e{number}" for number in range(5)]
    state = make_state(make_endpoint("e0", n_requests))
    running = [
        get_grant(handle(acquire(f"r{number}", get_workload(number)), state, NOW))
        for number in range(n_requests)
    ]
    listed = tuple(make_endpoint(name, n_requests) for name in names)
    handle(EndpointsListed(listed), state, NOW)
    for grant in running:
        lost = ReleaseEndpoint(grant.permit, AttemptResult.CONNECTION_LOST)
        handle(lost, state, NOW)
    counts = Counter[str]()
    for number in range(n_requests):
        workload = get_workload(number)
        message = acquire(f"a{number}", workload, tried=("e0",), is_retryable=True)
        counts[get_grant(handle(message, state, NOW)).endpoint.endpoint] += 1
    assert set(counts) == set(names[1:])
    assert max(counts.values()) <= 2 * n_requests / len(counts)


def test_refusal_of_the_trial_shows_that_the_endpoint_is_back() -> None:
    """Guard against waits for a trial that has ended with an answer."""
    state, trial = make_unreachable(AttemptResult.NOT_CONNECTED)
    soon = BACK_AT + timedelta(milliseconds=5)
    handle(ReleaseEndpoint(trial.permit, AttemptResult.REFUSED), state, soon)
    avoided = handle(Tick(), state, soon + AVOID_AFTER_REFUSAL / 2)
    assert not list_grants(avoided)
    effects = handle(Tick(), state, soon + AVOID_AFTER_REFUSAL)
    assert len(list_grants(effects)) == N_WAITING - 1


def test_trial_that_was_not_sent_is_followed_by_another_one() -> None:
    """Guard against a crowd at an endpoint that is gone, after an unsent trial."""
    state, trial = make_unreachable(AttemptResult.NOT_CONNECTED)
    soon = BACK_AT + timedelta(milliseconds=5)
    unsent = ReleaseEndpoint(trial.permit, AttemptResult.UNSENT)
    (again,) = list_grants(handle(unsent, state, soon))
    assert not list_grants(handle(Tick(), state, BACK_AT + TRIAL_DURATION))
    failed = ReleaseEndpoint(again.permit, AttemptResult.NOT_CONNECTED)
    later = BACK_AT + TRIAL_DURATION + timedelta(milliseconds=1)
    assert not list_grants(handle(failed, state, later))


@pytest.mark.parametrize("delay", [timedelta(0), timedelta(milliseconds=1)])
def test_unsent_earlier_request_does_not_end_a_trial(delay: timedelta) -> None:
    """Guard against two trials at once, where an earlier request ends unsent."""
    state = make_state(make_endpoint("e1", 20))
    earlier = get_grant(handle(acquire("1"), state, NOW))
    grant = get_grant(handle(acquire("2"), state, NOW))
    refused = ReleaseEndpoint(grant.permit, AttemptResult.NOT_CONNECTED)
    handle(refused, state, NOW)
    for number in range(N_WAITING):
        handle(acquire(f"w{number}"), state, NOW)
    assert len(list_grants(handle(Tick(), state, BACK_AT))) == 1
    unsent = ReleaseEndpoint(earlier.permit, AttemptResult.UNSENT)
    assert not list_grants(handle(unsent, state, BACK_AT + delay))


@pytest.mark.parametrize("result", [AttemptResult.SILENT, AttemptResult.REFUSED])
def test_earlier_request_does_not_shorten_the_time_without_requests(
    result: AttemptResult,
) -> None:
    """Guard against sends to a lost endpoint as each of its requests is given up."""
    state = make_state(make_endpoint("e1", 20))
    earlier = get_grant(handle(acquire("1"), state, NOW))
    grant = get_grant(handle(acquire("2"), state, NOW))
    lost = ReleaseEndpoint(grant.permit, AttemptResult.NOT_CONNECTED)
    handle(lost, state, NOW)
    handle(acquire("3"), state, NOW)
    assert not list_grants(handle(ReleaseEndpoint(earlier.permit, result), state, NOW))
    soon = BACK_AT - timedelta(milliseconds=1)
    assert not list_grants(handle(Tick(), state, soon))
    assert len(list_grants(handle(Tick(), state, BACK_AT))) == 1
