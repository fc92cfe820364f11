"""Choose the moves that spread the groups of a site over its stores."""

from itertools import product

from oleanderhitch.process.repair.effects import ChangeReplica, MoveLeadership
from oleanderhitch.process.repair.messages import StoreHello
from oleanderhitch.process.replication.messages import ReplicationStatus
from oleanderhitch.process.replication.states import ChangeKind

# Differences from which a move makes the load more even. A replica takes its state with
# it, so it is moved less readily than the leadership.
REPLICA_DIFFERENCE_MIN = 3
LEADERSHIP_DIFFERENCE_MIN = 2
# A voter that lacks more entries than this would take over late.
N_ENTRIES_BEHIND_LIMIT = 100


def find_move(
    voters: list[StoreHello], spares: list[StoreHello], status: ReplicationStatus
) -> ChangeReplica | MoveLeadership | None:
    """Return a move of a replica or of the leadership, if one makes the load even."""
    return _find_replica_move(voters, spares, status) or _find_leadership_move(
        voters, status
    )


def _find_replica_move(
    voters: list[StoreHello], spares: list[StoreHello], status: ReplicationStatus
) -> ChangeReplica | None:
    """Return the replacement of the busiest voter by the least busy spare."""
    n_data_centres = len({voter.data_centre for voter in voters})
    moves = [
        (voter.n_replicas - spare.n_replicas, voter.replica != status.replica, index)
        for index, (voter, spare) in enumerate(product(voters, spares))
        if len({spare.data_centre} | {v.data_centre for v in voters if v != voter})
        >= n_data_centres
    ]
    difference, _, index = max(moves, default=(0, False, 0))
    if difference < REPLICA_DIFFERENCE_MIN:
        return None
    voter, spare = list(product(voters, spares))[index]
    reason = "another store serves fewer groups"
    return ChangeReplica(ChangeKind.REPLACE, voter.replica, spare.replica, reason)


def _find_leadership_move(
    voters: list[StoreHello], status: ReplicationStatus
) -> MoveLeadership | None:
    n_own = next(v.n_led for v in voters if v.replica == status.replica)
    current_replicas = {
        follower.replica
        for follower in status.followers
        if status.commit_index - follower.match_index <= N_ENTRIES_BEHIND_LIMIT
    }
    candidates = [voter for voter in voters if voter.replica in current_replicas]
    target = min(candidates, key=lambda voter: voter.n_led, default=None)
    if target is None or n_own - target.n_led < LEADERSHIP_DIFFERENCE_MIN:
        return None
    return MoveLeadership(target.replica)
