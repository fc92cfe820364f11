"""Guard against slow endpoints that get too much work, and needless hedges."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.process.scheduling import hedging
from oleanderhitch.process.scheduling.states import Health
from tests.process.scheduling.builders import enqueue
from tests.process.scheduling.harness import PoolHarness

SLOW = timedelta(seconds=9)


def serve(harness, n_requests, slow=(), prefix="warm"):
    """Serve requests in turn; those at slow endpoints take nine times longer."""
    for number in range(n_requests):
        effects = harness.enqueue(enqueue(f"{prefix}-{number}"))
        for grant in effects:
            duration = SLOW if grant.endpoint in slow else timedelta(seconds=1)
            harness.release(grant.permit, duration=duration)
        harness.wait(0.05)


def make_harness(n_endpoints=4, n_slots=2, slow=("e1",), **settings):
    """Return a harness whose slow endpoints are on probation."""
    harness = PoolHarness(**settings)
    harness.offer(**{f"e{n + 1}": n_slots for n in range(n_endpoints)})
    serve(harness, 10 * n_endpoints, slow=slow)
    return harness


def list_on_probation(harness):
    """Return the endpoints on probation."""
    return [
        name
        for name, endpoint in harness.state.endpoints.items()
        if endpoint.health is Health.PROBATION
    ]


def test_slow_endpoint_gets_single_probes():
    """Guard against more than one probe per interval at a slow endpoint."""
    harness = make_harness(probe_interval_s=2.0)
    assert list_on_probation(harness) == ["e1"]
    harness.wait(2.0)
    for number in range(7):
        harness.enqueue(enqueue(f"r{number}"))
    assert harness.count_in_flight("e1") == 1


def test_recovered_endpoint_comes_off_probation():
    """Guard against an endpoint that stays on probation after it has recovered."""
    harness = make_harness(probe_interval_s=1.0)
    for number in range(4):
        harness.wait(1.0)
        serve(harness, 4, prefix=f"later-{number}")
    assert list_on_probation(harness) == []


def test_number_of_endpoints_on_probation_is_limited():
    """Guard against probation of too many endpoints when many slow down."""
    harness = make_harness(n_endpoints=9, slow=("e1", "e2", "e3", "e4"))
    assert 1 <= len(list_on_probation(harness)) <= 3


def test_two_endpoints_are_never_on_probation():
    """Guard against probation where the median doesn't show which endpoint is slow."""
    harness = make_harness(n_endpoints=2)
    assert list_on_probation(harness) == []


def test_long_queue_overflows_to_slow_endpoints():
    """Guard against a long queue while a slow endpoint is idle."""
    harness = make_harness()
    for number in range(400):
        harness.enqueue(enqueue(f"r{number}"))
    harness.wait(0.1)
    assert harness.count_in_flight("e1") >= 1


def _slow_down_e1(harness, are_idempotent, prompt_tokens=300):
    """Fill e1 with requests, idempotent as given, and release slow attempts there."""
    harness.offer(e1=len(are_idempotent) + 3, e2=9, e3=9)
    serve(harness, 30)
    fields = {"holders": ("e1",), "prompt_tokens": prompt_tokens}
    for number, is_idempotent in enumerate(are_idempotent):
        sent = enqueue(f"r{number}", is_idempotent=is_idempotent, **fields)
        harness.enqueue(sent)
    for number in range(5):
        if list_on_probation(harness):
            break
        (grant,) = harness.enqueue(enqueue(f"s{number}", **fields))
        assert grant.endpoint == "e1"
        harness.release(grant.permit, duration=4 * SLOW)
    harness.wait(0.05)


def test_long_prompts_are_not_hedged():
    """Guard against a hedge whose prefill costs more than the slowdown."""
    harness = PoolHarness(hedge_load_limit=1.0)
    _slow_down_e1(harness, [True] * 6, prompt_tokens=100_000)
    assert list_on_probation(harness) == ["e1"]
    assert harness.n_hedges == 0


def test_loaded_pool_starts_no_hedges():
    """Guard against hedges that delay other requests while slots are scarce."""
    harness = PoolHarness(hedge_load_limit=0.1)
    _slow_down_e1(harness, [True] * 6)
    assert harness.n_hedges == 0


@given(st.lists(st.booleans(), min_size=1, max_size=14))
def test_only_idempotent_requests_are_hedged(are_idempotent):
    """Guard against hedges of non-idempotent requests or beyond the retry budget."""
    harness = PoolHarness(hedge_load_limit=1.0)
    _slow_down_e1(harness, are_idempotent)
    assert list_on_probation(harness) == ["e1"]
    budget = harness.state.retry_budget + harness.n_hedges
    assert harness.n_hedges == min(sum(are_idempotent), int(budget))


def test_hedge_avoids_excluded_endpoints():
    """Guard against a hedge at an endpoint that the request excludes."""
    harness = PoolHarness()
    _slow_down_e1(harness, [])
    harness.enqueue(enqueue("r", excluded=("e2", "e3")))
    harness.wait(2.1)
    assert harness.count_in_flight("e1") == 1
    harness.state.hedge_candidates.extend(harness.permits)
    harness.wait(0.1)
    assert harness.n_hedges == 0


def test_hedge_candidates_are_bounded():
    """Guard against candidates that accumulate because they never get a hedge."""
    harness = PoolHarness(hedge_load_limit=0.0)
    harness.offer(e1=30, e2=1, e3=1)
    for number in range(25):
        harness.enqueue(enqueue(f"r{number}", holders=("e1",)))
    for _ in range(200):
        hedging.add_candidates(harness.state, harness.state.endpoints["e1"])
    assert len(harness.state.hedge_candidates) <= 1_024


def test_hedge_is_not_started_after_the_deadline():
    """Guard against a hedge of a request whose deadline has passed."""
    harness = PoolHarness()
    harness.wait(0.0)
    _slow_down_e1(harness, [])
    harness.enqueue(enqueue("late", time_to_deadline=timedelta(seconds=1)))
    permit = next(iter(harness.state.permits))
    harness.state.hedge_candidates.append(permit)
    harness.wait(2.0)
    assert harness.n_hedges == 0
