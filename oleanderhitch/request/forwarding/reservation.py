"""Reserve a turn's tokens, and find the turns that it continues in other groups.

A program's turns are in one group. A turn may continue one of another program, whose
history is then imported into the group of its own program.
"""

from datetime import datetime

from oleanderhitch.program.turns.messages import (
    BeginTurn,
    FindTurn,
    ReadHistory,
    WholeTurn,
)
from oleanderhitch.request.forwarding.attempts import request_endpoint
from oleanderhitch.request.forwarding.messages import (
    ReadMoreHistory,
    ReserveTokens,
    SearchTurn,
)
from oleanderhitch.request.forwarding.outcomes import end_with_verdict
from oleanderhitch.request.forwarding.state import ForwardState
from oleanderhitch.request.forwarding.states import Phase, Verdict


def reserve_tokens(
    state: ForwardState, now: datetime, imported: WholeTurn | None = None
) -> list[object]:
    """Reserve the most tokens the turn may spend, and get its history."""
    turn = state.turn
    assert turn is not None
    state.phase = Phase.RESERVING
    workload = state.request.workload
    command = BeginTurn(
        state.record_id,
        turn.program,
        turn.budget_tokens,
        0 if workload is None else workload.max_output_tokens,
        turn.previous if state.route.keeps_history else None,
        now,
        imported,
        state.deadline - now,
    )
    return [ReserveTokens(command, state.deadline)]


def add_history(
    data: bytes, n_bytes_left: int, state: ForwardState, now: datetime
) -> list[object]:
    """Add a piece of the history; read the next one, or request an endpoint."""
    turn = state.turn
    assert turn is not None
    state.history += data
    state.n_history_bytes_left = n_bytes_left
    if not n_bytes_left or turn.previous is None:
        return request_endpoint(state, now)
    state.phase = Phase.READING
    query = ReadHistory(turn.previous, len(state.history))
    return [ReadMoreHistory(query, turn.program, state.deadline)]


def search_previous_turn(state: ForwardState) -> list[object]:
    """Ask all other groups for the turn to continue."""
    turn = state.turn
    if turn is None or turn.previous is None or not state.n_other_record_groups:
        return _end_search(state)
    if state.history_import is not None:
        reason = "the imported history is gone"
        return end_with_verdict(state, Verdict.RECORD_UNAVAILABLE, reason)
    state.phase = Phase.SEARCHING
    state.n_searches = state.n_other_record_groups
    query = FindTurn(turn.previous)
    return [SearchTurn(query, turn.program, state.deadline)]


def record_fruitless_search(state: ForwardState, failure: str) -> list[object]:
    """Record that one group lacks the turn, or did not answer for the given reason."""
    if state.phase is not Phase.SEARCHING:
        return []
    state.n_searches -= 1
    state.search_failure = state.search_failure or failure
    return [] if state.n_searches else _end_search(state)


def _end_search(state: ForwardState) -> list[object]:
    if state.search_failure:
        # The turn may be in the group that did not answer.
        detail = f"search of the turn to continue: {state.search_failure}"
        return end_with_verdict(state, Verdict.RECORD_UNAVAILABLE, detail)
    return end_with_verdict(
        state, Verdict.NO_PREVIOUS_TURN, "the turn to continue is unknown"
    )
