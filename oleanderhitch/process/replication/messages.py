"""Messages between replicas, from the task to its core, and from operators."""

from oleanderhitch.process.ids import GroupId, LogIndex, ReplicaId, Term
from oleanderhitch.process.replication.snapshot_data import SnapshotData
from oleanderhitch.process.replication.states import (
    ChangeKind,
    ChangeOutcome,
    EntryKind,
    Role,
)
from oleanderhitch.values import Value

NO_INDEX = LogIndex(0)
NO_TERM = Term(0)


class Membership(Value, frozen=True):
    """Replicas of a group, including the change in progress.

    A learner becomes a voter once it has caught up, and only then is the retiring
    replica removed. Removed ids are kept so that none can rejoin.
    """

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()
    retiring: ReplicaId | None = None
    removed: tuple[ReplicaId, ...] = ()


class LogEntry(Value, frozen=True):
    """Entry of the replicated log."""

    index: LogIndex
    term: Term
    kind: EntryKind
    command: bytes = b""
    membership: Membership | None = None


class Snapshot(Value, frozen=True):
    """State of the state machine after it applied the entry at an index."""

    index: LogIndex
    term: Term
    membership: Membership
    data: SnapshotData


class HardState(Value, frozen=True):
    """Term and vote; kept over restarts so that a replica votes once per term."""

    term: Term = NO_TERM
    vote: ReplicaId | None = None


# Messages between replicas.


class PreVoteRequest(Value, frozen=True):
    """Requests a pre-vote: whether a vote in the term would be granted.

    It changes no state.
    """

    term: Term
    last_index: LogIndex
    last_term: Term


class PreVoteReply(Value, frozen=True):
    """Replies to a pre-vote request; if granted, with the term of the request."""

    term: Term
    is_granted: bool


class VoteRequest(Value, frozen=True):
    """Requests a vote in a term.

    With `is_transfer` the leader itself requested the election, so replicas vote even
    if they were in contact with it recently.
    """

    term: Term
    last_index: LogIndex
    last_term: Term
    is_transfer: bool


class VoteReply(Value, frozen=True):
    """Replies to a vote request."""

    term: Term
    is_granted: bool


class AppendEntries(Value, frozen=True):
    """Replicates the entries that follow `previous_index`.

    Without entries it probes whether the follower has the previous entry.
    """

    term: Term
    previous_index: LogIndex
    previous_term: Term
    commit_index: LogIndex
    entries: tuple[LogEntry, ...]


class AppendReply(Value, frozen=True):
    """Reports up to which index the follower has synced the leader's log.

    If the previous entry didn't match, the index is the last at which the logs may
    match.
    """

    term: Term
    is_matched: bool
    index: LogIndex
    previous_index: LogIndex


class Heartbeat(Value, frozen=True):
    """Asserts leadership; a message of its own as it is smaller than AppendEntries."""

    term: Term
    commit_index: LogIndex
    round: int


class HeartbeatReply(Value, frozen=True):
    """Confirms that the sender follows the leader of the term in this round."""

    term: Term
    round: int


class InstallSnapshot(Value, frozen=True):
    """Transfers one piece of a snapshot."""

    term: Term
    index: LogIndex
    snapshot_term: Term
    membership: Membership
    offset: int
    data: bytes
    is_last: bool


class InstallSnapshotReply(Value, frozen=True):
    """Requests the next piece of a snapshot."""

    term: Term
    index: LogIndex
    next_offset: int


class TimeoutNow(Value, frozen=True):
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


class ReplicaMessage(Value, frozen=True):
    """Passes on a message received from another replica."""

    sender: ReplicaId
    message: object


class BootstrapGroup(Value, frozen=True):
    """Sets the initial voters of a new group once all bootstrap replicas agree."""

    voters: tuple[ReplicaId, ...]


class Propose(Value, frozen=True):
    """Requests that the leader append a command."""

    proposal_id: int
    command: bytes


class ReadBarrier(Value, frozen=True):
    """Requests ReadReady once the state machine may perform a read."""

    read_id: int


class ChangeMembership(Value, frozen=True):
    """Requests that the leader add, replace or remove a replica."""

    change_id: int
    kind: ChangeKind
    replica: ReplicaId
    replacement: ReplicaId | None = None


class TransferLeadership(Value, frozen=True):
    """Requests that the leader transfer leadership.

    Without a target, the most up-to-date voter is chosen, from the recently reachable
    ones if there are any.
    """

    target: ReplicaId | None = None


class EntriesPersisted(Value, frozen=True):
    """Reports that the log is synced up to an entry."""

    index: LogIndex
    term: Term
    n_truncations: int


class HardStatePersisted(Value, frozen=True):
    """Reports that one hard state is synced."""

    hard_state: HardState


class SnapshotTaken(Value, frozen=True):
    """Reports that a snapshot of the local state machine is synced."""

    index: LogIndex
    data: SnapshotData


class SnapshotPieceStored(Value, frozen=True):
    """Reports that a piece of an arriving snapshot is stored, but not synced."""

    transfer: int
    next_offset: int


class SnapshotReceived(Value, frozen=True):
    """Reports that all pieces of an arriving snapshot are stored and synced."""

    transfer: int
    data: SnapshotData


class SnapshotRestored(Value, frozen=True):
    """Reports that a received snapshot is synced and restored.

    The data is that which was synced.
    """

    index: LogIndex
    data: SnapshotData


class CompactLog(Value, frozen=True):
    """Requests a snapshot now, so that old log segments can be deleted."""


class StorageFailed(Value, frozen=True):
    """Reports that storage can no longer be written."""

    reason: str


# Messages between an operator and a group.


class AddReplica(Value, frozen=True):
    """Adds a voter, which votes only after it has caught up."""

    request: int
    group: GroupId
    replica: ReplicaId


class ReplaceReplica(Value, frozen=True):
    """Adds a voter, then removes the lost one."""

    request: int
    group: GroupId
    lost: ReplicaId
    replacement: ReplicaId


class RemoveReplica(Value, frozen=True):
    """Removes a voter, or a learner, which cancels the change that added it."""

    request: int
    group: GroupId
    replica: ReplicaId


class DeclareReplicaLost(Value, frozen=True):
    """Informs the survivor of two voters that the other's disk is permanently lost."""

    request: int
    group: GroupId
    replica: ReplicaId


class GetReplicationStatus(Value, frozen=True):
    """Requests the status of a replica and its view of the group."""

    request: int
    group: GroupId


class GetLeaderContact(Value, frozen=True):
    """Asks a replica for its last contact with a leader of a term before `term`.

    There is no reply while the replica could still follow such a leader.
    """

    term: Term


class LeaderContact(Value, frozen=True):
    """Returns how long ago that contact was; `voters` are those that it knows."""

    replica: ReplicaId
    term: Term
    age_ms: int
    voters: tuple[ReplicaId, ...]


class MembershipAnswer(Value, frozen=True):
    """Replies to a request to change the membership."""

    request: int
    outcome: ChangeOutcome
    reason: str
    leader: ReplicaId | None


class FollowerStatus(Value, frozen=True):
    """Status of another replica as recorded by the leader."""

    replica: ReplicaId
    is_voter: bool
    is_reachable: bool
    match_index: LogIndex


class ReplicationStatus(Value, frozen=True):
    """Reports the status of a replica and, from the leader, of its followers.

    `n_log_bytes` are in memory, `n_uncommitted_bytes` of them not committed;
    `n_snapshot_bytes` are what a transfer sends, `n_incoming_bytes` what has arrived of
    a snapshot.
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
    # Stores of an earlier release do not report these.
    n_uncommitted_bytes: int = 0
    n_incoming_bytes: int = 0


OPERATOR_REQUESTS: tuple[type, ...] = (
    AddReplica,
    ReplaceReplica,
    RemoveReplica,
    DeclareReplicaLost,
    GetReplicationStatus,
    TransferLeadership,
)
MESSAGES: tuple[type, ...] = (*OPERATOR_REQUESTS, MembershipAnswer, ReplicationStatus)
