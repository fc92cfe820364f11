"""Transfer of snapshots between replicas, and log compaction."""

from datetime import datetime

from msgspec.structs import replace

from oleanderhitch.process.ids import LogIndex, ReplicaId
from oleanderhitch.process.replication.effects import (
    RestoreSnapshot,
    SnapshotSaved,
    StoreSnapshotPiece,
)
from oleanderhitch.process.replication.messages import (
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
    Snapshot,
    SnapshotPieceStored,
    SnapshotReceived,
    SnapshotRestored,
    SnapshotTaken,
)
from oleanderhitch.process.replication.replica import (
    FollowerProgress,
    IncomingSnapshot,
    ReplicaState,
    adopt_newest_membership,
)
from oleanderhitch.process.replication.roles import send
from oleanderhitch.process.replication.states import ProgressMode


def start_snapshot_transfer(
    state: ReplicaState, replica: ReplicaId, now: datetime, effects: list[object]
) -> None:
    """Send the newest snapshot to a replica that lacks compacted entries."""
    progress = state.progress[replica]
    if state.snapshot is None:
        return
    progress.mode = ProgressMode.SNAPSHOT
    # A transfer continues with this snapshot even if a newer one is taken.
    progress.snapshot = state.snapshot
    progress.in_flight.clear()
    send_piece(state, replica, 0, now, effects)


def send_piece(
    state: ReplicaState,
    replica: ReplicaId,
    offset: int,
    now: datetime,
    effects: list[object],
) -> None:
    """Send the snapshot piece that begins at an offset."""
    progress = state.progress[replica]
    snapshot = progress.snapshot
    if snapshot is None:
        return
    progress.last_progress_at = now
    data = snapshot.data[offset : offset + state.limits.snapshot_piece_bytes]
    message = InstallSnapshot(
        state.term,
        snapshot.index,
        snapshot.term,
        snapshot.membership,
        offset,
        data,
        offset + len(data) >= len(snapshot.data),
    )
    send(state, replica, message, effects)


def handle_piece_reply(
    state: ReplicaState,
    replica: ReplicaId,
    reply: InstallSnapshotReply,
    now: datetime,
    effects: list[object],
) -> None:
    """Send the piece that the replica requests."""
    progress = state.progress[replica]
    if _is_transferring_snapshot(progress, reply.index):
        send_piece(state, replica, reply.next_offset, now, effects)


def _is_transferring_snapshot(progress: FollowerProgress, index: LogIndex) -> bool:
    return (
        progress.mode is ProgressMode.SNAPSHOT
        and progress.snapshot is not None
        and progress.snapshot.index == index
    )


def restart_stalled_snapshot_transfer(
    state: ReplicaState, replica: ReplicaId, now: datetime, effects: list[object]
) -> None:
    """Resend the first piece after a timeout; the reply states where to continue."""
    progress = state.progress[replica]
    if now - progress.last_progress_at < state.timing.retransmit_timeout:
        return
    if progress.mode is ProgressMode.SNAPSHOT:
        send_piece(state, replica, 0, now, effects)


def accept_piece(
    state: ReplicaState,
    leader: ReplicaId,
    message: InstallSnapshot,
    effects: list[object],
) -> None:
    """Store a piece, unless another one is being stored."""
    if message.index <= state.commit_index:
        state.leader_match_index = max(state.leader_match_index, state.commit_index)
        index = LogIndex(min(state.leader_match_index, state.persisted_index))
        send(state, leader, AppendReply(state.term, True, index, index), effects)
        return
    incoming = state.incoming_snapshot
    if incoming is None or (incoming.index, incoming.term) != (
        message.index,
        message.snapshot_term,
    ):
        state.n_incoming_snapshots += 1
        incoming = IncomingSnapshot(
            state.n_incoming_snapshots,
            message.index,
            message.snapshot_term,
            message.membership,
        )
        state.incoming_snapshot = incoming
    if incoming.is_writing:
        # The piece that is being stored is answered once it is.
        return
    if message.offset != incoming.n_bytes:
        reply = InstallSnapshotReply(state.term, message.index, incoming.n_bytes)
        send(state, leader, reply, effects)
        return
    incoming.is_writing = True
    effects.append(
        StoreSnapshotPiece(
            incoming.transfer, message.offset, message.data, message.is_last
        )
    )


def handle_piece_stored(
    state: ReplicaState, message: SnapshotPieceStored, effects: list[object]
) -> None:
    """Request the next piece of an arriving snapshot."""
    incoming = _find_incoming(state, message.transfer)
    if incoming is None:
        return
    incoming.n_bytes = message.next_offset
    incoming.is_writing = False
    if state.leader is not None:
        reply = InstallSnapshotReply(state.term, incoming.index, incoming.n_bytes)
        send(state, state.leader, reply, effects)


def handle_snapshot_received(
    state: ReplicaState, message: SnapshotReceived, effects: list[object]
) -> None:
    """Restore a snapshot that has arrived whole."""
    incoming = _find_incoming(state, message.transfer)
    if incoming is None:
        return
    state.incoming_snapshot = None
    if incoming.index <= state.commit_index:
        return
    snapshot = Snapshot(
        incoming.index, incoming.term, incoming.membership, message.data
    )
    state.restoring_snapshot = snapshot
    is_log_kept = state.log.find_term(snapshot.index) == snapshot.term
    if not is_log_kept:
        state.n_truncations += 1
    effects.append(RestoreSnapshot(snapshot, is_log_kept))


def _find_incoming(state: ReplicaState, transfer: int) -> IncomingSnapshot | None:
    incoming = state.incoming_snapshot
    return None if incoming is None or incoming.transfer != transfer else incoming


def handle_snapshot_restored(
    state: ReplicaState, message: SnapshotRestored, effects: list[object]
) -> None:
    """Continue the log after the restored snapshot, and notify the leader."""
    snapshot = state.restoring_snapshot
    if snapshot is None or snapshot.index != message.index:
        return
    state.restoring_snapshot = None
    state.snapshot = replace(snapshot, data=message.data)
    effects.append(SnapshotSaved(message.data))
    state.snapshot_request = None
    if state.log.find_term(snapshot.index) == snapshot.term:
        state.log.compact(snapshot.index)
        state.persisted_index = max(state.persisted_index, snapshot.index)
    else:
        state.log.reset(snapshot.index, snapshot.term)
        state.persisted_index = snapshot.index
    state.commit_index = snapshot.index
    state.applied_membership = snapshot.membership
    adopt_newest_membership(state)
    if state.leader is not None:
        state.leader_match_index = max(state.leader_match_index, snapshot.index)
        index = LogIndex(snapshot.index)
        reply = AppendReply(state.term, True, index, index)
        send(state, state.leader, reply, effects)


def handle_snapshot_taken(
    state: ReplicaState, message: SnapshotTaken, effects: list[object]
) -> None:
    """Compact the log up to the synced snapshot, except for the trailing entries."""
    request = state.snapshot_request
    if request is None or request.index != message.index:
        return
    state.snapshot_request = None
    state.snapshot = Snapshot(
        request.index, request.term, request.membership, message.data
    )
    effects.append(SnapshotSaved(message.data))
    limits = state.limits
    state.log.compact(
        state.log.find_compaction_index(
            request.index, limits.n_trailing_entries, limits.trailing_bytes
        )
    )
