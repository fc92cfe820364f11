"""Disk of a simulated host that keeps the log in real files."""

import tempfile
from pathlib import Path

from oleanderhitch.process.storage.files import SEGMENT_PATTERN
from oleanderhitch.process.storage.messages import SaveSnapshot, WriteRecords
from tests.process.storage.driver import (
    SimulatedDisk,
    close_files,
    open_files,
    write,
)


class FileDisk:
    """Disk for the simulated cluster, backed by a data directory."""

    def __init__(self, parent):
        self.directory = Path(tempfile.mkdtemp(dir=parent))
        self.disk = SimulatedDisk()
        self.pending = []
        self.storage = None

    def write(self, records, acknowledgement=None, snapshot=None):
        """Queue records and a snapshot for the next sync."""
        self.pending.append((records, acknowledgement, snapshot))

    def sync(self, n_writes):
        """Write the oldest requests to files and return their acknowledgements."""
        pending, self.pending = self.pending[:n_writes], self.pending[n_writes:]
        for records, _, snapshot in pending:
            request = WriteRecords(records, self)
            if snapshot is not None:
                group, is_log_kept = records[0].group, records[0].is_log_kept
                request = SaveSnapshot(group, snapshot, is_log_kept, self, None)
            write(self.storage, request)
        return [ack for _, ack, _ in pending if ack is not None]

    def crash(self, random):
        """Drop what is not written, and close the files."""
        self.pending.clear()
        if self.storage is not None:
            close_files(self.storage)
            self.storage = None

    def recover(self):
        """Return the state that a restarted process recovers."""
        self.storage = open_files(self.directory, self.disk)
        return self.storage.take_recovered_group("g")

    def get_last_segment(self):
        """Return the path of the newest segment."""
        return max(self.directory.glob(SEGMENT_PATTERN))

    def get_first_segment(self):
        """Return the path of the oldest segment."""
        return min(self.directory.glob(SEGMENT_PATTERN))
