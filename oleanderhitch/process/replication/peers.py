"""Decide what a replica does with the messages of other replicas."""

from datetime import datetime
from functools import singledispatch

from oleanderhitch.process.ids import ReplicaId, Term
from oleanderhitch.process.replication.election import (
    answer_pre_vote,
    answer_vote,
    count_vote,
    start_election,
)
from oleanderhitch.process.replication.exceptions import (
    LogInvariantError,
    ReplicationError,
)
from oleanderhitch.process.replication.log_replication import (
    accept_entries,
    advance_commit,
    apply_committed,
    handle_append_reply,
)
from oleanderhitch.process.replication.membership import (
    continue_change,
    continue_transfer,
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
    confirm_round,
    release_reads,
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
    accept_chunk,
    handle_chunk_reply,
)
from oleanderhitch.process.replication.states import Role


def advance(state: ReplicaState, now: datetime, out: list[object]) -> None:
    """Commit what can be, then do what waited for it."""
    if not advance_commit(state, now, out):
        return
    release_reads(state, now, out)
    continue_change(state, now, out)


@singledispatch
def handle_peer(
    message: object,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    """Handle a message of another replica."""
    raise ReplicationError(f"unknown peer message type {type(message).__name__}")


@handle_peer.register
def _(
    message: PreVoteRequest,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    answer_pre_vote(state, sender, message, now, out)


@handle_peer.register
def _(
    message: PreVoteReply,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    if not message.is_granted:
        _follow_term(message.term, None, state, now, out)
        return
    if state.role is Role.PRE_CANDIDATE and message.term == state.term + 1:
        state.votes.add(sender)
        if is_quorum(state.votes, state.membership):
            start_election(state, now, False, out)


@handle_peer.register
def _(
    message: VoteRequest,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    answer_vote(state, sender, message, now, out)


@handle_peer.register
def _(
    message: VoteReply,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    _follow_term(message.term, None, state, now, out)
    if (
        message.is_granted
        and state.role is Role.CANDIDATE
        and message.term == state.term
    ):
        count_vote(state, sender, now, out)


@handle_peer.register
def _(
    message: AppendEntries,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    if not _follow_leader(message.term, sender, state, now, out):
        reply = AppendReply(
            state.term, False, message.previous_index, state.log.last_index
        )
        send(state, sender, reply, out)
    elif state.restoring is None:
        accept_entries(state, sender, message, out)


@handle_peer.register
def _(
    message: Heartbeat,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    is_followed = _follow_leader(message.term, sender, state, now, out)
    # The reply confirms the leader, which need not wait for commands to apply.
    send(state, sender, HeartbeatReply(state.term, message.round), out)
    if is_followed and state.restoring is None:
        commit_index = min(message.commit_index, state.matched_index)
        if commit_index > state.commit_index:
            apply_committed(state, commit_index, out)


@handle_peer.register
def _(
    message: InstallSnapshot,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    is_followed = _follow_leader(message.term, sender, state, now, out)
    if is_followed and state.restoring is None:
        accept_chunk(state, sender, message, out)


@handle_peer.register
def _(
    message: TimeoutNow,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    if message.term == state.term and state.role is Role.FOLLOWER:
        start_election(state, now, True, out)


@handle_peer.register
def _(
    message: AppendReply,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    if _hear_follower(message.term, sender, state, now, out):
        handle_append_reply(state, sender, message, now, out)
        advance(state, now, out)
        continue_transfer(state, now, out)


@handle_peer.register
def _(
    message: HeartbeatReply,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    if _hear_follower(message.term, sender, state, now, out):
        confirm_round(state, sender, message.round, now, out)


@handle_peer.register
def _(
    message: InstallSnapshotReply,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    if _hear_follower(message.term, sender, state, now, out):
        handle_chunk_reply(state, sender, message, now, out)


def _follow_term(
    term: Term,
    leader: ReplicaId | None,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    if term > state.term:
        become_follower(state, term, leader, now, out)


def _follow_leader(
    term: Term,
    leader: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> bool:
    """Follow the sender if its term is current; tell whether it is."""
    if term < state.term:
        return False
    if term == state.term and state.role is Role.LEADER:
        raise LogInvariantError(f"{leader} also leads in term {term}")
    if term > state.term or state.role is not Role.FOLLOWER or state.leader != leader:
        become_follower(state, term, leader, now, out)
    state.heard_leader_at = now
    reset_election_deadline(state, now)
    return True


def _hear_follower(
    term: Term,
    replica: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> bool:
    """Note that a replica answered; tell whether this replica leads it."""
    _follow_term(term, None, state, now, out)
    progress = state.progress.get(replica)
    if state.role is not Role.LEADER or term != state.term or progress is None:
        return False
    progress.heard_at = now
    return True
