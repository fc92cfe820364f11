"""Guard against lost, leaked and duplicate slots of a pool's queue."""

from oleanderhitch.process.scheduling.core import handle
from oleanderhitch.process.scheduling.messages import (
    GrantSlot,
    NodeGone,
    RefuseRequest,
    WithdrawRequest,
)
from tests.process.scheduling.builders import at, enqueue, hold, offers, pool, release


def test_released_slot_is_granted_to_the_next_request():
    """Guard against a released slot that stays idle while a request waits."""
    state = pool()
    handle(offers(), state, at(0))
    (grant,) = handle(enqueue("r1"), state, at(0))
    assert handle(enqueue("r2"), state, at(0)) == []
    (second,) = handle(release(grant), state, at(1))
    assert second.request == "r2"


def test_leaving_endpoint_gets_nothing():
    """Guard against new requests at a leaving endpoint."""
    state = pool()
    handle(offers(e1=4, leaving=("e1",)), state, at(0))
    assert handle(enqueue("r1"), state, at(0)) == []


def test_slots_of_a_lost_node_become_free():
    """Guard against slots of a lost node that stay in use until a restart."""
    state = pool()
    handle(offers(), state, at(0))
    handle(enqueue("r1"), state, at(0))
    handle(enqueue("r2", node="entry-2"), state, at(0))
    (grant,) = handle(NodeGone("entry-1"), state, at(1))
    assert grant.request == "r2"


def test_attempt_registered_twice_is_counted_once():
    """Guard against counting an attempt twice that is registered twice."""
    old, new = pool(seed=1), pool(seed=2)
    handle(offers(e1=2), old, at(0))
    sent = enqueue("r1")
    (grant,) = handle(sent, old, at(0))
    for _ in range(2):
        handle(hold(grant, sent), new, at(1))
    handle(offers(e1=2), new, at(1))
    effects = [handle(enqueue(f"n{i}"), new, at(1)) for i in range(3)]
    assert [len(e) for e in effects] == [1, 0, 0]


def test_full_queue_refuses():
    """Guard against a queue that grows without bound while no endpoint is free."""
    state = pool(n_waiting_limit=1)
    handle(enqueue("r1"), state, at(0))
    (refusal,) = handle(enqueue("r2"), state, at(0))
    assert isinstance(refusal, RefuseRequest)


def test_withdrawn_request_is_not_granted():
    """Guard against a slot for a request whose caller has disconnected."""
    state = pool()
    handle(enqueue("r1"), state, at(0))
    handle(WithdrawRequest("pool", "r1"), state, at(0))
    handle(enqueue("r2"), state, at(0))
    effects = handle(offers(), state, at(1))
    assert [e.request for e in effects if isinstance(e, GrantSlot)] == ["r2"]


def test_registered_request_does_not_wait():
    """Guard against a second slot for a running request that a new owner has queued."""
    state = pool()
    sent = enqueue("r1")
    handle(sent, state, at(0))
    handle(hold(GrantSlot("p", "n", "r1", "e1", "x-1", 0, False), sent), state, at(0))
    assert handle(offers(e1=2), state, at(1)) == []
    assert list(state.permits) == ["x-1"]
    assert state.n_active_accounts == 1
