"""The snapshot of a site's group, whose contents of turns stay in files.

A snapshot is transferred as its index, which has everything but the contents, followed
by the contents. It is stored as the index and the places of the contents: only those
that are new since the last snapshot are written, to a file of their own.
"""

import struct
import zlib
from bisect import bisect_right
from collections.abc import Iterator, Sequence
from itertools import accumulate

import msgpack

from oleanderhitch.process.replication.snapshot_data import count_stored_bytes
from oleanderhitch.process.storage.disk import Disk
from oleanderhitch.process.storage.files import store_snapshot_data
from oleanderhitch.program.exceptions import SnapshotError
from oleanderhitch.program.turns.content_files import (
    ContentDirectory,
    ContentFile,
    StoredContent,
)
from oleanderhitch.program.turns.contents import read_content
from oleanderhitch.request.ids import RequestId

# Length of the index in bytes.
INDEX_HEADER = struct.Struct("<I")


class NewContents:
    """The contents that one snapshot adds, in memory until they are written."""

    def __init__(self, file: ContentFile) -> None:
        self.file = file
        self.places: dict[RequestId, StoredContent] = {}
        self._chunks: list[bytes | memoryview] = []
        self._n_bytes = 0

    def add(self, request: RequestId, content: bytes | memoryview) -> StoredContent:
        """Add the content of a turn and return its place in the file."""
        place = StoredContent(
            self.file, self._n_bytes, len(content), zlib.crc32(content)
        )
        self.places[request] = place
        self._chunks.append(content)
        self._n_bytes += len(content)
        return place

    def write(self, disk: Disk) -> None:
        """Write and sync the file, and drop the contents; raise OSError."""
        if self._chunks:
            self.file.write(self._chunks, disk)
            self._chunks = []


class SiteSnapshot:
    """A snapshot whose contents can be read once it is stored."""

    def __init__(
        self,
        index: bytes,
        contents: Sequence[StoredContent],
        new_contents: NewContents | None = None,
        received_file: ContentFile | None = None,
    ) -> None:
        self.index = index
        self.contents = contents
        self.new_contents = new_contents
        self.received_file = received_file
        self._head = INDEX_HEADER.pack(len(index)) + index
        # The offset of each content in the transferred form, and the end of the last.
        self._offsets = list(
            accumulate(
                (content.n_bytes for content in contents), initial=len(self._head)
            )
        )

    @property
    def file_numbers(self) -> set[int]:
        """The numbers of the files that have the contents."""
        return {content.file.number for content in self.contents}

    @property
    def n_stored_bytes(self) -> int:
        """The size of what is written for each snapshot, without new contents."""
        return len(self.index)

    def __len__(self) -> int:
        return self._offsets[-1]

    def __getitem__(self, part: slice, /) -> bytes:
        start, stop, _ = part.indices(len(self))
        return b"".join(self._list_parts(start, stop))

    def _list_parts(self, start: int, stop: int) -> Iterator[bytes]:
        if start < len(self._head):
            yield self._head[start:stop]
            start = len(self._head)
        position = max(0, bisect_right(self._offsets, start) - 1)
        while start < stop and position < len(self.contents):
            content = self.contents[position]
            first = start - self._offsets[position]
            n_bytes = min(content.n_bytes - first, stop - start)
            if n_bytes:
                yield content.file.read(content.offset + first, n_bytes)
            start += n_bytes
            position += 1


@count_stored_bytes.register
def _(data: SiteSnapshot) -> int:
    return data.n_stored_bytes


@store_snapshot_data.register
def _(data: SiteSnapshot, disk: Disk) -> bytes:
    if data.new_contents is not None:
        data.new_contents.write(disk)
    stored: bytes = msgpack.packb(
        [
            data.index,
            [content.file.number for content in data.contents],
            [content.offset for content in data.contents],
            [content.n_bytes for content in data.contents],
            [content.checksum for content in data.contents],
        ]
    )
    return stored


def load_site_snapshot(stored: bytes, directory: ContentDirectory) -> SiteSnapshot:
    """Return a stored snapshot.

    Raise SnapshotError if it is malformed, HistoryUnavailableError if a file of
    contents can't be opened.
    """
    try:
        index, numbers, offsets, sizes, checksums = msgpack.unpackb(stored)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise SnapshotError(f"the stored snapshot is malformed: {error}") from None
    files = {number: directory.open_file(number) for number in set(numbers)}
    places = zip(numbers, offsets, sizes, checksums, strict=True)
    return SiteSnapshot(
        index,
        tuple(
            StoredContent(files[number], offset, n_bytes, checksum)
            for number, offset, n_bytes, checksum in places
        ),
    )


class ReceivedSnapshot:
    """A transferred snapshot in a file of contents, which it stays in."""

    def __init__(self, file: ContentFile, n_bytes: int) -> None:
        self.file = file
        self._n_bytes = n_bytes

    def __len__(self) -> int:
        return self._n_bytes

    def __getitem__(self, part: slice, /) -> bytes:
        start, stop, _ = part.indices(self._n_bytes)
        return self.file.read(start, max(0, stop - start))

    def read_index(self) -> bytes:
        """Return the index; raise OleanderhitchError if it is truncated."""
        header = self[: INDEX_HEADER.size]
        end = INDEX_HEADER.size
        if len(header) == end:
            end += INDEX_HEADER.unpack(header)[0]
        if self._n_bytes < end:
            raise SnapshotError(f"the snapshot is truncated after {len(self)} bytes")
        return self[INDEX_HEADER.size : end]

    def locate_contents(
        self, n_index_bytes: int, sizes: Sequence[tuple[int, int]]
    ) -> list[StoredContent]:
        """Return the places of the contents of the given sizes and checksums.

        Raise SnapshotError if one is truncated, HistoryCorruptError if one is damaged.
        Reads one content at a time, and runs in a thread.
        """
        places = []
        offset = INDEX_HEADER.size + n_index_bytes
        for n_bytes, checksum in sizes:
            if offset + n_bytes > self._n_bytes:
                raise SnapshotError("the contents of a snapshot are truncated")
            place = StoredContent(self.file, offset, n_bytes, checksum)
            read_content(place)
            places.append(place)
            offset += n_bytes
        return places


class ContentSink:
    """Writes a snapshot of another replica to a file of contents as it arrives."""

    def __init__(self, directory: ContentDirectory) -> None:
        self._directory = directory
        self._file = directory.make_file()
        self._n_bytes = 0
        directory.hold(self._file)

    def append(self, piece: bytes, disk: Disk) -> None:
        """Write a piece; raise OSError."""
        self._file.append(piece, disk)
        self._n_bytes += len(piece)

    def finish(self, disk: Disk) -> ReceivedSnapshot:
        """Sync the file and return the snapshot in it; raise OSError."""
        self._file.sync(disk)
        return ReceivedSnapshot(self._file, self._n_bytes)

    def discard(self) -> None:
        """Leave the file to the next removal."""
        self._directory.release(self._file)


def make_content_sink(directory: ContentDirectory) -> ContentSink:
    """Return a sink with a new file of the directory."""
    return ContentSink(directory)
