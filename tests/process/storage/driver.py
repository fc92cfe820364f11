"""Run the storage's decision and file code without tasks or threads."""

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

# Small segments, so that short tests fill several of them.
LIMITS = StorageLimits(segment_bytes=1500, snapshot_threshold_segments=2)


class SimulatedDisk:
    """Disk that can be made full."""

    def __init__(self):
        self.is_full = False

    def append(self, descriptor, data):
        """Write the data, or half of it and raise OSError if the disk is full."""
        if self.is_full:
            os.write(descriptor, data[: len(data) // 2])
            raise OSError(28, "No space left on device")
        os.write(descriptor, data)

    def sync(self, descriptor):
        """Do nothing, since the test process does not crash."""


def open_files(directory, disk=None):
    """Open a data directory with small segments."""
    disk = disk or SimulatedDisk()
    return open_storage(directory, "node", make_system_clock(), LIMITS, disk)


def close_files(storage):
    """Close the files without a shutdown, as if the process had been killed."""
    os.close(storage.writer.descriptor)
    os.close(storage.lock_descriptor)


def write(storage, request):
    """Write one request to the files and return the replies to it."""
    state = storage.task._state
    effects = core.handle(request, state, None)
    replies = []
    while effects:
        effect = effects.pop(0)
        if isinstance(effect, WriteBatch):
            n_bytes = write_batch(storage.writer, effect)
            effects.extend(core.handle(BatchWritten(n_bytes), state, None))
        elif isinstance(effect, DeleteSegments):
            delete_segments(storage.writer.directory, effect.segment_numbers)
        elif isinstance(effect, SendReply):
            replies.append(effect.message)
    return replies
