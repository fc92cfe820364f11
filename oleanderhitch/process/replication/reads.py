"""Linearizable reads: a majority confirms the leader before each read.

A heartbeat round that begins after the read arrived proves that there was no newer
leader at that time. No clock is involved, so neither a clock jump nor a partition can
cause a stale result.
"""

from datetime import datetime

from oleanderhitch.process.ids import ReplicaId
from oleanderhitch.process.replication.effects import (
    ReadReady,
    ReadRejected,
)
from oleanderhitch.process.replication.log_replication import broadcast_heartbeat
from oleanderhitch.process.replication.replica import (
    PendingRead,
    ReplicaState,
    is_quorum,
)
from oleanderhitch.process.replication.states import Role


def add_read(
    state: ReplicaState, read_id: int, now: datetime, effects: list[object]
) -> None:
    """Queue a read for the next heartbeat round, which all waiting reads share."""
    if state.role is not Role.LEADER:
        effects.append(ReadRejected(read_id, state.leader))
        return
    is_round_open = state.confirmed_round < state.heartbeat_round and bool(
        state.pending_reads
    )
    state.pending_reads.append(PendingRead(read_id, state.heartbeat_round + 1))
    if not is_round_open:
        broadcast_heartbeat(state, now, effects)
    report_ready_reads(state, now, effects)


def record_round_reply(
    state: ReplicaState,
    replica: ReplicaId,
    round_number: int,
    now: datetime,
    effects: list[object],
) -> None:
    """Record that a replica still followed this leader in a round."""
    progress = state.progress[replica]
    progress.acked_round = max(progress.acked_round, round_number)
    if state.pending_reads:
        report_ready_reads(state, now, effects)


def _find_confirmed_round(state: ReplicaState) -> int:
    acked = sorted({p.acked_round for p in state.progress.values()}, reverse=True)
    for round_number in (state.heartbeat_round, *acked):
        confirming = {
            r for r, p in state.progress.items() if p.acked_round >= round_number
        }
        if is_quorum({*confirming, state.replica}, state.membership):
            return round_number
    return 0


def report_ready_reads(
    state: ReplicaState, now: datetime, effects: list[object]
) -> None:
    """Report the reads of confirmed rounds as ready; begin a round for the others."""
    if not state.pending_reads or state.commit_index < state.term_start_index:
        # The commit index of a new leader may lag until the first entry of its own term
        # is committed.
        return
    confirmed = max(state.confirmed_round, _find_confirmed_round(state))
    state.confirmed_round = confirmed
    ready = [read for read in state.pending_reads if read.required_round <= confirmed]
    state.pending_reads = [
        read for read in state.pending_reads if read.required_round > confirmed
    ]
    effects.extend(ReadReady(read.read_id) for read in ready)
    if confirmed >= state.heartbeat_round and state.pending_reads:
        broadcast_heartbeat(state, now, effects)
        if not state.progress:
            # Without other replicas, the new round is confirmed immediately.
            report_ready_reads(state, now, effects)
