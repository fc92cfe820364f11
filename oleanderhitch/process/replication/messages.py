"""Define the messages between replicas, to a replica and from operators."""

from dataclasses import dataclass

from oleanderhitch.process.ids import GroupId, LogIndex, ReplicaId, Term
from oleanderhitch.process.replication.states import (
    ChangeKind,
    ChangeOutcome,
    EntryKind,
    Role,
)

NO_INDEX = LogIndex(0)
NO_TERM = Term(0)


@dataclass(frozen=True, slots=True)
class Membership:
    """Name the replicas of a group and the change that is under way.

    Each learner becomes a voter once it has caught up, and only then is the
    retiring replica removed. Removed ids are kept, so that none comes back.
    """

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()
    retiring: ReplicaId | None = None
    removed: tuple[ReplicaId, ...] = ()


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Hold one entry of the replicated log."""

    index: LogIndex
    term: Term
    kind: EntryKind
    command: bytes = b""
    membership: Membership | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold the state machine after the entry at an index."""

    index: LogIndex
    term: Term
    membership: Membership
    data: bytes


@dataclass(frozen=True, slots=True)
class HardState:
    """Hold what a replica must know after a restart to keep its promises."""

    term: Term = NO_TERM
    vote: ReplicaId | None = None


# Messages between replicas.


@dataclass(frozen=True, slots=True)
class PreVoteRequest:
    """Ask whether a vote in a term would be granted, changing nothing."""

    term: Term
    last_index: LogIndex
    last_term: Term


@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """Answer a pre-vote; the term is the asked one when granted."""

    term: Term
    is_granted: bool


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Ask for the vote of a term."""

    term: Term
    last_index: LogIndex
    last_term: Term
    is_transfer: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer a vote request."""

    term: Term
    is_granted: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Bring the entries that follow a given one."""

    term: Term
    previous_index: LogIndex
    previous_term: Term
    commit_index: LogIndex
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Say up to which index the follower has synced the leader's log.

    When not matched, the index is a hint where the logs may still agree.
    """

    term: Term
    is_matched: bool
    index: LogIndex
    previous_index: LogIndex


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Assert leadership; kept apart from AppendEntries because it is small."""

    term: Term
    commit_index: LogIndex
    round: int


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Confirm that the sender still follows the leader of the term."""

    term: Term
    round: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Bring one chunk of a snapshot."""

    term: Term
    index: LogIndex
    snapshot_term: Term
    membership: Membership
    offset: int
    data: bytes
    is_last: bool


@dataclass(frozen=True, slots=True)
class InstallSnapshotReply:
    """Ask for the chunk of a snapshot that is needed next."""

    term: Term
    index: LogIndex
    next_offset: int


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Ask a follower with a complete log to stand for election at once."""

    term: Term


PEER_MESSAGES: tuple[type, ...] = (
    PreVoteRequest,
    PreVoteReply,
    VoteRequest,
    VoteReply,
    AppendEntries,
    AppendReply,
    Heartbeat,
    HeartbeatReply,
    InstallSnapshot,
    InstallSnapshotReply,
    TimeoutNow,
)

# Local messages to a replica.


@dataclass(frozen=True, slots=True)
class ReplicaMessage:
    """Hand a message of another replica to the decision core."""

    sender: ReplicaId
    message: object


@dataclass(frozen=True, slots=True)
class BootstrapGroup:
    """Tell a fresh replica which voters all founding replicas agreed on."""

    voters: tuple[ReplicaId, ...]


@dataclass(frozen=True, slots=True)
class Propose:
    """Ask the leader to append a command."""

    proposal_id: int
    command: bytes


@dataclass(frozen=True, slots=True)
class ReadBarrier:
    """Ask when the local state machine may answer a read."""

    read_id: int


@dataclass(frozen=True, slots=True)
class ChangeMembership:
    """Ask the leader to add, replace or remove a replica."""

    change_id: int
    kind: ChangeKind
    replica: ReplicaId
    replacement: ReplicaId | None = None


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Ask the leader to hand over to another voter, or to the best one."""

    target: ReplicaId | None = None


@dataclass(frozen=True, slots=True)
class EntriesPersisted:
    """Report that the log is synced up to an entry."""

    index: LogIndex
    term: Term
    n_truncations: int


@dataclass(frozen=True, slots=True)
class HardStatePersisted:
    """Report that one hard state is synced."""

    hard_state: HardState


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """Report that a snapshot of the local state machine is synced."""

    index: LogIndex
    data: bytes


@dataclass(frozen=True, slots=True)
class SnapshotRestored:
    """Report that a received snapshot is synced and in the state machine."""

    index: LogIndex


@dataclass(frozen=True, slots=True)
class CompactLog:
    """Ask for a snapshot now, since old log segments wait for it."""


@dataclass(frozen=True, slots=True)
class StorageFailed:
    """Report that nothing can be written any more."""

    reason: str


# Messages between an operator and a group.


@dataclass(frozen=True, slots=True)
class AddReplica:
    """Ask for a new voter; it votes only after it has caught up."""

    request: int
    group: GroupId
    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class ReplaceReplica:
    """Ask for a new voter, then the removal of a lost one."""

    request: int
    group: GroupId
    lost: ReplicaId
    replacement: ReplicaId


@dataclass(frozen=True, slots=True)
class RemoveReplica:
    """Ask for the removal of a replica, or of a learner that is not wanted."""

    request: int
    group: GroupId
    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class DeclareReplicaLost:
    """Tell the survivor of two voters that the other's disk is gone for good."""

    request: int
    group: GroupId
    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class GetReplicationStatus:
    """Ask a replica what it knows of its group."""

    request: int
    group: GroupId


@dataclass(frozen=True, slots=True)
class MembershipAnswer:
    """Answer a request to change the membership."""

    request: int
    outcome: ChangeOutcome
    reason: str
    leader: ReplicaId | None


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """Describe what the leader knows of one other replica."""

    replica: ReplicaId
    is_voter: bool
    is_reachable: bool
    match_index: LogIndex


@dataclass(frozen=True, slots=True)
class ReplicationStatus:
    """Describe a replica and, on the leader, its followers."""

    request: int
    group: GroupId
    replica: ReplicaId
    role: Role
    term: Term
    leader: ReplicaId | None
    membership: Membership
    commit_index: LogIndex
    last_index: LogIndex
    snapshot_index: LogIndex
    is_change_pending: bool
    followers: tuple[FollowerStatus, ...]
    fault: str


OPERATOR_REQUESTS: tuple[type, ...] = (
    AddReplica,
    ReplaceReplica,
    RemoveReplica,
    DeclareReplicaLost,
    GetReplicationStatus,
    TransferLeadership,
)
MESSAGES: tuple[type, ...] = (*OPERATOR_REQUESTS, MembershipAnswer, ReplicationStatus)
