"""Guard the order of the queue: fairness, programs in progress, ageing."""

from datetime import timedelta

from tests.process.scheduling.builders import enqueue
from tests.process.scheduling.harness import World


def make_busy_world(n_slots=1, **settings):
    """Return a world whose slots are all taken."""
    world = World(**settings)
    world.offer(e1=n_slots)
    for number in range(n_slots):
        world.enqueue(enqueue(f"running-{number}", account="running"))
    return world


def list_order(world):
    """Release slots one by one and return the order of the grants."""
    order = []
    while world.permits:
        effects = world.release(next(iter(world.permits)))
        order.extend(grant.request for grant in effects)
    return order


def test_waiting_outweighs_the_penalty_for_new_programs():
    """A new program must not wait for ever behind those in progress."""
    world = make_busy_world(new_program_penalty_s=2.0, long_queue_per_slot=0.0)
    world.enqueue(enqueue("filler", account="c", n_turns=1))
    world.enqueue(enqueue("new", account="a"))
    world.wait(2.5)
    world.enqueue(enqueue("started", account="b", n_turns=1))
    assert list_order(world) == ["filler", "new", "started"]


def test_accounts_share_slots():
    """An account that sends many requests must not shut out another."""
    world = make_busy_world()
    for number in range(10):
        world.enqueue(enqueue(f"many-{number}", account="many"))
    world.enqueue(enqueue("one", account="other"))
    assert list_order(world).index("one") < 5


def test_programs_in_progress_go_first_in_a_long_queue():
    """New programs must not hold up started ones when the queue is long."""
    world = make_busy_world()
    for number in range(3):
        world.enqueue(enqueue(f"new-{number}", account=f"new-{number}"))
    world.enqueue(enqueue("started", n_turns=2, account="started"))
    assert list_order(world)[:2] == ["new-0", "started"]


def test_entry_time_counts_for_a_new_owner():
    """A request that waited at the old owner must keep its seniority."""
    world = make_busy_world()
    world.enqueue(enqueue("fresh", account="a", n_turns=1))
    waited = timedelta(seconds=9)
    world.enqueue(enqueue("old", account="b", n_turns=1, waited=waited))
    assert list_order(world)[0] == "old"
