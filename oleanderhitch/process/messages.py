"""Define the messages that every task accepts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tick:
    """Request a task to check its deadlines."""


@dataclass(frozen=True, slots=True)
class StopTask:
    """Request a task to end after the messages queued before this one."""
