"""Decide which writes share a sync, when segments begin and when they go."""

from dataclasses import dataclass, field, replace
from datetime import datetime
from functools import singledispatch

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


@dataclass(frozen=True, slots=True)
class StorageLimits:
    """Bound batches and segments."""

    batch_bytes: int = 4 * 1024 * 1024
    segment_bytes: int = 64 * 1024 * 1024
    # With more segments than this, groups that hold one back are asked for a
    # snapshot.
    snapshot_threshold_segments: int = 4


@dataclass(slots=True)
class Segment:
    """Hold the highest entry of each group in one segment."""

    number: int
    n_bytes: int = 0
    last_indexes: dict[GroupId, int] = field(default_factory=dict)


@dataclass(slots=True)
class GroupRecords:
    """Hold the records that each new segment repeats for a group."""

    hard_state: HardStateRecord | None = None
    founding: FoundingRecord | None = None
    snapshot: SnapshotRecord | None = None
    reply: Address | None = None


@dataclass(slots=True)
class StorageState:
    """Hold what waits to be written and what is on disk."""

    limits: StorageLimits
    segments: list[Segment]
    groups: dict[GroupId, GroupRecords] = field(default_factory=dict)
    waiting: list[WriteRecords | SaveSnapshot] = field(default_factory=list)
    writing: list[WriteRecords | SaveSnapshot] = field(default_factory=list)
    fault: str = ""


def note_record(state: StorageState, segment: Segment, record: Record) -> None:
    """Take account of a record that is in a segment."""
    known = state.groups.setdefault(record.group, GroupRecords())
    _note_record(record, known, segment)


@singledispatch
def _note_record(record: object, known: GroupRecords, segment: Segment) -> None:
    """Ignore records that no later segment needs."""


@_note_record.register
def _(record: EntryRecord, known: GroupRecords, segment: Segment) -> None:
    highest = segment.last_indexes.get(record.group, 0)
    segment.last_indexes[record.group] = max(highest, record.entry.index)


@_note_record.register
def _(record: HardStateRecord, known: GroupRecords, segment: Segment) -> None:
    known.hard_state = record


@_note_record.register
def _(record: FoundingRecord, known: GroupRecords, segment: Segment) -> None:
    known.founding = record


@_note_record.register
def _(record: SnapshotRecord, known: GroupRecords, segment: Segment) -> None:
    known.snapshot = record


def handle(message: object, state: StorageState, now: datetime) -> list[object]:
    """Return the effects that a message calls for."""
    return _handle(message, state)


@singledispatch
def _handle(message: object, state: StorageState) -> list[object]:
    raise StorageError(f"unknown message type {type(message).__name__}")


@_handle.register
def _(message: WriteRecords, state: StorageState) -> list[object]:
    return _accept(message, state)


@_handle.register
def _(message: SaveSnapshot, state: StorageState) -> list[object]:
    return _accept(message, state)


def _accept(message: WriteRecords | SaveSnapshot, state: StorageState) -> list[object]:
    if state.fault:
        return [SendReply(message.reply, WriteFailed(state.fault))]
    state.waiting.append(message)
    return [] if state.writing else _start_batch(state)


def _start_batch(state: StorageState) -> list[object]:
    if not state.waiting:
        return []
    n_taken = _count_batch(state)
    state.writing = state.waiting[:n_taken]
    del state.waiting[:n_taken]
    segment = state.segments[-1]
    is_new_segment = segment.n_bytes >= state.limits.segment_bytes
    records: list[Record] = []
    if is_new_segment:
        segment = Segment(segment.number + 1)
        state.segments.append(segment)
        records.extend(_repeat_records(state))
    snapshot: SaveSnapshot | None = None
    for request in state.writing:
        if isinstance(request, SaveSnapshot):
            snapshot = request
        records.extend(_get_records(request))
    for record in records:
        note_record(state, segment, record)
    for request in state.writing:
        for record in _get_records(request)[:1]:
            state.groups[record.group].reply = request.reply
    return [WriteBatch(segment.number, is_new_segment, tuple(records), snapshot)]


def _count_batch(state: StorageState) -> int:
    """Return how many requests share the next sync; a snapshot goes alone."""
    n_bytes = 0
    for position, request in enumerate(state.waiting):
        if isinstance(request, SaveSnapshot):
            return max(1, position)
        n_bytes += sum(_estimate_bytes(record) for record in request.records)
        if n_bytes >= state.limits.batch_bytes:
            return position + 1
    return len(state.waiting)


def _estimate_bytes(record: Record) -> int:
    return len(record.entry.command) if isinstance(record, EntryRecord) else 0


def _repeat_records(state: StorageState) -> list[Record]:
    records: list[Record] = []
    for known in state.groups.values():
        if known.founding is not None:
            records.append(known.founding)
        if known.hard_state is not None:
            records.append(known.hard_state)
        if known.snapshot is not None:
            # The entries after it, in older segments, stay in force.
            records.append(replace(known.snapshot, is_log_kept=True))
    return records


def _get_records(request: WriteRecords | SaveSnapshot) -> tuple[Record, ...]:
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
    effects: list[object] = list(_make_replies(state.writing))
    state.writing = []
    effects.extend(_release_segments(state))
    effects.extend(_start_batch(state))
    return effects


def _make_replies(requests: list[WriteRecords | SaveSnapshot]) -> list[SendReply]:
    by_reply: dict[int, tuple[Address, list[object]]] = {}
    for request in requests:
        if request.acknowledgement is not None:
            _, messages = by_reply.setdefault(id(request.reply), (request.reply, []))
            messages.append(request.acknowledgement)
    return [
        SendReply(reply, RecordsSynced(tuple(messages)))
        for reply, messages in by_reply.values()
    ]


def _release_segments(state: StorageState) -> list[object]:
    effects: list[object] = []
    released: list[int] = []
    while len(state.segments) > 1 and not _find_holders(state, state.segments[0]):
        released.append(state.segments.pop(0).number)
    if released:
        effects.append(DeleteSegments(tuple(released)))
    if len(state.segments) > state.limits.snapshot_threshold_segments:
        for group in _find_holders(state, state.segments[0]):
            reply = state.groups[group].reply
            if reply is not None:
                effects.append(SendReply(reply, SnapshotRequested()))
    return effects


def _find_holders(state: StorageState, segment: Segment) -> list[GroupId]:
    """Return the groups that still need entries of a segment."""
    holders = []
    for group, last_index in segment.last_indexes.items():
        snapshot = state.groups[group].snapshot
        if snapshot is None or snapshot.index < last_index:
            holders.append(group)
    return holders


@_handle.register
def _(message: BatchFailed, state: StorageState) -> list[object]:
    # What is on disk after a failed sync is unknown, so nothing more is written.
    state.fault = message.reason
    requests = [*state.writing, *state.waiting]
    replies = {id(request.reply): request.reply for request in requests}
    for known in state.groups.values():
        if known.reply is not None:
            replies[id(known.reply)] = known.reply
    state.writing = []
    state.waiting = []
    return [SendReply(reply, WriteFailed(state.fault)) for reply in replies.values()]
