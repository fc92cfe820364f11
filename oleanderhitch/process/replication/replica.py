"""State of one replica of a group."""

from collections import deque
from datetime import datetime, timedelta
from random import Random

from msgspec import Struct, field

from oleanderhitch.process.ids import GroupId, LogIndex, ReplicaId, Term
from oleanderhitch.process.replication.contacts import LeaderContacts
from oleanderhitch.process.replication.effects import (
    SendToReplica,
    TakeSnapshot,
)
from oleanderhitch.process.replication.log import ReplicaLog
from oleanderhitch.process.replication.messages import (
    ChangeMembership,
    HardState,
    LogEntry,
    Membership,
    Snapshot,
)
from oleanderhitch.process.replication.states import EntryKind, ProgressMode, Role
from oleanderhitch.values import Value


class ReplicationTiming(Value, frozen=True):
    """Timeouts and intervals of a group.

    With the defaults, the first of two followers times out about 0.9 s after the last
    heartbeat, and after both voting rounds a new leader is elected within about 1 s.
    """

    heartbeat_interval: timedelta = timedelta(milliseconds=300)
    election_timeout_min: timedelta = timedelta(milliseconds=800)
    election_timeout_max: timedelta = timedelta(milliseconds=1200)
    # After a split vote there is no leader to disrupt, so retries come sooner.
    election_retry_min: timedelta = timedelta(milliseconds=200)
    # Longer than a slow sync, so that a busy follower gets no duplicates.
    retransmit_timeout: timedelta = timedelta(milliseconds=500)


class ReplicationLimits(Value, frozen=True):
    """Limits on a replica's messages, unacknowledged appends and log."""

    n_pipelined_appends: int = 4
    append_bytes: int = 1024 * 1024
    snapshot_piece_bytes: int = 256 * 1024
    n_entries_per_snapshot: int = 10_000
    # Entries kept after a snapshot, so that a follower that lags a little catches up
    # from the log instead of a snapshot.
    n_trailing_entries: int = 1_000
    trailing_bytes: int = 8 * 1024 * 1024
    # A snapshot is due when the log has grown to this size or that of the last
    # snapshot, whichever is larger: so snapshots are at most half of all writes.
    log_bytes_per_snapshot: int = 32 * 1024 * 1024
    # With this many uncommitted entries, or bytes of them, new proposals are rejected.
    n_uncommitted_entries: int = 8_192
    uncommitted_bytes: int = 32 * 1024 * 1024


class FollowerProgress(Struct):
    """Replication progress of another replica, as tracked by the leader."""

    next_index: int
    last_contact_at: datetime
    last_progress_at: datetime
    # When entries were last sent, which a replica takes for contact with its leader.
    last_append_at: datetime | None = None
    mode: ProgressMode = ProgressMode.PROBE
    match_index: int = 0
    acked_round: int = 0
    # Last index of each append that has not been acknowledged.
    in_flight: deque[int] = field(default_factory=deque)
    # The snapshot being transferred in mode SNAPSHOT.
    snapshot: Snapshot | None = None


class IncomingSnapshot(Struct):
    """A snapshot of which some pieces have been received.

    The pieces themselves are in storage, of which one is written at a time. `transfer`
    tells the reports on this snapshot from late ones on another.
    """

    transfer: int
    index: LogIndex
    term: Term
    membership: Membership
    n_bytes: int = 0
    is_writing: bool = False


class PendingRead(Value, frozen=True):
    """Read that waits until the required heartbeat round is confirmed."""

    read_id: int
    required_round: int


class ReplicaState(Struct):
    """State of one replica; owned by exactly one task."""

    group: GroupId
    replica: ReplicaId
    random_source: Random
    timing: ReplicationTiming
    limits: ReplicationLimits
    initial_membership: Membership
    hard_state: HardState
    log: ReplicaLog
    snapshot: Snapshot | None
    membership: Membership
    membership_index: int
    # The newest committed membership; membership may not be committed yet.
    applied_membership: Membership
    commit_index: int
    persisted_index: int
    role: Role = Role.FOLLOWER
    leader: ReplicaId | None = None
    # Why the replica has stopped; empty while it runs.
    fault: str = ""
    last_tick_at: datetime | None = None
    election_deadline: datetime | None = None
    last_leader_contact_at: datetime | None = None
    contacts: LeaderContacts = field(default_factory=LeaderContacts)
    # Messages are deferred while a hard state is being synced: a message must not
    # depend on a term or a vote that a crash would undo.
    n_unsynced_hard_states: int = 0
    deferred_messages: list[SendToReplica] = field(default_factory=list)
    # Number of log truncations; distinguishes a late EntriesPersisted for removed
    # entries from one for their replacements.
    n_truncations: int = 0
    # Replicas that granted this one a pre-vote or a vote, according to its role.
    votes: set[ReplicaId] = field(default_factory=set)
    # On a follower, the last index at which its log is known to match the leader's.
    leader_match_index: int = 0
    incoming_snapshot: IncomingSnapshot | None = None
    n_incoming_snapshots: int = 0
    restoring_snapshot: Snapshot | None = None
    snapshot_request: TakeSnapshot | None = None
    progress: dict[ReplicaId, FollowerProgress] = field(default_factory=dict)
    # Index of the empty entry with which this leader began its term.
    term_start_index: int = 0
    heartbeat_due_at: datetime | None = None
    heartbeat_round: int = 0
    # The last heartbeat round that a majority has acknowledged.
    confirmed_round: int = 0
    pending_reads: list[PendingRead] = field(default_factory=list)
    # Ids of the proposals that wait for their entry to be committed, by its index.
    pending_proposals: dict[int, int] = field(default_factory=dict)
    pending_change: ChangeMembership | None = None
    transfer_target: ReplicaId | None = None
    transfer_deadline: datetime | None = None

    @property
    def term(self) -> Term:
        """The current term."""
        return self.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes under the newest membership, committed or not."""
        return self.replica in self.membership.voters


def is_quorum(replicas: set[ReplicaId], membership: Membership) -> bool:
    """Return whether the replicas include a majority of the voters."""
    n_votes = sum(voter in replicas for voter in membership.voters)
    return n_votes * 2 > len(membership.voters)


def adopt_newest_membership(state: ReplicaState) -> None:
    """Adopt the last membership in the log, whether or not it is committed."""
    for entry in state.log.iterate_backwards():
        if entry.kind is EntryKind.MEMBERSHIP and entry.membership is not None:
            state.membership = entry.membership
            state.membership_index = entry.index
            return
    if state.snapshot is not None:
        state.membership = state.snapshot.membership
        state.membership_index = state.snapshot.index
        return
    state.membership = state.initial_membership
    state.membership_index = 0


def make_replica_state(
    group: GroupId,
    replica: ReplicaId,
    membership: Membership,
    random_source: Random,
    timing: ReplicationTiming,
    limits: ReplicationLimits,
    hard_state: HardState,
    snapshot: Snapshot | None,
    entries: tuple[LogEntry, ...],
) -> ReplicaState:
    """Return the state of a replica as recovered from its storage."""
    base_index = LogIndex(0) if snapshot is None else snapshot.index
    base_term = Term(0) if snapshot is None else snapshot.term
    log = ReplicaLog(base_index, base_term)
    for entry in entries:
        log.append(entry)
    applied = membership if snapshot is None else snapshot.membership
    state = ReplicaState(
        group=group,
        replica=replica,
        random_source=random_source,
        timing=timing,
        limits=limits,
        initial_membership=membership,
        hard_state=hard_state,
        log=log,
        snapshot=snapshot,
        membership=applied,
        membership_index=base_index,
        applied_membership=applied,
        commit_index=base_index,
        persisted_index=log.last_index,
    )
    adopt_newest_membership(state)
    return state
