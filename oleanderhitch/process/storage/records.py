"""Encode and decode log records and the frames that contain them.

A frame contains the records of one sync. Frames are numbered, and a frame is only
written after the one before it has been synced. A damaged frame that is followed by a
valid one is therefore corrupt; without a later frame it was torn by a crash.
"""

import struct
import zlib
from collections.abc import Iterable, Iterator
from functools import singledispatch

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.process.ids import GroupId, LogIndex, Term
from oleanderhitch.process.replication.messages import (
    HardState,
    LogEntry,
    Membership,
)
from oleanderhitch.process.replication.states import EntryKind
from oleanderhitch.process.storage.exceptions import CorruptLogError
from oleanderhitch.process.storage.messages import (
    EntryRecord,
    FoundingRecord,
    HardStateRecord,
    Record,
    SnapshotRecord,
    TruncationRecord,
)
from oleanderhitch.values import Value

FRAME_MAGIC = b"OLH1"
# Magic, frame number, length of all records in bytes, checksum of these three.
FRAME_HEADER = struct.Struct("<4sQII")
# Checksum of the rest of the record, length of the body in bytes, kind, length of the
# group's id in bytes, index, term.
RECORD_HEADER = struct.Struct("<IIBBQQ")

# Kinds of records, as stored on disk.
_COMMAND = 1
_MEMBERSHIP = 2
_EMPTY = 3
_TRUNCATION = 4
_HARD_STATE = 5
_SNAPSHOT_KEEPS_LOG = 6
_SNAPSHOT_REPLACES_LOG = 7
_FOUNDING = 8

_CODEC = make_codec((Membership, HardState, FoundingRecord))


class _RecordFields(Value, frozen=True):
    kind: int
    group: GroupId
    index: int
    term: int
    body: bytes


@singledispatch
def _get_record_fields(record: object) -> _RecordFields:
    raise TypeError(f"{type(record).__name__} is not a record")


@_get_record_fields.register
def _(record: EntryRecord) -> _RecordFields:
    entry = record.entry
    if entry.kind is EntryKind.COMMAND:
        return _RecordFields(
            _COMMAND, record.group, entry.index, entry.term, entry.command
        )
    if entry.membership is None:
        return _RecordFields(_EMPTY, record.group, entry.index, entry.term, b"")
    body = _CODEC.encode(entry.membership)
    return _RecordFields(_MEMBERSHIP, record.group, entry.index, entry.term, body)


@_get_record_fields.register
def _(record: TruncationRecord) -> _RecordFields:
    return _RecordFields(_TRUNCATION, record.group, record.first_index, 0, b"")


@_get_record_fields.register
def _(record: HardStateRecord) -> _RecordFields:
    body = _CODEC.encode(record.hard_state)
    return _RecordFields(_HARD_STATE, record.group, 0, record.hard_state.term, body)


@_get_record_fields.register
def _(record: SnapshotRecord) -> _RecordFields:
    kind = _SNAPSHOT_KEEPS_LOG if record.is_log_kept else _SNAPSHOT_REPLACES_LOG
    return _RecordFields(kind, record.group, record.index, record.term, b"")


@_get_record_fields.register
def _(record: FoundingRecord) -> _RecordFields:
    return _RecordFields(_FOUNDING, record.group, 0, 0, _CODEC.encode(record))


def _encode_record(record: Record) -> bytes:
    fields = _get_record_fields(record)
    group = fields.group.encode()
    # The checksum comes first and covers everything after it.
    checked_header = RECORD_HEADER.pack(
        0, len(fields.body), fields.kind, len(group), fields.index, fields.term
    )[4:]
    checksum = zlib.crc32(fields.body, zlib.crc32(group, zlib.crc32(checked_header)))
    return b"".join((struct.pack("<I", checksum), checked_header, group, fields.body))


def encode_frame(number: int, records: Iterable[Record]) -> bytes:
    """Return the encoded frame for the records of one sync."""
    body = b"".join(_encode_record(record) for record in records)
    checked_header = FRAME_HEADER.pack(FRAME_MAGIC, number, len(body), 0)[:-4]
    return b"".join(
        (checked_header, struct.pack("<I", zlib.crc32(checked_header)), body)
    )


def find_frame(data: bytes, offset: int) -> tuple[int, int] | None:
    """Return the number and end offset of the frame at an offset.

    Return None if its header is damaged or its records are truncated. The checksums of
    the records are not checked.
    """
    if len(data) - offset < FRAME_HEADER.size:
        return None
    magic, number, n_bytes, checksum = FRAME_HEADER.unpack_from(data, offset)
    checked_header = data[offset : offset + FRAME_HEADER.size - 4]
    if magic != FRAME_MAGIC or zlib.crc32(checked_header) != checksum:
        return None
    end = offset + FRAME_HEADER.size + n_bytes
    return (number, end) if end <= len(data) else None


def decode_records(data: bytes, offset: int, end: int, name: str) -> Iterator[Record]:
    """Yield the records of a frame; raise CorruptLogError for a damaged record."""
    while offset < end:
        record_offset = offset
        if end - offset < RECORD_HEADER.size:
            raise _make_corrupt_log_error(
                name, record_offset, "the record header is truncated"
            )
        checksum, n_body_bytes, kind, n_group_bytes, index, term = (
            RECORD_HEADER.unpack_from(data, offset)
        )
        group_offset = offset + RECORD_HEADER.size
        offset = group_offset + n_group_bytes + n_body_bytes
        if offset > end or zlib.crc32(data[record_offset + 4 : offset]) != checksum:
            raise _make_corrupt_log_error(
                name, record_offset, "the checksum of the record is wrong"
            )
        group = GroupId(data[group_offset : group_offset + n_group_bytes].decode())
        body = data[group_offset + n_group_bytes : offset]
        try:
            yield _decode_record(_RecordFields(kind, group, index, term, body))
        except (MalformedFrameError, KeyError) as error:
            raise _make_corrupt_log_error(
                name, record_offset, f"the record can't be decoded: {error}"
            ) from None


def _make_corrupt_log_error(name: str, offset: int, reason: str) -> CorruptLogError:
    return CorruptLogError(
        f"{name} is damaged at byte {offset}: {reason}; replace this replica "
        f"from its peers (docs/operators/hosts-and-repair.md)"
    )


def _decode_record(fields: _RecordFields) -> Record:
    return _DECODERS[fields.kind](fields)


def _decode_command(fields: _RecordFields) -> Record:
    entry = LogEntry(
        LogIndex(fields.index), Term(fields.term), EntryKind.COMMAND, fields.body
    )
    return EntryRecord(fields.group, entry)


def _decode_membership(fields: _RecordFields) -> Record:
    membership = _CODEC.decode(fields.body)
    assert isinstance(membership, Membership)
    index, term = LogIndex(fields.index), Term(fields.term)
    entry = LogEntry(index, term, EntryKind.MEMBERSHIP, b"", membership)
    return EntryRecord(fields.group, entry)


def _decode_empty(fields: _RecordFields) -> Record:
    entry = LogEntry(LogIndex(fields.index), Term(fields.term), EntryKind.EMPTY)
    return EntryRecord(fields.group, entry)


def _decode_truncation(fields: _RecordFields) -> Record:
    return TruncationRecord(fields.group, LogIndex(fields.index))


def _decode_hard_state(fields: _RecordFields) -> Record:
    hard_state = _CODEC.decode(fields.body)
    assert isinstance(hard_state, HardState)
    return HardStateRecord(fields.group, hard_state)


def _decode_snapshot(fields: _RecordFields) -> Record:
    return SnapshotRecord(
        fields.group,
        LogIndex(fields.index),
        Term(fields.term),
        fields.kind == _SNAPSHOT_KEEPS_LOG,
    )


def _decode_founding(fields: _RecordFields) -> Record:
    record = _CODEC.decode(fields.body)
    assert isinstance(record, FoundingRecord)
    return record


_DECODERS = {
    _COMMAND: _decode_command,
    _MEMBERSHIP: _decode_membership,
    _EMPTY: _decode_empty,
    _TRUNCATION: _decode_truncation,
    _HARD_STATE: _decode_hard_state,
    _SNAPSHOT_KEEPS_LOG: _decode_snapshot,
    _SNAPSHOT_REPLACES_LOG: _decode_snapshot,
    _FOUNDING: _decode_founding,
}
