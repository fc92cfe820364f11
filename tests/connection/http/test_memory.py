"""Guard against responses that together take more memory than a host has."""

from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.connection.http.memory import (
    FREE_SHARE_BYTES,
    MemoryShare,
    make_traffic_memory,
)

BUDGET_BYTES = 1_000_000


def fill(share: MemoryShare) -> int:
    """Grow a share until it is refused; return its size in bytes."""
    n_bytes = 0
    while share.resize(n_bytes + 1000):
        n_bytes += 1000
    return n_bytes


def test_one_response_gets_half_of_the_budget() -> None:
    """Guard against a large sound response that is cut off without need."""
    share = make_traffic_memory(BUDGET_BYTES).make_share()
    assert fill(share) == BUDGET_BYTES // 2


def test_many_responses_fit_into_the_budget_together() -> None:
    """Guard against a bound of each response that is no bound of the host."""
    memory = make_traffic_memory(BUDGET_BYTES)
    shares = [memory.make_share() for _ in range(20)]
    for share in shares:
        fill(share)
    assert memory.n_bytes <= BUDGET_BYTES + len(shares) * FREE_SHARE_BYTES
    assert memory.make_share().resize(FREE_SHARE_BYTES)


@given(
    st.lists(st.tuples(st.integers(0, 9), st.integers(0, BUDGET_BYTES)), max_size=60)
)
def test_closed_shares_hold_nothing(steps: list[tuple[int, int]]) -> None:
    """Guard against memory that stays taken after its response."""
    memory = make_traffic_memory(BUDGET_BYTES)
    shares = [memory.make_share() for _ in range(10)]
    for number, n_bytes in steps:
        shares[number].resize(n_bytes)
        assert memory.n_bytes <= BUDGET_BYTES + len(shares) * FREE_SHARE_BYTES
    for share in shares:
        share.close()
    assert memory.n_bytes == 0


def test_a_smaller_request_displaces_the_largest_that_has_not_arrived() -> None:
    """Guard against stalled bodies that leave no room for ordinary requests."""
    memory = make_traffic_memory(BUDGET_BYTES)
    evicted: list[int] = []
    arriving = [memory.make_share(lambda n=n: evicted.append(n)) for n in range(3)]
    running = memory.make_share(lambda: evicted.append(9))
    assert running.resize(400_000)
    running.set_protected(True)
    assert arriving[0].resize(200_000)
    assert arriving[1].resize(150_000)
    assert not arriving[2].resize(210_000)
    assert evicted == []
    assert arriving[2].resize(130_000)
    assert evicted == [0]
    assert arriving[0].n_bytes == 0
    assert memory.make_share().resize(250_000)
    assert evicted == [0, 1, 2]
    assert running.n_bytes == 400_000
