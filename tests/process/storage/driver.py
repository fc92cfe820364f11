"""Drive the storage decisions and the file code without tasks or threads."""

import os

from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.storage import core
from oleanderhitch.process.storage.core import StorageLimits
from oleanderhitch.process.storage.messages import (
    BatchWritten,
    DeleteSegments,
    SendReply,
    WriteBatch,
)
from oleanderhitch.process.storage.task import (
    delete_segments,
    open_storage,
    write_batch,
)

# Small, so that short tests fill several segments.
LIMITS = StorageLimits(segment_bytes=1500, snapshot_threshold_segments=2)


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


def open_files(directory, disk=None):
    """Open a data directory with small segments."""
    disk = disk or SimulatedDisk()
    return open_storage(directory, "node", make_system_clock(), LIMITS, disk)


def close_files(storage):
    """Close the files as the end of the process does."""
    os.close(storage.writer.descriptor)
    os.close(storage.lock_descriptor)


def write(storage, request):
    """Write one request to the files; return the replies to it."""
    state = storage.task._state
    effects = core.handle(request, state, None)
    replies = []
    while effects:
        effect = effects.pop(0)
        if isinstance(effect, WriteBatch):
            n_bytes = write_batch(storage.writer, effect)
            effects.extend(core.handle(BatchWritten(n_bytes), state, None))
        elif isinstance(effect, DeleteSegments):
            delete_segments(storage.writer.directory, effect.segments)
        elif isinstance(effect, SendReply):
            replies.append(effect.message)
    return replies
