"""Define the records, messages and effects of the storage task."""

from oleanderhitch.process.ids import GroupId, LogIndex, ReplicaId, Term
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.replication.messages import HardState, LogEntry, Snapshot
from oleanderhitch.values import Value


class EntryRecord(Value, frozen=True):
    """A log entry, which replaces any entries at and after its index."""

    group: GroupId
    entry: LogEntry


class TruncationRecord(Value, frozen=True):
    """Removal of all entries at and after an index."""

    group: GroupId
    first_index: LogIndex


class HardStateRecord(Value, frozen=True):
    """The current term and the vote in it."""

    group: GroupId
    hard_state: HardState


class SnapshotRecord(Value, frozen=True):
    """Replacement of the log up to an index by a snapshot file.

    Entries after the index stay valid only if `is_log_kept` is true.
    """

    group: GroupId
    index: LogIndex
    term: Term
    is_log_kept: bool


class FoundingRecord(Value, frozen=True):
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


class WriteRecords(Value, frozen=True):
    """Syncs records, then returns the acknowledgement to the reply address."""

    records: tuple[Record, ...]
    reply_address: Address
    acknowledgement: object | None = None


class SaveSnapshot(Value, frozen=True):
    """Syncs a snapshot, then returns the acknowledgement to the reply address."""

    group: GroupId
    snapshot: Snapshot
    is_log_kept: bool
    reply_address: Address
    acknowledgement: object


class RecordsSynced(Value, frozen=True):
    """Returns the acknowledgements of a synced batch in the order of its requests."""

    acknowledgements: tuple[object, ...]


class WriteFailed(Value, frozen=True):
    """Reports that a write failed and that the storage rejects all further requests."""

    reason: str


class SnapshotRequested(Value, frozen=True):
    """Requests a snapshot from a group, so that old segments can be deleted."""


class BatchWritten(Value, frozen=True):
    """Reports that the current batch is synced."""

    n_bytes: int


class BatchFailed(Value, frozen=True):
    """Reports that the current batch could not be synced."""

    reason: str


class WriteBatch(Value, frozen=True):
    """Saves a snapshot if there is one, then appends and syncs records."""

    segment_number: int
    is_new_segment: bool
    records: tuple[Record, ...]
    snapshot: SaveSnapshot | None


class DeleteSegments(Value, frozen=True):
    """Deletes segments whose entries are all covered by snapshots."""

    segment_numbers: tuple[int, ...]


class SendReply(Value, frozen=True):
    """Sends a message to a reply address."""

    reply_address: Address
    message: object
