"""Guard against leaked file descriptors, which exhaust the limit of the process."""

import os
from collections.abc import Callable
from pathlib import Path

import pytest

from oleanderhitch.process.replication.messages import Membership, Snapshot
from oleanderhitch.process.storage.exceptions import StorageError
from oleanderhitch.process.storage.files import get_snapshot_path
from oleanderhitch.process.storage.messages import SaveSnapshot
from tests.process.storage.driver import close_files, open_files, write
from tests.process.storage.test_files import REPLY, make_entry, write_entries


def count_descriptors() -> int:
    """Return the number of this process's open descriptors."""
    return len(os.listdir("/proc/self/fd"))


def fill_segments(directory: Path) -> None:
    """Write several segments and a snapshot that replaces the old ones."""
    storage = open_files(directory)
    entries = [make_entry(index, 1, b"x" * 100) for index in range(1, 40)]
    write_entries(storage, "shard-1", entries)
    snapshot = Snapshot(30, 1, Membership(), b"state")
    write(storage, SaveSnapshot("shard-1", snapshot, True, REPLY, None))
    close_files(storage)


def reopen(directory: Path) -> None:
    """Open and close a directory several times, as restarts do."""
    fill_segments(directory / "filled")
    for _ in range(3):
        close_files(open_files(directory / "filled"))


def open_damaged(directory: Path) -> None:
    """Try several times to open a directory whose snapshot is damaged."""
    fill_segments(directory / "damaged")
    path = get_snapshot_path(directory / "damaged", "shard-1")
    path.write_bytes(path.read_bytes()[:-1] + b"?")
    for _ in range(3):
        with pytest.raises(StorageError):
            open_files(directory / "damaged")


@pytest.mark.parametrize("use", [reopen, open_damaged])
def test_no_descriptors_leak(tmp_path, use: Callable) -> None:
    """Guard against descriptors of deleted segments and closed directories.

    The first run opens what stays open for the whole process.
    """
    use(tmp_path / "warm")
    n_before = count_descriptors()
    use(tmp_path / "measured")
    assert count_descriptors() == n_before
