"""Handlers for the messages of other replicas."""

from datetime import datetime
from functools import singledispatch

from oleanderhitch.process.ids import ReplicaId, Term
from oleanderhitch.process.replication.election import (
    count_vote,
    handle_pre_vote_request,
    handle_vote_request,
    start_election,
)
from oleanderhitch.process.replication.exceptions import (
    LogInvariantError,
    ReplicationError,
)
from oleanderhitch.process.replication.log_replication import (
    advance_commit,
    append_from_leader,
    apply_committed,
    handle_append_reply,
)
from oleanderhitch.process.replication.membership import (
    continue_change,
    continue_leadership_transfer,
)
from oleanderhitch.process.replication.messages import (
    AppendEntries,
    AppendReply,
    Heartbeat,
    HeartbeatReply,
    InstallSnapshot,
    InstallSnapshotReply,
    PreVoteReply,
    PreVoteRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from oleanderhitch.process.replication.reads import (
    record_round_reply,
    report_ready_reads,
)
from oleanderhitch.process.replication.replica import (
    ReplicaState,
    is_quorum,
)
from oleanderhitch.process.replication.roles import (
    become_follower,
    reset_election_deadline,
    send,
)
from oleanderhitch.process.replication.snapshots import (
    accept_piece,
    handle_piece_reply,
)
from oleanderhitch.process.replication.states import Role


def commit_and_resume(
    state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    """Commit what a majority has synced, then resume reads and changes."""
    if not advance_commit(state, now, effects):
        return
    report_ready_reads(state, now, effects)
    continue_change(state, now, effects)


@singledispatch
def handle_replica_message(
    message: object,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    """Handle a message of another replica."""
    raise ReplicationError(f"unknown peer message type {type(message).__name__}")


@handle_replica_message.register
def _(
    message: PreVoteRequest,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    handle_pre_vote_request(state, sender, message, now, effects)


@handle_replica_message.register
def _(
    message: PreVoteReply,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    if not message.is_granted:
        _adopt_newer_term(message.term, None, state, now, effects)
        return
    if state.role is Role.PRE_CANDIDATE and message.term == state.term + 1:
        state.votes.add(sender)
        if is_quorum(state.votes, state.membership):
            start_election(state, now, False, effects)


@handle_replica_message.register
def _(
    message: VoteRequest,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    handle_vote_request(state, sender, message, now, effects)


@handle_replica_message.register
def _(
    message: VoteReply,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    _adopt_newer_term(message.term, None, state, now, effects)
    if (
        message.is_granted
        and state.role is Role.CANDIDATE
        and message.term == state.term
    ):
        count_vote(state, sender, now, effects)


@handle_replica_message.register
def _(
    message: AppendEntries,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    if not _follow_leader(message.term, sender, state, now, effects):
        reply = AppendReply(
            state.term, False, message.previous_index, state.log.last_index
        )
        send(state, sender, reply, effects)
    elif state.restoring_snapshot is None:
        append_from_leader(state, sender, message, effects)


@handle_replica_message.register
def _(
    message: Heartbeat,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    is_followed = _follow_leader(message.term, sender, state, now, effects)
    # The reply only confirms the leader, so it goes out before commands apply.
    send(state, sender, HeartbeatReply(state.term, message.round), effects)
    if is_followed and state.restoring_snapshot is None:
        commit_index = min(message.commit_index, state.leader_match_index)
        if commit_index > state.commit_index:
            apply_committed(state, commit_index, effects)


@handle_replica_message.register
def _(
    message: InstallSnapshot,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    is_followed = _follow_leader(message.term, sender, state, now, effects)
    if is_followed and state.restoring_snapshot is None:
        accept_piece(state, sender, message, effects)


@handle_replica_message.register
def _(
    message: TimeoutNow,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    if message.term == state.term and state.role is Role.FOLLOWER:
        start_election(state, now, True, effects)


@handle_replica_message.register
def _(
    message: AppendReply,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    if _record_follower_contact(message.term, sender, state, now, effects):
        handle_append_reply(state, sender, message, now, effects)
        commit_and_resume(state, now, effects)
        continue_leadership_transfer(state, now, effects)


@handle_replica_message.register
def _(
    message: HeartbeatReply,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    if _record_follower_contact(message.term, sender, state, now, effects):
        record_round_reply(state, sender, message.round, now, effects)


@handle_replica_message.register
def _(
    message: InstallSnapshotReply,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    if _record_follower_contact(message.term, sender, state, now, effects):
        handle_piece_reply(state, sender, message, now, effects)


def _adopt_newer_term(
    term: Term,
    leader: ReplicaId | None,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    if term > state.term:
        become_follower(state, term, leader, now, effects)


def _follow_leader(
    term: Term,
    leader: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> bool:
    """Follow the sender unless its term is outdated; return whether it is followed."""
    if term < state.term:
        return False
    if term == state.term and state.role is Role.LEADER:
        raise LogInvariantError(f"{leader} also leads in term {term}")
    if term > state.term or state.role is not Role.FOLLOWER or state.leader != leader:
        become_follower(state, term, leader, now, effects)
    state.last_leader_contact_at = now
    state.contacts.record(term, now)
    reset_election_deadline(state, now)
    return True


def _record_follower_contact(
    term: Term,
    replica: ReplicaId,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> bool:
    """Record a reply of another replica; return whether this replica leads it."""
    _adopt_newer_term(term, None, state, now, effects)
    progress = state.progress.get(replica)
    if state.role is not Role.LEADER or term != state.term or progress is None:
        return False
    progress.last_contact_at = now
    return True
