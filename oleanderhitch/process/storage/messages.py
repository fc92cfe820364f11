"""Define what the storage task is asked, answers and does."""

from dataclasses import dataclass

from oleanderhitch.process.ids import GroupId, LogIndex, ReplicaId, Term
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.replication.messages import HardState, LogEntry, Snapshot


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """Record a log entry; it replaces any entry from its index on."""

    group: GroupId
    entry: LogEntry


@dataclass(frozen=True, slots=True)
class TruncationRecord:
    """Record that the entries from an index on are removed."""

    group: GroupId
    first_index: LogIndex


@dataclass(frozen=True, slots=True)
class HardStateRecord:
    """Record the term and the vote."""

    group: GroupId
    hard_state: HardState


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """Record that a snapshot file replaces the log up to an index."""

    group: GroupId
    index: LogIndex
    term: Term
    is_log_kept: bool


@dataclass(frozen=True, slots=True)
class FoundingRecord:
    """Record the founding voters; never changed once it exists."""

    group: GroupId
    voters: tuple[ReplicaId, ...]
    is_formed: bool


Record = (
    EntryRecord | TruncationRecord | HardStateRecord | SnapshotRecord | FoundingRecord
)


@dataclass(frozen=True, slots=True)
class WriteRecords:
    """Ask to sync records, then to return the acknowledgement."""

    records: tuple[Record, ...]
    reply: Address
    acknowledgement: object | None = None


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Ask to sync a snapshot, then to return the acknowledgement."""

    group: GroupId
    snapshot: Snapshot
    is_log_kept: bool
    reply: Address
    acknowledgement: object


@dataclass(frozen=True, slots=True)
class RecordsSynced:
    """Return the acknowledgements of one synced batch, in their order."""

    acknowledgements: tuple[object, ...]


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """Say that this storage accepts nothing any more."""

    reason: str


@dataclass(frozen=True, slots=True)
class SnapshotRequested:
    """Ask a group for a snapshot, since old segments wait for it."""


@dataclass(frozen=True, slots=True)
class BatchWritten:
    """Report that the batch in writing is synced."""

    n_bytes: int


@dataclass(frozen=True, slots=True)
class BatchFailed:
    """Report that the batch in writing could not be synced."""

    reason: str


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """Save a snapshot if there is one, then append and sync records."""

    segment: int
    is_new_segment: bool
    records: tuple[Record, ...]
    snapshot: SaveSnapshot | None


@dataclass(frozen=True, slots=True)
class DeleteSegments:
    """Remove segments that hold nothing that is needed."""

    segments: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SendReply:
    """Send a message to the task that asked."""

    reply: Address
    message: object
