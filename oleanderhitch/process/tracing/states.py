"""Name the hops that a trace shows."""

from enum import Enum


class Hop(Enum):
    """Say which part of the request path a span covers."""

    CALLER = "caller"
    ENTRY = "entry"
    SHARD = "shard"
    QUEUE = "queue"
    ATTEMPT = "attempt"
