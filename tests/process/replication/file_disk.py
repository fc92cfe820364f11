"""Keep a simulated host's log in real files, without tasks or threads."""

import os
import tempfile
from pathlib import Path

from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.storage import core
from oleanderhitch.process.storage.core import StorageLimits
from oleanderhitch.process.storage.files import SEGMENT_PATTERN
from oleanderhitch.process.storage.messages import (
    BatchWritten,
    DeleteSegments,
    SaveSnapshot,
    WriteBatch,
    WriteRecords,
)
from oleanderhitch.process.storage.task import (
    delete_segments,
    open_storage,
    write_batch,
)

# Small, so that short scenarios fill several segments.
LIMITS = StorageLimits(segment_bytes=1500, n_segments=2)


class SimulatedDisk:
    """Fake a disk that can be full."""

    def __init__(self):
        self.is_full = False

    def append(self, descriptor, data):
        """Write a part and fail when the disk is full."""
        if self.is_full:
            os.write(descriptor, data[: len(data) // 2])
            raise OSError(28, "No space left on device")
        os.write(descriptor, data)

    def sync(self, descriptor):
        """Count the bytes as durable; the test's process doesn't crash."""


class FileDisk:
    """Drive the storage decisions and the file code of one data directory."""

    def __init__(self, parent):
        self.directory = Path(tempfile.mkdtemp(dir=parent))
        self.disk = SimulatedDisk()
        self.pending = []
        self.storage = None

    def write(self, records, acknowledgement=None, snapshot=None):
        """Queue records and a snapshot for the next sync."""
        self.pending.append((records, acknowledgement, snapshot))

    def sync(self):
        """Write everything to the files and return the acknowledgements."""
        pending, self.pending = self.pending, []
        state = self.storage.task._state
        for records, _, snapshot in pending:
            request = WriteRecords(records, self)
            if snapshot is not None:
                record = records[0]
                request = SaveSnapshot(
                    record.group, snapshot, record.is_log_kept, self, None
                )
            effects = core.handle(request, state, None)
            while effects:
                effects = self._perform(effects, state)
        return [ack for _, ack, _ in pending if ack is not None]

    def _perform(self, effects, state):
        later = []
        for effect in effects:
            if isinstance(effect, WriteBatch):
                n_bytes = write_batch(self.storage.writer, effect)
                later.extend(core.handle(BatchWritten(n_bytes), state, None))
            elif isinstance(effect, DeleteSegments):
                delete_segments(self.storage.writer.directory, effect.segments)
        return later

    def crash(self, random):
        """Lose what is not written."""
        self.pending.clear()
        self.release()

    def release(self):
        """Close the files as the end of the process does."""
        if self.storage is not None:
            os.close(self.storage.writer.descriptor)
            os.close(self.storage.lock_descriptor)
            self.storage = None

    def recover(self):
        """Return what a restarted process finds."""
        self.storage = open_storage(
            self.directory, "node", make_system_clock(), LIMITS, self.disk
        )
        return self.storage.find_group("g")

    def get_last_segment(self):
        """Return the path of the newest segment."""
        return max(self.directory.glob(SEGMENT_PATTERN))

    def get_first_segment(self):
        """Return the path of the oldest segment."""
        return min(self.directory.glob(SEGMENT_PATTERN))
