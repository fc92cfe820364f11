"""Guard against hosts that end for memory by the histories of short requests."""

from datetime import timedelta

from oleanderhitch.program.turns.messages import TurnBegun
from oleanderhitch.request.forwarding.core import handle
from oleanderhitch.request.forwarding.history_memory import (
    SHORT_HISTORY_BYTES,
    make_history_memory,
)
from oleanderhitch.request.forwarding.messages import (
    HistoryMemoryExhausted,
    ReserveTokens,
    SendVerdict,
    SettleReservation,
    Start,
)
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.request.ids import HolderId
from tests.request.forwarding.test_core import NOW, make_state

MIB = 1024 * 1024


def test_long_histories_share_a_budget() -> None:
    """Refuse what does not fit, and take it once there is room."""
    memory = make_history_memory(10 * MIB)
    first, second, third = (HolderId(name) for name in "abc")
    assert memory.hold(first, 6 * MIB)
    assert memory.hold(first, 6 * MIB), "the same history again"
    assert not memory.hold(second, 6 * MIB)
    assert memory.hold(third, 4 * MIB)
    memory.release(first)
    assert memory.hold(second, 6 * MIB)
    assert memory.n_bytes == 10 * MIB


def test_short_histories_need_no_room() -> None:
    """Guard against ordinary turns that are refused during a crowd."""
    memory = make_history_memory(MIB)
    assert memory.hold(HolderId("crowd"), MIB)
    for number in range(1000):
        assert memory.hold(HolderId(str(number)), SHORT_HISTORY_BYTES)


def test_the_longest_history_is_taken_alone() -> None:
    """Guard against a chain that is never served, however calm it is."""
    memory = make_history_memory(MIB)
    assert memory.hold(HolderId("long"), 100 * MIB)
    assert not memory.hold(HolderId("other"), MIB)
    memory.release(HolderId("long"))
    assert memory.hold(HolderId("other"), MIB)


def test_turn_without_room_for_its_history_is_refused_as_not_run() -> None:
    """Guard against a reservation that stays, and against a wrong promise."""
    state = make_state(keeps_history=True, is_turn=True)
    effects = handle(Start(), state, NOW)
    assert any(isinstance(effect, ReserveTokens) for effect in effects)
    handle(TurnBegun(b"x" * MIB, 2, 8 * MIB), state, NOW)
    assert state.n_history_bytes == 9 * MIB
    effects = handle(HistoryMemoryExhausted(), state, NOW + timedelta(milliseconds=5))
    (settled,) = [e for e in effects if isinstance(e, SettleReservation)]
    assert settled.command.spent_tokens == 0
    (sent,) = [e for e in effects if isinstance(e, SendVerdict)]
    assert sent.verdict is Verdict.RECORD_UNAVAILABLE
    assert state.has_ended
