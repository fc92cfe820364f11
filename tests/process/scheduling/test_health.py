"""Guard probation and hedges: slowed endpoints must not hold the pool up."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.process.scheduling import hedging
from oleanderhitch.process.scheduling.states import Health
from tests.process.scheduling.builders import enqueue
from tests.process.scheduling.harness import World

SLOW = timedelta(seconds=9)


def serve(world, n_requests, slow=(), prefix="warm"):
    """Serve requests in turn; those at slow endpoints take nine times longer."""
    for number in range(n_requests):
        effects = world.enqueue(enqueue(f"{prefix}-{number}"))
        for grant in effects:
            duration = SLOW if grant.endpoint in slow else timedelta(seconds=1)
            world.release(grant.permit, duration=duration)
        world.wait(0.05)


def make_world(n_endpoints=4, n_slots=2, slow=("e1",), **settings):
    """Return a world whose slow endpoints are on probation."""
    world = World(**settings)
    world.offer(**{f"e{n + 1}": n_slots for n in range(n_endpoints)})
    serve(world, 10 * n_endpoints, slow=slow)
    return world


def list_on_probation(world):
    """Return the endpoints on probation."""
    return [
        name
        for name, endpoint in world.state.endpoints.items()
        if endpoint.health is Health.PROBATION
    ]


def test_slow_endpoint_gets_single_probes():
    """A slowed endpoint must get at most one probe per interval."""
    world = make_world(probe_interval_s=2.0)
    assert list_on_probation(world) == ["e1"]
    world.wait(2.0)
    for number in range(7):
        world.enqueue(enqueue(f"r{number}"))
    assert world.count_in_flight("e1") == 1


def test_recovered_endpoint_returns():
    """An endpoint that is fast again must get its full share back."""
    world = make_world(probe_interval_s=1.0)
    for number in range(4):
        world.wait(1.0)
        serve(world, 4, prefix=f"later-{number}")
    assert list_on_probation(world) == []


def test_probation_is_capped():
    """A slowdown of most endpoints must not take most of them out."""
    world = make_world(n_endpoints=9, slow=("e1", "e2", "e3", "e4"))
    assert 1 <= len(list_on_probation(world)) <= 3


def test_two_endpoints_are_not_compared():
    """Without a majority to compare with, no endpoint may be judged."""
    world = make_world(n_endpoints=2)
    assert list_on_probation(world) == []


def test_long_queue_uses_slowed_endpoints():
    """Work must not queue for long beside a slowed endpoint that idles."""
    world = make_world()
    for number in range(400):
        world.enqueue(enqueue(f"r{number}"))
    world.wait(0.1)
    assert world.count_in_flight("e1") >= 1


def _slow_down_first(world, kinds, prompt_tokens=300):
    """Fill e1 with requests of the kinds and show that it is slow."""
    world.offer(e1=len(kinds) + 3, e2=9, e3=9)
    serve(world, 30)
    at_first = {"holders": ("e1",), "prompt_tokens": prompt_tokens}
    for number, is_idempotent in enumerate(kinds):
        sent = enqueue(f"r{number}", is_idempotent=is_idempotent, **at_first)
        world.enqueue(sent)
    for number in range(5):
        if list_on_probation(world):
            break
        (grant,) = world.enqueue(enqueue(f"s{number}", **at_first))
        assert grant.endpoint == "e1"
        world.release(grant.permit, duration=4 * SLOW)
    world.wait(0.05)


def test_long_prompts_are_not_hedged():
    """A second attempt must not compute more than the slowness costs."""
    world = World(hedge_load_limit=1.0)
    _slow_down_first(world, [True] * 6, prompt_tokens=100_000)
    assert list_on_probation(world) == ["e1"]
    assert world.n_hedges == 0


def test_hedges_leave_a_loaded_pool_alone():
    """Second attempts must not delay first ones when slots are short."""
    world = World(hedge_load_limit=0.1)
    _slow_down_first(world, [True] * 6)
    assert world.n_hedges == 0


@given(st.lists(st.booleans(), min_size=1, max_size=14))
def test_hedges_repeat_idempotent_work_only(kinds):
    """No call that must not be repeated may be sent twice; the budget holds."""
    world = World(hedge_load_limit=1.0)
    _slow_down_first(world, kinds)
    assert list_on_probation(world) == ["e1"]
    budget = world.state.retry_budget + world.n_hedges
    assert world.n_hedges == min(sum(kinds), int(budget))


def test_hedge_avoids_excluded_endpoints():
    """A second attempt must not go where an earlier one has failed."""
    world = World()
    _slow_down_first(world, [])
    world.enqueue(enqueue("r", excluded=("e2", "e3")))
    world.wait(2.1)
    assert world.count_in_flight("e1") == 1
    world.state.hedge_candidates.extend(world.permits)
    world.wait(0.1)
    assert world.n_hedges == 0


def test_hedge_candidates_are_bounded():
    """Candidates that never get a hedge must not pile up."""
    world = World(hedge_load_limit=0.0)
    world.offer(e1=30, e2=1, e3=1)
    for number in range(25):
        world.enqueue(enqueue(f"r{number}", holders=("e1",)))
    for _ in range(200):
        hedging.nominate(world.state, world.state.endpoints["e1"])
    assert len(world.state.hedge_candidates) <= 1_024


def test_hedge_is_not_started_after_the_deadline():
    """An attempt whose deadline has passed must not take a second slot."""
    world = World()
    world.wait(0.0)
    _slow_down_first(world, [])
    world.enqueue(enqueue("late", time_to_deadline=timedelta(seconds=1)))
    permit = next(iter(world.state.permits))
    world.state.hedge_candidates.append(permit)
    world.wait(2.0)
    assert world.n_hedges == 0
