"""Define the messages that every task understands."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tick:
    """Ask a task to look at its deadlines."""


@dataclass(frozen=True, slots=True)
class StopTask:
    """Ask a task to end after the messages before this one."""
