"""Guard the wait for a prefix: long enough to save work, never unbounded."""

from datetime import timedelta

from tests.process.scheduling.builders import enqueue
from tests.process.scheduling.harness import World


def make_world(prompt_tokens=20_000, **settings):
    """Return a world where e1 holds the prefix of program p and is busy."""
    world = World(**settings)
    world.offer(e1=1)
    (grant,) = world.enqueue(enqueue("first", program="p", prompt_tokens=prompt_tokens))
    world.release(grant.permit)
    world.state.averages.prefill_s_per_token = 0.0001
    world.enqueue(enqueue("busy"))
    world.offer(e1=1, e2=1)
    return world


def send_next_turn(world, prompt_tokens=20_500, **changes):
    """Enqueue the next turn of the program whose prefix e1 holds."""
    fields = {"program": "p", "holders": ("e1",), "n_turns": 1}
    fields |= {"prompt_tokens": prompt_tokens} | changes
    return world.enqueue(enqueue("next", **fields))


def test_waits_for_the_holder_of_a_long_prefix():
    """A long prefix must not be computed again for a short wait."""
    world = make_world()
    assert send_next_turn(world) == []
    busy = next(iter(world.permits))
    (grant,) = world.release(busy)
    assert (grant.request, grant.endpoint) == ("next", "e1")


def test_wait_for_the_holder_is_bounded():
    """A wait beyond the saved prefill must end at another endpoint."""
    world = make_world(affinity_wait_factor=1.0)
    send_next_turn(world)
    assert world.wait(1.0) == []
    (grant,) = world.wait(1.1)
    assert grant.endpoint == "e2"


def test_short_prefix_is_not_waited_for():
    """A wait must not cost more than the prefill that it saves."""
    world = make_world(prompt_tokens=10)
    send_next_turn(world, prompt_tokens=20)
    (grant,) = world.wait(0.05)
    assert grant.endpoint == "e2"


def test_wait_ends_when_the_holder_leaves():
    """Nothing may wait for an endpoint that gets no further work."""
    world = make_world()
    send_next_turn(world)
    world.offer(leaving=("e1",), e1=1, e2=1)
    assert world.ended["next"] == "granted"


def test_evicted_prefix_is_not_waited_for():
    """A prefix that memory no longer holds must not attract the program."""
    world = World()
    world.offer(e1=1)
    world.state.endpoints["e1"].cache_tokens = 1_000
    for number, program in enumerate(("p", "q")):
        fields = {"program": program, "prompt_tokens": 900}
        (grant,) = world.enqueue(enqueue(f"r{number}", **fields))
        world.release(grant.permit)
    assert "p" not in world.state.endpoints["e1"].residents


def test_excluding_request_does_not_block_the_holder():
    """A request that may not use an endpoint must not keep others from it."""
    world = make_world()
    world.offer(e1=1)
    waited = timedelta(seconds=30)
    world.enqueue(enqueue("elsewhere", excluded=("e1",), n_turns=1, waited=waited))
    send_next_turn(world)
    (grant,) = world.release(next(iter(world.permits)))
    assert grant.request == "next"


def test_seniority_at_a_new_owner_shortens_the_wait():
    """A wait for a prefix must not start again at each new owner."""
    world = make_world(affinity_wait_factor=1.0)
    (grant,) = send_next_turn(world, waited=timedelta(seconds=5))
    assert grant.endpoint == "e2"
