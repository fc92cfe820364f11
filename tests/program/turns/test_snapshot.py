"""Guard against snapshots of turns that cannot be encoded or lose state."""

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.program.turns.core import TurnsState, apply
from oleanderhitch.program.turns.snapshot import (
    SNAPSHOT_RECORDS,
    list_records,
    restore_record,
)
from tests.program.turns.test_core import begin, settle


def test_restored_state_equals_the_saved_one() -> None:
    """Guard against a store that loses state when it restarts from a snapshot."""
    state = TurnsState()
    apply(settle("a", b"A"), state)
    apply(settle("b", b"B", "a"), state)
    apply(begin("c", "b"), state)
    codec = make_codec(SNAPSHOT_RECORDS)
    restored = TurnsState()
    for record in list_records(state):
        restore_record(codec.decode(codec.encode(record)), restored)
    assert restored == state
