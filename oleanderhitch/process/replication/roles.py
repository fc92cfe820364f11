"""Role changes of a replica, and messages deferred until its hard state is synced."""

from datetime import datetime

from oleanderhitch.process.ids import ReplicaId, Term
from oleanderhitch.process.replication.effects import (
    ChangeEnded,
    LeadershipChanged,
    PersistHardState,
    ProposalUncertain,
    ReadRejected,
    SendToReplica,
)
from oleanderhitch.process.replication.messages import (
    HardState,
)
from oleanderhitch.process.replication.replica import ReplicaState
from oleanderhitch.process.replication.states import ChangeOutcome, Role


def send(
    state: ReplicaState, replica: ReplicaId, message: object, effects: list[object]
) -> None:
    """Send a message as soon as all hard states set so far are synced."""
    effect = SendToReplica(replica, message)
    if state.n_unsynced_hard_states:
        state.deferred_messages.append(effect)
    else:
        effects.append(effect)


def set_hard_state(
    state: ReplicaState, hard_state: HardState, effects: list[object]
) -> None:
    """Set the term or the vote; it is synced before any further message is sent."""
    state.hard_state = hard_state
    state.n_unsynced_hard_states += 1
    effects.append(PersistHardState(hard_state))


def reset_election_deadline(
    state: ReplicaState, now: datetime, is_retry: bool = False
) -> None:
    """Choose a random time for the next election; contact with a leader resets it."""
    timing = state.timing
    shortest = timing.election_retry_min if is_retry else timing.election_timeout_min
    spread = timing.election_timeout_max - timing.election_timeout_min
    state.election_deadline = now + shortest + spread * state.random_source.random()


def has_recent_leader(state: ReplicaState, now: datetime) -> bool:
    """Return whether a leader made contact within the minimum election timeout."""
    last_contact_at = state.last_leader_contact_at
    return (
        state.leader is not None
        and last_contact_at is not None
        and now - last_contact_at < state.timing.election_timeout_min
    )


def set_role(
    state: ReplicaState, role: Role, leader: ReplicaId | None, effects: list[object]
) -> None:
    """Set the role and the known leader, and report any change."""
    if (state.role, state.leader) == (role, leader):
        return
    state.role = role
    state.leader = leader
    effects.append(LeadershipChanged(role, state.term, leader))


def end_leadership(state: ReplicaState, reason: str, effects: list[object]) -> None:
    """Resolve pending proposals, reads and changes, and clear the leader's state.

    Proposals and a membership change may still be committed by the next leader, so they
    end as uncertain.
    """
    for proposal_id in state.pending_proposals.values():
        effects.append(ProposalUncertain(proposal_id, reason))
    for read in state.pending_reads:
        effects.append(ReadRejected(read.read_id, None))
    if state.pending_change is not None:
        effects.append(
            ChangeEnded(
                state.pending_change.change_id, ChangeOutcome.UNCERTAIN, reason, None
            )
        )
    state.pending_proposals.clear()
    state.pending_reads.clear()
    state.pending_change = None
    state.progress.clear()
    state.transfer_target = None
    state.transfer_deadline = None


def become_follower(
    state: ReplicaState,
    term: Term,
    leader: ReplicaId | None,
    now: datetime,
    effects: list[object],
) -> None:
    """Become a follower in the given term, not lower than the current one.

    The leader is None while it is not known.
    """
    was_leader = state.role is Role.LEADER
    if was_leader:
        state.contacts.record(state.term, now)
    if term > state.term:
        state.leader_match_index = 0
        state.incoming_snapshot = None
        set_hard_state(state, HardState(term, None), effects)
    if was_leader:
        state.leader_match_index = 0
        end_leadership(state, "the replica no longer leads", effects)
    state.votes.clear()
    set_role(state, Role.FOLLOWER, leader, effects)
    reset_election_deadline(state, now)
