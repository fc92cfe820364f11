"""Define the replicated commands on turns and budgets, and their results.

Every command may be applied twice, since it is sent again when no answer comes.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.request.ids import RequestId


@dataclass(frozen=True, slots=True)
class BeginTurn:
    """Reserve the most that a turn may spend and ask for what it continues."""

    request: RequestId
    program: ProgramId
    budget_tokens: int | None
    most_tokens: int
    previous: RequestId | None
    at: datetime


@dataclass(frozen=True, slots=True)
class SettleTurn:
    """Replace a reservation by what was spent; keep the turn if it is whole.

    A settlement that overtakes its reservation cancels it.
    """

    request: RequestId
    program: ProgramId
    spent_tokens: int
    turn: "WholeTurn | None"
    at: datetime


@dataclass(frozen=True, slots=True)
class WholeTurn:
    """Hold the input and the output of a turn that later ones may continue."""

    previous: RequestId | None
    content: bytes
    retention: timedelta


@dataclass(frozen=True, slots=True)
class ExpireTurns:
    """Drop turns and programs whose retention has passed."""

    at: datetime


@dataclass(frozen=True, slots=True)
class TurnBegun:
    """Say that a turn may run, and bring what precedes its input."""

    history: bytes
    n_turns: int


@dataclass(frozen=True, slots=True)
class PreviousTurnMissing:
    """Say that the turn to continue does not exist or has expired."""


@dataclass(frozen=True, slots=True)
class BudgetSpent:
    """Say that the budget does not hold the most that a turn may spend."""

    spent_tokens: int
    reserved_tokens: int


@dataclass(frozen=True, slots=True)
class TurnClosed:
    """Say that the turn was settled before it began."""


@dataclass(frozen=True, slots=True)
class TurnSettled:
    """Say that a settlement is applied."""


@dataclass(frozen=True, slots=True)
class TurnsExpired:
    """Say how many turns were dropped."""

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
