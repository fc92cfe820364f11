"""Keep the contents of turns in files that are written once.

Each file has the contents that were new in one snapshot. It is synced before the
snapshot that refers to it, and deleted after a snapshot that no longer does.
"""

import os
import weakref
import zlib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import gevent
import logbook
from gevent import monkey
from gevent.util import wrap_errors

from oleanderhitch.process.storage.disk import Disk
from oleanderhitch.process.storage.files import sync_directory
from oleanderhitch.program.exceptions import (
    HistoryCorruptError,
    HistoryUnavailableError,
)
from oleanderhitch.program.turns.contents import get_content_size, read_content
from oleanderhitch.values import Value

FILE_PATTERN = "contents-*.bin"

log = logbook.Logger("contents")
# gevent's own function may hand the descriptor to the event loop of a thread.
close_descriptor = monkey.get_original("os", "close")


def _close_in_thread(loop: Any, descriptor: int) -> None:
    """Close a descriptor in a thread of the pool; may be called in any thread.

    The last close of a deleted file frees its blocks, which takes up to 40 ms, and a
    garbage collection may drop hundreds of files at once.
    """
    try:
        loop.run_callback_threadsafe(gevent.spawn, _close_in_pool, descriptor)
    except ValueError:
        # The loop has been destroyed, so that nothing is delayed by a close.
        close_descriptor(descriptor)


def _close_in_pool(descriptor: int) -> None:
    gevent.get_hub().threadpool.apply(close_descriptor, (descriptor,))


class ContentFile:
    """A file of contents; it can be read after its deletion, until it is dropped."""

    def __init__(self, path: Path, number: int) -> None:
        self.number = number
        self._path = path
        self._descriptor = -1
        # Files are written in threads, whose own loops never run.
        self._loop = gevent.get_hub().loop

    @property
    def descriptor(self) -> int:
        """The descriptor of the open file."""
        return self._descriptor

    def write(self, chunks: Sequence[bytes | memoryview], disk: Disk) -> None:
        """Write and sync the whole file, and leave it open; raise OSError."""
        for chunk in chunks:
            self.append(chunk, disk)
        self.sync(disk)

    def append(self, chunk: bytes | memoryview, disk: Disk) -> None:
        """Write bytes at the end of the file, which the first ones create."""
        if self._descriptor < 0:
            flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
            self._keep_open(os.open(self._path, flags, 0o600))
        disk.append(self._descriptor, chunk)

    def sync(self, disk: Disk) -> None:
        """Make the file and its name durable; raise OSError."""
        disk.sync(self._descriptor)
        sync_directory(self._path.parent)

    def open(self) -> None:
        """Open a file that an earlier process wrote; raise OSError."""
        self._keep_open(os.open(self._path, os.O_RDONLY))

    def read(self, offset: int, n_bytes: int) -> bytes:
        """Return bytes of the file; raise OleanderhitchError if it is not readable."""
        try:
            data = os.pread(self._descriptor, n_bytes, offset)
        except OSError as error:
            raise HistoryUnavailableError(
                f"cannot read {self._path}: {error}"
            ) from error
        if len(data) != n_bytes:
            raise HistoryCorruptError(
                f"{self._path} has {len(data)} of {n_bytes} bytes at {offset}; "
                f"restore this replica"
            )
        return data

    def _keep_open(self, descriptor: int) -> None:
        self._descriptor = descriptor
        finalizer = weakref.finalize(self, _close_in_thread, self._loop, descriptor)
        # The end of the process closes its descriptors.
        finalizer.atexit = False


class StoredContent(Value, frozen=True):
    """The content of a turn in a file."""

    file: ContentFile
    offset: int
    n_bytes: int
    checksum: int


@get_content_size.register
def _(content: StoredContent) -> int:
    return content.n_bytes


@read_content.register
def _(content: StoredContent) -> bytes:
    data = content.file.read(content.offset, content.n_bytes)
    check_content(data, content.checksum)
    return data


def check_content(data: bytes | memoryview, checksum: int) -> None:
    """Raise HistoryCorruptError if a content has another checksum."""
    if zlib.crc32(data) != checksum:
        raise HistoryCorruptError(
            "the checksum of a turn's content is wrong; restore this replica"
        )


class ContentDirectory:
    """Names, opens and deletes the content files of one replica."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        # Runs in a thread, since a slow disk would block the event loop.
        numbers = gevent.get_hub().threadpool.apply(wrap_errors(OSError, self._prepare))
        if isinstance(numbers, OSError):
            raise numbers
        self._last_number = max(numbers, default=0)
        # The files that are being written, to which no snapshot refers yet.
        self._held: set[int] = set()
        self._due_removal: tuple[set[int], int] | None = None
        self._removal: gevent.Greenlet | None = None

    def _prepare(self) -> list[int]:
        self._directory.mkdir(parents=True, exist_ok=True)
        return self._list_numbers()

    def make_file(self) -> ContentFile:
        """Return a new file, which is not written yet."""
        self._last_number += 1
        return ContentFile(self._get_path(self._last_number), self._last_number)

    def hold(self, file: ContentFile) -> None:
        """Keep a file that no snapshot refers to yet."""
        self._held.add(file.number)

    def release(self, file: ContentFile) -> None:
        """Leave it to the snapshots whether a file is kept."""
        self._held.discard(file.number)

    def remove_unused(self, kept: set[int]) -> None:
        """Start to delete all files but the given ones and those that are held."""
        self.remove_others(kept, self._last_number)

    def open_file(self, number: int) -> ContentFile:
        """Return a file that an earlier process wrote.

        Raise HistoryUnavailableError if it can't be opened.
        """
        path = self._get_path(number)
        file = ContentFile(path, number)
        try:
            file.open()
        except OSError as error:
            raise HistoryUnavailableError(f"cannot open {path}: {error}") from error
        return file

    def remove_others(self, kept: set[int], newest: int) -> None:
        """Start to delete the files up to a number that no snapshot refers to.

        Files that can't be deleted are left for the next removal.
        """
        self._due_removal = (kept | self._held, newest)
        if self._removal is None or self._removal.dead:
            self._removal = gevent.spawn(self._run_removals)

    def join_removal(self) -> None:
        """Wait until no file is being deleted."""
        if self._removal is not None:
            self._removal.join()

    def _run_removals(self) -> None:
        pool = gevent.get_hub().threadpool
        while self._due_removal is not None:
            due, self._due_removal = self._due_removal, None
            # Runs in a thread, since a slow disk would block the event loop.
            error = pool.apply(wrap_errors(OSError, self._remove_others), due)
            if error is not None:
                log.warning("old contents can't be removed", error=str(error))

    def _remove_others(self, kept: set[int], newest: int) -> None:
        for number in self._list_numbers():
            if number <= newest and number not in kept:
                self._get_path(number).unlink(missing_ok=True)

    def _list_numbers(self) -> list[int]:
        return [
            int(path.stem.removeprefix("contents-"))
            for path in self._directory.glob(FILE_PATTERN)
        ]

    def _get_path(self, number: int) -> Path:
        return self._directory / f"contents-{number:012d}.bin"


def make_content_directory(directory: Path) -> ContentDirectory:
    """Return the owner of a directory, which is created; raise OSError."""
    return ContentDirectory(directory)
