"""In-memory part of a replica's log."""

from collections.abc import Iterable

from oleanderhitch.process.ids import LogIndex, Term
from oleanderhitch.process.replication.exceptions import LogInvariantError
from oleanderhitch.process.replication.messages import (
    LogEntry,
)

# Upper estimate of an entry's size in a frame without its command, in bytes.
ENTRY_OVERHEAD_BYTES = 100


def estimate_entry_bytes(entry: LogEntry) -> int:
    """Return the estimated size of an encoded entry in bytes."""
    return len(entry.command) + ENTRY_OVERHEAD_BYTES


class ReplicaLog:
    """Consecutive entries after a base entry, of which only index and term are known.

    The base entry is the last one removed by compaction.
    """

    def __init__(self, base_index: LogIndex, base_term: Term) -> None:
        self._base_index = base_index
        self._base_term = base_term
        self._entries: list[LogEntry] = []
        # The estimated size of all entries ever appended up to each one.
        self._sizes: list[int] = []
        self._base_size = 0

    @property
    def base_index(self) -> LogIndex:
        """The index just before the first entry in the log."""
        return self._base_index

    @property
    def n_bytes(self) -> int:
        """The estimated size of all entries in the log, in bytes."""
        return self._last_size - self._base_size

    @property
    def _last_size(self) -> int:
        return self._sizes[-1] if self._sizes else self._base_size

    @property
    def last_index(self) -> LogIndex:
        """The index of the last entry, or of the base entry without any."""
        return LogIndex(self._base_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """The term of the last entry, or of the base entry without any."""
        return self._entries[-1].term if self._entries else self._base_term

    def find_term(self, index: int) -> Term | None:
        """Return the term of an entry or the base entry, None for any other index."""
        if index == self._base_index:
            return self._base_term
        offset = index - self._base_index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def get_entry(self, index: int) -> LogEntry:
        """Return an entry; raise LogInvariantError if it isn't in the log."""
        offset = index - self._base_index - 1
        if not 0 <= offset < len(self._entries):
            raise LogInvariantError(
                f"entry {index} is not held; the log holds "
                f"{self._base_index + 1} to {self.last_index}"
            )
        return self._entries[offset]

    def get_entries(self, first_index: int, limit_bytes: int) -> tuple[LogEntry, ...]:
        """Return the entries from an index on that fit the limit, at least one."""
        chosen: list[LogEntry] = []
        n_bytes = 0
        for offset in range(first_index - self._base_index - 1, len(self._entries)):
            entry = self._entries[offset]
            n_bytes += estimate_entry_bytes(entry)
            if chosen and n_bytes > limit_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def find_compaction_index(
        self, index: int, n_entries: int, limit_bytes: int
    ) -> int:
        """Return the index up to which the log may be compacted.

        The last `n_entries` entries up to the given index stay, or fewer once they
        reach `limit_bytes`.
        """
        first = max(index - n_entries, self._base_index)
        n_bytes = 0
        while index > first and n_bytes < limit_bytes:
            n_bytes += estimate_entry_bytes(self.get_entry(index))
            index -= 1
        return index

    def iterate_backwards(self) -> Iterable[LogEntry]:
        """Return the entries, newest first."""
        return reversed(self._entries)

    def count_bytes_after(self, index: int) -> int:
        """Return the estimated size of the entries after an index, in bytes."""
        position = index - self._base_index - 1
        return self._last_size - (
            self._sizes[position] if position >= 0 else self._base_size
        )

    def append(self, entry: LogEntry) -> None:
        """Append an entry; raise LogInvariantError if its index isn't the next."""
        if entry.index != self.last_index + 1:
            raise LogInvariantError(
                f"entry {entry.index} does not follow entry {self.last_index}"
            )
        self._sizes.append(self._last_size + estimate_entry_bytes(entry))
        self._entries.append(entry)

    def truncate(self, first_index: int) -> None:
        """Remove the entries at and after an index."""
        offset = max(0, first_index - self._base_index - 1)
        del self._entries[offset:]
        del self._sizes[offset:]

    def compact(self, index: int) -> None:
        """Remove the entries up to and including an index.

        Raise LogInvariantError if the index is beyond the last entry.
        """
        if index <= self._base_index:
            return
        term = self.get_entry(index).term
        n_removed = index - self._base_index
        self._base_size = self._sizes[n_removed - 1]
        del self._entries[:n_removed]
        del self._sizes[:n_removed]
        self._base_index = LogIndex(index)
        self._base_term = term

    def reset(self, index: LogIndex, term: Term) -> None:
        """Remove all entries and continue after the given base entry."""
        self._entries.clear()
        self._sizes.clear()
        self._base_size = 0
        self._base_index = index
        self._base_term = term
