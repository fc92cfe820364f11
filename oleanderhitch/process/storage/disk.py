"""Provide the disk interface and the one real disk."""

import os
from typing import Protocol


class Disk(Protocol):
    """Write bytes and make them durable."""

    def append(self, descriptor: int, data: bytes) -> None:
        """Write all the bytes at the end; raise OSError."""

    def sync(self, descriptor: int) -> None:
        """Return once what was written is durable; raise OSError."""


class SystemDisk:
    """Write through the operating system."""

    def append(self, descriptor: int, data: bytes) -> None:
        """Write all the bytes at the end; raise OSError."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Return once what was written is durable; raise OSError."""
        os.fdatasync(descriptor)


def make_system_disk() -> Disk:
    """Return the real disk."""
    return SystemDisk()
