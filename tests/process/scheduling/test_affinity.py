"""Test the wait for the endpoint that caches a request's prefix."""

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
    """A short wait must be preferred to computing a long prefix again."""
    harness = make_harness()
    assert send_next_turn(harness) == []
    busy = next(iter(harness.permits))
    (grant,) = harness.release(busy)
    assert (grant.request, grant.endpoint) == ("next", "e1")


def test_wait_for_the_holder_is_bounded():
    """A wait that exceeds the saved prefill must end at another endpoint."""
    harness = make_harness(affinity_wait_factor=1.0)
    send_next_turn(harness)
    assert harness.wait(1.0) == []
    (grant,) = harness.wait(1.1)
    assert grant.endpoint == "e2"


def test_short_prefix_is_not_waited_for():
    """A wait must not cost more than the prefill that it saves."""
    harness = make_harness(prompt_tokens=10)
    send_next_turn(harness, prompt_tokens=20)
    (grant,) = harness.wait(0.05)
    assert grant.endpoint == "e2"


def test_wait_ends_when_the_holder_leaves():
    """A request must not wait for an endpoint that gets no further requests."""
    harness = make_harness()
    send_next_turn(harness)
    harness.offer(leaving=("e1",), e1=1, e2=1)
    assert harness.ended["next"] == "granted"


def test_evicted_prefix_is_not_waited_for():
    """An endpoint that has evicted a prefix must not count as its holder."""
    harness = PoolHarness()
    harness.offer(e1=1)
    harness.state.endpoints["e1"].cache_capacity_tokens = 1_000
    for number, program in enumerate(("p", "q")):
        fields = {"program": program, "prompt_tokens": 900}
        (grant,) = harness.enqueue(enqueue(f"r{number}", **fields))
        harness.release(grant.permit)
    assert "p" not in harness.state.endpoints["e1"].cached_prefixes


def test_request_that_excludes_an_endpoint_does_not_block_it():
    """A request that excludes an endpoint must not block its queue."""
    harness = make_harness()
    harness.offer(e1=1)
    waited = timedelta(seconds=30)
    harness.enqueue(enqueue("elsewhere", excluded=("e1",), n_turns=1, waited=waited))
    send_next_turn(harness)
    (grant,) = harness.release(next(iter(harness.permits)))
    assert grant.request == "next"


def test_time_waited_at_the_old_owner_shortens_the_wait():
    """The affinity wait must not start again at a new owner."""
    harness = make_harness(affinity_wait_factor=1.0)
    (grant,) = send_next_turn(harness, waited=timedelta(seconds=5))
    assert grant.endpoint == "e2"
