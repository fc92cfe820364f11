"""Define the messages that every task accepts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tick:
    """Makes a task check its deadlines."""


@dataclass(frozen=True, slots=True)
class StopTask:
    """Ends a task after the messages queued before this one."""
