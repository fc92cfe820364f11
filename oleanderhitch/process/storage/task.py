"""Run the storage task, which alone writes to the process's data directory."""

import os
from functools import partial, singledispatch
from pathlib import Path

import gevent
import logbook
from gevent.util import wrap_errors
from msgspec import Struct

from oleanderhitch.process.clock import Clock
from oleanderhitch.process.ids import GroupId, NodeId, ReplicaId
from oleanderhitch.process.mailbox import Address, send_with_retry
from oleanderhitch.process.storage.core import (
    Segment,
    StorageLimits,
    StorageState,
    handle,
    track_record,
)
from oleanderhitch.process.storage.disk import Disk, make_system_disk
from oleanderhitch.process.storage.exceptions import CorruptLogError, StorageError
from oleanderhitch.process.storage.files import (
    get_segment_path,
    read_snapshot,
    sync_directory,
    write_snapshot,
)
from oleanderhitch.process.storage.identity import (
    load_or_create_identity,
    lock_directory,
)
from oleanderhitch.process.storage.log_files import LogEnd, read_log
from oleanderhitch.process.storage.messages import (
    BatchFailed,
    BatchWritten,
    DeleteSegments,
    Record,
    SendReply,
    WriteBatch,
)
from oleanderhitch.process.storage.records import encode_frame
from oleanderhitch.process.storage.recovery import (
    RecoveredGroup,
    RecoveredGroups,
    apply_record,
    describe_log_gap,
    make_missing_snapshot_record,
)
from oleanderhitch.process.task import Task, make_task

# A dropped request would leave a gap in a group's log, so the mailbox must never be
# full. Callers' requests are rejected long before this many messages wait.
MAILBOX_CAPACITY_MESSAGES = 200_000


class LogWriter(Struct):
    """Open segment, to which one batch at a time is written.

    `descriptor` is that of the segment's file.
    """

    directory: Path
    disk: Disk
    descriptor: int
    last_frame_number: int
    batch_greenlet: gevent.Greenlet | None = None


class OpenedDirectory(Struct):
    """A locked data directory, with what its files have."""

    replica: ReplicaId
    groups: RecoveredGroups
    state: StorageState
    writer: LogWriter
    lock_descriptor: int


class Storage(Struct):
    """Open data directory, its recovered groups and the task that owns it."""

    replica: ReplicaId
    groups: dict[GroupId, RecoveredGroup]
    task: Task[StorageState]
    writer: LogWriter
    lock_descriptor: int

    @property
    def disk(self) -> Disk:
        """The disk that the directory is written through."""
        return self.writer.disk

    def send(self, message: object) -> None:
        """Send a request to the task."""
        self.task.send(message)

    def take_recovered_group(self, group: GroupId) -> RecoveredGroup:
        """Return the state recovered for a group and drop it; empty for a new group."""
        return self.groups.pop(group, RecoveredGroup())

    def start(self) -> None:
        """Start the task."""
        self.task.start()

    def close(self) -> None:
        """Stop the task, close the files and unlock the directory."""
        self.task.stop()
        self.task.join()
        if self.writer.batch_greenlet is not None:
            self.writer.batch_greenlet.join()
        os.close(self.writer.descriptor)
        os.close(self.lock_descriptor)


def open_storage(
    directory: Path,
    node: NodeId,
    clock: Clock,
    limits: StorageLimits | None = None,
    disk: Disk | None = None,
) -> Storage:
    """Open a data directory and recover its groups; raise StorageError or OSError.

    Other greenlets run meanwhile.
    """
    started_at = clock.now()
    pool = gevent.get_hub().threadpool
    # Errors are returned, since the pool logs those that are raised.
    opened = pool.apply(
        wrap_errors((OSError, StorageError), _open_directory),
        (directory, node, limits or StorageLimits(), disk or make_system_disk()),
    )
    if not isinstance(opened, OpenedDirectory):
        raise opened
    state = opened.state
    logbook.Logger("storage").info(
        "log read",
        directory=directory.name,
        n_segments=len(state.segments),
        n_bytes=sum(segment.n_bytes for segment in state.segments),
        n_entries=sum(len(group.entries) for group in opened.groups.values()),
        took_ms=round((clock.now() - started_at).total_seconds() * 1000),
    )
    return _make_storage(opened, clock)


def _open_directory(
    directory: Path, node: NodeId, limits: StorageLimits, disk: Disk
) -> OpenedDirectory:
    """Lock a data directory and read its files; raise StorageError or OSError.

    Runs in a thread, since a sync would block the gevent hub.
    """
    directory.mkdir(parents=True, exist_ok=True)
    lock_descriptor = lock_directory(directory)
    writer: LogWriter | None = None
    try:
        replica = load_or_create_identity(directory, node, disk)
        groups: RecoveredGroups = {}
        state = StorageState(limits, [])
        end = read_log(directory, partial(_load_frame, state, groups))
        writer = _open_writer(directory, disk, state, end)
        _load_snapshots(directory, state, groups, writer)
    except (OSError, StorageError) as error:
        os.close(lock_descriptor)
        if writer is not None:
            os.close(writer.descriptor)
        if isinstance(error, StorageError):
            raise
        raise StorageError(
            f"data directory {directory} can't be used: {error}"
        ) from error
    return OpenedDirectory(replica, groups, state, writer, lock_descriptor)


def _make_storage(opened: OpenedDirectory, clock: Clock) -> Storage:
    writer = opened.writer
    log = logbook.Logger("storage")

    def perform(effect: object) -> None:
        _perform(effect, writer, task, log)

    task = make_task(
        "storage",
        opened.state,
        handle,
        perform,
        clock,
        capacity_messages=MAILBOX_CAPACITY_MESSAGES,
    )
    return Storage(opened.replica, opened.groups, task, writer, opened.lock_descriptor)


def _load_frame(
    state: StorageState,
    groups: RecoveredGroups,
    segment_number: int,
    records: list[Record],
    n_bytes: int,
) -> None:
    if not state.segments or state.segments[-1].number != segment_number:
        state.segments.append(Segment(segment_number))
    segment = state.segments[-1]
    segment.n_bytes += n_bytes
    for record in records:
        track_record(state, segment, record)
        apply_record(record, groups)


def _open_writer(
    directory: Path, disk: Disk, state: StorageState, end: LogEnd
) -> LogWriter:
    number = max(end.segment_number, 1)
    if not state.segments or state.segments[-1].number != number:
        state.segments.append(Segment(number))
    return LogWriter(
        directory, disk, _open_segment(directory, number), end.last_frame_number
    )


def _open_segment(directory: Path, number: int) -> int:
    path = get_segment_path(directory, number)
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
    descriptor = os.open(path, flags, 0o600)
    sync_directory(directory)
    return descriptor


def _load_snapshots(
    directory: Path, state: StorageState, groups: RecoveredGroups, writer: LogWriter
) -> None:
    for group, recovered in groups.items():
        recovered.snapshot = read_snapshot(directory, group)
        missing_record = make_missing_snapshot_record(group, recovered)
        if missing_record is not None:
            segment = state.segments[-1]
            segment.n_bytes += _write_records(writer, (missing_record,))
            track_record(state, segment, missing_record)
            apply_record(missing_record, groups)
        gap = describe_log_gap(recovered)
        if gap:
            raise CorruptLogError(f"{directory}, group {group}: {gap}")


def _write_records(writer: LogWriter, records: tuple[Record, ...]) -> int:
    frame = encode_frame(writer.last_frame_number + 1, records)
    writer.disk.append(writer.descriptor, frame)
    writer.disk.sync(writer.descriptor)
    writer.last_frame_number += 1
    return len(frame)


def write_batch(writer: LogWriter, batch: WriteBatch) -> int:
    """Make a batch durable and return the number of bytes appended to the log.

    Runs in a thread, since a sync would block the gevent hub.
    """
    if batch.is_new_segment:
        os.close(writer.descriptor)
        writer.descriptor = _open_segment(writer.directory, batch.segment_number)
    if batch.snapshot is not None:
        request = batch.snapshot
        write_snapshot(writer.directory, request.group, request.snapshot, writer.disk)
    return _write_records(writer, batch.records)


def delete_segments(directory: Path, segment_numbers: tuple[int, ...]) -> None:
    """Delete segments, oldest first, so that a crash leaves no gap between segments.

    A loss of power may undo any of the removals that are not synced, so each is synced
    before the next one. Runs in a thread, since a sync would block the gevent hub.
    """
    for number in segment_numbers:
        get_segment_path(directory, number).unlink(missing_ok=True)
        sync_directory(directory)


@singledispatch
def _perform(
    effect: object, writer: LogWriter, task: Address, log: logbook.Logger
) -> None:
    raise StorageError(f"storage does not support effect type {type(effect).__name__}")


@_perform.register
def _(
    effect: WriteBatch, writer: LogWriter, task: Address, log: logbook.Logger
) -> None:
    writer.batch_greenlet = gevent.spawn(_run_batch, effect, writer, task, log)


def _run_batch(
    batch: WriteBatch, writer: LogWriter, task: Address, log: logbook.Logger
) -> None:
    pool = gevent.get_hub().threadpool
    try:
        n_bytes = pool.apply(write_batch, (writer, batch))
    except OSError as error:
        reason = (
            f"can't write to {writer.directory}: {error}; this replica stops, "
            f"free or replace the disk and start the process again"
        )
        log.error("{}", reason)
        task.send(BatchFailed(reason))
    else:
        task.send(BatchWritten(n_bytes))


@_perform.register
def _(
    effect: DeleteSegments, writer: LogWriter, task: Address, log: logbook.Logger
) -> None:
    gevent.spawn(_run_deletion, effect, writer, log)


def _run_deletion(
    deletion: DeleteSegments, writer: LogWriter, log: logbook.Logger
) -> None:
    pool = gevent.get_hub().threadpool
    try:
        pool.apply(delete_segments, (writer.directory, deletion.segment_numbers))
    except OSError as error:
        log.warning("can't remove old log segments: {}", error)


@_perform.register
def _(effect: SendReply, writer: LogWriter, task: Address, log: logbook.Logger) -> None:
    # A lost acknowledgement would block the group forever.
    send_with_retry(effect.reply_address, effect.message)
