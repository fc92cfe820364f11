"""Apply commands on turns and budgets, deterministically on every replica."""

from datetime import UTC, datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.turns.contents import get_content_size, read_content
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
    TurnFound,
    TurnNotFound,
    TurnSettled,
    TurnsExpired,
    WholeTurn,
)
from oleanderhitch.request.ids import RequestId

# Turns are kept this much longer than requested: the clocks of hosts differ by up to
# several seconds, and a program fails if a turn that it continues has expired.
RETENTION_MARGIN = timedelta(seconds=30)
# Programs are kept at least this long after their last command, even without stored
# turns, so that the spent tokens still count when a program continues after a pause.
PROGRAM_RETENTION = timedelta(seconds=300)
# A host gets the first piece before it knows how long the history is, and finds room
# for the others. A history of 150,000 tokens, about 1 MB, is one piece.
HISTORY_PIECE_BYTES = 1024 * 1024
# No time is later than this one.
LATEST_TIME = datetime.max.replace(tzinfo=UTC)
EPOCH = datetime.fromtimestamp(0, UTC)


class TurnRecord(Struct):
    """A complete turn; it expires no earlier than the turns that continue it.

    `read_content` returns the bytes of its content.
    """

    previous: RequestId | None
    content: object
    retention: timedelta
    expires_at: datetime


class ProgramRecord(Struct):
    """The tokens that a program has spent, and those reserved for open turns."""

    spent_tokens: int = 0
    reserved: dict[RequestId, int] = field(default_factory=dict)
    settled: dict[RequestId, int] = field(default_factory=dict)
    expires_at: datetime = EPOCH


class TurnsState(Struct):
    """The turns and budgets of all programs of a group."""

    turns: dict[RequestId, TurnRecord] = field(default_factory=dict)
    programs: dict[ProgramId, ProgramRecord] = field(default_factory=dict)
    # The latest time of any applied command, so it never goes backwards.
    now: datetime = EPOCH
    # Off while commands are replayed: nobody gets the histories then.
    include_history: bool = True


@singledispatch
def apply(command: object, state: TurnsState) -> object:
    """Apply a command and return its result."""
    raise TypeError(f"turns do not support command type {type(command).__name__}")


@apply.register
def _(command: BeginTurn, state: TurnsState) -> object:
    state.now = max(state.now, command.at)
    chain = _find_chain(command.previous, state)
    if chain is None:
        if command.previous is None or command.imported is None:
            return PreviousTurnMissing()
        pieces = _find_chain(command.imported.previous, state)
        if pieces is None:
            return PreviousTurnMissing()
        imported = _make_turn(command.imported, state)
        state.turns[command.previous] = imported
        chain = [*pieces, imported]
    # A program is recorded with its first reservation: a refused turn leaves nothing.
    program = state.programs.get(command.program, ProgramRecord())
    _keep_program(program, _get_expiry(PROGRAM_RETENTION, state))
    if command.request in program.settled:
        return TurnClosed()
    if command.request not in program.reserved:
        reserved = sum(program.reserved.values())
        needed = program.spent_tokens + reserved + command.most_tokens
        if command.budget_tokens is not None and needed > command.budget_tokens:
            return BudgetSpent(program.spent_tokens, reserved)
        program.reserved[command.request] = command.most_tokens
    state.programs[command.program] = program
    _keep_program(program, _get_expiry(PROGRAM_RETENTION, state, command.time_limit))
    _keep_chain(chain, command.time_limit, state)
    if not state.include_history:
        return TurnBegun(b"", len(chain))
    history = _read_piece(chain, 0)
    return TurnBegun(history, len(chain), _get_chain_size(chain) - len(history))


@apply.register
def _(command: SettleTurn, state: TurnsState) -> object:
    state.now = max(state.now, command.at)
    program = _get_or_create_program(command.program, state)
    if command.request not in program.settled:
        program.settled[command.request] = command.spent_tokens
        program.reserved.pop(command.request, None)
        program.spent_tokens += command.spent_tokens
        if command.turn is not None:
            # An id that is used again must not close a circle of turns.
            state.turns.setdefault(command.request, _make_turn(command.turn, state))
            chain = _find_chain(command.request, state)
            _keep_chain(chain or [], timedelta(0), state)
            _keep_program(program, state.turns[command.request].expires_at)
    return TurnSettled()


@apply.register
def _(command: ExpireTurns, state: TurnsState) -> object:
    state.now = max(state.now, command.at)
    expired = [
        request for request, turn in state.turns.items() if turn.expires_at < state.now
    ]
    for request in expired:
        del state.turns[request]
    for name in [
        name
        for name, program in state.programs.items()
        if program.expires_at < state.now
    ]:
        del state.programs[name]
    return TurnsExpired(len(expired))


@apply.register
def _(query: FindTurn, state: TurnsState) -> object:
    chain = _find_chain(query.request, state)
    if not chain:
        return TurnNotFound()
    n_bytes = _get_chain_size(chain)
    if n_bytes > HISTORY_PIECE_BYTES:
        return HistoryTooLong(n_bytes, chain[-1].retention)
    return TurnFound(WholeTurn(None, _read_piece(chain, 0), chain[-1].retention))


@apply.register
def _(query: ReadHistory, state: TurnsState) -> object:
    chain = _find_chain(query.request, state)
    return HistoryRead(_read_piece(chain, query.offset)) if chain else TurnNotFound()


def is_expiry_due(state: TurnsState, now: datetime) -> bool:
    """Return whether anything has expired."""
    return any(turn.expires_at < now for turn in state.turns.values()) or any(
        program.expires_at < now for program in state.programs.values()
    )


def _get_or_create_program(name: ProgramId, state: TurnsState) -> ProgramRecord:
    program = state.programs.setdefault(name, ProgramRecord())
    _keep_program(program, _get_expiry(PROGRAM_RETENTION, state))
    return program


def _keep_program(program: ProgramRecord, expires_at: datetime) -> None:
    program.expires_at = max(program.expires_at, expires_at)


def _get_expiry(
    retention: timedelta, state: TurnsState, delay: timedelta = timedelta(0)
) -> datetime:
    """Return when a retention that begins after a delay ends, with the margin."""
    try:
        return state.now + delay + retention + RETENTION_MARGIN
    except OverflowError:
        return LATEST_TIME


def _make_turn(turn: WholeTurn, state: TurnsState) -> TurnRecord:
    expires_at = _get_expiry(turn.retention, state)
    return TurnRecord(turn.previous, turn.content, turn.retention, expires_at)


def _keep_chain(
    chain: list[TurnRecord], time_limit: timedelta, state: TurnsState
) -> None:
    """Extend the retention of a chain that is continued within a time limit.

    Each turn is kept for as long as the turns after it, whose retentions may be longer.
    """
    kept_until = EPOCH
    for turn in reversed(chain):
        expires_at = _get_expiry(turn.retention, state, time_limit)
        kept_until = max(kept_until, turn.expires_at, expires_at)
        turn.expires_at = kept_until


def _get_chain_size(chain: list[TurnRecord]) -> int:
    return sum(get_content_size(turn.content) for turn in chain)


def _read_piece(chain: list[TurnRecord], offset: int) -> bytes:
    """Return the contents of a chain from an offset on, as far as a piece goes."""
    pieces = []
    n_bytes_left = HISTORY_PIECE_BYTES
    for turn in chain:
        size = get_content_size(turn.content)
        if offset < size and n_bytes_left:
            piece = read_content(turn.content)[offset : offset + n_bytes_left]
            pieces.append(piece)
            n_bytes_left -= len(piece)
        offset = max(0, offset - size)
    return b"".join(pieces)


def _find_chain(
    turn_id: RequestId | None, state: TurnsState
) -> list[TurnRecord] | None:
    """Return a turn and its ancestors, oldest first, or None if one is missing.

    Logs and snapshots of earlier builds may lack an ancestor, which can't be restored.
    """
    chain: list[TurnRecord] = []
    while turn_id is not None:
        turn = state.turns.get(turn_id)
        if turn is None or len(chain) == len(state.turns):
            return None
        chain.append(turn)
        turn_id = turn.previous
    chain.reverse()
    return chain
