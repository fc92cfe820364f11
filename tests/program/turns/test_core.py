"""Guard against turns that are lost or mixed up and budgets that are exceeded."""

from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.turns.core import (
    HISTORY_PIECE_BYTES,
    RETENTION_MARGIN,
    TurnsState,
    apply,
    is_expiry_due,
)
from oleanderhitch.program.turns.messages import (
    BeginTurn,
    BudgetSpent,
    ExpireTurns,
    FindTurn,
    HistoryRead,
    HistoryTooLong,
    PreviousTurnMissing,
    ReadHistory,
    SettleTurn,
    TurnBegun,
    TurnClosed,
    TurnNotFound,
    TurnSettled,
    WholeTurn,
)
from oleanderhitch.request.ids import RequestId

NOW = datetime(2026, 1, 1, tzinfo=UTC)
RETENTION = timedelta(seconds=60)


def begin(
    request: str,
    previous: str | None = None,
    program: str = "p",
    budget: int | None = 1000,
    most: int = 100,
    at: datetime = NOW,
    time_limit: timedelta = timedelta(0),
) -> BeginTurn:
    """Return the command that begins a turn."""
    return BeginTurn(
        RequestId(request),
        ProgramId(program),
        budget,
        most,
        None if previous is None else RequestId(previous),
        at,
        time_limit=time_limit,
    )


def settle(
    request: str,
    content: bytes | None = None,
    previous: str | None = None,
    program: str = "p",
    spent: int = 10,
    at: datetime = NOW,
    retention: timedelta = RETENTION,
) -> SettleTurn:
    """Return the command that settles a turn, complete if it has content."""
    turn = None
    if content is not None:
        name = None if previous is None else RequestId(previous)
        turn = WholeTurn(name, content, retention)
    return SettleTurn(RequestId(request), ProgramId(program), spent, turn, at)


def test_history_is_the_chain_of_the_named_turn_only() -> None:
    """Guard against a history that contains turns of another branch."""
    state = TurnsState()
    apply(settle("a", b"A"), state)
    apply(settle("b", b"B", "a"), state)
    apply(settle("c", b"C", "a"), state)
    assert apply(begin("d", "b"), state) == TurnBegun(b"AB", 2)
    assert apply(begin("e", "c"), state) == TurnBegun(b"AC", 2)


def test_unknown_turn_reserves_nothing() -> None:
    """Guard against tokens that stay reserved for a refused turn."""
    state = TurnsState()
    assert apply(begin("a", "missing"), state) == PreviousTurnMissing()
    assert apply(begin("b", most=1000), state) == TurnBegun(b"", 0)


def test_aborted_turn_cannot_be_continued() -> None:
    """Guard against a turn that continues an aborted one."""
    state = TurnsState()
    apply(begin("a"), state)
    apply(settle("a"), state)
    assert apply(begin("b", "a"), state) == PreviousTurnMissing()


def test_reservations_of_open_turns_count_as_spent() -> None:
    """Guard against parallel turns that spend the same tokens twice."""
    state = TurnsState()
    apply(begin("a", most=600), state)
    assert apply(begin("b", most=600), state) == BudgetSpent(0, 600)
    apply(settle("a", spent=50), state)
    assert isinstance(apply(begin("b", most=600), state), TurnBegun)


def test_duplicate_commands_count_once() -> None:
    """Guard against a command that takes effect twice when it is resent."""
    state = TurnsState()
    assert apply(begin("a", most=600), state) == apply(begin("a", most=600), state)
    apply(settle("a", b"A", spent=400), state)
    assert apply(settle("a", b"A", spent=400), state) == TurnSettled()
    assert isinstance(apply(begin("b", most=600), state), TurnBegun)


def test_settlement_that_overtakes_its_reservation_closes_the_turn() -> None:
    """Guard against tokens that stay reserved by a command that arrives too late."""
    state = TurnsState()
    apply(settle("a", spent=0), state)
    assert apply(begin("a", most=1000), state) == TurnClosed()
    assert isinstance(apply(begin("b", most=1000), state), TurnBegun)


def test_a_continued_turn_outlives_its_own_retention() -> None:
    """Guard against a chain that loses its first turns while it is continued."""
    state = TurnsState()
    apply(settle("a", b"A"), state)
    later = NOW + RETENTION
    apply(settle("b", b"B", "a", at=later), state)
    end = later + RETENTION
    apply(ExpireTurns(end), state)
    assert apply(begin("c", "b", at=end), state) == TurnBegun(b"AB", 2)


def test_a_longer_retention_keeps_the_ancestors_too() -> None:
    """Guard against stores that end for good, since an ancestor has expired."""
    state = TurnsState()
    apply(settle("a", b"A", retention=timedelta(seconds=5)), state)
    apply(settle("b", b"B", "a", at=NOW + timedelta(seconds=3)), state)
    later = NOW + timedelta(seconds=50)
    apply(ExpireTurns(later), state)
    assert apply(begin("c", "b", at=later), state) == TurnBegun(b"AB", 2)


def test_a_turn_that_runs_for_long_keeps_the_turn_it_continues() -> None:
    """Guard against a chain that expires while the turn that continues it runs."""
    state = TurnsState()
    apply(settle("a", b"A", retention=timedelta(seconds=5)), state)
    apply(begin("b", "a", time_limit=timedelta(seconds=300)), state)
    end = NOW + timedelta(seconds=290)
    apply(ExpireTurns(end), state)
    apply(settle("b", b"B", "a", at=end), state)
    assert apply(begin("c", "b", at=end), state) == TurnBegun(b"AB", 2)


def test_a_chain_without_its_first_turn_is_answered_as_missing() -> None:
    """Guard against stores that can't start, since an earlier build lost a turn."""
    state = TurnsState()
    apply(settle("b", b"B", "lost"), state)
    apply(settle("c", b"C", "b"), state)
    apply(settle("d", b"D"), state)
    assert apply(begin("e", "c"), state) == PreviousTurnMissing()
    assert apply(FindTurn(RequestId("c")), state) == TurnNotFound()
    assert apply(begin("f", "d"), state) == TurnBegun(b"D", 1)


def test_budget_lasts_as_long_as_the_turns_of_its_program() -> None:
    """Guard against a program that pauses and spends its budget a second time."""
    state = TurnsState()
    retention = timedelta(seconds=3600)
    apply(settle("a", b"A", spent=900, retention=retention), state)
    later = NOW + timedelta(seconds=3000)
    apply(ExpireTurns(later), state)
    assert apply(begin("b", "a", most=200, at=later), state) == BudgetSpent(900, 0)


def test_reservation_lasts_as_long_as_its_turn() -> None:
    """Guard against tokens that are free again while their turn still runs."""
    state = TurnsState()
    apply(begin("a", most=900, time_limit=timedelta(seconds=3600)), state)
    later = NOW + timedelta(seconds=3000)
    apply(ExpireTurns(later), state)
    assert apply(begin("b", most=200, at=later), state) == BudgetSpent(0, 900)


@pytest.mark.parametrize("retention", [timedelta(seconds=1e12), timedelta.max])
def test_a_retention_past_the_calendar_is_endless(retention: timedelta) -> None:
    """Guard against stores that end for good since a time can't be represented."""
    state = TurnsState()
    apply(settle("a", b"A", retention=retention), state)
    apply(begin("b", "a", time_limit=timedelta.max), state)
    apply(settle("b", b"B", "a"), state)
    later = NOW + timedelta(days=365_000)
    apply(ExpireTurns(later), state)
    assert apply(begin("c", "a", at=later), state) == TurnBegun(b"A", 1)


def read_whole_history(request: str, state: TurnsState) -> bytes:
    """Return the history of a new turn, in as many pieces as it takes."""
    begun = apply(begin(f"after-{request}", request, budget=None), state)
    assert isinstance(begun, TurnBegun)
    history, n_bytes_left = begun.history, begun.n_bytes_left
    while n_bytes_left:
        read = apply(ReadHistory(RequestId(request), len(history)), state)
        assert isinstance(read, HistoryRead)
        assert 0 < len(read.data) <= HISTORY_PIECE_BYTES
        history += read.data
        n_bytes_left -= len(read.data)
    return history


def test_history_longer_than_a_frame_comes_in_pieces() -> None:
    """Guard against stores that end since a result exceeds a frame."""
    state = TurnsState()
    contents = [name * (HISTORY_PIECE_BYTES * 3 // 4) for name in (b"A", b"B", b"C")]
    apply(settle("a", contents[0]), state)
    apply(settle("b", contents[1], "a"), state)
    apply(settle("c", contents[2], "b"), state)
    assert read_whole_history("c", state) == b"".join(contents)
    end = apply(ReadHistory(RequestId("c"), sum(map(len, contents))), state)
    assert end == HistoryRead(b"")
    found = apply(FindTurn(RequestId("c")), state)
    assert found == HistoryTooLong(sum(map(len, contents)), RETENTION)


def test_history_is_imported_in_pieces() -> None:
    """Guard against a history that can't be imported, or that lacks a piece."""
    state = TurnsState()
    last = WholeTurn(RequestId("p0"), b"B", RETENTION)
    command = replace(begin("c", "b"), imported=last)
    assert apply(command, state) == PreviousTurnMissing()
    assert state.turns == {}
    apply(settle("p0", b"A"), state)
    assert apply(command, state) == TurnBegun(b"AB", 2)
    apply(settle("c", b"C", "b"), state)
    assert apply(begin("d", "c"), state) == TurnBegun(b"ABC", 3)


def test_a_turn_that_names_itself_is_answered_as_missing() -> None:
    """Guard against stores that follow a circle of turns without end."""
    state = TurnsState()
    apply(settle("a", b"A", "b"), state)
    apply(settle("b", b"B", "a", program="q"), state)
    assert apply(begin("c", "b"), state) == PreviousTurnMissing()


def test_turns_expire_after_retention_and_margin() -> None:
    """Guard against turns that are kept after their retention and the margin."""
    state = TurnsState()
    apply(settle("a", b"A"), state)
    end = NOW + RETENTION + RETENTION_MARGIN + timedelta(seconds=1)
    assert is_expiry_due(state, end)
    apply(ExpireTurns(end), state)
    assert not state.turns


def test_a_clock_that_is_behind_does_not_shorten_retention() -> None:
    """Guard against turns that expire early because a host's clock is behind."""
    state = TurnsState()
    apply(settle("a", b"A", at=NOW + timedelta(seconds=5)), state)
    apply(settle("b", b"B", "a", at=NOW), state)
    assert state.turns[RequestId("b")].expires_at >= NOW + RETENTION


@given(
    st.lists(
        st.tuples(st.integers(0, 20), st.integers(0, 100), st.booleans()), max_size=60
    )
)
def test_budget_holds_for_any_order_of_turns(
    steps: list[tuple[int, int, bool]],
) -> None:
    """Guard against an order of turns that exceeds the budget."""
    state = TurnsState()
    budget = 500
    spent_tokens: dict[str, int] = {}
    running: dict[str, int] = {}
    for number, (name, amount, is_end) in enumerate(steps):
        if is_end and running:
            request, most = running.popitem()
            spent_tokens[request] = min(amount, most)
            apply(settle(request, spent=spent_tokens[request]), state)
        else:
            request = f"{name}-{number}"
            command = begin(request, budget=budget, most=amount)
            if isinstance(apply(command, state), TurnBegun):
                running[request] = amount
        assert sum(spent_tokens.values()) + sum(running.values()) <= budget


# Guards against stores that end for memory by programs that never ran a turn.
def test_refused_turn_of_an_unknown_program_leaves_nothing() -> None:
    """Keep no record of a program whose first turn exceeds its budget."""
    state = TurnsState()
    assert isinstance(apply(begin("a", budget=0), state), BudgetSpent)
    assert not state.programs
    assert isinstance(apply(begin("a", budget=100), state), TurnBegun)
    assert isinstance(apply(begin("b", budget=100), state), BudgetSpent)
    assert list(state.programs) == ["p"]


def test_refused_turns_keep_the_record_of_their_program() -> None:
    """Guard against a budget that is forgotten while a program asks for more."""
    state = TurnsState()
    apply(begin("a", budget=100), state)
    apply(settle("a", spent=100), state)
    for minutes in range(0, 12, 4):
        at = NOW + timedelta(minutes=minutes)
        apply(ExpireTurns(at), state)
        assert isinstance(apply(begin("b", budget=100, at=at), state), BudgetSpent)
