"""Define the address of a task."""

from typing import Protocol

from oleanderhitch.exceptions import UnavailableError


class MailboxFullError(UnavailableError):
    """Signal that a task has more waiting messages than it may hold."""


class Address(Protocol):
    """Accept messages for a task."""

    def send(self, message: object) -> None:
        """Queue a message; raise MailboxFullError when there is no room."""
