"""Bound the memory of a process that its callers and endpoints make it hold.

Answers crowds of callers and floods of endpoints: bounds of each request and response
are no bound of the host, because a hundred below them may take more than it has. Each
share may hold as much as is free, as in switches with shared buffers (Choudhury and
Hahne, "Dynamic queue length thresholds", 1998): few large messages fit, many are cut
short, and small ones always find room. Where nothing is free, the largest request that
has not arrived whole makes room for smaller ones and for what is already running.
"""

from collections.abc import Callable

# For processes that are told no limit of their memory.
DEFAULT_BUDGET_BYTES = 32 * 1024 * 1024
# Part of the memory of a host that requests and responses may hold. The process itself
# takes up to a half, and a message takes twice its size while it grows and is sent on.
TRAFFIC_MEMORY_SHARE = 0.125
# Room for one body of the default limit, 4 MiB, beside small requests.
BUDGET_BYTES_MIN = 9 * 1024 * 1024
# What every share may hold, so that floods do not break off the sound ones.
FREE_SHARE_BYTES = 16 * 1024


class TrafficMemory:
    """Owner of the budget of one process; its shares belong to one message each.

    All shares together hold the budget and `FREE_SHARE_BYTES` each at most.
    """

    def __init__(self, budget_bytes: int) -> None:
        self._budget_bytes = budget_bytes
        self._n_bytes = 0
        # Shares above FREE_SHARE_BYTES that may be evicted, oldest first.
        self._evictable: dict[MemoryShare, None] = {}

    @property
    def n_bytes(self) -> int:
        """The bytes that all shares hold."""
        return self._n_bytes

    @property
    def n_evictable_bytes(self) -> int:
        """The bytes of large requests that have not arrived whole."""
        return sum(share.n_bytes for share in self._evictable)

    def make_share(self, evict: Callable[[], None] | None = None) -> "MemoryShare":
        """Return an empty share; `evict`, if given, must close it at once."""
        return MemoryShare(self, evict)

    def resize(self, share: "MemoryShare", n_bytes: int) -> bool:
        """Replace the size of a share; return False if it takes more than is free."""
        if n_bytes > max(share.n_bytes, FREE_SHARE_BYTES):
            while n_bytes > self._budget_bytes - (self._n_bytes - share.n_bytes) - (
                n_bytes
            ):
                victim = self._find_victim(share, n_bytes)
                if victim is None:
                    return False
                victim.evict()
        self._n_bytes += n_bytes - share.n_bytes
        return True

    def update_evictable(self, share: "MemoryShare", is_evictable: bool) -> None:
        """Add a share to those that may be evicted, or remove it."""
        if is_evictable:
            self._evictable.setdefault(share)
        else:
            self._evictable.pop(share, None)

    def _find_victim(
        self, requester: "MemoryShare", n_bytes: int
    ) -> "MemoryShare | None":
        """Return the largest share, the newest of equal ones, or None.

        A share that may be evicted itself displaces only larger ones.
        """
        largest = None
        for share in reversed(self._evictable):
            if share is not requester and (
                largest is None or share.n_bytes > largest.n_bytes
            ):
                largest = share
        if largest is None or (requester.can_evict and largest.n_bytes <= n_bytes):
            return None
        return largest


class MemoryShare:
    """What one message, or one connection with its requests, holds of the budget."""

    def __init__(self, memory: TrafficMemory, evict: Callable[[], None] | None) -> None:
        self._memory = memory
        self._evict = evict
        self._is_protected = evict is None
        self._n_bytes = 0

    @property
    def n_bytes(self) -> int:
        """The bytes that this share holds."""
        return self._n_bytes

    @property
    def can_evict(self) -> bool:
        """Whether this share may be evicted now."""
        return not self._is_protected

    def resize(self, n_bytes: int) -> bool:
        """Hold this many bytes; return False and change nothing if they don't fit."""
        if n_bytes == self._n_bytes:
            return True
        if not self._memory.resize(self, n_bytes):
            return False
        was_large = self._n_bytes > FREE_SHARE_BYTES
        self._n_bytes = n_bytes
        if was_large or n_bytes > FREE_SHARE_BYTES:
            self._update_evictable()
        return True

    def set_protected(self, is_protected: bool) -> None:
        """Keep a share that `evict` was given for from eviction, or expose it."""
        if self._evict is None:
            return
        self._is_protected = is_protected
        if self._n_bytes > FREE_SHARE_BYTES:
            self._update_evictable()

    def evict(self) -> None:
        """Let the owner drop what this share holds."""
        assert self._evict is not None
        self.resize(0)
        self._evict()

    def close(self) -> None:
        """Hold nothing any more; the share can't be evicted from now on."""
        self.resize(0)
        # Its owner refers to the share: both would wait for the garbage collector.
        self._evict = None
        self._is_protected = True

    def _update_evictable(self) -> None:
        self._memory.update_evictable(
            self, self.can_evict and self._n_bytes > FREE_SHARE_BYTES
        )

    def __enter__(self) -> "MemoryShare":
        return self

    def __exit__(self, *error: object) -> None:
        self.close()


def make_traffic_memory(budget_bytes: int = DEFAULT_BUDGET_BYTES) -> TrafficMemory:
    """Return the budget of one process."""
    return TrafficMemory(budget_bytes)


def get_memory_budget(memory_limit_bytes: int | None) -> int:
    """Return the budget in bytes of a process that may take this much memory."""
    if memory_limit_bytes is None:
        return DEFAULT_BUDGET_BYTES
    return max(int(memory_limit_bytes * TRAFFIC_MEMORY_SHARE), BUDGET_BYTES_MIN)
