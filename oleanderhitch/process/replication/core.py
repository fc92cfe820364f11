"""Decision core of a replica: handles messages and returns effects."""

from datetime import datetime, timedelta
from functools import singledispatch
from random import Random

from oleanderhitch.process.ids import GroupId, ReplicaId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.replication.effects import (
    ChangeEnded,
    ProposalRejected,
    ReadRejected,
)
from oleanderhitch.process.replication.election import (
    check_quorum,
    handle_hard_state_persisted,
    start_pre_vote,
)
from oleanderhitch.process.replication.exceptions import (
    ReplicationError,
)
from oleanderhitch.process.replication.log_replication import (
    append_as_leader,
    handle_entries_persisted,
    replicate_to_all,
    request_snapshot,
    retransmit,
    send_due_heartbeats,
)
from oleanderhitch.process.replication.membership import (
    begin_change,
    continue_change,
    continue_leadership_transfer,
    start_leadership_transfer,
)
from oleanderhitch.process.replication.messages import (
    BootstrapGroup,
    ChangeMembership,
    CompactLog,
    EntriesPersisted,
    HardState,
    HardStatePersisted,
    LogEntry,
    Membership,
    Propose,
    ReadBarrier,
    ReplicaMessage,
    Snapshot,
    SnapshotPieceStored,
    SnapshotReceived,
    SnapshotRestored,
    SnapshotTaken,
    StorageFailed,
    TransferLeadership,
)
from oleanderhitch.process.replication.peers import (
    commit_and_resume,
    handle_replica_message,
)
from oleanderhitch.process.replication.reads import (
    add_read,
)
from oleanderhitch.process.replication.replica import (
    ReplicaState,
    ReplicationLimits,
    ReplicationTiming,
    adopt_newest_membership,
    make_replica_state,
)
from oleanderhitch.process.replication.roles import (
    end_leadership,
    reset_election_deadline,
    set_role,
)
from oleanderhitch.process.replication.snapshots import (
    handle_piece_stored,
    handle_snapshot_received,
    handle_snapshot_restored,
    handle_snapshot_taken,
    restart_stalled_snapshot_transfer,
)
from oleanderhitch.process.replication.states import ChangeOutcome, EntryKind, Role

# A tick earlier than the last one by more than this means that the clock was set back.
CLOCK_STEP_TOLERANCE = timedelta(milliseconds=1)


def make_replica(
    group: GroupId,
    replica: ReplicaId,
    voters: tuple[ReplicaId, ...],
    learners: tuple[ReplicaId, ...],
    random_source: Random,
    timing: ReplicationTiming | None = None,
    limits: ReplicationLimits | None = None,
    hard_state: HardState | None = None,
    snapshot: Snapshot | None = None,
    entries: tuple[LogEntry, ...] = (),
) -> ReplicaState:
    """Return the state of a replica.

    Hard state, snapshot and entries are those recovered from its storage. A replica
    that joins a group later starts without voters.
    """
    return make_replica_state(
        group,
        replica,
        Membership(voters, learners),
        random_source,
        timing or ReplicationTiming(),
        limits or ReplicationLimits(),
        hard_state or HardState(),
        snapshot,
        entries,
    )


def handle(message: object, state: ReplicaState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    effects: list[object] = []
    if state.election_deadline is None:
        state.contacts.started_at = now
        # After a start, the first election begins with a pre-vote, which disrupts no
        # leader, so the replica need not wait for a whole election timeout.
        reset_election_deadline(state, now, is_retry=True)
    if state.role is not Role.STOPPED:
        _handle(message, state, now, effects)
    else:
        _handle_when_stopped(message, state, effects)
    return effects


@singledispatch
def _handle(
    message: object, state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    raise ReplicationError(f"unknown message type {type(message).__name__}")


@_handle.register
def _(
    message: ReplicaMessage, state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    handle_replica_message(message.message, message.sender, state, now, effects)


@_handle.register
def _(message: Tick, state: ReplicaState, now: datetime, effects: list[object]) -> None:
    _reset_timers_after_clock_step(state, now)
    if state.role is Role.LEADER:
        _tick_as_leader(state, now, effects)
    elif state.election_deadline is not None and now >= state.election_deadline:
        start_pre_vote(state, now, effects)


def _reset_timers_after_clock_step(state: ReplicaState, now: datetime) -> None:
    """Restart all timers if the clock has been set back."""
    if (
        state.last_tick_at is not None
        and now < state.last_tick_at - CLOCK_STEP_TOLERANCE
    ):
        reset_election_deadline(state, now)
        state.last_leader_contact_at = None
        state.heartbeat_due_at = now
        if state.transfer_deadline is not None:
            state.transfer_deadline = now
        for progress in state.progress.values():
            progress.last_contact_at = now
            progress.last_progress_at = now
    state.last_tick_at = now


def _tick_as_leader(state: ReplicaState, now: datetime, effects: list[object]) -> None:
    check_quorum(state, now, effects)
    if state.role is not Role.LEADER:
        return
    if state.heartbeat_due_at is None or now >= state.heartbeat_due_at:
        send_due_heartbeats(state, now, effects)
    for replica in state.progress:
        retransmit(state, replica, now, effects)
        restart_stalled_snapshot_transfer(state, replica, now, effects)
    continue_leadership_transfer(state, now, effects)
    continue_change(state, now, effects)


@_handle.register
def _(
    message: Propose, state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    n_uncommitted = state.log.last_index - state.commit_index
    if (
        state.role is not Role.LEADER
        or state.transfer_target is not None
        or n_uncommitted >= state.limits.n_uncommitted_entries
        or state.log.count_bytes_after(state.commit_index)
        >= state.limits.uncommitted_bytes
    ):
        effects.append(ProposalRejected(message.proposal_id, state.leader))
        return
    entry = append_as_leader(state, EntryKind.COMMAND, message.command, None, effects)
    state.pending_proposals[entry.index] = message.proposal_id
    replicate_to_all(state, now, effects)


@_handle.register
def _(
    message: ReadBarrier, state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    add_read(state, message.read_id, now, effects)


@_handle.register
def _(
    message: ChangeMembership, state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    begin_change(state, message, now, effects)


@_handle.register
def _(
    message: BootstrapGroup, state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    if state.log.last_index or state.initial_membership.voters:
        return
    state.initial_membership = Membership(message.voters)
    state.applied_membership = state.initial_membership
    adopt_newest_membership(state)


@_handle.register
def _(
    message: TransferLeadership,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    start_leadership_transfer(state, message.target, now, effects)


@_handle.register
def _(
    message: EntriesPersisted, state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    if message.n_truncations != state.n_truncations:
        return
    handle_entries_persisted(state, message.index, effects)
    if state.role is Role.LEADER:
        commit_and_resume(state, now, effects)


@_handle.register
def _(
    message: HardStatePersisted,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    handle_hard_state_persisted(state, message, now, effects)


@_handle.register
def _(
    message: SnapshotTaken, state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    handle_snapshot_taken(state, message, effects)


@_handle.register
def _(
    message: SnapshotPieceStored,
    state: ReplicaState,
    now: datetime,
    effects: list[object],
) -> None:
    handle_piece_stored(state, message, effects)


@_handle.register
def _(
    message: SnapshotReceived, state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    handle_snapshot_received(state, message, effects)


@_handle.register
def _(
    message: SnapshotRestored, state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    handle_snapshot_restored(state, message, effects)


@_handle.register
def _(
    message: CompactLog, state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    request_snapshot(state, effects)


@_handle.register
def _(
    message: StorageFailed, state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    # An immediate transfer of leadership saves callers an election timeout.
    start_leadership_transfer(state, None, now, effects)
    end_leadership(state, f"storage failed: {message.reason}", effects)
    state.deferred_messages.clear()
    state.fault = message.reason
    set_role(state, Role.STOPPED, None, effects)


@singledispatch
def _handle_when_stopped(
    message: object, state: ReplicaState, effects: list[object]
) -> None:
    """Reject proposals, reads and membership changes; ignore all else."""


@_handle_when_stopped.register
def _(message: Propose, state: ReplicaState, effects: list[object]) -> None:
    effects.append(ProposalRejected(message.proposal_id, None))


@_handle_when_stopped.register
def _(message: ReadBarrier, state: ReplicaState, effects: list[object]) -> None:
    effects.append(ReadRejected(message.read_id, None))


@_handle_when_stopped.register
def _(message: ChangeMembership, state: ReplicaState, effects: list[object]) -> None:
    reason = f"this replica has stopped: {state.fault}"
    effects.append(ChangeEnded(message.change_id, ChangeOutcome.REJECTED, reason, None))
