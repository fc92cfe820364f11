"""Decide until when a new leader must lend no credits, by what its voters report.

Answers elections after the loss of a leader, and of the power of all stores: a read of
an earlier leader needs an answer of a majority. Any majority has a voter of this one,
so none was confirmed after all voters of some majority had lost that leader.
"""

from datetime import datetime, timedelta

from msgspec import Struct, field

from oleanderhitch.process.ids import ReplicaId

# A leader lends for this long after its last successful read began.
READ_VALIDITY = timedelta(milliseconds=350)
# Longer than READ_VALIDITY and a loan in advance of the leader before.
SILENCE_DURATION = timedelta(milliseconds=500)


class LenderSilence(Struct):
    """Since when voters have not been in contact with an earlier leader."""

    voters: tuple[ReplicaId, ...] = ()
    quiet_since: dict[ReplicaId, datetime] = field(default_factory=dict)

    def find_end(self) -> datetime | None:
        """Return when all loans of earlier leaders have been made, None if unknown."""
        times = sorted(
            self.quiet_since[voter]
            for voter in self.voters
            if voter in self.quiet_since
        )
        n_majority = len(self.voters) // 2 + 1
        if not self.voters or len(times) < n_majority:
            return None
        return times[n_majority - 1] + SILENCE_DURATION
