"""Turn the state of a shard into bytes and back.

A snapshot is a checksum and a stream of frames: each program is followed by its
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
# The decoder's buffer holds one frame of the largest size, not a snapshot.
_CHUNK_BYTES = 64 * 1024


def make_snapshot_codec() -> Codec:
    """Return the codec for what a snapshot contains."""
    return make_codec([ProgramEntry, EndedRequest])


def encode_snapshot(state: ShardState, codec: Codec) -> bytes:
    """Return the whole shard, turns included."""
    body = bytearray(_CHECKSUM_BYTES)
    for entry in state.programs.values():
        body += codec.encode(entry)
        for record in state.history.read(entry.program):
            body += codec.encode(record)
    body[:_CHECKSUM_BYTES] = _get_checksum(body)
    return bytes(body)


def restore_snapshot(state: ShardState, data: bytes, codec: Codec) -> None:
    """Replace the whole shard; raise SnapshotError when the data is not whole."""
    if data[:_CHECKSUM_BYTES] != _get_checksum(data):
        raise SnapshotError(
            f"snapshot of {len(data)} bytes does not match its checksum; "
            "fetch it again from the leader"
        )
    for program in state.programs:
        state.history.forget(program)
    state.programs.clear()
    try:
        for part in _iterate_parts(data, codec):
            _restore_part(state, part)
    except MalformedFrameError as error:
        raise SnapshotError(f"snapshot holds a malformed part: {error}") from error


def _iterate_parts(data: bytes, codec: Codec) -> Iterator[object]:
    decoder = codec.make_decoder()
    for position in range(_CHECKSUM_BYTES, len(data), _CHUNK_BYTES):
        yield from decoder.feed(data[position : position + _CHUNK_BYTES])


def _restore_part(state: ShardState, part: object) -> None:
    if isinstance(part, ProgramEntry):
        state.programs[part.program] = part
    elif isinstance(part, EndedRequest):
        state.history.append(part)


def _get_checksum(data: bytes | bytearray) -> bytes:
    return xxhash.xxh3_64_digest(memoryview(data)[_CHECKSUM_BYTES:])
