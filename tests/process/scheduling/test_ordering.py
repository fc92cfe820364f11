"""Guard against a queue that orders requests unfairly."""

from datetime import timedelta

from tests.process.scheduling.builders import enqueue
from tests.process.scheduling.harness import PoolHarness


def make_busy_harness(n_slots=1, **settings):
    """Return a harness whose slots are all in use."""
    harness = PoolHarness(**settings)
    harness.offer(e1=n_slots)
    for number in range(n_slots):
        harness.enqueue(enqueue(f"running-{number}", account="running"))
    return harness


def list_order(harness):
    """Release slots one by one and return the order of the grants."""
    order = []
    while harness.permits:
        effects = harness.release(next(iter(harness.permits)))
        order.extend(grant.request for grant in effects)
    return order


def test_longer_wait_outweighs_the_penalty_for_new_programs():
    """Guard against a new program that never gets ahead of programs in progress."""
    harness = make_busy_harness(new_program_penalty_s=2.0, long_queue_per_slot=0.0)
    harness.enqueue(enqueue("filler", account="c", n_turns=1))
    harness.enqueue(enqueue("new", account="a"))
    harness.wait(2.5)
    harness.enqueue(enqueue("started", account="b", n_turns=1))
    assert list_order(harness) == ["filler", "new", "started"]


def test_accounts_share_slots():
    """Guard against an account with many requests that starves another."""
    harness = make_busy_harness()
    for number in range(10):
        harness.enqueue(enqueue(f"many-{number}", account="many"))
    harness.enqueue(enqueue("one", account="other"))
    assert list_order(harness).index("one") < 5


def test_programs_in_progress_go_first_in_a_long_queue():
    """Guard against new programs that delay programs in progress in a long queue."""
    harness = make_busy_harness()
    for number in range(3):
        harness.enqueue(enqueue(f"new-{number}", account=f"new-{number}"))
    harness.enqueue(enqueue("started", n_turns=2, account="started"))
    assert list_order(harness)[:2] == ["new-0", "started"]


def test_time_waited_at_the_old_owner_counts():
    """Guard against a new owner that ignores the time waited at the old one."""
    harness = make_busy_harness()
    harness.enqueue(enqueue("fresh", account="a", n_turns=1))
    waited = timedelta(seconds=9)
    harness.enqueue(enqueue("old", account="b", n_turns=1, waited=waited))
    assert list_order(harness)[0] == "old"
