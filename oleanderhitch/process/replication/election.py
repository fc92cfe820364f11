"""Leader election: pre-vote, vote, and the leader's quorum check."""

from datetime import datetime

from oleanderhitch.process.ids import ReplicaId, Term
from oleanderhitch.process.replication.log_replication import (
    append_as_leader,
    broadcast_heartbeat,
    make_follower_progress,
    replicate_to_all,
)
from oleanderhitch.process.replication.messages import (
    HardState,
    HardStatePersisted,
    PreVoteReply,
    PreVoteRequest,
    VoteReply,
    VoteRequest,
)
from oleanderhitch.process.replication.replica import ReplicaState, is_quorum
from oleanderhitch.process.replication.roles import (
    become_follower,
    has_recent_leader,
    reset_election_deadline,
    send,
    set_hard_state,
    set_role,
)
from oleanderhitch.process.replication.states import EntryKind, Role


def can_campaign(state: ReplicaState) -> bool:
    """Return whether this replica may start an election."""
    return state.is_voter and state.restoring_snapshot is None


def start_pre_vote(state: ReplicaState, now: datetime, effects: list[object]) -> None:
    """Test by a pre-vote if an election can be won, without disrupting a leader."""
    # Peers that start at the same time may not accept connections yet. An early retry
    # costs little and disrupts no leader.
    reset_election_deadline(state, now, is_retry=True)
    if not can_campaign(state):
        return
    state.last_leader_contact_at = None
    set_role(state, Role.PRE_CANDIDATE, None, effects)
    state.votes = {state.replica}
    if is_quorum(state.votes, state.membership):
        start_election(state, now, False, effects)
        return
    request = PreVoteRequest(
        Term(state.term + 1), state.log.last_index, state.log.last_term
    )
    _send_to_voters(state, request, effects)


def start_election(
    state: ReplicaState, now: datetime, is_transfer: bool, effects: list[object]
) -> None:
    """Become a candidate in the next term and request votes."""
    reset_election_deadline(state, now, is_retry=True)
    if not can_campaign(state):
        return
    set_hard_state(state, HardState(Term(state.term + 1), state.replica), effects)
    state.leader_match_index = 0
    state.incoming_snapshot = None
    set_role(state, Role.CANDIDATE, None, effects)
    # The candidate's own vote counts once it is synced.
    state.votes = set()
    request = VoteRequest(
        state.term, state.log.last_index, state.log.last_term, is_transfer
    )
    _send_to_voters(state, request, effects)


def _send_to_voters(
    state: ReplicaState, request: object, effects: list[object]
) -> None:
    for voter in state.membership.voters:
        if voter != state.replica:
            send(state, voter, request, effects)


def handle_hard_state_persisted(
    state: ReplicaState,
    message: HardStatePersisted,
    now: datetime,
    effects: list[object],
) -> None:
    """Send the deferred messages and count the candidate's own vote."""
    state.n_unsynced_hard_states -= 1
    if state.n_unsynced_hard_states:
        return
    effects.extend(state.deferred_messages)
    state.deferred_messages.clear()
    if state.role is Role.CANDIDATE and message.hard_state == state.hard_state:
        count_vote(state, state.replica, now, effects)


def count_vote(
    state: ReplicaState, voter: ReplicaId, now: datetime, effects: list[object]
) -> None:
    """Count a vote of the current term, and become leader on a majority."""
    state.votes.add(voter)
    if is_quorum(state.votes, state.membership):
        _become_leader(state, now, effects)


def _become_leader(state: ReplicaState, now: datetime, effects: list[object]) -> None:
    state.last_leader_contact_at = None
    set_role(state, Role.LEADER, state.replica, effects)
    state.pending_reads.clear()
    state.pending_proposals.clear()
    state.confirmed_round = state.heartbeat_round
    update_follower_progress(state, now)
    # Entries of earlier terms are committed together with this one.
    entry = append_as_leader(state, EntryKind.EMPTY, b"", None, effects)
    state.term_start_index = entry.index
    broadcast_heartbeat(state, now, effects)
    replicate_to_all(state, now, effects)


def update_follower_progress(state: ReplicaState, now: datetime) -> None:
    """Track the progress of exactly the other replicas of the newest membership."""
    other_replicas = {*state.membership.voters, *state.membership.learners} - {
        state.replica
    }
    for replica in set(state.progress) - other_replicas:
        del state.progress[replica]
    # Sorted so that runs with the same seed send messages in the same order.
    for replica in sorted(other_replicas - set(state.progress)):
        state.progress[replica] = make_follower_progress(state, now)


def check_quorum(state: ReplicaState, now: datetime, effects: list[object]) -> None:
    """Step down after the maximum election timeout without contact to a majority."""
    timeout = state.timing.election_timeout_max
    reachable = {
        replica
        for replica, progress in state.progress.items()
        if now - progress.last_contact_at < timeout
    }
    reachable.add(state.replica)
    if not is_quorum(reachable, state.membership):
        become_follower(state, state.term, None, now, effects)


def _is_log_up_to_date(
    state: ReplicaState, message: PreVoteRequest | VoteRequest
) -> bool:
    candidate_last = (message.last_term, message.last_index)
    return candidate_last >= (state.log.last_term, state.log.last_index)


def handle_pre_vote_request(
    state: ReplicaState,
    candidate: ReplicaId,
    message: PreVoteRequest,
    now: datetime,
    effects: list[object],
) -> None:
    """Reply whether a vote would be granted."""
    is_granted = (
        message.term > state.term
        and state.role is not Role.LEADER
        and not has_recent_leader(state, now)
        and _is_log_up_to_date(state, message)
    )
    term = message.term if is_granted else state.term
    send(state, candidate, PreVoteReply(term, is_granted), effects)


def handle_vote_request(
    state: ReplicaState,
    candidate: ReplicaId,
    message: VoteRequest,
    now: datetime,
    effects: list[object],
) -> None:
    """Vote at most once per term, and only for an up-to-date log."""
    has_leader = state.role is Role.LEADER or has_recent_leader(state, now)
    if message.term > state.term and has_leader and not message.is_transfer:
        # A removed or isolated replica must not depose a leader that is still in
        # contact with a majority.
        return
    if message.term > state.term:
        become_follower(state, message.term, None, now, effects)
    is_granted = (
        message.term == state.term
        and state.hard_state.vote in (None, candidate)
        and _is_log_up_to_date(state, message)
    )
    if is_granted:
        if state.hard_state.vote is None:
            set_hard_state(state, HardState(state.term, candidate), effects)
        reset_election_deadline(state, now)
    send(state, candidate, VoteReply(state.term, is_granted), effects)
