"""Store ended requests in append-only segment files with an index in memory.

The files are derived from the replicated log: a replica fills them again from its
snapshot and the log after each start, so nothing here is fsynced. A shard writes to one
active segment; full segments are sealed. A sealed segment is compacted into the active
one when more than half of it belongs to deleted programs.
"""

import os
import struct
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import xxhash
from msgspec.structs import replace

from oleanderhitch.connection.codec import Codec, make_codec
from oleanderhitch.program.exceptions import (
    HistoryCorruptError,
    HistoryUnavailableError,
)
from oleanderhitch.program.history import EndedRequest
from oleanderhitch.program.ids import ProgramId, SequenceNumber
from oleanderhitch.program.messages import Turn
from oleanderhitch.request.ids import RequestId
from oleanderhitch.request.states import Outcome

# Compacting a segment of this size delays the shard's commands by about 10 ms.
SEGMENT_BYTES = 16 * 1024 * 1024
# Checksum of the rest, sequence number, whether the record is a turn, lengths of
# program id, content, answer and frame. A turn is read without decoding its frame,
# since decoding those of a program with 140 turns would dominate the cost of a call.
_HEADER = struct.Struct("<QI?HIII")
_CHECKSUM_BYTES = 8
# Hash of the request id, segment number, offset and length of the whole record.
_INDEX_ENTRY = struct.Struct("<QIII")


class _RecordParts(NamedTuple):
    """The parts of a record whose checksum has been verified."""

    sequence: SequenceNumber
    is_turn: bool
    content: bytes
    answer: bytes
    frame: bytes


class _Segment:
    """One segment file; closed and deleted by `remove`."""

    def __init__(self, path: Path, number: int) -> None:
        self.path = path
        self.number = number
        self.size_bytes = 0
        self.dead_bytes = 0
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)

    def append(self, record: bytes) -> int:
        """Write a record and return its offset."""
        offset = self.size_bytes
        n_written = os.pwrite(self._descriptor, record, offset)
        if n_written != len(record):
            raise OSError(f"wrote {n_written} of {len(record)} bytes")
        self.size_bytes += len(record)
        return offset

    def read(self, offset: int, length: int) -> bytes:
        """Return up to `length` bytes at an offset of the file."""
        return os.pread(self._descriptor, length, offset)

    def remove(self) -> None:
        """Close and delete the file."""
        os.close(self._descriptor)
        self.path.unlink(missing_ok=True)


class FileHistory:
    """A history store that keeps the records of one shard in segment files.

    Reads raise HistoryCorruptError for a damaged record. Reads, writes and deletions
    raise HistoryUnavailableError if a file cannot be read or written.
    """

    def __init__(self, directory: Path, segment_bytes: int) -> None:
        self._directory = directory
        self._segment_bytes = segment_bytes
        self._codec: Codec = make_codec([EndedRequest])
        self._indexes: dict[ProgramId, bytearray] = {}
        self._segments: dict[int, _Segment] = {}
        self._active_segment = self._open_segment(1)

    @property
    def size_bytes(self) -> int:
        """The total size of the segments in bytes."""
        return sum(segment.size_bytes for segment in self._segments.values())

    def append(self, record: EndedRequest) -> None:
        """Add a record; raise HistoryUnavailableError if it cannot be written."""
        frame = self._codec.encode(replace(record, content=b"", answer=b""))
        data = _pack(record, frame)
        index_entry = self._write(_hash_request(record.request), data)
        self._indexes.setdefault(record.program, bytearray()).extend(index_entry)

    def find(self, program: ProgramId, request: RequestId) -> EndedRequest | None:
        """Return the record of a request, or None when it has not ended."""
        target_hash = _hash_request(request)
        index = self._indexes.get(program, b"")
        for request_hash, segment, offset, length in _INDEX_ENTRY.iter_unpack(index):
            if request_hash == target_hash:
                record = self._decode(self._read(program, segment, offset, length))
                if record.request == request:
                    return record
        return None

    def read(self, program: ProgramId) -> Iterator[EndedRequest]:
        """Yield the records of a program in order."""
        index = bytes(self._indexes.get(program, b""))
        for _, segment, offset, length in _INDEX_ENTRY.iter_unpack(index):
            yield self._decode(self._read(program, segment, offset, length))

    def read_turns(self, program: ProgramId) -> tuple[Turn, ...]:
        """Return the completed calls of a program in order."""
        index = self._indexes.get(program, b"")
        records = (
            self._read(program, segment, offset, length)
            for _, segment, offset, length in _INDEX_ENTRY.iter_unpack(index)
        )
        return tuple(
            Turn(record.sequence, record.content, record.answer)
            for record in records
            if record.is_turn
        )

    def delete(self, program: ProgramId) -> None:
        """Delete the records of a program and compact at most one segment."""
        index = self._indexes.pop(program, b"")
        for _, segment, _, length in _INDEX_ENTRY.iter_unpack(index):
            self._segments[segment].dead_bytes += length
        self._remove_dead_segments()
        for sealed in self._list_sealed_segments():
            if sealed.dead_bytes * 2 > sealed.size_bytes:
                self._compact(sealed)
                return

    def close(self) -> None:
        """Delete the files."""
        for segment in self._segments.values():
            segment.remove()
        self._segments.clear()
        self._indexes.clear()

    def _open_segment(self, number: int) -> _Segment:
        path = self._directory / f"history-{number:08d}.segment"
        try:
            segment = _Segment(path, number)
        except OSError as error:
            raise HistoryUnavailableError(f"cannot open {path}: {error}") from error
        self._segments[number] = segment
        return segment

    def _write(self, request_hash: int, data: bytes) -> bytes:
        if self._active_segment.size_bytes >= self._segment_bytes:
            self._active_segment = self._open_segment(self._active_segment.number + 1)
        segment = self._active_segment
        try:
            offset = segment.append(data)
        except OSError as error:
            raise HistoryUnavailableError(
                f"cannot write {segment.path}: {error}"
            ) from error
        return _INDEX_ENTRY.pack(request_hash, segment.number, offset, len(data))

    def _read(
        self, program: ProgramId, segment: int, offset: int, length: int
    ) -> _RecordParts:
        path = self._segments[segment].path
        data = self._read_bytes(self._segments[segment], offset, length)
        try:
            program_key, parts = _unpack(data)
        except (ValueError, struct.error) as error:
            raise HistoryCorruptError(
                f"{path} at offset {offset}: {error}; restore this replica"
            ) from error
        if program_key != program.encode():
            raise HistoryCorruptError(
                f"{path} at offset {offset} holds a record of {program_key!r}, "
                f"expected {program!r}; restore this replica"
            )
        return parts

    def _decode(self, parts: _RecordParts) -> EndedRequest:
        record = self._codec.decode(parts.frame)
        assert isinstance(record, EndedRequest)
        return replace(record, content=parts.content, answer=parts.answer)

    def _read_bytes(self, segment: _Segment, offset: int, length: int) -> bytes:
        try:
            return segment.read(offset, length)
        except OSError as error:
            raise HistoryUnavailableError(
                f"cannot read {segment.path}: {error}"
            ) from error

    def _list_sealed_segments(self) -> list[_Segment]:
        return [s for s in self._segments.values() if s is not self._active_segment]

    def _remove_dead_segments(self) -> None:
        for segment in self._list_sealed_segments():
            if segment.dead_bytes >= segment.size_bytes:
                del self._segments[segment.number]
                segment.remove()

    def _compact(self, segment: _Segment) -> None:
        """Copy the live records of a segment to the active one, then delete it."""
        for index in self._indexes.values():
            for position in range(0, len(index), _INDEX_ENTRY.size):
                request_hash, number, offset, length = _INDEX_ENTRY.unpack_from(
                    index, position
                )
                if number != segment.number:
                    continue
                data = self._read_bytes(segment, offset, length)
                index_entry = self._write(request_hash, data)
                index[position : position + _INDEX_ENTRY.size] = index_entry
        del self._segments[segment.number]
        segment.remove()


def make_file_history(
    directory: Path, segment_bytes: int = SEGMENT_BYTES
) -> FileHistory:
    """Return an empty store after deleting the files of an earlier process.

    Raise HistoryUnavailableError if the directory cannot be used.
    """
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for stale_path in directory.glob("history-*.segment"):
            stale_path.unlink()
    except OSError as error:
        raise HistoryUnavailableError(f"cannot use {directory}: {error}") from error
    return FileHistory(directory, segment_bytes)


def _hash_request(request: RequestId) -> int:
    return xxhash.xxh3_64_intdigest(request.encode())


def _pack(record: EndedRequest, frame: bytes) -> bytes:
    program_key = record.program.encode()
    is_turn = record.outcome is Outcome.COMPLETED
    lengths = len(program_key), len(record.content), len(record.answer), len(frame)
    header = _HEADER.pack(0, record.sequence, is_turn, *lengths)
    body = b"".join(
        (header[_CHECKSUM_BYTES:], program_key, record.content, record.answer, frame)
    )
    return xxhash.xxh3_64_intdigest(body).to_bytes(_CHECKSUM_BYTES, "little") + body


def _unpack(data: bytes) -> tuple[bytes, _RecordParts]:
    checksum, sequence, is_turn, *lengths = _HEADER.unpack_from(data)
    if len(data) != _HEADER.size + sum(lengths):
        raise ValueError(
            f"record has {len(data)} bytes, expected {_HEADER.size + sum(lengths)}"
        )
    if xxhash.xxh3_64_intdigest(memoryview(data)[_CHECKSUM_BYTES:]) != checksum:
        raise ValueError("checksum does not match")
    parts = []
    position = _HEADER.size
    for length in lengths:
        parts.append(data[position : position + length])
        position += length
    program_key, content, answer, frame = parts
    return program_key, _RecordParts(
        SequenceNumber(sequence), is_turn, content, answer, frame
    )
