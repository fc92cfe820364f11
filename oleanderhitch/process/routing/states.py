"""Define the roles of a pool queue."""

from enum import Enum


class QueueRole(Enum):
    """Role of a queue for a pool.

    The pool's owner runs the OWNER queue for all entry hosts. Every entry host has a
    FALLBACK queue for the time in which it can't reach the owner.
    """

    OWNER = "owner"
    FALLBACK = "fallback"
