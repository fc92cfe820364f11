"""Effects that the decision core of a replica returns to its task."""

from dataclasses import dataclass

from oleanderhitch.process.ids import LogIndex, ReplicaId, Term
from oleanderhitch.process.replication.messages import (
    HardState,
    LogEntry,
    Membership,
    Snapshot,
)
from oleanderhitch.process.replication.snapshot_data import SnapshotData
from oleanderhitch.process.replication.states import ChangeOutcome, Role


@dataclass(frozen=True, slots=True)
class SendToReplica:
    """Sends a message to another replica."""

    replica: ReplicaId
    message: object


@dataclass(frozen=True, slots=True)
class PersistHardState:
    """Writes and syncs a hard state, then reports HardStatePersisted."""

    hard_state: HardState


@dataclass(frozen=True, slots=True)
class PersistEntries:
    """Writes and syncs entries, then reports EntriesPersisted for the last one."""

    entries: tuple[LogEntry, ...]
    n_truncations: int


@dataclass(frozen=True, slots=True)
class TruncateLog:
    """Removes the entries at and after an index; the leader's entries replace them."""

    first_index: LogIndex


@dataclass(frozen=True, slots=True)
class ApplyCommitted:
    """Applies a committed command to the state machine."""

    index: LogIndex
    term: Term
    command: bytes


@dataclass(frozen=True, slots=True)
class ProposalCommitted:
    """Reports that the command applied just before was the one of this proposal."""

    proposal_id: int
    index: LogIndex


@dataclass(frozen=True, slots=True)
class ProposalRejected:
    """Reports that a proposal was not appended to the log."""

    proposal_id: int
    leader_hint: ReplicaId | None


@dataclass(frozen=True, slots=True)
class ProposalUncertain:
    """Reports that a proposal was appended and may or may not be committed."""

    proposal_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class ReadReady:
    """Reports that the state machine may perform a read now."""

    read_id: int


@dataclass(frozen=True, slots=True)
class ReadRejected:
    """Reports that this replica can't perform a read."""

    read_id: int
    leader_hint: ReplicaId | None


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Takes a snapshot of the state machine, syncs it, then reports SnapshotTaken."""

    index: LogIndex
    term: Term
    membership: Membership


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Restores and syncs a received snapshot, then reports SnapshotRestored.

    With `is_log_kept`, the log contains the snapshot's last entry and keeps the entries
    after it; otherwise the snapshot replaces the whole log.
    """

    snapshot: Snapshot
    is_log_kept: bool


@dataclass(frozen=True, slots=True)
class SnapshotSaved:
    """Reports that a snapshot is synced and replaces all earlier ones."""

    data: SnapshotData


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """Reports the role of this replica and the leader, or None if it is not known."""

    role: Role
    term: Term
    leader: ReplicaId | None


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """Reports a newly committed membership."""

    membership: Membership


@dataclass(frozen=True, slots=True)
class ChangeEnded:
    """Reports how a requested membership change ended."""

    change_id: int
    outcome: ChangeOutcome
    reason: str
    leader_hint: ReplicaId | None
