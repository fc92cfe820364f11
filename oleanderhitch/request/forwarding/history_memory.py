"""Bound the memory that the histories of running requests take together.

Answers crowds of short requests that all continue long chains: the caller sends a few
bytes, and the host gets megabytes for each from the stores.
"""

from oleanderhitch.connection.http.memory import DEFAULT_BUDGET_BYTES
from oleanderhitch.request.ids import HolderId

# A history of the usual size, which needs no room of its own.
SHORT_HISTORY_BYTES = 64 * 1024


class HistoryMemory:
    """Owner of the budget for long histories of one process.

    A history that is longer than the budget is taken while it is the only long one.
    """

    def __init__(self, budget_bytes: int) -> None:
        self._budget_bytes = budget_bytes
        self._held: dict[HolderId, int] = {}

    @property
    def n_bytes(self) -> int:
        """The size of all long histories that are held."""
        return sum(self._held.values())

    def hold(self, holder: HolderId, n_bytes: int) -> bool:
        """Hold a history of a request; return False if there is no room for it."""
        if n_bytes <= SHORT_HISTORY_BYTES or self._held.get(holder) == n_bytes:
            return True
        n_others = self.n_bytes - self._held.get(holder, 0)
        if n_others and n_others + n_bytes > self._budget_bytes:
            return False
        self._held[holder] = n_bytes
        return True

    def release(self, holder: HolderId) -> None:
        """Hold nothing of a request any more."""
        self._held.pop(holder, None)


def make_history_memory(budget_bytes: int = DEFAULT_BUDGET_BYTES) -> HistoryMemory:
    """Return the budget of one process, of which nothing is held."""
    return HistoryMemory(budget_bytes)
