"""Guard against snapshots of turns that cannot be encoded or lose state."""

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.program.turns.core import TurnsState, apply
from oleanderhitch.program.turns.snapshot import (
    N_ROWS_PER_RECORD,
    SNAPSHOT_RECORDS,
    list_records,
    restore_record,
)
from tests.program.turns.test_core import begin, settle


def test_restored_state_equals_the_saved_one() -> None:
    """Guard against a store that loses state when it restarts from a snapshot.

    The turns take more than one record.
    """
    state = TurnsState()
    apply(settle("a", b"A"), state)
    apply(settle("b", b"B", "a"), state)
    for number in range(N_ROWS_PER_RECORD):
        apply(settle(f"t{number}", b"%d" % number, program=f"p{number}"), state)
    apply(begin("c", "b"), state)
    codec = make_codec(SNAPSHOT_RECORDS)
    restored = TurnsState()
    contents = [turn.content for turn in state.turns.values()]
    remaining = iter(contents)
    for record in list_records(state, [(1, 0)] * len(contents)):
        restore_record(codec.decode(codec.encode(record)), restored, remaining)
    assert restored == state
