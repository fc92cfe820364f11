"""Membership changes, one replica at a time, and leadership transfer.

The goal of a change is part of the membership itself, so that any later leader
continues it: learners become voters, then the retiring replica is removed.
"""

from datetime import datetime

from msgspec.structs import replace

from oleanderhitch.process.ids import ReplicaId, Term
from oleanderhitch.process.replication.effects import (
    ChangeEnded,
    LeadershipChanged,
)
from oleanderhitch.process.replication.election import update_follower_progress
from oleanderhitch.process.replication.log_replication import (
    append_as_leader,
    replicate_to_all,
)
from oleanderhitch.process.replication.messages import (
    ChangeMembership,
    HardState,
    Membership,
    TimeoutNow,
)
from oleanderhitch.process.replication.replica import ReplicaState
from oleanderhitch.process.replication.roles import (
    become_follower,
    send,
    set_hard_state,
    set_role,
)
from oleanderhitch.process.replication.states import (
    ChangeKind,
    ChangeOutcome,
    EntryKind,
    ProgressMode,
    Role,
)


def _reject(
    state: ReplicaState, message: ChangeMembership, reason: str, effects: list[object]
) -> None:
    effects.append(
        ChangeEnded(message.change_id, ChangeOutcome.REJECTED, reason, state.leader)
    )


def _find_rejection_reason(state: ReplicaState, message: ChangeMembership) -> str:
    if state.role is not Role.LEADER:
        return "this replica does not lead the group; ask the leader"
    if state.commit_index < max(state.term_start_index, state.membership_index):
        return "an earlier membership is not committed yet; ask again"
    membership = state.membership
    is_cancelling = (
        message.kind is ChangeKind.REMOVE and message.replica in membership.learners
    )
    if (membership.learners or membership.retiring) and not is_cancelling:
        return "another change is under way; wait for it or remove its learner"
    return _find_replica_rejection_reason(membership, message)


def _find_replica_rejection_reason(
    membership: Membership, message: ChangeMembership
) -> str:
    members = {*membership.voters, *membership.learners}
    new_replica = message.replacement
    if message.kind is ChangeKind.ADD:
        new_replica = message.replica
    elif message.replica not in members:
        return f"replica {message.replica} is not a member"
    if message.kind is ChangeKind.REMOVE and membership.voters == (message.replica,):
        return "the last voter can't be removed"
    if message.kind is ChangeKind.REPLACE and new_replica is None:
        return "a replacement is needed"
    if new_replica is not None and new_replica in members:
        return f"replica {new_replica} is a member already"
    if new_replica is not None and new_replica in membership.removed:
        return f"replica {new_replica} was removed; its host needs a new replica id"
    return ""


def begin_change(
    state: ReplicaState, message: ChangeMembership, now: datetime, effects: list[object]
) -> None:
    """Begin a change, or reject it with a reason."""
    if message.kind is ChangeKind.DECLARE_LOST:
        _declare_lost(state, message, now, effects)
        return
    reason = _find_rejection_reason(state, message)
    if reason:
        _reject(state, message, reason, effects)
        return
    if state.pending_change is not None:
        effects.append(
            ChangeEnded(
                state.pending_change.change_id,
                ChangeOutcome.REJECTED,
                "cancelled by a later request",
                state.leader,
            )
        )
    state.pending_change = message
    _set_membership(state, _apply_first_step(state.membership, message), now, effects)


def _apply_first_step(membership: Membership, message: ChangeMembership) -> Membership:
    """Return the membership in the first log entry of a change."""
    if message.kind is ChangeKind.ADD:
        return replace(membership, learners=(*membership.learners, message.replica))
    if message.kind is ChangeKind.REPLACE and message.replacement is not None:
        learners = (*membership.learners, message.replacement)
        return replace(membership, learners=learners, retiring=message.replica)
    if message.replica in membership.learners:
        membership = replace(membership, retiring=None)
        return _remove_member(membership, message.replica)
    return replace(membership, retiring=message.replica)


def _remove_member(membership: Membership, replica: ReplicaId) -> Membership:
    retiring = None if membership.retiring == replica else membership.retiring
    return Membership(
        tuple(voter for voter in membership.voters if voter != replica),
        tuple(learner for learner in membership.learners if learner != replica),
        retiring,
        (*membership.removed, replica),
    )


def _set_membership(
    state: ReplicaState, membership: Membership, now: datetime, effects: list[object]
) -> None:
    append_as_leader(state, EntryKind.MEMBERSHIP, b"", membership, effects)
    update_follower_progress(state, now)
    replicate_to_all(state, now, effects)


def continue_change(state: ReplicaState, now: datetime, effects: list[object]) -> None:
    """Take the next step of a change once the previous one is committed."""
    if state.commit_index < max(state.term_start_index, state.membership_index):
        return
    membership = state.membership
    if state.replica not in membership.voters:
        become_follower(state, state.term, None, now, effects)
        return
    if membership.learners:
        _promote_learner(state, now, effects)
    elif membership.retiring == state.replica:
        # A leader that retires transfers leadership first; the new leader removes it.
        start_leadership_transfer(state, None, now, effects)
    elif membership.retiring is not None:
        _set_membership(
            state, _remove_member(membership, membership.retiring), now, effects
        )
    elif state.pending_change is not None:
        change_id = state.pending_change.change_id
        state.pending_change = None
        effects.append(
            ChangeEnded(change_id, ChangeOutcome.COMPLETED, "", state.replica)
        )


def _promote_learner(state: ReplicaState, now: datetime, effects: list[object]) -> None:
    learner = state.membership.learners[0]
    progress = state.progress[learner]
    # All committed entries must be synced on the learner before it may vote.
    is_caught_up = (
        progress.mode is ProgressMode.REPLICATE
        and progress.match_index >= state.commit_index
        and now - progress.last_contact_at < state.timing.election_timeout_min
    )
    if is_caught_up:
        membership = replace(
            state.membership,
            voters=(*state.membership.voters, learner),
            learners=state.membership.learners[1:],
        )
        _set_membership(state, membership, now, effects)


def start_leadership_transfer(
    state: ReplicaState, target: ReplicaId | None, now: datetime, effects: list[object]
) -> None:
    """Transfer leadership to a voter; proposals are rejected meanwhile.

    Without a target, the most up-to-date voter is chosen, from the recently reachable
    ones if there are any.
    """
    if state.role is not Role.LEADER or state.transfer_target is not None:
        return
    voters = [
        voter
        for voter in state.membership.voters
        if voter in state.progress and target in (None, voter)
    ]
    if not voters:
        return
    contact_timeout = state.timing.election_timeout_min
    state.transfer_target = max(
        voters,
        key=lambda voter: (
            now - state.progress[voter].last_contact_at < contact_timeout,
            state.progress[voter].match_index,
        ),
    )
    state.transfer_deadline = now + state.timing.election_timeout_max
    continue_leadership_transfer(state, now, effects)


def continue_leadership_transfer(
    state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    """Send TimeoutNow once the target has the whole log.

    The transfer is cancelled at its deadline or when the target is removed.
    """
    target = state.transfer_target
    if target is None or state.transfer_deadline is None:
        return
    progress = state.progress.get(target)
    if progress is None or now >= state.transfer_deadline:
        state.transfer_target = None
        state.transfer_deadline = None
        effects.append(LeadershipChanged(state.role, state.term, state.replica))
    elif progress.match_index == state.log.last_index:
        # The target may become leader as soon as it gets this message, without an
        # election timeout, so nothing may rely on this leader any longer.
        effects.append(LeadershipChanged(Role.FOLLOWER, state.term, None))
        send(state, target, TimeoutNow(state.term), effects)


def _declare_lost(
    state: ReplicaState, message: ChangeMembership, now: datetime, effects: list[object]
) -> None:
    """Let the survivor of two voters continue alone.

    In a group of two, every acknowledged entry is synced on both replicas, so the
    survivor has all of them. This would not hold with more voters. The survivor votes
    for itself in the next term, which is a majority once the lost replica is removed.
    """
    voters = state.membership.voters
    if not (
        len(voters) == 2
        and state.replica in voters
        and message.replica in voters
        and message.replica != state.replica
        and not state.membership.learners
        and state.membership.retiring is None
    ):
        _reject(
            state,
            message,
            "only the survivor of two voters, with no change under way, may go on",
            effects,
        )
        return
    become_follower(state, state.term, None, now, effects)
    set_hard_state(state, HardState(Term(state.term + 1), state.replica), effects)
    set_role(state, Role.CANDIDATE, None, effects)
    state.votes = set()
    append_as_leader(
        state,
        EntryKind.MEMBERSHIP,
        b"",
        _remove_member(state.membership, message.replica),
        effects,
    )
    # The change completes once the survivor leads and has committed this entry.
    state.pending_change = message
