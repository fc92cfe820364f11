"""Copy a long history of another program's group into the group of a turn's program.

Answers a turn that continues a chain that exceeds one message: the history is copied in
pieces, each stored as a turn that continues the piece before.
"""

from datetime import datetime

from oleanderhitch.program.turns.messages import ReadHistory, SettleTurn, WholeTurn
from oleanderhitch.request.forwarding.messages import (
    LongHistoryFound,
    ReadOtherHistory,
    SettleReservation,
)
from oleanderhitch.request.forwarding.outcomes import end_with_verdict
from oleanderhitch.request.forwarding.reservation import reserve_tokens
from oleanderhitch.request.forwarding.state import ForwardState, HistoryImport
from oleanderhitch.request.forwarding.states import Phase, Verdict
from oleanderhitch.request.ids import RequestId


def begin_import(found: LongHistoryFound, state: ForwardState) -> list[object]:
    """Read the first piece of the history in the group that has it."""
    state.phase = Phase.IMPORTING
    state.history_import = HistoryImport(found.group, found.n_bytes, found.retention)
    return read_next_piece(state)


def read_next_piece(state: ForwardState) -> list[object]:
    """Read the piece after those that are stored."""
    turn, history = state.turn, state.history_import
    assert turn is not None
    assert turn.previous is not None
    assert history is not None
    query = ReadHistory(turn.previous, history.n_bytes_stored)
    return [ReadOtherHistory(query, history.group, state.deadline)]


def store_piece(data: bytes, state: ForwardState, now: datetime) -> list[object]:
    """Store a piece; the last one is stored with the reservation of the turn."""
    turn, history = state.turn, state.history_import
    assert turn is not None
    assert history is not None
    piece = WholeTurn(history.last_piece, data, history.retention)
    history.n_bytes_stored += len(data)
    if not data or history.n_bytes_stored > history.n_bytes:
        return end_import(state, "the history to import has another length")
    if history.n_bytes_stored == history.n_bytes:
        return reserve_tokens(state, now, piece)
    # Callers can't choose such an id. It differs between requests, since a request that
    # imports the same history later must not find its pieces settled and expired.
    piece_id = RequestId(
        f"{turn.previous}\n{state.record_id}\n{history.n_bytes_stored}"
    )
    history.last_piece = piece_id
    return [SettleReservation(SettleTurn(piece_id, turn.program, 0, piece, now), True)]


def end_import(state: ForwardState, reason: str) -> list[object]:
    """End a request whose history can't be imported; nothing is reserved yet."""
    return end_with_verdict(state, Verdict.RECORD_UNAVAILABLE, reason)
