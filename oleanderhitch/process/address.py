"""Define the interface through which tasks receive messages."""

from typing import Protocol

from oleanderhitch.exceptions import UnavailableError


class MailboxFullError(UnavailableError):
    """The mailbox of a task has reached its capacity."""


class Address(Protocol):
    """Destination of messages to a task."""

    def send(self, message: object) -> None:
        """Enqueue a message; raise MailboxFullError if the mailbox is full."""
