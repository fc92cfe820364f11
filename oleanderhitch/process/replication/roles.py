"""Move a replica between its roles, and hold its messages back until synced."""

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
    state: ReplicaState, replica: ReplicaId, message: object, out: list[object]
) -> None:
    """Send a message once every hard state so far is synced."""
    effect = SendToReplica(replica, message)
    if state.n_hard_states_in_writing:
        state.held_messages.append(effect)
    else:
        out.append(effect)


def set_hard_state(
    state: ReplicaState, hard_state: HardState, out: list[object]
) -> None:
    """Change the term or the vote, durably before any further message."""
    state.hard_state = hard_state
    state.n_hard_states_in_writing += 1
    out.append(PersistHardState(hard_state))


def reset_election_deadline(
    state: ReplicaState, now: datetime, is_retry: bool = False
) -> None:
    """Choose the time at which to stand for election if no leader is heard."""
    timing = state.timing
    shortest = timing.election_retry_min if is_retry else timing.election_timeout_min
    spread = timing.election_timeout_max - timing.election_timeout_min
    state.election_deadline = now + shortest + spread * state.random.random()


def is_leader_recent(state: ReplicaState, now: datetime) -> bool:
    """Tell whether a leader was heard within the shortest election timeout."""
    heard_at = state.heard_leader_at
    return (
        state.leader is not None
        and heard_at is not None
        and now - heard_at < state.timing.election_timeout_min
    )


def set_role(
    state: ReplicaState, role: Role, leader: ReplicaId | None, out: list[object]
) -> None:
    """Set the role and the known leader, and report a difference."""
    if (state.role, state.leader) == (role, leader):
        return
    state.role = role
    state.leader = leader
    out.append(LeadershipChanged(role, state.term, leader))


def end_leadership(state: ReplicaState, reason: str, out: list[object]) -> None:
    """Answer everything that waits for this leader, as far as it is known."""
    for proposal_id in state.proposals.values():
        out.append(ProposalUncertain(proposal_id, reason))
    for read in state.reads:
        out.append(ReadRejected(read.read_id, None))
    if state.change is not None:
        out.append(
            ChangeEnded(state.change.change_id, ChangeOutcome.UNCERTAIN, reason, None)
        )
    state.proposals.clear()
    state.reads.clear()
    state.change = None
    state.progress.clear()
    state.transfer_target = None
    state.transfer_deadline = None


def become_follower(
    state: ReplicaState,
    term: Term,
    leader: ReplicaId | None,
    now: datetime,
    out: list[object],
) -> None:
    """Follow a leader, or none yet, in a term not lower than the current one."""
    was_leader = state.role is Role.LEADER
    if term > state.term:
        state.matched_index = 0
        state.incoming = None
        set_hard_state(state, HardState(term, None), out)
    if was_leader:
        state.matched_index = 0
        end_leadership(state, "the replica no longer leads", out)
    state.votes.clear()
    set_role(state, Role.FOLLOWER, leader, out)
    reset_election_deadline(state, now)
