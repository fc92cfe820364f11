"""Define the replicated commands on turns and budgets, and their results.

Every command is idempotent, since it is resent when no reply arrives.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.request.ids import RequestId


@dataclass(frozen=True, slots=True)
class BeginTurn:
    """Reserves the most tokens a turn may spend and reads the turns it continues.

    `imported` is the history up to the previous turn, if another group has it; it is
    stored under the id of the previous turn.
    """

    request: RequestId
    program: ProgramId
    budget_tokens: int | None
    most_tokens: int
    previous: RequestId | None
    at: datetime
    imported: "WholeTurn | None" = None


@dataclass(frozen=True, slots=True)
class SettleTurn:
    """Replaces a reservation with the spent tokens; stores the turn if it is complete.

    A reservation that arrives after its settlement is refused.
    """

    request: RequestId
    program: ProgramId
    spent_tokens: int
    turn: "WholeTurn | None"
    at: datetime


@dataclass(frozen=True, slots=True)
class WholeTurn:
    """The input and the output of a complete turn, which later turns may continue."""

    previous: RequestId | None
    content: bytes
    retention: timedelta


@dataclass(frozen=True, slots=True)
class ExpireTurns:
    """Deletes turns and programs whose retention has passed."""

    at: datetime


@dataclass(frozen=True, slots=True)
class FindTurn:
    """Reads a turn with all turns that it continues."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class TurnFound:
    """Returns a turn with all turns that it continues as one."""

    history: WholeTurn


@dataclass(frozen=True, slots=True)
class TurnNotFound:
    """Reports that the group has no such turn."""


@dataclass(frozen=True, slots=True)
class TurnBegun:
    """Reports that a turn may run, with the content that precedes its input."""

    history: bytes
    n_turns: int


@dataclass(frozen=True, slots=True)
class PreviousTurnMissing:
    """Reports that the turn to continue does not exist or has expired."""


@dataclass(frozen=True, slots=True)
class BudgetSpent:
    """Reports that the budget does not cover the most tokens a turn may spend."""

    spent_tokens: int
    reserved_tokens: int


@dataclass(frozen=True, slots=True)
class TurnClosed:
    """Reports that the turn has been settled already and so cannot begin."""


@dataclass(frozen=True, slots=True)
class TurnSettled:
    """Reports that a settlement is applied."""


@dataclass(frozen=True, slots=True)
class TurnsExpired:
    """Reports the number of turns that an expiry deleted."""

    n_turns: int


COMMANDS: tuple[type, ...] = (BeginTurn, SettleTurn, ExpireTurns)
READS: tuple[type, ...] = (FindTurn,)
RESULTS: tuple[type, ...] = (
    TurnFound,
    TurnNotFound,
    TurnBegun,
    PreviousTurnMissing,
    BudgetSpent,
    TurnClosed,
    TurnSettled,
    TurnsExpired,
)
