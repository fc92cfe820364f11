"""Provide the bounded queue in which a task receives messages."""

from datetime import timedelta

import gevent
from gevent import queue as gevent_queue

from oleanderhitch.process.address import Address as Address
from oleanderhitch.process.address import MailboxFullError as MailboxFullError

MAILBOX_CAPACITY_MESSAGES = 10_000
FULL_MAILBOX_RETRY_INTERVAL = timedelta(milliseconds=10)


class Mailbox:
    """Bounded queue of the messages that a task has not handled yet."""

    def __init__(self, name: str, capacity_messages: int) -> None:
        self._name = name
        self._queue: gevent_queue.Queue = gevent_queue.Queue(capacity_messages)

    @property
    def n_waiting(self) -> int:
        """The number of queued messages."""
        return int(self._queue.qsize())

    def send(self, message: object) -> None:
        """Enqueue a message; raise MailboxFullError if the mailbox is full."""
        try:
            self._queue.put_nowait(message)
        except gevent_queue.Full:
            raise MailboxFullError(
                f"mailbox {self._name} holds its maximum of "
                f"{self._queue.maxsize} messages; slow the sender down"
            ) from None

    def receive(self, timeout: timedelta | None = None) -> object | None:
        """Return the next message, or None after the timeout."""
        seconds = None if timeout is None else max(0.0, timeout.total_seconds())
        try:
            message: object = self._queue.get(timeout=seconds)
        except gevent_queue.Empty:
            return None
        return message


def make_mailbox(
    name: str, capacity_messages: int = MAILBOX_CAPACITY_MESSAGES
) -> Mailbox:
    """Return an empty mailbox."""
    return Mailbox(name, capacity_messages)


def send_with_retry(address: Address, message: object) -> None:
    """Send a message that must not be lost, again and again if the mailbox is full."""
    try:
        address.send(message)
    except MailboxFullError:
        delay_s = FULL_MAILBOX_RETRY_INTERVAL.total_seconds()
        gevent.spawn_later(delay_s, send_with_retry, address, message)
