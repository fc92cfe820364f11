"""Guard the order of the queue: fairness, attained service, ageing, reserve."""

from datetime import timedelta

from tests.process.scheduling.builders import enqueue
from tests.process.scheduling.world import World


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


def test_least_attained_service_goes_first():
    """A program that has used little must not wait behind one that used much."""
    world = make_busy_world()
    world.enqueue(enqueue("much", n_turns=3, attained_tokens=10_000_000))
    world.enqueue(enqueue("little", n_turns=3, attained_tokens=100))
    assert list_order(world) == ["little", "much"]


def test_waiting_outweighs_attained_service():
    """A program that has used much must not wait for ever."""
    world = make_busy_world(attained_limit_s=2.0)
    world.enqueue(enqueue("much", attained_tokens=10_000_000, account="a"))
    world.wait(2.5)
    world.enqueue(enqueue("little", account="b"))
    assert list_order(world) == ["much", "little"]


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


def test_long_work_leaves_slots_for_short_work():
    """Stragglers must not take the slots that short work needs."""
    world = World(short_reserve=0.5)
    world.offer(e1=4)
    world.state.averages.slot_s = 1.0
    world.state.averages.prefill_s_per_token = 0.001
    for number in range(6):
        world.enqueue(enqueue(f"long-{number}", prompt_tokens=100_000))
    assert world.count_in_flight("e1") == 2
    world.enqueue(enqueue("short"))
    assert world.ended["short"] == "granted"


def test_running_straggler_counts_as_long_work():
    """An attempt that runs far beyond the mean must count against the reserve."""
    world = make_busy_world(n_slots=2, short_reserve=0.5)
    world.wait(100.0)
    assert world.state.n_long == 2
    for permit in list(world.permits):
        world.release(permit)
    assert world.state.n_long == 0
