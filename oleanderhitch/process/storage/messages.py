"""Define the records, messages and effects of the storage task."""

from dataclasses import dataclass

from oleanderhitch.process.ids import GroupId, LogIndex, ReplicaId, Term
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.replication.messages import HardState, LogEntry, Snapshot


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """A log entry, which replaces any entries at and after its index."""

    group: GroupId
    entry: LogEntry


@dataclass(frozen=True, slots=True)
class TruncationRecord:
    """Removal of all entries at and after an index."""

    group: GroupId
    first_index: LogIndex


@dataclass(frozen=True, slots=True)
class HardStateRecord:
    """The current term and the vote in it."""

    group: GroupId
    hard_state: HardState


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """Replacement of the log up to an index by a snapshot file.

    Entries after the index stay valid only if `is_log_kept` is true.
    """

    group: GroupId
    index: LogIndex
    term: Term
    is_log_kept: bool


@dataclass(frozen=True, slots=True)
class FoundingRecord:
    """Bootstrap record with the initial voters that this replica has agreed to.

    The voters never change. `is_formed` becomes true when all of them have agreed,
    which forms the group.
    """

    group: GroupId
    voters: tuple[ReplicaId, ...]
    is_formed: bool


Record = (
    EntryRecord | TruncationRecord | HardStateRecord | SnapshotRecord | FoundingRecord
)


@dataclass(frozen=True, slots=True)
class WriteRecords:
    """Syncs records, then returns the acknowledgement to the reply address."""

    records: tuple[Record, ...]
    reply_address: Address
    acknowledgement: object | None = None


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Syncs a snapshot, then returns the acknowledgement to the reply address."""

    group: GroupId
    snapshot: Snapshot
    is_log_kept: bool
    reply_address: Address
    acknowledgement: object


@dataclass(frozen=True, slots=True)
class RecordsSynced:
    """Returns the acknowledgements of a synced batch in the order of its requests."""

    acknowledgements: tuple[object, ...]


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """Reports that a write failed and that the storage rejects all further requests."""

    reason: str


@dataclass(frozen=True, slots=True)
class SnapshotRequested:
    """Requests a snapshot from a group, so that old segments can be deleted."""


@dataclass(frozen=True, slots=True)
class BatchWritten:
    """Reports that the current batch is synced."""

    n_bytes: int


@dataclass(frozen=True, slots=True)
class BatchFailed:
    """Reports that the current batch could not be synced."""

    reason: str


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """Saves a snapshot if there is one, then appends and syncs records."""

    segment_number: int
    is_new_segment: bool
    records: tuple[Record, ...]
    snapshot: SaveSnapshot | None


@dataclass(frozen=True, slots=True)
class DeleteSegments:
    """Deletes segments whose entries are all covered by snapshots."""

    segment_numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SendReply:
    """Sends a message to a reply address."""

    reply_address: Address
    message: object
