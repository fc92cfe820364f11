"""Effects that the decision core of a replica returns to its task."""

from oleanderhitch.process.ids import LogIndex, ReplicaId, Term
from oleanderhitch.process.replication.messages import (
    HardState,
    LogEntry,
    Membership,
    Snapshot,
)
from oleanderhitch.process.replication.snapshot_data import SnapshotData
from oleanderhitch.process.replication.states import ChangeOutcome, Role
from oleanderhitch.values import Value


class SendToReplica(Value, frozen=True):
    """Sends a message to another replica."""

    replica: ReplicaId
    message: object


class PersistHardState(Value, frozen=True):
    """Writes and syncs a hard state, then reports HardStatePersisted."""

    hard_state: HardState


class PersistEntries(Value, frozen=True):
    """Writes and syncs entries, then reports EntriesPersisted for the last one."""

    entries: tuple[LogEntry, ...]
    n_truncations: int


class TruncateLog(Value, frozen=True):
    """Removes the entries at and after an index; the leader's entries replace them."""

    first_index: LogIndex


class ApplyCommitted(Value, frozen=True):
    """Applies a committed command to the state machine."""

    index: LogIndex
    term: Term
    command: bytes


class ProposalCommitted(Value, frozen=True):
    """Reports that the command applied just before was the one of this proposal."""

    proposal_id: int
    index: LogIndex


class ProposalRejected(Value, frozen=True):
    """Reports that a proposal was not appended to the log."""

    proposal_id: int
    leader_hint: ReplicaId | None


class ProposalUncertain(Value, frozen=True):
    """Reports that a proposal was appended and may or may not be committed."""

    proposal_id: int
    reason: str


class ReadReady(Value, frozen=True):
    """Reports that the state machine may perform a read now."""

    read_id: int


class ReadRejected(Value, frozen=True):
    """Reports that this replica can't perform a read."""

    read_id: int
    leader_hint: ReplicaId | None


class TakeSnapshot(Value, frozen=True):
    """Takes a snapshot of the state machine, syncs it, then reports SnapshotTaken."""

    index: LogIndex
    term: Term
    membership: Membership


class StoreSnapshotPiece(Value, frozen=True):
    """Stores a piece of an arriving snapshot, then reports SnapshotPieceStored.

    With the last piece it reports SnapshotReceived. A piece at offset 0 begins a new
    snapshot, which replaces one that has not arrived whole. `transfer` is its number.
    """

    transfer: int
    offset: int
    data: bytes
    is_last: bool


class RestoreSnapshot(Value, frozen=True):
    """Restores and syncs a received snapshot, then reports SnapshotRestored.

    With `is_log_kept`, the log contains the snapshot's last entry and keeps the entries
    after it; otherwise the snapshot replaces the whole log.
    """

    snapshot: Snapshot
    is_log_kept: bool


class SnapshotSaved(Value, frozen=True):
    """Reports that a snapshot is synced and replaces all earlier ones."""

    data: SnapshotData


class LeadershipChanged(Value, frozen=True):
    """Reports the role of this replica and the leader, or None if it is not known."""

    role: Role
    term: Term
    leader: ReplicaId | None


class MembershipChanged(Value, frozen=True):
    """Reports a newly committed membership."""

    membership: Membership


class ChangeEnded(Value, frozen=True):
    """Reports how a requested membership change ended."""

    change_id: int
    outcome: ChangeOutcome
    reason: str
    leader_hint: ReplicaId | None
