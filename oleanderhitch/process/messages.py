"""Define the messages that every task accepts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tick:
    """Asks a task to check its deadlines."""


@dataclass(frozen=True, slots=True)
class StopTask:
    """Asks a task to end after the messages queued before this one."""
