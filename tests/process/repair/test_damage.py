"""Guard against a damaged log that is dropped while its group may need it."""

from datetime import UTC, datetime, timedelta

import pytest

from oleanderhitch.process.ids import ReplicaId
from oleanderhitch.process.repair.damage import (
    LED_WITHOUT_REPLICA_MIN,
    LeadershipWatch,
    is_majority_proven,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
LEADER = ReplicaId("b:1/1")
OTHER = ReplicaId("c:1/1")
STEP = timedelta(milliseconds=500)
N_STEPS = LED_WITHOUT_REPLICA_MIN // STEP


@pytest.mark.parametrize(
    ("leaders", "is_proven"),
    [
        ([LEADER] * N_STEPS, False),
        ([LEADER] * (N_STEPS + 1), True),
        # A leader that was lost may have been the last with a majority.
        ([LEADER] * N_STEPS + [None, LEADER], False),
        ([LEADER] * N_STEPS + [OTHER], False),
        ([None] * (2 * N_STEPS), False),
    ],
)
def test_only_a_lasting_leadership_proves_a_majority(
    leaders: list[ReplicaId | None], is_proven: bool
) -> None:
    """Guard against an outdated leader, which loses its majority with this replica."""
    watch = LeadershipWatch()
    results = [
        is_majority_proven(watch, leader, START + number * STEP)
        for number, leader in enumerate(leaders)
    ]
    assert results[-1] is is_proven
    assert not any(results[:-1])
