"""Guard against wrong retirements, and against fewer stores than the minimum."""

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


def make_registration(name: str, disk: str = "1") -> RegisterStore:
    """Return the command that registers a store."""
    node = NodeId(f"{name}:1")
    return RegisterStore(HostName(name), node, ReplicaId(f"{node}/{disk}"))


def make_state(n_stores: int) -> RegistryState:
    """Return a registry of stores a, b, c, ..."""
    state = RegistryState()
    for number in range(n_stores):
        apply(make_registration("abcdefg"[number]), state)
    return state


def test_unknown_store_is_reported() -> None:
    """Guard against a misspelled host name that is accepted."""
    state = make_state(3)
    assert apply(RetireStore(HostName("x"), 3), state) == StoreUnknown()
    assert find_standing(GetRetirement(HostName("x")), state) == StoreUnknown()


def test_minimum_of_stores_is_kept() -> None:
    """Guard against a retirement after which the group tolerates fewer losses."""
    state = make_state(3)
    assert apply(RetireStore(HostName("a"), 3), state) == TooFewStores(2)


def test_duplicate_retirement_gets_the_same_result() -> None:
    """Guard against the refusal of a request that is resent after a lost response."""
    state = make_state(4)
    command = RetireStore(HostName("a"), 3)
    first = apply(command, state)
    assert first == StoreStandingFound(StoreStanding.RETIRING)
    assert apply(command, state) == first
    assert apply(RetireStore(HostName("b"), 3), state) == TooFewStores(2)


def test_retirement_survives_a_new_disk() -> None:
    """Guard against a retirement that ends when the store gets a new disk."""
    state = make_state(4)
    apply(RetireStore(HostName("a"), 3), state)
    apply(make_registration("a", "2"), state)
    apply(CompleteRetirement(HostName("a")), state)
    standing = find_standing(GetRetirement(HostName("a")), state)
    assert standing == StoreStandingFound(StoreStanding.RETIRED)


def test_deletion_keeps_a_store_with_a_new_disk() -> None:
    """Guard against the deletion of a store that came back with a new disk."""
    state = make_state(4)
    old = make_registration("a").replica
    apply(make_registration("a", "2"), state)
    apply(ForgetStore(HostName("a"), old), state)
    assert HostName("a") in state.records
