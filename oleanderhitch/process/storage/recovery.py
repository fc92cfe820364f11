"""Work out what the records on disk say about each group."""

from dataclasses import dataclass, field
from functools import singledispatch

from oleanderhitch.process.ids import GroupId, LogIndex, Term
from oleanderhitch.process.replication.messages import (
    NO_INDEX,
    NO_TERM,
    HardState,
    LogEntry,
    Snapshot,
)
from oleanderhitch.process.storage.messages import (
    EntryRecord,
    FoundingRecord,
    HardStateRecord,
    SnapshotRecord,
    TruncationRecord,
)


@dataclass(slots=True)
class RecoveredGroup:
    """Hold what a replica had synced before its process started."""

    hard_state: HardState | None = None
    bootstrap_record: FoundingRecord | None = None
    snapshot: Snapshot | None = None
    base_index: LogIndex = NO_INDEX
    base_term: Term = NO_TERM
    entries: list[LogEntry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or of the snapshot."""
        return self.entries[-1].index if self.entries else self.base_index


Groups = dict[GroupId, RecoveredGroup]


@singledispatch
def apply_record(record: object, groups: Groups) -> None:
    """Bring the groups up to date with the next record."""
    raise TypeError(f"{type(record).__name__} is not a record")


def _get_group(groups: Groups, group: GroupId) -> RecoveredGroup:
    return groups.setdefault(group, RecoveredGroup())


@apply_record.register
def _(record: EntryRecord, groups: Groups) -> None:
    found = _get_group(groups, record.group)
    _truncate(found, record.entry.index)
    found.entries.append(record.entry)


@apply_record.register
def _(record: TruncationRecord, groups: Groups) -> None:
    _truncate(_get_group(groups, record.group), record.first_index)


@apply_record.register
def _(record: HardStateRecord, groups: Groups) -> None:
    _get_group(groups, record.group).hard_state = record.hard_state


@apply_record.register
def _(record: FoundingRecord, groups: Groups) -> None:
    _get_group(groups, record.group).bootstrap_record = record


@apply_record.register
def _(record: SnapshotRecord, groups: Groups) -> None:
    found = _get_group(groups, record.group)
    _rebase(found, record.index, record.term, record.is_log_kept)


def _truncate(found: RecoveredGroup, first_index: int) -> None:
    while found.entries and found.entries[-1].index >= first_index:
        found.entries.pop()


def _rebase(
    found: RecoveredGroup, index: LogIndex, term: Term, is_log_kept: bool
) -> None:
    found.base_index = index
    found.base_term = term
    if is_log_kept:
        found.entries = [entry for entry in found.entries if entry.index > index]
    else:
        found.entries.clear()


def make_missing_snapshot_record(
    group: GroupId, found: RecoveredGroup
) -> SnapshotRecord | None:
    """Return the record that a crash just after saving a snapshot left out."""
    snapshot = found.snapshot
    if snapshot is None or snapshot.index <= found.base_index:
        return None
    terms = {entry.index: entry.term for entry in found.entries}
    is_log_kept = terms.get(snapshot.index) == snapshot.term
    return SnapshotRecord(group, snapshot.index, snapshot.term, is_log_kept)


def describe_log_gap(found: RecoveredGroup) -> str:
    """Return what is missing from a group's log, or an empty text."""
    expected = found.base_index + 1
    for entry in found.entries:
        if entry.index != expected:
            return f"entry {expected} is missing before entry {entry.index}"
        expected = LogIndex(expected + 1)
    snapshot_index = 0 if found.snapshot is None else found.snapshot.index
    if snapshot_index != found.base_index:
        return f"the snapshot at entry {found.base_index} is missing"
    return ""
