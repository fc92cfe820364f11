"""Messages between replicas, from the task to its core, and from operators."""

from dataclasses import dataclass

from oleanderhitch.process.ids import GroupId, LogIndex, ReplicaId, Term
from oleanderhitch.process.replication.snapshot_data import SnapshotData
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
    """Replicas of a group, including the change in progress.

    A learner becomes a voter once it has caught up, and only then is the retiring
    replica removed. Removed ids are kept so that none can rejoin.
    """

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()
    retiring: ReplicaId | None = None
    removed: tuple[ReplicaId, ...] = ()


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Entry of the replicated log."""

    index: LogIndex
    term: Term
    kind: EntryKind
    command: bytes = b""
    membership: Membership | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the state machine after it applied the entry at an index."""

    index: LogIndex
    term: Term
    membership: Membership
    data: SnapshotData


@dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote; kept over restarts so that a replica votes once per term."""

    term: Term = NO_TERM
    vote: ReplicaId | None = None


# Messages between replicas.


@dataclass(frozen=True, slots=True)
class PreVoteRequest:
    """Requests a pre-vote: whether a vote in the term would be granted.

    It changes no state.
    """

    term: Term
    last_index: LogIndex
    last_term: Term


@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """Replies to a pre-vote request; if granted, with the term of the request."""

    term: Term
    is_granted: bool


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote in a term.

    With `is_transfer` the leader itself requested the election, so replicas vote even
    if they were in contact with it recently.
    """

    term: Term
    last_index: LogIndex
    last_term: Term
    is_transfer: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Replies to a vote request."""

    term: Term
    is_granted: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Replicates the entries that follow `previous_index`.

    Without entries it probes whether the follower has the previous entry.
    """

    term: Term
    previous_index: LogIndex
    previous_term: Term
    commit_index: LogIndex
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Reports up to which index the follower has synced the leader's log.

    If the previous entry didn't match, the index is the last at which the logs may
    match.
    """

    term: Term
    is_matched: bool
    index: LogIndex
    previous_index: LogIndex


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Asserts leadership; a message of its own as it is smaller than AppendEntries."""

    term: Term
    commit_index: LogIndex
    round: int


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Confirms that the sender follows the leader of the term in this round."""

    term: Term
    round: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Transfers one piece of a snapshot."""

    term: Term
    index: LogIndex
    snapshot_term: Term
    membership: Membership
    offset: int
    data: bytes
    is_last: bool


@dataclass(frozen=True, slots=True)
class InstallSnapshotReply:
    """Requests the next piece of a snapshot."""

    term: Term
    index: LogIndex
    next_offset: int


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Makes a follower with a complete log start an election immediately."""

    term: Term


REPLICA_MESSAGES: tuple[type, ...] = (
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

# Local messages from the task of a replica to its decision core.


@dataclass(frozen=True, slots=True)
class ReplicaMessage:
    """Passes on a message received from another replica."""

    sender: ReplicaId
    message: object


@dataclass(frozen=True, slots=True)
class BootstrapGroup:
    """Sets the initial voters of a new group once all bootstrap replicas agree."""

    voters: tuple[ReplicaId, ...]


@dataclass(frozen=True, slots=True)
class Propose:
    """Requests that the leader append a command."""

    proposal_id: int
    command: bytes


@dataclass(frozen=True, slots=True)
class ReadBarrier:
    """Requests ReadReady once the state machine may perform a read."""

    read_id: int


@dataclass(frozen=True, slots=True)
class ChangeMembership:
    """Requests that the leader add, replace or remove a replica."""

    change_id: int
    kind: ChangeKind
    replica: ReplicaId
    replacement: ReplicaId | None = None


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Requests that the leader transfer leadership.

    Without a target, the most up-to-date voter is chosen, from the recently reachable
    ones if there are any.
    """

    target: ReplicaId | None = None


@dataclass(frozen=True, slots=True)
class EntriesPersisted:
    """Reports that the log is synced up to an entry."""

    index: LogIndex
    term: Term
    n_truncations: int


@dataclass(frozen=True, slots=True)
class HardStatePersisted:
    """Reports that one hard state is synced."""

    hard_state: HardState


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """Reports that a snapshot of the local state machine is synced."""

    index: LogIndex
    data: SnapshotData


@dataclass(frozen=True, slots=True)
class SnapshotRestored:
    """Reports that a received snapshot is synced and restored.

    The data is that which was synced.
    """

    index: LogIndex
    data: SnapshotData


@dataclass(frozen=True, slots=True)
class CompactLog:
    """Requests a snapshot now, so that old log segments can be deleted."""


@dataclass(frozen=True, slots=True)
class StorageFailed:
    """Reports that storage can no longer be written."""

    reason: str


# Messages between an operator and a group.


@dataclass(frozen=True, slots=True)
class AddReplica:
    """Adds a voter, which votes only after it has caught up."""

    request: int
    group: GroupId
    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class ReplaceReplica:
    """Adds a voter, then removes the lost one."""

    request: int
    group: GroupId
    lost: ReplicaId
    replacement: ReplicaId


@dataclass(frozen=True, slots=True)
class RemoveReplica:
    """Removes a voter, or a learner, which cancels the change that added it."""

    request: int
    group: GroupId
    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class DeclareReplicaLost:
    """Informs the survivor of two voters that the other's disk is permanently lost."""

    request: int
    group: GroupId
    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class GetReplicationStatus:
    """Requests the status of a replica and its view of the group."""

    request: int
    group: GroupId


@dataclass(frozen=True, slots=True)
class MembershipAnswer:
    """Replies to a request to change the membership."""

    request: int
    outcome: ChangeOutcome
    reason: str
    leader: ReplicaId | None


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """Status of another replica as recorded by the leader."""

    replica: ReplicaId
    is_voter: bool
    is_reachable: bool
    match_index: LogIndex


@dataclass(frozen=True, slots=True)
class ReplicationStatus:
    """Reports the status of a replica and, from the leader, of its followers.

    `n_log_bytes` are in memory; `n_snapshot_bytes` are what a transfer sends.
    """

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
    n_log_bytes: int
    n_snapshot_bytes: int


OPERATOR_REQUESTS: tuple[type, ...] = (
    AddReplica,
    ReplaceReplica,
    RemoveReplica,
    DeclareReplicaLost,
    GetReplicationStatus,
    TransferLeadership,
)
MESSAGES: tuple[type, ...] = (*OPERATOR_REQUESTS, MembershipAnswer, ReplicationStatus)
