"""Define what a replica asks its task to do."""

from dataclasses import dataclass

from oleanderhitch.process.ids import LogIndex, ReplicaId, Term
from oleanderhitch.process.replication.messages import (
    HardState,
    LogEntry,
    Membership,
    Snapshot,
)
from oleanderhitch.process.replication.states import ChangeOutcome, Role


@dataclass(frozen=True, slots=True)
class SendToReplica:
    """Send a message to another replica."""

    replica: ReplicaId
    message: object


@dataclass(frozen=True, slots=True)
class PersistHardState:
    """Sync a hard state, then report HardStatePersisted."""

    hard_state: HardState


@dataclass(frozen=True, slots=True)
class PersistEntries:
    """Sync entries, then report Persisted for the last of them."""

    entries: tuple[LogEntry, ...]
    n_truncations: int


@dataclass(frozen=True, slots=True)
class TruncateLog:
    """Remove the entries from an index on; later entries replace them."""

    first_index: LogIndex


@dataclass(frozen=True, slots=True)
class ApplyCommitted:
    """Apply a committed command to the state machine."""

    index: LogIndex
    term: Term
    command: bytes


@dataclass(frozen=True, slots=True)
class ProposalCommitted:
    """Say that the command applied just before belongs to a proposal."""

    proposal_id: int
    index: LogIndex


@dataclass(frozen=True, slots=True)
class ProposalRejected:
    """Say that nothing was appended for a proposal."""

    proposal_id: int
    leader_hint: ReplicaId | None


@dataclass(frozen=True, slots=True)
class ProposalUncertain:
    """Say that a proposal was appended and may or may not be committed."""

    proposal_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class ReadReady:
    """Say that the state machine may answer a read now."""

    read_id: int


@dataclass(frozen=True, slots=True)
class ReadRejected:
    """Say that this replica can't answer a read."""

    read_id: int
    leader_hint: ReplicaId | None


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Take a snapshot of the state machine, sync it, report SnapshotTaken."""

    index: LogIndex
    term: Term
    membership: Membership


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Sync a received snapshot, restore it, then report SnapshotRestored."""

    snapshot: Snapshot
    is_log_kept: bool


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """Say which role this replica has and whom it takes for the leader."""

    role: Role
    term: Term
    leader: ReplicaId | None


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """Say which membership is committed."""

    membership: Membership


@dataclass(frozen=True, slots=True)
class ChangeEnded:
    """Say how a requested membership change ended."""

    change_id: int
    outcome: ChangeOutcome
    reason: str
    leader_hint: ReplicaId | None
