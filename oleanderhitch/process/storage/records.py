"""Turn records into bytes with length and checksum, and back.

A frame holds the records of one sync. Frames are numbered, and a frame is only
written after the one before it is synced. A damaged frame with a valid later one
behind it is therefore corruption; without one it is the torn end of a crash.
"""

import struct
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
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

FRAME_MAGIC = b"OLH1"
# Magic, number of the frame, bytes of all records, checksum of these three.
FRAME_HEADER = struct.Struct("<4sQII")
# Checksum of the rest, bytes of the body, kind, bytes of the group, index, term.
RECORD_HEADER = struct.Struct("<IIBBQQ")

_COMMAND = 1
_MEMBERSHIP = 2
_EMPTY = 3
_TRUNCATION = 4
_HARD_STATE = 5
_SNAPSHOT_KEEPS_LOG = 6
_SNAPSHOT_REPLACES_LOG = 7
_FOUNDING = 8

_CODEC = make_codec((Membership, HardState, FoundingRecord))


@dataclass(frozen=True, slots=True)
class _Fields:
    kind: int
    group: GroupId
    index: int
    term: int
    body: bytes


@singledispatch
def _get_fields(record: object) -> _Fields:
    raise TypeError(f"{type(record).__name__} is not a record")


@_get_fields.register
def _(record: EntryRecord) -> _Fields:
    entry = record.entry
    if entry.kind is EntryKind.COMMAND:
        return _Fields(_COMMAND, record.group, entry.index, entry.term, entry.command)
    if entry.membership is None:
        return _Fields(_EMPTY, record.group, entry.index, entry.term, b"")
    body = _CODEC.encode(entry.membership)
    return _Fields(_MEMBERSHIP, record.group, entry.index, entry.term, body)


@_get_fields.register
def _(record: TruncationRecord) -> _Fields:
    return _Fields(_TRUNCATION, record.group, record.first_index, 0, b"")


@_get_fields.register
def _(record: HardStateRecord) -> _Fields:
    body = _CODEC.encode(record.hard_state)
    return _Fields(_HARD_STATE, record.group, 0, record.hard_state.term, body)


@_get_fields.register
def _(record: SnapshotRecord) -> _Fields:
    kind = _SNAPSHOT_KEEPS_LOG if record.is_log_kept else _SNAPSHOT_REPLACES_LOG
    return _Fields(kind, record.group, record.index, record.term, b"")


@_get_fields.register
def _(record: FoundingRecord) -> _Fields:
    return _Fields(_FOUNDING, record.group, 0, 0, _CODEC.encode(record))


def _encode_record(record: Record) -> bytes:
    fields = _get_fields(record)
    group = fields.group.encode()
    rest = RECORD_HEADER.pack(
        0, len(fields.body), fields.kind, len(group), fields.index, fields.term
    )[4:]
    checksum = zlib.crc32(fields.body, zlib.crc32(group, zlib.crc32(rest)))
    return b"".join((struct.pack("<I", checksum), rest, group, fields.body))


def encode_frame(number: int, records: Iterable[Record]) -> bytes:
    """Return the bytes of one synced batch."""
    body = b"".join(_encode_record(record) for record in records)
    head = FRAME_HEADER.pack(FRAME_MAGIC, number, len(body), 0)[:-4]
    return b"".join((head, struct.pack("<I", zlib.crc32(head)), body))


def find_frame(data: bytes, offset: int) -> tuple[int, int] | None:
    """Return the number and the end of the frame at an offset if it is whole."""
    if len(data) - offset < FRAME_HEADER.size:
        return None
    magic, number, n_bytes, checksum = FRAME_HEADER.unpack_from(data, offset)
    head = data[offset : offset + FRAME_HEADER.size - 4]
    if magic != FRAME_MAGIC or zlib.crc32(head) != checksum:
        return None
    end = offset + FRAME_HEADER.size + n_bytes
    return (number, end) if end <= len(data) else None


def decode_records(data: bytes, offset: int, end: int, name: str) -> Iterator[Record]:
    """Yield the records of a frame; raise CorruptLogError at a damaged one."""
    while offset < end:
        start = offset
        if end - offset < RECORD_HEADER.size:
            raise _make_error(name, start, "the record header is cut off")
        checksum, n_body, kind, n_group, index, term = RECORD_HEADER.unpack_from(
            data, offset
        )
        group_at = offset + RECORD_HEADER.size
        offset = group_at + n_group + n_body
        if offset > end or zlib.crc32(data[start + 4 : offset]) != checksum:
            raise _make_error(name, start, "the checksum of the record is wrong")
        group = GroupId(data[group_at : group_at + n_group].decode())
        body = data[group_at + n_group : offset]
        try:
            yield _decode_record(_Fields(kind, group, index, term, body))
        except (MalformedFrameError, KeyError) as error:
            raise _make_error(name, start, f"unknown content: {error}") from None


def _make_error(name: str, offset: int, reason: str) -> CorruptLogError:
    return CorruptLogError(
        f"{name} is damaged at byte {offset}: {reason}; replace this replica "
        f"from its peers (docs/operators/hosts-and-repair.md)"
    )


def _decode_record(fields: _Fields) -> Record:
    return _DECODERS[fields.kind](fields)


def _decode_command(fields: _Fields) -> Record:
    entry = LogEntry(
        LogIndex(fields.index), Term(fields.term), EntryKind.COMMAND, fields.body
    )
    return EntryRecord(fields.group, entry)


def _decode_membership(fields: _Fields) -> Record:
    membership = _CODEC.decode(fields.body)
    assert isinstance(membership, Membership)
    index, term = LogIndex(fields.index), Term(fields.term)
    entry = LogEntry(index, term, EntryKind.MEMBERSHIP, b"", membership)
    return EntryRecord(fields.group, entry)


def _decode_empty(fields: _Fields) -> Record:
    entry = LogEntry(LogIndex(fields.index), Term(fields.term), EntryKind.EMPTY)
    return EntryRecord(fields.group, entry)


def _decode_truncation(fields: _Fields) -> Record:
    return TruncationRecord(fields.group, LogIndex(fields.index))


def _decode_hard_state(fields: _Fields) -> Record:
    hard_state = _CODEC.decode(fields.body)
    assert isinstance(hard_state, HardState)
    return HardStateRecord(fields.group, hard_state)


def _decode_snapshot(fields: _Fields) -> Record:
    return SnapshotRecord(
        fields.group,
        LogIndex(fields.index),
        Term(fields.term),
        fields.kind == _SNAPSHOT_KEEPS_LOG,
    )


def _decode_founding(fields: _Fields) -> Record:
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
