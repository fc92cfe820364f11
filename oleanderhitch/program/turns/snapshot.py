"""Convert the state of turns and budgets to snapshot records and back.

The records refer to the contents of turns by their sizes and checksums; the contents
themselves are not part of them.
"""

from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from functools import singledispatch
from itertools import islice

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.turns.core import ProgramRecord, TurnRecord, TurnsState
from oleanderhitch.request.ids import RequestId
from oleanderhitch.values import Value

# Keeps a record far below the limit of a frame.
N_ROWS_PER_RECORD = 1000


class SavedTime(Value, frozen=True):
    """The latest time of any applied command."""

    now: datetime


class SavedTurn(Value, frozen=True):
    """A complete turn, with the size and the checksum of its content."""

    request: RequestId
    previous: RequestId | None
    n_bytes: int
    checksum: int
    retention: timedelta
    expires_at: datetime


class SavedTurns(Value, frozen=True):
    """Some of the turns, in the order of their contents."""

    turns: tuple[SavedTurn, ...]


class SavedProgram(Value, frozen=True):
    """The spent and reserved tokens of a program."""

    program: ProgramId
    record: ProgramRecord


class SavedPrograms(Value, frozen=True):
    """Some of the programs."""

    programs: tuple[SavedProgram, ...]


SNAPSHOT_RECORDS: tuple[type, ...] = (SavedTime, SavedTurns, SavedPrograms)


def list_records(
    state: TurnsState, checksums: Iterable[tuple[int, int]]
) -> Iterator[object]:
    """Yield the state as snapshot records.

    `checksums` has the size in bytes and the checksum of each turn's content, in the
    order of the turns.
    """
    yield SavedTime(state.now)
    turns = iter(zip(state.turns.items(), checksums, strict=True))
    while rows := tuple(islice(turns, N_ROWS_PER_RECORD)):
        yield SavedTurns(
            tuple(
                SavedTurn(
                    request,
                    turn.previous,
                    n_bytes,
                    checksum,
                    turn.retention,
                    turn.expires_at,
                )
                for (request, turn), (n_bytes, checksum) in rows
            )
        )
    programs = iter(state.programs.items())
    while names := tuple(islice(programs, N_ROWS_PER_RECORD)):
        yield SavedPrograms(tuple(SavedProgram(name, row) for name, row in names))


@singledispatch
def restore_record(
    record: object, state: TurnsState, contents: Iterator[object]
) -> None:
    """Add one snapshot record to the state, with the next contents."""
    raise TypeError(f"turns do not support record type {type(record).__name__}")


@restore_record.register
def _(record: SavedTime, state: TurnsState, contents: Iterator[object]) -> None:
    state.now = record.now


@restore_record.register
def _(record: SavedTurns, state: TurnsState, contents: Iterator[object]) -> None:
    for turn in record.turns:
        state.turns[turn.request] = TurnRecord(
            turn.previous, next(contents), turn.retention, turn.expires_at
        )


@restore_record.register
def _(record: SavedPrograms, state: TurnsState, contents: Iterator[object]) -> None:
    for program in record.programs:
        state.programs[program.program] = program.record
