"""Define the messages that every task accepts."""

from oleanderhitch.values import Value


class Tick(Value, frozen=True):
    """Makes a task check its deadlines."""


class StopTask(Value, frozen=True):
    """Ends a task after the messages queued before this one."""
