"""Hops of a request that have spans."""

from enum import Enum


class Hop(Enum):
    """Part of the request path that a span covers."""

    CALLER = "caller"
    ENTRY = "entry"
    SHARD = "shard"
    QUEUE = "queue"
    ATTEMPT = "attempt"
