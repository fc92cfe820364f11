"""Define the replicated commands on turns and budgets, and their results.

Every command is idempotent, since it is resent when no reply arrives.
"""

from datetime import datetime, timedelta

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.request.ids import RequestId
from oleanderhitch.values import Value


class BeginTurn(Value, frozen=True):
    """Reserves the most tokens a turn may spend and reads the turns it continues.

    `imported` is the history up to the previous turn, if another group has it, or the
    last piece of it; it is stored under the id of the previous turn. The turn ends
    within `time_limit`, until when the turns that it continues are kept.
    """

    request: RequestId
    program: ProgramId
    budget_tokens: int | None
    most_tokens: int
    previous: RequestId | None
    at: datetime
    imported: "WholeTurn | None" = None
    time_limit: timedelta = timedelta(0)


class SettleTurn(Value, frozen=True):
    """Replaces a reservation with the spent tokens; stores the turn if it is complete.

    A reservation that arrives after its settlement is refused.
    """

    request: RequestId
    program: ProgramId
    spent_tokens: int
    turn: "WholeTurn | None"
    at: datetime


class WholeTurn(Value, frozen=True):
    """The input and the output of a complete turn, which later turns may continue."""

    previous: RequestId | None
    content: bytes
    retention: timedelta


class ExpireTurns(Value, frozen=True):
    """Deletes turns and programs whose retention has passed."""

    at: datetime


class FindTurn(Value, frozen=True):
    """Reads a turn with all turns that it continues."""

    request: RequestId


class ReadHistory(Value, frozen=True):
    """Reads a piece of a turn with all turns that it continues, from an offset on."""

    request: RequestId
    offset: int


class HistoryRead(Value, frozen=True):
    """Returns a piece of a history, an empty one after its end."""

    data: bytes


class HistoryTooLong(Value, frozen=True):
    """Reports that a turn with all turns that it continues exceeds one message."""

    n_bytes: int
    retention: timedelta


class TurnFound(Value, frozen=True):
    """Returns a turn with all turns that it continues as one."""

    history: WholeTurn


class TurnNotFound(Value, frozen=True):
    """Reports that the group has no such turn."""


class TurnBegun(Value, frozen=True):
    """Reports that a turn may run, with the content that precedes its input.

    `n_bytes_left` follow the history that is given; they are read with `ReadHistory`.
    """

    history: bytes
    n_turns: int
    n_bytes_left: int = 0


class PreviousTurnMissing(Value, frozen=True):
    """Reports that the turn to continue does not exist or has expired."""


class BudgetSpent(Value, frozen=True):
    """Reports that the budget does not cover the most tokens a turn may spend."""

    spent_tokens: int
    reserved_tokens: int


class TurnClosed(Value, frozen=True):
    """Reports that the turn has been settled already and so cannot begin."""


class TurnSettled(Value, frozen=True):
    """Reports that a settlement is applied."""


class TurnsExpired(Value, frozen=True):
    """Reports the number of turns that an expiry deleted."""

    n_turns: int


COMMANDS: tuple[type, ...] = (BeginTurn, SettleTurn, ExpireTurns)
READS: tuple[type, ...] = (FindTurn, ReadHistory)
RESULTS: tuple[type, ...] = (
    HistoryRead,
    HistoryTooLong,
    TurnFound,
    TurnNotFound,
    TurnBegun,
    PreviousTurnMissing,
    BudgetSpent,
    TurnClosed,
    TurnSettled,
    TurnsExpired,
)
