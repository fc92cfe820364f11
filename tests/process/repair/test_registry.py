"""Guard against stores that are emptied twice, wrongly or below the minimum."""

from oleanderhitch.process.ids import NodeId, ReplicaId
from oleanderhitch.process.repair.messages import (
    CompleteRetirement,
    ForgetStore,
    GetRetirement,
    RegisterStore,
    RetireStore,
    StoreStandingFound,
    StoreUnknown,
    TooFewStores,
)
from oleanderhitch.process.repair.registry import RegistryState, apply, find_standing
from oleanderhitch.process.repair.states import StoreStanding
from oleanderhitch.version.ids import HostName


def register(name: str, disk: str = "1") -> RegisterStore:
    """Return the registration of a store."""
    node = NodeId(f"{name}:1")
    return RegisterStore(HostName(name), node, ReplicaId(f"{node}/{disk}"))


def make_state(n_stores: int) -> RegistryState:
    """Return a registry of stores a, b, c, ..."""
    state = RegistryState()
    for number in range(n_stores):
        apply(register("abcdefg"[number]), state)
    return state


def test_unknown_store_is_told() -> None:
    """An operator must learn that the name is wrong."""
    state = make_state(3)
    assert apply(RetireStore(HostName("x"), 3), state) == StoreUnknown()
    assert find_standing(GetRetirement(HostName("x")), state) == StoreUnknown()


def test_minimum_of_stores_is_kept() -> None:
    """Emptying a store must not take the tolerance for losses away."""
    state = make_state(3)
    assert apply(RetireStore(HostName("a"), 3), state) == TooFewStores(2)


def test_order_that_is_sent_again_is_accepted_again() -> None:
    """An operator whose answer was lost must not be refused."""
    state = make_state(4)
    order = RetireStore(HostName("a"), 3)
    first = apply(order, state)
    assert first == StoreStandingFound(StoreStanding.RETIRING)
    assert apply(order, state) == first
    assert apply(RetireStore(HostName("b"), 3), state) == TooFewStores(2)


def test_retirement_survives_a_new_disk() -> None:
    """A store that loses its disk meanwhile must still be emptied."""
    state = make_state(4)
    apply(RetireStore(HostName("a"), 3), state)
    apply(register("a", "2"), state)
    apply(CompleteRetirement(HostName("a")), state)
    found = find_standing(GetRetirement(HostName("a")), state)
    assert found == StoreStandingFound(StoreStanding.RETIRED)


def test_forgetting_spares_a_store_that_came_back() -> None:
    """A store with a new disk is another one than the lost one."""
    state = make_state(4)
    old = register("a").replica
    apply(register("a", "2"), state)
    apply(ForgetStore(HostName("a"), old), state)
    assert HostName("a") in state.records
