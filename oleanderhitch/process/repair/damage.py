"""Decide when a replica whose files are damaged may start anew.

Answers a store that meets a gap in a log at its start: the log may be dropped only if
the group goes on without it.
"""

from datetime import datetime, timedelta

from msgspec import Struct

from oleanderhitch.process.ids import ReplicaId

# A leader gives up 0.55 s after its last contact with a majority, and its last
# announcement counts for 1 s. A leader that has lasted for twice as long has a majority
# without the damaged replica, which has sent nothing since its process started, and a
# leader has every committed entry.
LED_WITHOUT_REPLICA_MIN = timedelta(seconds=3)


class LeadershipWatch(Struct):
    """The leader that another store announces, and since when it has done so."""

    leader: ReplicaId | None = None
    led_since: datetime | None = None


def is_majority_proven(
    watch: LeadershipWatch, leader: ReplicaId | None, now: datetime
) -> bool:
    """Record the announced leader; return whether a majority stands without a replica.

    `leader` is None if no other store has announced recently that it leads the group.
    """
    if leader != watch.leader:
        watch.leader = leader
        watch.led_since = now
    if leader is None or watch.led_since is None:
        return False
    return now - watch.led_since >= LED_WITHOUT_REPLICA_MIN
