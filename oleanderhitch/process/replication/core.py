"""Decide what a replica of a group does: messages in, effects out."""

from datetime import datetime, timedelta
from functools import singledispatch
from random import Random

from oleanderhitch.process.ids import GroupId, ReplicaId, Term
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.replication.election import (
    answer_pre_vote,
    answer_vote,
    check_quorum,
    count_vote,
    handle_hard_state_synced,
    start_election,
    start_pre_vote,
)
from oleanderhitch.process.replication.exceptions import (
    LogInvariantError,
    ReplicationError,
)
from oleanderhitch.process.replication.log_sync import (
    accept_entries,
    advance_commit,
    append_as_leader,
    apply_committed,
    broadcast_heartbeat,
    handle_append_reply,
    handle_log_synced,
    replicate_to_all,
    request_snapshot,
    retransmit,
)
from oleanderhitch.process.replication.membership import (
    begin_change,
    continue_change,
    continue_transfer,
    start_transfer,
)
from oleanderhitch.process.replication.messages import (
    AppendEntries,
    AppendReply,
    ChangeMembership,
    CompactLog,
    FoundGroup,
    HardState,
    HardStatePersisted,
    Heartbeat,
    HeartbeatReply,
    InstallSnapshot,
    InstallSnapshotReply,
    LogEntry,
    Membership,
    PeerMessage,
    Persisted,
    PreVoteReply,
    PreVoteRequest,
    ProposalRejected,
    Propose,
    ReadBarrier,
    Snapshot,
    SnapshotRestored,
    SnapshotTaken,
    StorageFailed,
    TimeoutNow,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)
from oleanderhitch.process.replication.reads import (
    add_read,
    confirm_round,
    release_reads,
)
from oleanderhitch.process.replication.replica import (
    Limits,
    ReplicaState,
    Timing,
    adopt_newest_membership,
    is_quorum,
    make_replica_state,
)
from oleanderhitch.process.replication.roles import (
    become_follower,
    end_leadership,
    reset_election_deadline,
    send,
    set_role,
)
from oleanderhitch.process.replication.snapshots import (
    accept_chunk,
    handle_chunk_reply,
    handle_snapshot_restored,
    handle_snapshot_taken,
    resend_chunk,
)
from oleanderhitch.process.replication.states import EntryKind, Role

# Ticks of one process are never this far apart in the wrong direction unless
# its clock was set back.
CLOCK_STEP_TOLERANCE = timedelta(milliseconds=1)


def make_replica(
    group: GroupId,
    replica: ReplicaId,
    voters: tuple[ReplicaId, ...],
    learners: tuple[ReplicaId, ...],
    random_source: Random,
    timing: Timing | None = None,
    limits: Limits | None = None,
    hard_state: HardState | None = None,
    snapshot: Snapshot | None = None,
    entries: tuple[LogEntry, ...] = (),
) -> ReplicaState:
    """Return a replica; the last three are what its storage has of it.

    A replica that is to join a group later starts without voters.
    """
    return make_replica_state(
        group,
        replica,
        Membership(voters, learners),
        random_source,
        timing or Timing(),
        limits or Limits(),
        hard_state or HardState(),
        snapshot,
        entries,
    )


def handle(message: object, state: ReplicaState, now: datetime) -> list[object]:
    """Return the effects that a message calls for."""
    out: list[object] = []
    if state.election_deadline is None:
        reset_election_deadline(state, now)
    if state.role is not Role.STOPPED:
        _handle(message, state, now, out)
    else:
        _handle_when_stopped(message, state, out)
    return out


@singledispatch
def _handle(
    message: object, state: ReplicaState, now: datetime, out: list[object]
) -> None:
    raise ReplicationError(f"unknown message type {type(message).__name__}")


@_handle.register
def _(
    message: PeerMessage, state: ReplicaState, now: datetime, out: list[object]
) -> None:
    _handle_peer(message.message, message.sender, state, now, out)


@_handle.register
def _(message: Tick, state: ReplicaState, now: datetime, out: list[object]) -> None:
    _rebase_clock(state, now)
    if state.role is Role.LEADER:
        _tick_as_leader(state, now, out)
    elif state.election_deadline is not None and now >= state.election_deadline:
        start_pre_vote(state, now, out)


def _rebase_clock(state: ReplicaState, now: datetime) -> None:
    """Start all intervals over when the clock has been set back."""
    if state.seen_at is not None and now < state.seen_at - CLOCK_STEP_TOLERANCE:
        reset_election_deadline(state, now)
        state.heard_leader_at = None
        state.heartbeat_due_at = now
        if state.transfer_deadline is not None:
            state.transfer_deadline = now
        for progress in state.progress.values():
            progress.heard_at = now
            progress.advanced_at = now
    state.seen_at = now


def _tick_as_leader(state: ReplicaState, now: datetime, out: list[object]) -> None:
    check_quorum(state, now, out)
    if state.role is not Role.LEADER:
        return
    if state.heartbeat_due_at is None or now >= state.heartbeat_due_at:
        broadcast_heartbeat(state, now, out)
    for replica in state.progress:
        retransmit(state, replica, now, out)
        resend_chunk(state, replica, now, out)
    continue_transfer(state, now, out)
    continue_change(state, now, out)


@_handle.register
def _(message: Propose, state: ReplicaState, now: datetime, out: list[object]) -> None:
    n_uncommitted = state.log.last_index - state.commit_index
    if (
        state.role is not Role.LEADER
        or state.transfer_target is not None
        or n_uncommitted >= state.limits.n_uncommitted_entries
    ):
        out.append(ProposalRejected(message.proposal_id, state.leader))
        return
    entry = append_as_leader(state, EntryKind.COMMAND, message.command, None, out)
    state.proposals[entry.index] = message.proposal_id
    replicate_to_all(state, now, out)


@_handle.register
def _(
    message: ReadBarrier, state: ReplicaState, now: datetime, out: list[object]
) -> None:
    add_read(state, message.read_id, now, out)


@_handle.register
def _(
    message: ChangeMembership, state: ReplicaState, now: datetime, out: list[object]
) -> None:
    begin_change(state, message, now, out)


@_handle.register
def _(
    message: FoundGroup, state: ReplicaState, now: datetime, out: list[object]
) -> None:
    if state.log.last_index or state.founding_membership.voters:
        return
    state.founding_membership = Membership(message.voters)
    state.applied_membership = state.founding_membership
    adopt_newest_membership(state)


@_handle.register
def _(
    message: TransferLeadership, state: ReplicaState, now: datetime, out: list[object]
) -> None:
    start_transfer(state, message.target, now, out)


@_handle.register
def _(
    message: Persisted, state: ReplicaState, now: datetime, out: list[object]
) -> None:
    if message.n_truncations != state.n_truncations:
        return
    handle_log_synced(state, message.index, out)
    if state.role is Role.LEADER:
        _advance(state, now, out)


@_handle.register
def _(
    message: HardStatePersisted, state: ReplicaState, now: datetime, out: list[object]
) -> None:
    handle_hard_state_synced(state, message, now, out)


@_handle.register
def _(
    message: SnapshotTaken, state: ReplicaState, now: datetime, out: list[object]
) -> None:
    handle_snapshot_taken(state, message)


@_handle.register
def _(
    message: SnapshotRestored, state: ReplicaState, now: datetime, out: list[object]
) -> None:
    handle_snapshot_restored(state, message, out)


@_handle.register
def _(
    message: CompactLog, state: ReplicaState, now: datetime, out: list[object]
) -> None:
    request_snapshot(state, out)


@_handle.register
def _(
    message: StorageFailed, state: ReplicaState, now: datetime, out: list[object]
) -> None:
    # A follower that takes over at once spares callers an election timeout.
    start_transfer(state, None, now, out)
    end_leadership(state, f"storage failed: {message.reason}", out)
    state.held_messages.clear()
    state.fault = message.reason
    set_role(state, Role.STOPPED, None, out)


@singledispatch
def _handle_when_stopped(
    message: object, state: ReplicaState, out: list[object]
) -> None:
    """Ignore everything but questions that need an answer."""


@_handle_when_stopped.register
def _(message: Propose, state: ReplicaState, out: list[object]) -> None:
    out.append(ProposalRejected(message.proposal_id, None))


@_handle_when_stopped.register
def _(message: ReadBarrier, state: ReplicaState, out: list[object]) -> None:
    add_read(state, message.read_id, datetime.min, out)


@_handle_when_stopped.register
def _(message: ChangeMembership, state: ReplicaState, out: list[object]) -> None:
    begin_change(state, message, datetime.min, out)


def _advance(state: ReplicaState, now: datetime, out: list[object]) -> None:
    """Commit what can be, then do what waited for it."""
    if not advance_commit(state, out):
        return
    release_reads(state, now, out)
    continue_change(state, now, out)


@singledispatch
def _handle_peer(
    message: object,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    raise ReplicationError(f"unknown peer message type {type(message).__name__}")


@_handle_peer.register
def _(
    message: PreVoteRequest,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    answer_pre_vote(state, sender, message, now, out)


@_handle_peer.register
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


@_handle_peer.register
def _(
    message: VoteRequest,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    answer_vote(state, sender, message, now, out)


@_handle_peer.register
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


@_handle_peer.register
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


@_handle_peer.register
def _(
    message: Heartbeat,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    is_followed = _follow_leader(message.term, sender, state, now, out)
    if is_followed and state.restoring is None:
        commit_index = min(message.commit_index, state.matched_index)
        if commit_index > state.commit_index:
            apply_committed(state, commit_index, out)
    send(state, sender, HeartbeatReply(state.term, message.round), out)


@_handle_peer.register
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


@_handle_peer.register
def _(
    message: TimeoutNow,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    if message.term == state.term and state.role is Role.FOLLOWER:
        start_election(state, now, True, out)


@_handle_peer.register
def _(
    message: AppendReply,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    if _hear_follower(message.term, sender, state, now, out):
        handle_append_reply(state, sender, message, now, out)
        _advance(state, now, out)
        continue_transfer(state, now, out)


@_handle_peer.register
def _(
    message: HeartbeatReply,
    sender: ReplicaId,
    state: ReplicaState,
    now: datetime,
    out: list[object],
) -> None:
    if _hear_follower(message.term, sender, state, now, out):
        confirm_round(state, sender, message.round, now, out)


@_handle_peer.register
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
