"""Define the replicated commands on turns and budgets, and their results.

Every command is idempotent, since it is resent when no reply arrives.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.request.ids import RequestId


@dataclass(frozen=True, slots=True)
class BeginTurn:
    """Reserve the most tokens a turn may spend and read the turns it continues."""

    request: RequestId
    program: ProgramId
    budget_tokens: int | None
    most_tokens: int
    previous: RequestId | None
    at: datetime


@dataclass(frozen=True, slots=True)
class SettleTurn:
    """Replace a reservation with the spent tokens; store the turn if it is complete.

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
    """Delete turns and programs whose retention has passed."""

    at: datetime


@dataclass(frozen=True, slots=True)
class TurnBegun:
    """Result when a turn may run, with the content that precedes its input."""

    history: bytes
    n_turns: int


@dataclass(frozen=True, slots=True)
class PreviousTurnMissing:
    """Result when the turn to continue does not exist or has expired."""


@dataclass(frozen=True, slots=True)
class BudgetSpent:
    """Result when the budget does not cover the most tokens a turn may spend."""

    spent_tokens: int
    reserved_tokens: int


@dataclass(frozen=True, slots=True)
class TurnClosed:
    """Result when the turn has been settled already and so cannot begin."""


@dataclass(frozen=True, slots=True)
class TurnSettled:
    """Result of a settlement that is applied."""


@dataclass(frozen=True, slots=True)
class TurnsExpired:
    """Result of an expiry, with the number of deleted turns."""

    n_turns: int


COMMANDS: tuple[type, ...] = (BeginTurn, SettleTurn, ExpireTurns)
RESULTS: tuple[type, ...] = (
    TurnBegun,
    PreviousTurnMissing,
    BudgetSpent,
    TurnClosed,
    TurnSettled,
    TurnsExpired,
)
