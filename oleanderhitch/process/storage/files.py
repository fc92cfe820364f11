"""Read and write the files of a data directory."""

import os
import struct
import zlib
from functools import singledispatch
from pathlib import Path
from urllib.parse import quote

from gevent import monkey

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.replication.messages import Membership, Snapshot
from oleanderhitch.process.replication.snapshot_data import SnapshotData
from oleanderhitch.process.storage.disk import Disk
from oleanderhitch.process.storage.exceptions import CorruptSnapshotError

SEGMENT_PATTERN = "log-*.wal"
# Magic, checksum of the rest of the file, length of the membership in bytes, index and
# term of the last entry that the snapshot covers.
SNAPSHOT_HEADER = struct.Struct("<4sIIQQ")
SNAPSHOT_MAGIC = b"OLS1"

_CODEC = make_codec((Membership,))


def get_segment_path(directory: Path, number: int) -> Path:
    """Return the path of the log segment with a number."""
    return directory / f"log-{number:012d}.wal"


def get_segment_number(path: Path) -> int:
    """Return the number of the segment at a path."""
    return int(path.stem.removeprefix("log-"))


def get_snapshot_path(directory: Path, group: GroupId) -> Path:
    """Return the path of a group's snapshot."""
    return directory / f"snapshot-{quote(group, safe='')}.bin"


def sync_directory(directory: Path) -> None:
    """Make created, renamed and deleted files of a directory durable."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        # gevent defers the close of anything but a regular file to its event loop, and
        # descriptors accumulate until the loop runs.
        monkey.get_original("os", "close")(descriptor)


def write_atomically(path: Path, data: bytes, disk: Disk) -> None:
    """Replace a file so that a crash leaves either the old or the new content."""
    temporary = path.with_suffix(".tmp")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        disk.append(descriptor, data)
        disk.sync(descriptor)
    finally:
        os.close(descriptor)
    temporary.rename(path)
    sync_directory(path.parent)


@singledispatch
def store_snapshot_data(data: SnapshotData, disk: Disk) -> bytes:
    """Return what a snapshot file is to hold of a snapshot's data.

    Whatever is stored outside of that file is synced first. Raise OSError.
    """
    return data[:]


def write_snapshot(
    directory: Path, group: GroupId, snapshot: Snapshot, disk: Disk
) -> None:
    """Replace the group's snapshot file durably."""
    membership = _CODEC.encode(snapshot.membership)
    checked_header = SNAPSHOT_HEADER.pack(
        SNAPSHOT_MAGIC, 0, len(membership), snapshot.index, snapshot.term
    )[8:]
    stored = store_snapshot_data(snapshot.data, disk)
    checksum = zlib.crc32(stored, zlib.crc32(membership, zlib.crc32(checked_header)))
    checksum_header = SNAPSHOT_MAGIC + struct.pack("<I", checksum)
    data = b"".join((checksum_header, checked_header, membership, stored))
    write_atomically(get_snapshot_path(directory, group), data, disk)


def read_snapshot(directory: Path, group: GroupId) -> Snapshot | None:
    """Return a group's snapshot, or None without one; raise CorruptSnapshotError."""
    path = get_snapshot_path(directory, group)
    if not path.exists():
        return None
    data = path.read_bytes()
    if len(data) < SNAPSHOT_HEADER.size:
        raise CorruptSnapshotError(f"{path} is truncated after {len(data)} bytes")
    magic, checksum, n_membership_bytes, index, term = SNAPSHOT_HEADER.unpack_from(data)
    if magic != SNAPSHOT_MAGIC or zlib.crc32(data[8:]) != checksum:
        raise CorruptSnapshotError(
            f"{path} is damaged: the checksum of bytes 8 to {len(data)} is wrong; "
            f"replace this replica from its peers "
            f"(docs/operators/hosts-and-repair.md)"
        )
    data_offset = SNAPSHOT_HEADER.size + n_membership_bytes
    try:
        membership = _CODEC.decode(data[SNAPSHOT_HEADER.size : data_offset])
    except MalformedFrameError as error:
        raise CorruptSnapshotError(f"{path} is malformed: {error}") from None
    assert isinstance(membership, Membership)
    return Snapshot(index, term, membership, data[data_offset:])
