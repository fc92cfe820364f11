"""Status of a replica for operators."""

from datetime import datetime

from oleanderhitch.process.ids import LogIndex
from oleanderhitch.process.replication.messages import (
    FollowerStatus,
    ReplicationStatus,
)
from oleanderhitch.process.replication.replica import ReplicaState


def make_status(request: int, state: ReplicaState, now: datetime) -> ReplicationStatus:
    """Return the status of a replica and, on the leader, of its followers."""
    membership = state.membership
    followers = tuple(
        FollowerStatus(
            replica,
            replica in membership.voters,
            now - progress.last_contact_at < state.timing.election_timeout_max,
            LogIndex(progress.match_index),
        )
        for replica, progress in sorted(state.progress.items())
    )
    snapshot_index = LogIndex(0) if state.snapshot is None else state.snapshot.index
    is_change_pending = (
        bool(membership.learners)
        or membership.retiring is not None
        or state.membership_index > state.commit_index
    )
    return ReplicationStatus(
        request,
        state.group,
        state.replica,
        state.role,
        state.term,
        state.leader,
        membership,
        LogIndex(state.commit_index),
        state.log.last_index,
        snapshot_index,
        is_change_pending,
        followers,
        state.fault,
        state.log.n_bytes,
        0 if state.snapshot is None else len(state.snapshot.data),
        state.log.count_bytes_after(state.commit_index),
        0 if state.incoming_snapshot is None else state.incoming_snapshot.n_bytes,
    )
