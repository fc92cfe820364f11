"""Define the disk interface and its implementation by the operating system."""

import os
from typing import Protocol


class Disk(Protocol):
    """Interface that writes bytes and makes them durable."""

    def append(self, descriptor: int, data: bytes | memoryview) -> None:
        """Write all bytes at the end of the file; raise OSError."""

    def sync(self, descriptor: int) -> None:
        """Make all written bytes durable; raise OSError."""


class SystemDisk:
    """Disk that uses the system calls write and fdatasync."""

    def append(self, descriptor: int, data: bytes | memoryview) -> None:
        """Write all bytes at the end of the file; raise OSError."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Make all written bytes durable; raise OSError."""
        os.fdatasync(descriptor)


def make_system_disk() -> Disk:
    """Return the disk of the operating system."""
    return SystemDisk()
