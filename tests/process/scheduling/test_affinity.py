"""Guard against wrong waits for the endpoint that caches a request's prefix."""

from datetime import timedelta

from tests.process.scheduling.builders import enqueue
from tests.process.scheduling.harness import PoolHarness


def make_harness(prompt_tokens=20_000, **settings):
    """Return a harness where e1 caches the prefix of program p and is busy."""
    harness = PoolHarness(**settings)
    harness.offer(e1=1)
    (grant,) = harness.enqueue(
        enqueue("first", program="p", prompt_tokens=prompt_tokens)
    )
    harness.release(grant.permit)
    harness.state.averages.prefill_s_per_token = 0.0001
    harness.enqueue(enqueue("busy"))
    harness.offer(e1=1, e2=1)
    return harness


def send_next_turn(harness, prompt_tokens=20_500, **changes):
    """Enqueue the next turn of the program whose prefix e1 caches."""
    fields = {"program": "p", "holders": ("e1",), "n_turns": 1}
    fields |= {"prompt_tokens": prompt_tokens} | changes
    return harness.enqueue(enqueue("next", **fields))


def test_request_waits_for_the_holder_of_a_long_prefix():
    """Guard against computing a long prefix again instead of a short wait."""
    harness = make_harness()
    assert send_next_turn(harness) == []
    busy = next(iter(harness.permits))
    (grant,) = harness.release(busy)
    assert (grant.request, grant.endpoint) == ("next", "e1")


def test_wait_for_the_holder_is_bounded():
    """Guard against a wait for one endpoint that is longer than the saved prefill."""
    harness = make_harness(affinity_wait_factor=1.0)
    send_next_turn(harness)
    assert harness.wait(1.0) == []
    (grant,) = harness.wait(1.1)
    assert grant.endpoint == "e2"


def test_short_prefix_is_not_waited_for():
    """Guard against a wait that costs more than the prefill that it saves."""
    harness = make_harness(prompt_tokens=10)
    send_next_turn(harness, prompt_tokens=20)
    (grant,) = harness.wait(0.05)
    assert grant.endpoint == "e2"


def test_wait_ends_when_the_holder_leaves():
    """Guard against a wait for an endpoint that gets no further requests."""
    harness = make_harness()
    send_next_turn(harness)
    harness.offer(leaving=("e1",), e1=1, e2=1)
    assert harness.ended["next"] == "granted"


def test_full_cache_evicts_the_least_recently_used_prefix():
    """Guard against prefixes that count as cached beyond the capacity of the cache."""
    harness = PoolHarness()
    harness.offer(e1=1)
    harness.state.endpoints["e1"].cache_capacity_tokens = 1_000
    for number, program in enumerate(("p", "q")):
        fields = {"program": program, "prompt_tokens": 900}
        (grant,) = harness.enqueue(enqueue(f"r{number}", **fields))
        harness.release(grant.permit)
    assert "p" not in harness.state.endpoints["e1"].cached_prefixes


def test_request_that_excludes_an_endpoint_does_not_block_it():
    """Guard against a request that blocks the queue of an endpoint that it excludes."""
    harness = make_harness()
    harness.offer(e1=1)
    waited = timedelta(seconds=30)
    harness.enqueue(enqueue("elsewhere", excluded=("e1",), n_turns=1, waited=waited))
    send_next_turn(harness)
    (grant,) = harness.release(next(iter(harness.permits)))
    assert grant.request == "next"


def test_time_waited_at_the_old_owner_shortens_the_wait():
    """Guard against an affinity wait that starts again at a new owner."""
    harness = make_harness(affinity_wait_factor=1.0)
    (grant,) = send_next_turn(harness, waited=timedelta(seconds=5))
    assert grant.endpoint == "e2"
