"""Rebuild the state of each group from the records on disk."""

from functools import singledispatch

from msgspec import Struct, field

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


class RecoveredGroup(Struct):
    """State that a replica had synced before its process started.

    The entries follow `base_index` and `base_term`, the last entry that the snapshot
    covers.
    """

    hard_state: HardState | None = None
    bootstrap_record: FoundingRecord | None = None
    snapshot: Snapshot | None = None
    base_index: LogIndex = NO_INDEX
    base_term: Term = NO_TERM
    entries: list[LogEntry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot."""
        return self.entries[-1].index if self.entries else self.base_index


RecoveredGroups = dict[GroupId, RecoveredGroup]


@singledispatch
def apply_record(record: object, groups: RecoveredGroups) -> None:
    """Apply the next record of the log to the group that it belongs to."""
    raise TypeError(f"{type(record).__name__} is not a record")


def _get_or_create_group(groups: RecoveredGroups, group: GroupId) -> RecoveredGroup:
    return groups.setdefault(group, RecoveredGroup())


@apply_record.register
def _(record: EntryRecord, groups: RecoveredGroups) -> None:
    recovered = _get_or_create_group(groups, record.group)
    _truncate(recovered, record.entry.index)
    recovered.entries.append(record.entry)


@apply_record.register
def _(record: TruncationRecord, groups: RecoveredGroups) -> None:
    _truncate(_get_or_create_group(groups, record.group), record.first_index)


@apply_record.register
def _(record: HardStateRecord, groups: RecoveredGroups) -> None:
    _get_or_create_group(groups, record.group).hard_state = record.hard_state


@apply_record.register
def _(record: FoundingRecord, groups: RecoveredGroups) -> None:
    _get_or_create_group(groups, record.group).bootstrap_record = record


@apply_record.register
def _(record: SnapshotRecord, groups: RecoveredGroups) -> None:
    recovered = _get_or_create_group(groups, record.group)
    _apply_snapshot(recovered, record.index, record.term, record.is_log_kept)


def _truncate(recovered: RecoveredGroup, first_index: int) -> None:
    while recovered.entries and recovered.entries[-1].index >= first_index:
        recovered.entries.pop()


def _apply_snapshot(
    recovered: RecoveredGroup, index: LogIndex, term: Term, is_log_kept: bool
) -> None:
    recovered.base_index = index
    recovered.base_term = term
    if is_log_kept:
        recovered.entries = [
            entry for entry in recovered.entries if entry.index > index
        ]
    else:
        recovered.entries.clear()


def make_missing_snapshot_record(
    group: GroupId, recovered: RecoveredGroup
) -> SnapshotRecord | None:
    """Return the record of a snapshot file that has none in the log, or None.

    A crash after the snapshot file was saved and before its record was synced leaves
    such a file.
    """
    snapshot = recovered.snapshot
    if snapshot is None or snapshot.index <= recovered.base_index:
        return None
    terms = {entry.index: entry.term for entry in recovered.entries}
    is_log_kept = terms.get(snapshot.index) == snapshot.term
    return SnapshotRecord(group, snapshot.index, snapshot.term, is_log_kept)


def describe_log_gap(recovered: RecoveredGroup) -> str:
    """Return what is missing from a group's log, or an empty string."""
    expected = recovered.base_index + 1
    for entry in recovered.entries:
        if entry.index != expected:
            return f"entry {expected} is missing before entry {entry.index}"
        expected = LogIndex(expected + 1)
    snapshot_index = 0 if recovered.snapshot is None else recovered.snapshot.index
    if snapshot_index != recovered.base_index:
        return f"the snapshot at entry {recovered.base_index} is missing"
    return ""
