"""Replication of the leader's log, and the commit index."""

from datetime import datetime

from oleanderhitch.process.ids import LogIndex, ReplicaId
from oleanderhitch.process.replication.effects import (
    ApplyCommitted,
    MembershipChanged,
    PersistEntries,
    ProposalCommitted,
    TakeSnapshot,
    TruncateLog,
)
from oleanderhitch.process.replication.exceptions import LogInvariantError
from oleanderhitch.process.replication.messages import (
    AppendEntries,
    AppendReply,
    Heartbeat,
    LogEntry,
    Membership,
)
from oleanderhitch.process.replication.replica import (
    FollowerProgress,
    ReplicaState,
    ReplicationTiming,
    adopt_newest_membership,
)
from oleanderhitch.process.replication.roles import send
from oleanderhitch.process.replication.snapshot_data import count_stored_bytes
from oleanderhitch.process.replication.snapshots import start_snapshot_transfer
from oleanderhitch.process.replication.states import EntryKind, ProgressMode, Role


def append_as_leader(
    state: ReplicaState,
    kind: EntryKind,
    command: bytes,
    membership: Membership | None,
    effects: list[object],
) -> LogEntry:
    """Append an entry to the leader's own log."""
    index = LogIndex(state.log.last_index + 1)
    entry = LogEntry(index, state.term, kind, command, membership)
    state.log.append(entry)
    if membership is not None:
        state.membership = membership
        state.membership_index = index
    effects.append(PersistEntries((entry,), state.n_truncations))
    return entry


def make_follower_progress(state: ReplicaState, now: datetime) -> FollowerProgress:
    """Return the progress of a replica whose log is not known yet."""
    return FollowerProgress(
        state.log.last_index + 1, last_contact_at=now, last_progress_at=now
    )


def replicate(
    state: ReplicaState, replica: ReplicaId, now: datetime, effects: list[object]
) -> None:
    """Send the entries that the replica lacks, within its pipelining window."""
    progress = state.progress[replica]
    if progress.mode is ProgressMode.PROBE and not progress.in_flight:
        _send_probe(state, replica, progress, now, effects)
    while (
        progress.mode is ProgressMode.REPLICATE
        and progress.next_index <= state.log.last_index
        and len(progress.in_flight) < state.limits.n_pipelined_appends
    ):
        previous_term = state.log.find_term(progress.next_index - 1)
        if previous_term is None:
            start_snapshot_transfer(state, replica, now, effects)
            return
        entries = state.log.get_entries(progress.next_index, state.limits.append_bytes)
        if not progress.in_flight:
            progress.last_progress_at = now
        message = AppendEntries(
            state.term,
            LogIndex(progress.next_index - 1),
            previous_term,
            LogIndex(state.commit_index),
            entries,
        )
        progress.next_index += len(entries)
        progress.in_flight.append(progress.next_index - 1)
        progress.last_append_at = now
        send(state, replica, message, effects)


def _send_probe(
    state: ReplicaState,
    replica: ReplicaId,
    progress: FollowerProgress,
    now: datetime,
    effects: list[object],
) -> None:
    previous_index = progress.next_index - 1
    previous_term = state.log.find_term(previous_index)
    if previous_term is None:
        start_snapshot_transfer(state, replica, now, effects)
        return
    progress.in_flight.append(previous_index)
    progress.last_progress_at = now
    commit_index = LogIndex(min(state.commit_index, previous_index))
    message = AppendEntries(
        state.term, LogIndex(previous_index), previous_term, commit_index, ()
    )
    send(state, replica, message, effects)


def replicate_to_all(state: ReplicaState, now: datetime, effects: list[object]) -> None:
    """Send each other replica the entries that it lacks."""
    for replica in state.progress:
        replicate(state, replica, now, effects)


def broadcast_heartbeat(
    state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    """Begin a heartbeat round, which confirms that this replica still leads."""
    state.heartbeat_round += 1
    state.heartbeat_due_at = now + state.timing.heartbeat_interval
    for replica, progress in state.progress.items():
        commit_index = LogIndex(min(state.commit_index, progress.match_index))
        message = Heartbeat(state.term, commit_index, state.heartbeat_round)
        send(state, replica, message, effects)


def send_due_heartbeats(
    state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    """Send heartbeats to the replicas that have no other contact with this leader.

    A group in use has such contact several times per heartbeat interval, and heartbeats
    would be a third of its messages. Reads need an answer to a whole round.
    """
    if state.pending_reads:
        broadcast_heartbeat(state, now, effects)
        return
    state.heartbeat_due_at = now + state.timing.heartbeat_interval
    for replica, progress in state.progress.items():
        if not _has_recent_contact(progress, state.timing, now):
            commit_index = LogIndex(min(state.commit_index, progress.match_index))
            message = Heartbeat(state.term, commit_index, state.heartbeat_round)
            send(state, replica, message, effects)


def _has_recent_contact(
    progress: FollowerProgress, timing: ReplicationTiming, now: datetime
) -> bool:
    """Return whether entries were sent and answered within half an interval.

    With the interval until the next heartbeat, a replica hears from its leader at least
    every one and a half intervals.
    """
    recently = timing.heartbeat_interval / 2
    return (
        progress.last_append_at is not None
        and now - progress.last_append_at < recently
        and now - progress.last_contact_at < recently
    )


def handle_append_reply(
    state: ReplicaState,
    replica: ReplicaId,
    reply: AppendReply,
    now: datetime,
    effects: list[object],
) -> None:
    """Record what a replica has synced, or probe for the point where the logs match."""
    progress = state.progress[replica]
    if reply.is_matched:
        _record_match(progress, reply, now)
    elif reply.previous_index > progress.match_index:
        if progress.mode is ProgressMode.SNAPSHOT:
            return
        if (
            progress.mode is ProgressMode.PROBE
            and reply.previous_index != progress.next_index - 1
        ):
            return
        progress.next_index = max(
            progress.match_index + 1, min(reply.index + 1, reply.previous_index)
        )
        progress.mode = ProgressMode.PROBE
        progress.in_flight.clear()
    replicate(state, replica, now, effects)


def _record_match(
    progress: FollowerProgress, reply: AppendReply, now: datetime
) -> None:
    if reply.index > progress.match_index:
        progress.match_index = reply.index
        progress.last_progress_at = now
    snapshot = progress.snapshot
    if progress.mode is ProgressMode.SNAPSHOT:
        if snapshot is not None and reply.index < snapshot.index:
            return
        progress.snapshot = None
        progress.mode = ProgressMode.REPLICATE
        progress.in_flight.clear()
        progress.next_index = progress.match_index + 1
    elif progress.mode is ProgressMode.PROBE:
        progress.mode = ProgressMode.REPLICATE
        progress.in_flight.clear()
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    while progress.in_flight and progress.in_flight[0] <= progress.match_index:
        progress.in_flight.popleft()


def retransmit(
    state: ReplicaState, replica: ReplicaId, now: datetime, effects: list[object]
) -> None:
    """Probe from the last matching entry after a timeout without progress."""
    progress = state.progress[replica]
    if now - progress.last_progress_at < state.timing.retransmit_timeout:
        return
    if progress.mode is ProgressMode.SNAPSHOT or not progress.in_flight:
        return
    progress.in_flight.clear()
    progress.mode = ProgressMode.PROBE
    if progress.match_index:
        progress.next_index = progress.match_index + 1
    replicate(state, replica, now, effects)


def find_quorum_index(state: ReplicaState) -> int:
    """Return the highest index that a majority of the voters has synced."""
    synced = []
    for voter in state.membership.voters:
        if voter == state.replica:
            # The leader's own entries count only once they are synced, too.
            synced.append(state.persisted_index)
        else:
            progress = state.progress.get(voter)
            synced.append(progress.match_index if progress else 0)
    synced.sort(reverse=True)
    return synced[len(synced) // 2] if synced else 0


def advance_commit(state: ReplicaState, now: datetime, effects: list[object]) -> bool:
    """Commit the entries synced on a majority; return whether there were any."""
    index = find_quorum_index(state)
    # An entry of an earlier term is committed only together with one of the current
    # term: a later leader could replace it even if a majority has it.
    if index <= state.commit_index or state.log.find_term(index) != state.term:
        return False
    is_first = state.commit_index < state.term_start_index
    applied: list[object] = []
    apply_committed(state, index, applied)
    if is_first:
        # After a restart of all replicas, the followers apply their logs at the same
        # time as the leader instead of after it.
        broadcast_heartbeat(state, now, effects)
    effects.extend(applied)
    return True


def apply_committed(
    state: ReplicaState, commit_index: int, effects: list[object]
) -> None:
    """Apply all entries up to an index that is known to be committed."""
    for index in range(state.commit_index + 1, commit_index + 1):
        entry = state.log.get_entry(index)
        if entry.kind is EntryKind.COMMAND:
            effects.append(ApplyCommitted(entry.index, entry.term, entry.command))
        elif entry.membership is not None:
            state.applied_membership = entry.membership
            effects.append(MembershipChanged(entry.membership))
        proposal_id = state.pending_proposals.pop(index, None)
        if proposal_id is not None:
            effects.append(ProposalCommitted(proposal_id, entry.index))
        state.commit_index = index
    if _is_snapshot_due(state):
        request_snapshot(state, effects)


def _is_snapshot_due(state: ReplicaState) -> bool:
    limits = state.limits
    snapshot = state.snapshot
    snapshot_index = 0 if snapshot is None else snapshot.index
    snapshot_bytes = 0 if snapshot is None else count_stored_bytes(snapshot.data)
    n_entries = state.commit_index - snapshot_index
    limit_bytes = max(limits.log_bytes_per_snapshot, snapshot_bytes)
    return (
        n_entries >= limits.n_entries_per_snapshot
        or state.log.n_bytes - limits.trailing_bytes >= limit_bytes
    )


def request_snapshot(state: ReplicaState, effects: list[object]) -> None:
    """Request a snapshot of the applied state, unless one is in progress."""
    snapshot_index = 0 if state.snapshot is None else state.snapshot.index
    is_busy = state.snapshot_request is not None or state.restoring_snapshot is not None
    if is_busy or state.commit_index <= snapshot_index:
        return
    term = state.log.find_term(state.commit_index)
    if term is None:
        return
    state.snapshot_request = TakeSnapshot(
        LogIndex(state.commit_index), term, state.applied_membership
    )
    effects.append(state.snapshot_request)


def append_from_leader(
    state: ReplicaState,
    leader: ReplicaId,
    message: AppendEntries,
    effects: list[object],
) -> None:
    """Append the leader's entries if the logs match at the previous entry.

    Raise LogInvariantError if they would replace a committed entry.
    """
    previous_index = int(message.previous_index)
    previous_term = message.previous_term
    entries = message.entries
    if previous_index < state.commit_index:
        # Committed entries match the leader's, so only later ones are compared.
        entries = tuple(e for e in entries if e.index > state.commit_index)
        previous_index = state.commit_index
        committed_term = state.log.find_term(previous_index)
        assert committed_term is not None
        previous_term = committed_term
    if state.log.find_term(previous_index) != previous_term:
        hint = _find_match_hint(state, previous_index)
        reply = AppendReply(state.term, False, LogIndex(hint), message.previous_index)
        send(state, leader, reply, effects)
        return
    new_entries = _store_entries(state, entries, effects)
    state.leader_match_index = max(
        state.leader_match_index, previous_index + len(entries)
    )
    commit_index = min(message.commit_index, state.leader_match_index)
    if commit_index > state.commit_index:
        apply_committed(state, commit_index, effects)
    if not new_entries:
        send_append_reply(state, leader, effects)


def _store_entries(
    state: ReplicaState, entries: tuple[LogEntry, ...], effects: list[object]
) -> tuple[LogEntry, ...]:
    n_present = 0
    for entry in entries:
        own_term = state.log.find_term(entry.index)
        if own_term is None:
            break
        if own_term != entry.term:
            _truncate(state, entry.index, effects)
            break
        n_present += 1
    new_entries = entries[n_present:]
    for entry in new_entries:
        state.log.append(entry)
        if entry.membership is not None:
            state.membership = entry.membership
            state.membership_index = entry.index
    if new_entries:
        effects.append(PersistEntries(new_entries, state.n_truncations))
    return new_entries


def _truncate(
    state: ReplicaState, first_index: LogIndex, effects: list[object]
) -> None:
    if first_index <= state.commit_index:
        raise LogInvariantError(
            f"the leader asks to replace entry {first_index}, "
            f"but entries up to {state.commit_index} are committed"
        )
    state.log.truncate(first_index)
    state.n_truncations += 1
    state.persisted_index = min(state.persisted_index, first_index - 1)
    state.leader_match_index = min(state.leader_match_index, first_index - 1)
    if state.membership_index >= first_index:
        adopt_newest_membership(state)
    effects.append(TruncateLog(first_index))


def _find_match_hint(state: ReplicaState, index: int) -> int:
    """Return an index up to which the logs may match.

    Skips all entries of the mismatched term, to save round trips.
    """
    if index > state.log.last_index:
        return state.log.last_index
    term = state.log.find_term(index)
    while index > state.commit_index and state.log.find_term(index) == term:
        index -= 1
    return index


def send_append_reply(
    state: ReplicaState, leader: ReplicaId, effects: list[object]
) -> None:
    """Report to the leader up to which index its log is synced here."""
    index = LogIndex(min(state.leader_match_index, state.persisted_index))
    send(state, leader, AppendReply(state.term, True, index, index), effects)


def handle_entries_persisted(
    state: ReplicaState, index: int, effects: list[object]
) -> None:
    """Record that the log is synced up to an index, and notify the leader."""
    state.persisted_index = max(state.persisted_index, index)
    if state.role is Role.FOLLOWER and state.leader is not None and index:
        send_append_reply(state, state.leader, effects)
