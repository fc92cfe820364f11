"""Batch writes, start new segments and delete segments that are not needed."""

from datetime import datetime
from functools import singledispatch

from msgspec import Struct, field
from msgspec.structs import replace

from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.storage.exceptions import StorageError
from oleanderhitch.process.storage.messages import (
    BatchFailed,
    BatchWritten,
    DeleteSegments,
    EntryRecord,
    FoundingRecord,
    HardStateRecord,
    Record,
    RecordsSynced,
    SaveSnapshot,
    SendReply,
    SnapshotRecord,
    SnapshotRequested,
    WriteBatch,
    WriteFailed,
    WriteRecords,
)
from oleanderhitch.values import Value


class StorageLimits(Value, frozen=True):
    """Size at which a batch or a segment is full, and when to request snapshots."""

    batch_bytes: int = 4 * 1024 * 1024
    segment_bytes: int = 64 * 1024 * 1024
    # With more segments than this, snapshots are requested from the groups that need
    # entries of the oldest one.
    snapshot_threshold_segments: int = 4


class Segment(Struct):
    """Size of a segment, and the index of the last entry of each group in it."""

    number: int
    n_bytes: int = 0
    last_indexes: dict[GroupId, int] = field(default_factory=dict)


class GroupRecords(Struct):
    """Records of a group that are copied into each new segment.

    The copies stay on disk when older segments are deleted. `reply_address` is
    that of the group's last request.
    """

    hard_state: HardStateRecord | None = None
    bootstrap_record: FoundingRecord | None = None
    snapshot: SnapshotRecord | None = None
    reply_address: Address | None = None


class StorageState(Struct):
    """Segments on disk, queued requests, and the requests of the current batch.

    `failure_reason` is empty unless a write has failed.
    """

    limits: StorageLimits
    segments: list[Segment]
    groups: dict[GroupId, GroupRecords] = field(default_factory=dict)
    queued_requests: list[WriteRecords | SaveSnapshot] = field(default_factory=list)
    batch_requests: list[WriteRecords | SaveSnapshot] = field(default_factory=list)
    failure_reason: str = ""


def track_record(state: StorageState, segment: Segment, record: Record) -> None:
    """Update the state for a record that is in a segment."""
    group_records = state.groups.setdefault(record.group, GroupRecords())
    _track_record(record, group_records, segment)


@singledispatch
def _track_record(
    record: object, group_records: GroupRecords, segment: Segment
) -> None:
    """Ignore records that neither keep a segment nor are copied into new ones."""


@_track_record.register
def _(record: EntryRecord, group_records: GroupRecords, segment: Segment) -> None:
    highest = segment.last_indexes.get(record.group, 0)
    segment.last_indexes[record.group] = max(highest, record.entry.index)


@_track_record.register
def _(record: HardStateRecord, group_records: GroupRecords, segment: Segment) -> None:
    group_records.hard_state = record


@_track_record.register
def _(record: FoundingRecord, group_records: GroupRecords, segment: Segment) -> None:
    group_records.bootstrap_record = record


@_track_record.register
def _(record: SnapshotRecord, group_records: GroupRecords, segment: Segment) -> None:
    group_records.snapshot = record


def handle(message: object, state: StorageState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    return _handle(message, state)


@singledispatch
def _handle(message: object, state: StorageState) -> list[object]:
    raise StorageError(
        f"storage does not support message type {type(message).__name__}"
    )


@_handle.register
def _(message: WriteRecords, state: StorageState) -> list[object]:
    return _enqueue(message, state)


@_handle.register
def _(message: SaveSnapshot, state: StorageState) -> list[object]:
    return _enqueue(message, state)


def _enqueue(message: WriteRecords | SaveSnapshot, state: StorageState) -> list[object]:
    if state.failure_reason:
        return [SendReply(message.reply_address, WriteFailed(state.failure_reason))]
    state.queued_requests.append(message)
    return [] if state.batch_requests else _start_batch(state)


def _start_batch(state: StorageState) -> list[object]:
    if not state.queued_requests:
        return []
    n_requests = _count_batch_requests(state)
    state.batch_requests = state.queued_requests[:n_requests]
    del state.queued_requests[:n_requests]
    segment = state.segments[-1]
    is_new_segment = segment.n_bytes >= state.limits.segment_bytes
    records: list[Record] = []
    if is_new_segment:
        segment = Segment(segment.number + 1)
        state.segments.append(segment)
        records.extend(_get_records_to_copy(state))
    snapshot: SaveSnapshot | None = None
    for request in state.batch_requests:
        if isinstance(request, SaveSnapshot):
            snapshot = request
        records.extend(_get_request_records(request))
    for record in records:
        track_record(state, segment, record)
    # All records of a request belong to one group.
    for request in state.batch_requests:
        for record in _get_request_records(request)[:1]:
            state.groups[record.group].reply_address = request.reply_address
    return [WriteBatch(segment.number, is_new_segment, tuple(records), snapshot)]


def _count_batch_requests(state: StorageState) -> int:
    """Return how many of the queued requests the next batch takes.

    A snapshot is in a batch of its own.
    """
    n_bytes = 0
    for position, request in enumerate(state.queued_requests):
        if isinstance(request, SaveSnapshot):
            return max(1, position)
        n_bytes += sum(_estimate_bytes(record) for record in request.records)
        if n_bytes >= state.limits.batch_bytes:
            return position + 1
    return len(state.queued_requests)


def _estimate_bytes(record: Record) -> int:
    return len(record.entry.command) if isinstance(record, EntryRecord) else 0


def _get_records_to_copy(state: StorageState) -> list[Record]:
    records: list[Record] = []
    for group_records in state.groups.values():
        if group_records.bootstrap_record is not None:
            records.append(group_records.bootstrap_record)
        if group_records.hard_state is not None:
            records.append(group_records.hard_state)
        if group_records.snapshot is not None:
            # The entries after the snapshot, in older segments, are still valid.
            records.append(replace(group_records.snapshot, is_log_kept=True))
    return records


def _get_request_records(request: WriteRecords | SaveSnapshot) -> tuple[Record, ...]:
    if isinstance(request, WriteRecords):
        return request.records
    snapshot = request.snapshot
    return (
        SnapshotRecord(
            request.group, snapshot.index, snapshot.term, request.is_log_kept
        ),
    )


@_handle.register
def _(message: BatchWritten, state: StorageState) -> list[object]:
    state.segments[-1].n_bytes += message.n_bytes
    effects: list[object] = list(_make_replies(state.batch_requests))
    state.batch_requests = []
    effects.extend(_delete_old_segments(state))
    effects.extend(_start_batch(state))
    return effects


def _make_replies(requests: list[WriteRecords | SaveSnapshot]) -> list[SendReply]:
    by_address: dict[int, tuple[Address, list[object]]] = {}
    for request in requests:
        if request.acknowledgement is not None:
            _, messages = by_address.setdefault(
                id(request.reply_address), (request.reply_address, [])
            )
            messages.append(request.acknowledgement)
    return [
        SendReply(reply_address, RecordsSynced(tuple(messages)))
        for reply_address, messages in by_address.values()
    ]


def _delete_old_segments(state: StorageState) -> list[object]:
    """Delete the oldest segments that no group needs.

    If too many segments are left, request snapshots from the groups that need the
    oldest one.
    """
    effects: list[object] = []
    deleted: list[int] = []
    while len(state.segments) > 1 and not _find_dependent_groups(
        state, state.segments[0]
    ):
        deleted.append(state.segments.pop(0).number)
    if deleted:
        effects.append(DeleteSegments(tuple(deleted)))
    if len(state.segments) > state.limits.snapshot_threshold_segments:
        for group in _find_dependent_groups(state, state.segments[0]):
            reply_address = state.groups[group].reply_address
            if reply_address is not None:
                effects.append(SendReply(reply_address, SnapshotRequested()))
    return effects


def _find_dependent_groups(state: StorageState, segment: Segment) -> list[GroupId]:
    """Return the groups whose snapshots do not cover their entries in a segment."""
    dependent_groups = []
    for group, last_index in segment.last_indexes.items():
        snapshot = state.groups[group].snapshot
        if snapshot is None or snapshot.index < last_index:
            dependent_groups.append(group)
    return dependent_groups


@_handle.register
def _(message: BatchFailed, state: StorageState) -> list[object]:
    # After a failed sync it is unknown what is on disk, so no further batch is written.
    state.failure_reason = message.reason
    requests = [*state.batch_requests, *state.queued_requests]
    reply_addresses = {
        id(request.reply_address): request.reply_address for request in requests
    }
    for group_records in state.groups.values():
        if group_records.reply_address is not None:
            reply_addresses[id(group_records.reply_address)] = (
                group_records.reply_address
            )
    state.batch_requests = []
    state.queued_requests = []
    return [
        SendReply(reply_address, WriteFailed(state.failure_reason))
        for reply_address in reply_addresses.values()
    ]
