"""When a replica was last in contact with a leader.

Answers leaders that take over from one that is lost: no read of an earlier leader was
confirmed after the last contact of a majority with it.
"""

from datetime import datetime

from msgspec import Struct

from oleanderhitch.process.ids import Term
from oleanderhitch.process.replication.messages import NO_TERM


class LeaderContacts(Struct):
    """The last contact with the newest leader, and with any leader before it.

    A leader is in contact with itself. Without a contact the time of the start stands
    in for it, since nothing is known of what came before.
    """

    started_at: datetime | None = None
    term: Term = NO_TERM
    last_at: datetime | None = None
    earlier_at: datetime | None = None

    def record(self, term: Term, now: datetime) -> None:
        """Record a contact with the leader of a term."""
        if term > self.term:
            self.earlier_at, self.term = self.last_at, term
        self.last_at = now

    def find_before(self, term: Term) -> datetime | None:
        """Return the last contact with a leader of an earlier term, None if unknown."""
        if self.term > term:
            return None
        last_at = self.last_at if self.term < term else self.earlier_at
        return last_at or self.started_at
