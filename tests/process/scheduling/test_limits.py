"""Guard against wrong refusals and retries, and a fallback beyond the slots."""

from datetime import timedelta

from oleanderhitch.process.scheduling.core import handle
from oleanderhitch.process.scheduling.fallback import reduce_offers
from tests.process.scheduling.builders import at, enqueue, offers, pool
from tests.process.scheduling.harness import PoolHarness


def test_request_that_will_miss_its_deadline_is_refused():
    """Guard against queueing a request that can't meet its deadline."""
    harness = PoolHarness()
    harness.offer(e1=1)
    for number in range(30):
        harness.enqueue(enqueue(f"r{number}"))
    (refusal,) = harness.enqueue(
        enqueue("urgent", time_to_deadline=timedelta(seconds=2))
    )
    assert refusal.reason == "deadline cannot be met"
    assert refusal.retry_after >= timedelta(seconds=20)


def test_request_that_can_meet_its_deadline_is_queued():
    """Guard against refusing a request that can meet its deadline."""
    harness = PoolHarness()
    harness.offer(e1=1)
    for number in range(5):
        harness.enqueue(enqueue(f"r{number}"))
    harness.enqueue(enqueue("patient", time_to_deadline=timedelta(seconds=10)))
    assert "patient" in harness.waiting


def test_expired_request_is_refused_on_the_next_tick():
    """Guard against a request that waits beyond its deadline."""
    harness = PoolHarness()
    harness.enqueue(enqueue("r1", time_to_deadline=timedelta(seconds=1)))
    assert harness.wait(0.9) == []
    (refusal,) = harness.wait(0.2)
    assert refusal.request == "r1"


def test_resent_enqueue_returns_the_same_permit():
    """Guard against a second slot for a request that is resent after a lost grant."""
    state = pool()
    handle(offers(e1=4), state, at(0))
    (grant,) = handle(enqueue("r1"), state, at(0))
    (again,) = handle(enqueue("r1"), state, at(1))
    assert again.permit == grant.permit


def test_retry_elsewhere_releases_the_first_slot():
    """Guard against a leaked slot if the release of a failed attempt is lost."""
    state = pool()
    handle(offers(e1=1, e2=1), state, at(0))
    (grant,) = handle(enqueue("r1"), state, at(0))
    (retry,) = handle(enqueue("r1", excluded=(grant.endpoint,)), state, at(1))
    assert retry.endpoint != grant.endpoint
    assert list(state.permits) == [retry.permit]


def test_retries_beyond_the_budget_are_refused_in_a_long_queue():
    """Guard against retries that multiply the load of a pool that can't serve it."""
    harness = PoolHarness()
    harness.offer(e1=1)
    for number in range(5):
        harness.enqueue(enqueue(f"r{number}"))
    for number in range(20):
        harness.enqueue(enqueue(f"retry-{number}", excluded=("e9",)))
    refused = [name for name, end in harness.ended.items() if end == "refused"]
    assert len(refused) == 12


def test_fallback_shares_stay_within_the_slots():
    """Guard against entry hosts that, without an owner, together exceed the slots."""
    reduced = reduce_offers(offers(e1=16), 6)
    assert reduced.offers[0].n_slots * 6 <= 16
