"""Guard against a recovered log that differs from what was acknowledged."""

import shutil
import tempfile
from itertools import product
from pathlib import Path

import gevent
import pytest
from gevent import monkey
from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.replication.messages import (
    HardState,
    LogEntry,
    Membership,
    Snapshot,
)
from oleanderhitch.process.replication.states import EntryKind
from oleanderhitch.process.storage import core
from oleanderhitch.process.storage.exceptions import (
    CorruptLogError,
    CorruptSnapshotError,
    DirectoryInUseError,
    StorageError,
)
from oleanderhitch.process.storage.files import (
    SEGMENT_PATTERN,
    get_segment_number,
    get_snapshot_path,
    write_snapshot,
)
from oleanderhitch.process.storage.log_files import read_log
from oleanderhitch.process.storage.messages import (
    BatchFailed,
    EntryRecord,
    FoundingRecord,
    HardStateRecord,
    SaveSnapshot,
    SendReply,
    SnapshotRequested,
    TruncationRecord,
    WriteFailed,
    WriteRecords,
)
from oleanderhitch.process.storage.recovery import RecoveredGroup
from oleanderhitch.process.storage.task import delete_segments
from tests.process.storage.driver import (
    SimulatedDisk,
    close_files,
    open_files,
    write,
)

REPLY = make_mailbox("reply")
LOOP = gevent.get_hub().loop
allocate_lock = monkey.get_original("_thread", "allocate_lock")
GROUPS = ("shard-1", "shard-2")


def make_entry(index, term=1, command=None):
    """Return an entry whose command contains its index by default."""
    command = b"c%d" % index if command is None else command
    return LogEntry(index, term, EntryKind.COMMAND, command)


def write_entries(storage, group, entries):
    """Write entries, each with a sync of its own."""
    for entry in entries:
        write(storage, WriteRecords((EntryRecord(group, entry),), REPLY, entry.index))


def get_only_segment(directory):
    """Return the path of the log's only segment."""
    (path,) = directory.glob(SEGMENT_PATTERN)
    return path


def recover(directory, group="shard-1"):
    """Return the state of a group that a restart recovers."""
    storage = open_files(directory)
    try:
        return storage.take_recovered_group(group)
    finally:
        close_files(storage)


def write_closed_log(directory, n_entries=5):
    """Write a log and close it; return its path and the offset of each frame."""
    storage = open_files(directory)
    starts = []
    for index in range(1, n_entries + 1):
        starts.append(get_only_segment(directory).stat().st_size)
        write_entries(storage, "shard-1", [make_entry(index)])
    close_files(storage)
    return get_only_segment(directory), starts


@given(n_lost=st.integers(1, 10_000), tail=st.binary(max_size=60))
def test_only_a_torn_last_frame_is_truncated(n_lost, tail):
    """Guard against lost or spurious entries after a crash during the last write."""
    with tempfile.TemporaryDirectory() as name:
        path, starts = write_closed_log(Path(name))
        data = path.read_bytes()
        n_kept = max(starts[-1], len(data) - n_lost)
        if n_kept < len(data):
            tail = b"\0" * len(tail)
        path.write_bytes(data[:n_kept] + tail)
        n_whole = 5 if n_kept == len(data) else 4
        recovered = recover(Path(name))
        assert recovered.entries == [
            make_entry(index) for index in range(1, n_whole + 1)
        ]
        assert recover(Path(name)).entries == recovered.entries


@given(position=st.integers(0, 10_000), bit=st.integers(0, 7))
def test_corrupt_middle_is_refused_with_file_and_offset(position, bit):
    """Guard against damage before the last frame that is silently truncated."""
    with tempfile.TemporaryDirectory() as name:
        path, starts = write_closed_log(Path(name))
        data = bytearray(path.read_bytes())
        position %= starts[-1]
        data[position] ^= 1 << bit
        path.write_bytes(data)
        with pytest.raises(CorruptLogError) as caught:
            open_files(Path(name))
        frame_offset = max(start for start in starts if start <= position)
        assert str(path) in str(caught.value)
        reported_offset = int(str(caught.value).split("at byte ")[1].split(":")[0])
        assert frame_offset <= reported_offset <= position


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["append", "overwrite", "truncate", "state", "keep", "replace"]
        ),
        st.sampled_from(GROUPS),
        st.integers(1, 12),
    ),
    max_size=40,
)


@given(STEPS)
def test_recovery_equals_what_was_written(steps):
    """Guard against entries that are lost when segments are started or deleted."""
    model = {group: RecoveredGroup() for group in GROUPS}
    with tempfile.TemporaryDirectory() as name:
        storage = open_files(Path(name))
        for term, (step, group, number) in enumerate(steps, start=1):
            for request in make_requests(step, group, number, term, model[group]):
                write(storage, request)
        close_files(storage)
        storage = open_files(Path(name))
        for group in GROUPS:
            recovered = storage.take_recovered_group(group)
            expected = model[group]
            assert recovered.entries == expected.entries
            assert recovered.hard_state == expected.hard_state
            assert recovered.snapshot == expected.snapshot
        close_files(storage)


def make_requests(step, group, number, term, model):
    """Return the requests of a step, and apply the step to the model."""
    first = model.base_index + 1
    if step == "state":
        model.hard_state = HardState(term, f"r{number}")
        return [WriteRecords((HardStateRecord(group, model.hard_state),), REPLY)]
    if step in ("append", "overwrite", "truncate"):
        last_kept = model.last_index if step == "append" else model.last_index - number
        last_kept = max(last_kept, model.base_index)
        model.entries = [entry for entry in model.entries if entry.index <= last_kept]
        if step == "truncate":
            return [WriteRecords((TruncationRecord(group, last_kept + 1),), REPLY)]
        added = [
            make_entry(last_kept + n, term, b"x" * 90) for n in range(1, number + 1)
        ]
        model.entries.extend(added)
        records = tuple(EntryRecord(group, entry) for entry in added)
        return [WriteRecords(records, REPLY)]
    is_log_kept = step == "keep"
    if is_log_kept and not model.entries:
        return []
    last = model.last_index
    index = min(first + number, last) if is_log_kept else last + number
    entry_term = term
    if is_log_kept:
        entry_term = model.entries[index - first].term
    model.snapshot = Snapshot(index, entry_term, Membership(("a",)), b"state")
    model.base_index = index
    model.entries = [entry for entry in model.entries if entry.index > index]
    return [SaveSnapshot(group, model.snapshot, is_log_kept, REPLY, index)]


def test_segments_are_deleted_once_all_groups_have_snapshots(tmp_path):
    """Guard against a log that grows without bound, also because of an idle group."""
    storage = open_files(tmp_path)
    write_entries(storage, "shard-2", [make_entry(1)])
    replies = []
    for index in range(1, 60):
        record = EntryRecord("shard-1", make_entry(index, 1, b"x" * 100))
        replies.extend(write(storage, WriteRecords((record,), REPLY, index)))
    assert SnapshotRequested() in replies
    snapshot = Snapshot(59, 1, Membership(("a",)), b"state")
    write(storage, SaveSnapshot("shard-1", snapshot, True, REPLY, 0))
    assert len(list(tmp_path.glob(SEGMENT_PATTERN))) > 2
    idle = Snapshot(1, 1, Membership(("a",)), b"idle")
    write(storage, SaveSnapshot("shard-2", idle, True, REPLY, 0))
    assert len(list(tmp_path.glob(SEGMENT_PATTERN))) == 1
    close_files(storage)
    assert recover(tmp_path, "shard-1").snapshot == snapshot
    assert recover(tmp_path, "shard-2").snapshot == idle


def test_power_loss_during_a_removal_leaves_no_gap(tmp_path, monkeypatch):
    """Guard against a store that never starts again, since old segments came back."""
    log, lost_power = tmp_path / "log", tmp_path / "lost-power"
    storage = open_files(log)
    for index in range(1, 60):
        write_entries(storage, "shard-1", [make_entry(index, 1, b"x" * 100)])
    close_files(storage)
    numbers = sorted(map(get_segment_number, log.glob(SEGMENT_PATTERN)))
    assert len(numbers) > 4
    unsynced = {}
    unlink = Path.unlink

    def check_every_subset():
        for kept in product((True, False), repeat=len(unsynced)):
            shutil.rmtree(lost_power, ignore_errors=True)
            shutil.copytree(log, lost_power)
            for is_kept, (name, data) in zip(kept, unsynced.items(), strict=True):
                if is_kept:
                    (lost_power / name).write_bytes(data)
            read_log(lost_power, lambda *frame: None)

    def remove(path, missing_ok=False):
        unsynced[path.name] = path.read_bytes()
        unlink(path, missing_ok)
        check_every_subset()

    monkeypatch.setattr(Path, "unlink", remove)
    monkeypatch.setattr(
        "oleanderhitch.process.storage.task.sync_directory",
        lambda directory: unsynced.clear(),
    )
    delete_segments(log, tuple(numbers[:4]))
    assert not unsynced


def test_snapshot_record_survives_deletion_of_its_segment(tmp_path):
    """Guard against entries lost with the record of the snapshot that they follow."""
    storage = open_files(tmp_path)
    for group in GROUPS:
        entries = [make_entry(index, 1, b"x" * 100) for index in range(1, 21)]
        records = tuple(EntryRecord(group, entry) for entry in entries)
        write(storage, WriteRecords(records, REPLY))
        snapshot = Snapshot(20, 1, Membership(("a",)), b"state")
        write(storage, SaveSnapshot(group, snapshot, True, REPLY, 0))
    write_entries(storage, "shard-1", [make_entry(21)])
    close_files(storage)
    assert [path.name for path in tmp_path.glob(SEGMENT_PATTERN)] == [
        "log-000000000003.wal"
    ]
    assert recover(tmp_path, "shard-1").entries == [make_entry(21)]


def test_nothing_is_written_after_a_failed_sync(tmp_path):
    """Guard against a write after a failed sync, which may have left partial data."""
    disk = SimulatedDisk()
    storage = open_files(tmp_path, disk)
    write_entries(storage, "shard-1", [make_entry(1)])
    disk.is_full = True
    request = WriteRecords((EntryRecord("shard-1", make_entry(2)),), REPLY, 2)
    with pytest.raises(OSError, match="No space left"):
        write(storage, request)
    failed = SendReply(REPLY, WriteFailed("no space"))
    state = storage.task._state
    assert core.handle(BatchFailed("no space"), state, None) == [failed]
    disk.is_full = False
    assert write(storage, request) == [WriteFailed("no space")]
    close_files(storage)
    assert recover(tmp_path).entries == [make_entry(1)]


def test_missing_segment_is_refused(tmp_path):
    """Guard against a missing segment that is taken for the start of the log."""
    storage = open_files(tmp_path)
    entries = [make_entry(index, 1, b"x" * 100) for index in range(1, 60)]
    write_entries(storage, "shard-1", entries)
    close_files(storage)
    paths = sorted(tmp_path.glob(SEGMENT_PATTERN))
    paths[1].unlink()
    with pytest.raises(CorruptLogError, match="segment 2 is missing"):
        open_files(tmp_path)


def test_missing_first_segment_is_refused(tmp_path):
    """Guard against a log whose first entries are missing without a snapshot."""
    storage = open_files(tmp_path)
    entries = [make_entry(index, 1, b"x" * 100) for index in range(1, 30)]
    write_entries(storage, "shard-1", entries)
    close_files(storage)
    min(tmp_path.glob(SEGMENT_PATTERN)).unlink()
    with pytest.raises(CorruptLogError, match="entry 1 is missing"):
        open_files(tmp_path)


def test_crash_between_snapshot_and_its_record(tmp_path):
    """Guard against a crash between a snapshot file and its record in the log.

    Entries written later follow a snapshot that has no record in the log.
    """
    storage = open_files(tmp_path)
    write_entries(storage, "shard-1", [make_entry(index) for index in range(1, 6)])
    other = Snapshot(9, 7, Membership(("a",)), b"other")
    write_snapshot(tmp_path, "shard-1", other, SimulatedDisk())
    close_files(storage)
    assert recover(tmp_path).entries == []
    storage = open_files(tmp_path)
    write_entries(storage, "shard-1", [make_entry(10, 7)])
    close_files(storage)
    recovered = recover(tmp_path)
    assert (recovered.snapshot, recovered.entries) == (other, [make_entry(10, 7)])


def test_corrupt_snapshot_is_refused(tmp_path):
    """Guard against a damaged snapshot that is restored."""
    storage = open_files(tmp_path)
    write_entries(storage, "shard-1", [make_entry(1)])
    snapshot = Snapshot(1, 1, Membership(("a",)), b"state")
    write(storage, SaveSnapshot("shard-1", snapshot, True, REPLY, 0))
    close_files(storage)
    path = get_snapshot_path(tmp_path, "shard-1")
    path.write_bytes(path.read_bytes()[:-1] + b"?")
    with pytest.raises(CorruptSnapshotError, match="checksum"):
        open_files(tmp_path)


def test_second_process_is_refused(tmp_path):
    """Guard against two processes that write to one data directory."""
    storage = open_files(tmp_path)
    with pytest.raises(DirectoryInUseError, match="in use by another process"):
        open_files(tmp_path)
    close_files(storage)
    close_files(open_files(tmp_path))


def test_lost_disk_gets_a_new_identity(tmp_path):
    """Guard against a new disk that votes again under the old replica id.

    A directory that lost only its log or only its identity is refused.
    """
    storage = open_files(tmp_path / "first")
    replica = storage.replica
    close_files(storage)
    storage = open_files(tmp_path / "first")
    assert storage.replica == replica
    close_files(storage)
    storage = open_files(tmp_path / "second")
    assert storage.replica != replica
    write(storage, WriteRecords((FoundingRecord("g", ("a",), True),), REPLY))
    close_files(storage)
    log = get_only_segment(tmp_path / "second")
    data = log.read_bytes()
    log.unlink()
    with pytest.raises(StorageError, match="log is missing"):
        open_files(tmp_path / "second")
    log.write_bytes(data)
    (tmp_path / "second" / "identity.json").unlink()
    with pytest.raises(StorageError, match=r"identity.json is missing"):
        open_files(tmp_path / "second")


class WaitingDisk(SimulatedDisk):
    """Disk whose syncs last until the event loop has run; False if it did not run."""

    def __init__(self):
        super().__init__()
        self.results = []

    def sync(self, descriptor):
        """Wait until a callback of the event loop releases the sync."""
        released = allocate_lock()
        released.acquire()
        LOOP.run_callback_threadsafe(released.release)
        self.results.append(released.acquire(timeout=2))


def test_event_loop_runs_while_a_directory_is_opened(tmp_path):
    """Guard against a store whose other groups stand still while a disk is slow."""
    disk = WaitingDisk()
    close_files(open_files(tmp_path, disk))
    assert disk.results
    assert all(disk.results)
