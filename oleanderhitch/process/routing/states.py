"""Name the roles of a pool queue."""

from enum import Enum


class PoolRole(Enum):
    """Say whether a queue is the pool's only one or a local substitute."""

    OWNER = "owner"
    FALLBACK = "fallback"
