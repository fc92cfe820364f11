"""Change the replicas of a group, one at a time.

The goal of a change is part of the membership itself, so that whichever replica
leads next carries it on: learners become voters, then the retiring replica goes.
"""

from dataclasses import replace
from datetime import datetime

from oleanderhitch.process.ids import ReplicaId, Term
from oleanderhitch.process.replication.effects import (
    ChangeEnded,
    LeadershipChanged,
)
from oleanderhitch.process.replication.election import update_followers
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
    state: ReplicaState, message: ChangeMembership, reason: str, out: list[object]
) -> None:
    out.append(
        ChangeEnded(message.change_id, ChangeOutcome.REJECTED, reason, state.leader)
    )


def _find_objection(state: ReplicaState, message: ChangeMembership) -> str:
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
    return _find_id_objection(membership, message)


def _find_id_objection(membership: Membership, message: ChangeMembership) -> str:
    known = {*membership.voters, *membership.learners}
    new = message.replacement
    if message.kind is ChangeKind.ADD:
        new = message.replica
    elif message.replica not in known:
        return f"replica {message.replica} is not a member"
    if message.kind is ChangeKind.REMOVE and membership.voters == (message.replica,):
        return "the last voter can't be removed"
    if message.kind is ChangeKind.REPLACE and new is None:
        return "a replacement is needed"
    if new is not None and new in known:
        return f"replica {new} is a member already"
    if new is not None and new in membership.removed:
        return f"replica {new} was removed; its host needs a new replica id"
    return ""


def begin_change(
    state: ReplicaState, message: ChangeMembership, now: datetime, out: list[object]
) -> None:
    """Begin a change, or say why it can't begin."""
    if message.kind is ChangeKind.DECLARE_LOST:
        _declare_lost(state, message, now, out)
        return
    objection = _find_objection(state, message)
    if objection:
        _reject(state, message, objection, out)
        return
    if state.change is not None:
        out.append(
            ChangeEnded(
                state.change.change_id,
                ChangeOutcome.REJECTED,
                "cancelled by a later request",
                state.leader,
            )
        )
    state.change = message
    _set_membership(state, _make_first_step(state.membership, message), now, out)


def _make_first_step(membership: Membership, message: ChangeMembership) -> Membership:
    if message.kind is ChangeKind.ADD:
        return replace(membership, learners=(*membership.learners, message.replica))
    if message.kind is ChangeKind.REPLACE and message.replacement is not None:
        learners = (*membership.learners, message.replacement)
        return replace(membership, learners=learners, retiring=message.replica)
    if message.replica in membership.learners:
        membership = replace(membership, retiring=None)
        return _without(membership, message.replica)
    return replace(membership, retiring=message.replica)


def _without(membership: Membership, replica: ReplicaId) -> Membership:
    retiring = None if membership.retiring == replica else membership.retiring
    return Membership(
        tuple(voter for voter in membership.voters if voter != replica),
        tuple(learner for learner in membership.learners if learner != replica),
        retiring,
        (*membership.removed, replica),
    )


def _set_membership(
    state: ReplicaState, membership: Membership, now: datetime, out: list[object]
) -> None:
    append_as_leader(state, EntryKind.MEMBERSHIP, b"", membership, out)
    update_followers(state, now)
    replicate_to_all(state, now, out)


def continue_change(state: ReplicaState, now: datetime, out: list[object]) -> None:
    """Take the next step of a change once the last step is committed."""
    if state.commit_index < max(state.term_start_index, state.membership_index):
        return
    membership = state.membership
    if state.replica not in membership.voters:
        become_follower(state, state.term, None, now, out)
        return
    if membership.learners:
        _promote_learner(state, now, out)
    elif membership.retiring == state.replica:
        # The others can go on only under a leader that stays.
        start_transfer(state, None, now, out)
    elif membership.retiring is not None:
        _set_membership(state, _without(membership, membership.retiring), now, out)
    elif state.change is not None:
        change_id = state.change.change_id
        state.change = None
        out.append(ChangeEnded(change_id, ChangeOutcome.COMPLETED, "", state.replica))


def _promote_learner(state: ReplicaState, now: datetime, out: list[object]) -> None:
    learner = state.membership.learners[0]
    progress = state.progress[learner]
    # Everything that is committed must be synced there before it may vote.
    is_caught_up = (
        progress.mode is ProgressMode.REPLICATE
        and progress.match_index >= state.commit_index
        and now - progress.heard_at < state.timing.election_timeout_min
    )
    if is_caught_up:
        membership = replace(
            state.membership,
            voters=(*state.membership.voters, learner),
            learners=state.membership.learners[1:],
        )
        _set_membership(state, membership, now, out)


def start_transfer(
    state: ReplicaState, target: ReplicaId | None, now: datetime, out: list[object]
) -> None:
    """Hand over to a voter; proposals are rejected until this has ended."""
    if state.role is not Role.LEADER or state.transfer_target is not None:
        return
    voters = [
        voter
        for voter in state.membership.voters
        if voter in state.progress and target in (None, voter)
    ]
    if not voters:
        return
    recent = state.timing.election_timeout_min
    state.transfer_target = max(
        voters,
        key=lambda voter: (
            now - state.progress[voter].heard_at < recent,
            state.progress[voter].match_index,
        ),
    )
    state.transfer_deadline = now + state.timing.election_timeout_max
    continue_transfer(state, now, out)


def continue_transfer(state: ReplicaState, now: datetime, out: list[object]) -> None:
    """Send the request to take over once the target has the whole log."""
    target = state.transfer_target
    if target is None or state.transfer_deadline is None:
        return
    progress = state.progress.get(target)
    if progress is None or now >= state.transfer_deadline:
        state.transfer_target = None
        state.transfer_deadline = None
        out.append(LeadershipChanged(state.role, state.term, state.replica))
    elif progress.match_index == state.log.last_index:
        # The target may lead as soon as it has this message, without waiting
        # for an election timeout, so nothing may rely on this leader any more.
        out.append(LeadershipChanged(Role.FOLLOWER, state.term, None))
        send(state, target, TimeoutNow(state.term), out)


def _declare_lost(
    state: ReplicaState, message: ChangeMembership, now: datetime, out: list[object]
) -> None:
    """Let the survivor of two voters go on alone.

    Every acknowledged entry of a group of two is synced on both, so that the
    survivor has them all. With more voters this would not hold.
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
            out,
        )
        return
    become_follower(state, state.term, None, now, out)
    set_hard_state(state, HardState(Term(state.term + 1), state.replica), out)
    set_role(state, Role.CANDIDATE, None, out)
    state.votes = set()
    append_as_leader(
        state,
        EntryKind.MEMBERSHIP,
        b"",
        _without(state.membership, message.replica),
        out,
    )
    # Completed once the survivor leads and has committed this.
    state.change = message
