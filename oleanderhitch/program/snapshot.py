"""Encode the state of a shard as a snapshot and restore it.

A snapshot is a checksum followed by a stream of frames. Each program is followed by its
ended requests, so that no frame grows with the number of programs.
"""

from collections.abc import Iterator

import xxhash

from oleanderhitch.connection.codec import Codec, make_codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.program.entries import ProgramEntry, ShardState
from oleanderhitch.program.exceptions import SnapshotError
from oleanderhitch.program.history import EndedRequest

_CHECKSUM_BYTES = 8
# Snapshots are decoded in pieces, since the decoder's buffer holds only one frame of
# the maximum size.
_PIECE_BYTES = 64 * 1024


def make_snapshot_codec() -> Codec:
    """Return the codec for the records in a snapshot."""
    return make_codec([ProgramEntry, EndedRequest])


def encode_snapshot(state: ShardState, codec: Codec) -> bytes:
    """Return the whole shard, including its history, as a snapshot."""
    body = bytearray(_CHECKSUM_BYTES)
    for entry in state.programs.values():
        body += codec.encode(entry)
        for record in state.history.read(entry.program):
            body += codec.encode(record)
    body[:_CHECKSUM_BYTES] = _get_checksum(body)
    return bytes(body)


def restore_snapshot(state: ShardState, data: bytes, codec: Codec) -> None:
    """Replace the whole shard; raise SnapshotError if the data is damaged."""
    if data[:_CHECKSUM_BYTES] != _get_checksum(data):
        raise SnapshotError(
            f"snapshot of {len(data)} bytes does not match its checksum; "
            "fetch it again from the leader"
        )
    for program in state.programs:
        state.history.delete(program)
    state.programs.clear()
    try:
        for record in _iterate_records(data, codec):
            _restore_record(state, record)
    except MalformedFrameError as error:
        raise SnapshotError(f"snapshot contains a malformed frame: {error}") from error


def _iterate_records(data: bytes, codec: Codec) -> Iterator[object]:
    decoder = codec.make_decoder()
    for position in range(_CHECKSUM_BYTES, len(data), _PIECE_BYTES):
        yield from decoder.feed(data[position : position + _PIECE_BYTES])


def _restore_record(state: ShardState, record: object) -> None:
    if isinstance(record, ProgramEntry):
        state.programs[record.program] = record
    elif isinstance(record, EndedRequest):
        state.history.append(record)


def _get_checksum(data: bytes | bytearray) -> bytes:
    return xxhash.xxh3_64_digest(memoryview(data)[_CHECKSUM_BYTES:])
