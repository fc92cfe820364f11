"""Convert the state of turns and budgets to snapshot records and back."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from functools import singledispatch

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.turns.core import ProgramRecord, TurnRecord, TurnsState
from oleanderhitch.request.ids import RequestId


@dataclass(frozen=True, slots=True)
class SavedTime:
    """The latest time of any applied command."""

    now: datetime


@dataclass(frozen=True, slots=True)
class SavedTurn:
    """A complete turn and the id of its request."""

    request: RequestId
    turn: TurnRecord


@dataclass(frozen=True, slots=True)
class SavedProgram:
    """The spent and reserved tokens of a program."""

    program: ProgramId
    record: ProgramRecord


SNAPSHOT_RECORDS: tuple[type, ...] = (SavedTime, SavedTurn, SavedProgram)


def list_records(state: TurnsState) -> Iterator[object]:
    """Yield the whole state as snapshot records."""
    yield SavedTime(state.now)
    for request, turn in state.turns.items():
        yield SavedTurn(request, turn)
    for program, record in state.programs.items():
        yield SavedProgram(program, record)


@singledispatch
def restore_record(record: object, state: TurnsState) -> None:
    """Add one snapshot record to the state."""
    raise TypeError(f"turns do not support record type {type(record).__name__}")


@restore_record.register
def _(record: SavedTime, state: TurnsState) -> None:
    state.now = record.now


@restore_record.register
def _(record: SavedTurn, state: TurnsState) -> None:
    state.turns[record.request] = record.turn


@restore_record.register
def _(record: SavedProgram, state: TurnsState) -> None:
    state.programs[record.program] = record.record
