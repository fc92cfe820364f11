"""Guard against violations of single rules that random runs rarely reach."""

from datetime import UTC, datetime, timedelta
from itertools import pairwise
from random import Random

import pytest

from oleanderhitch.process.messages import Tick
from oleanderhitch.process.replication import core
from oleanderhitch.process.replication import messages as m
from oleanderhitch.process.replication.effects import (
    ApplyCommitted,
    ChangeEnded,
    LeadershipChanged,
    PersistEntries,
    ProposalCommitted,
    ProposalRejected,
    RestoreSnapshot,
    SendToReplica,
    StoreSnapshotPiece,
    TruncateLog,
)
from oleanderhitch.process.replication.exceptions import LogInvariantError
from oleanderhitch.process.replication.log import ReplicaLog
from oleanderhitch.process.replication.replica import ReplicationLimits
from oleanderhitch.process.replication.states import (
    ChangeKind,
    ChangeOutcome,
    EntryKind,
    Role,
)

NOW = datetime(2026, 1, 1, tzinfo=UTC)
LATER = NOW + timedelta(seconds=2)
VOTERS = ("a", "b", "c")


def make_entry(index, term):
    """Return a command entry."""
    return m.LogEntry(index, term, EntryKind.COMMAND, b"c%d.%d" % (index, term))


def make_replica(name="a", entries=(), term=0, voters=VOTERS, limits=None):
    """Return a replica whose log is synced."""
    return core.make_replica(
        "g",
        name,
        voters,
        (),
        Random(1),
        limits=limits,
        hard_state=m.HardState(term),
        entries=tuple(entries),
    )


def handle(state, message, sender=None, now=NOW):
    """Return the effects of a message, from a peer if there is a sender."""
    if sender is not None:
        message = m.ReplicaMessage(sender, message)
    return core.handle(message, state, now)


def sync_hard_state(state):
    """Report that the newest hard state is synced; return the effects."""
    return handle(state, m.HardStatePersisted(state.hard_state))


def get_messages(effects):
    """Return the messages sent to other replicas."""
    return [e.message for e in effects if isinstance(e, SendToReplica)]


def get_persisted(effects):
    """Return the EntriesPersisted message for the last entries to be synced."""
    effect = [e for e in effects if isinstance(e, PersistEntries)][-1]
    last = effect.entries[-1]
    return m.EntriesPersisted(last.index, last.term, effect.n_truncations)


def make_leader(entries=(), term=0, limits=None):
    """Return a replica that leads, and the effects of its election."""
    state = make_replica("a", entries, term, limits=limits)
    handle(state, Tick())
    handle(state, Tick(), now=LATER)
    handle(state, m.PreVoteReply(term + 1, True), "b", LATER)
    sync_hard_state(state)
    effects = handle(state, m.VoteReply(term + 1, True), "b", LATER)
    assert state.role is Role.LEADER
    return state, effects


def test_vote_is_sent_only_after_it_is_synced():
    """Guard against a second vote in a term after a crash that loses the first."""
    state = make_replica()
    effects = handle(state, m.VoteRequest(1, 0, 0, False), "b")
    assert get_messages(effects) == []
    # One sync for the term, one for the vote.
    assert get_messages(handle(state, m.HardStatePersisted(m.HardState(1)))) == []
    assert get_messages(sync_hard_state(state)) == [m.VoteReply(1, True)]


def test_candidate_requests_votes_only_once_its_term_is_synced():
    """Guard against a candidate that restarts and campaigns twice in one term."""
    state = make_replica()
    handle(state, Tick())
    handle(state, Tick(), now=LATER)
    effects = handle(state, m.PreVoteReply(1, True), "b", LATER)
    assert get_messages(effects) == []
    requests = get_messages(sync_hard_state(state))
    assert requests == [m.VoteRequest(1, 0, 0, False)] * 2


def test_entry_of_an_earlier_term_is_not_committed_by_count():
    """Guard against a committed entry that a later leader replaces."""
    state, effects = make_leader([make_entry(1, 1)], term=2)
    handle(state, m.AppendReply(3, True, 1, 1), "b", LATER)
    handle(state, m.AppendReply(3, True, 1, 1), "c", LATER)
    assert state.commit_index == 0
    handle(state, get_persisted(effects), now=LATER)
    effects = handle(state, m.AppendReply(3, True, 2, 2), "b", LATER)
    assert [e.index for e in effects if isinstance(e, ApplyCommitted)] == [1]


def test_leader_counts_its_own_entry_only_once_it_is_synced():
    """Guard against acknowledging an entry with only one synced copy of three."""
    state, elected = make_leader()
    handle(state, m.AppendReply(1, True, 0, 0), "b", LATER)
    handle(state, get_persisted(elected), now=LATER)
    proposed = handle(state, m.Propose(5, b"x"), now=LATER)
    effects = handle(state, m.AppendReply(1, True, 2, 2), "b", LATER)
    assert not any(isinstance(e, ProposalCommitted) for e in effects)
    effects = handle(state, get_persisted(proposed), now=LATER)
    assert ProposalCommitted(5, 2) in effects


def test_follower_confirms_only_what_is_synced():
    """Guard against counting entries for a majority that a crash would lose."""
    state = make_replica()
    first = m.AppendEntries(1, 0, 0, 0, (make_entry(1, 1),))
    second = m.AppendEntries(1, 1, 1, 0, (make_entry(2, 1),))
    persisted = get_persisted(handle(state, first, "b"))
    sync_hard_state(state)
    assert get_messages(handle(state, second, "b")) == []
    assert get_messages(handle(state, persisted)) == [m.AppendReply(1, True, 1, 1)]
    probe = m.AppendEntries(1, 2, 1, 0, ())
    assert get_messages(handle(state, probe, "b")) == [m.AppendReply(1, True, 1, 1)]


def test_late_report_on_removed_entries_does_not_count():
    """Guard against a late EntriesPersisted for an entry that was truncated.

    The same entry may have been appended again since, and is not synced yet.
    """
    state = make_replica()
    entry = make_entry(1, 1)
    late = get_persisted(handle(state, m.AppendEntries(1, 0, 0, 0, (entry,)), "b"))
    conflicting_append = m.AppendEntries(2, 0, 0, 0, (make_entry(1, 2),))
    assert TruncateLog(1) in handle(state, conflicting_append, "c")
    handle(state, m.AppendEntries(3, 0, 0, 0, (entry,)), "b")
    handle(state, late)
    assert state.persisted_index == 0


# Guards against stores that pass their memory limit at each start, since their logs
# have grown while nothing could be committed.
def test_proposals_are_rejected_while_too_many_bytes_are_not_committed():
    """Reject by size, long before the number of entries is too large."""
    state, _ = make_leader(limits=ReplicationLimits(uncommitted_bytes=3000))
    accepted = []
    for number in range(10):
        effects = handle(state, m.Propose(number, b"x" * 1000), now=LATER)
        if not any(isinstance(e, ProposalRejected) for e in effects):
            accepted.append(number)
    assert accepted == [0, 1, 2]
    assert state.log.count_bytes_after(state.commit_index) < 3000 + 1200


def test_log_counts_the_bytes_after_an_index():
    """Guard against a bound on bytes that compaction or a new leader shifts."""
    log = ReplicaLog(0, 0)
    for number in range(1, 9):
        log.append(make_entry(number, 1))
    size = log.n_bytes // 8
    assert [log.count_bytes_after(index) for index in (0, 3, 8)] == [
        8 * size,
        5 * size,
        0,
    ]
    log.compact(3)
    log.truncate(7)
    assert log.n_bytes == log.count_bytes_after(3) == 3 * size
    assert log.count_bytes_after(5) == size
    log.reset(20, 2)
    log.append(make_entry(21, 2))
    assert log.n_bytes == log.count_bytes_after(20) > 0


def test_second_leader_of_a_term_is_an_error():
    """Guard against a replica that continues after two leaders in one term."""
    state, _ = make_leader()
    with pytest.raises(LogInvariantError, match="also leads"):
        handle(state, m.Heartbeat(1, 0, 1), "b", LATER)


def receive_whole(state, piece):
    """Handle the only piece of a snapshot and its storage; return the effects."""
    (stored,) = [
        e for e in handle(state, piece, "b") if isinstance(e, StoreSnapshotPiece)
    ]
    return handle(state, m.SnapshotReceived(stored.transfer, stored.data))


def test_pieces_of_a_snapshot_are_stored_one_at_a_time():
    """Guard against a replica that holds a whole snapshot while it arrives."""
    state = make_replica(term=2)
    first = m.InstallSnapshot(2, 5, 2, m.Membership(VOTERS), 0, b"sta", False)
    assert StoreSnapshotPiece(1, 0, b"sta", False) in handle(state, first, "b")
    # The leader repeats a piece that it has no reply to.
    assert handle(state, first, "b") == []
    effects = handle(state, m.SnapshotPieceStored(1, 3))
    assert get_messages(effects) == [m.InstallSnapshotReply(2, 5, 3)]
    assert get_messages(handle(state, first, "b")) == [m.InstallSnapshotReply(2, 5, 3)]


def test_late_report_on_an_abandoned_transfer_does_not_count():
    """Guard against a snapshot with a gap, since the transfer has begun again."""
    state = make_replica(term=2)
    first = m.InstallSnapshot(2, 5, 2, m.Membership(VOTERS), 0, b"sta", False)
    handle(state, first, "b")
    again = m.InstallSnapshot(3, 5, 2, m.Membership(VOTERS), 0, b"sta", False)
    effects = handle(state, again, "c")
    (second,) = [e for e in effects if isinstance(e, StoreSnapshotPiece)]
    assert handle(state, m.SnapshotPieceStored(1, 3)) == []
    assert handle(state, m.SnapshotReceived(1, b"state")) == []
    assert state.incoming_snapshot.transfer == second.transfer
    assert state.incoming_snapshot.is_writing


def test_snapshot_over_another_history_replaces_the_log():
    """Guard against conflicting entries that stay in the log after a snapshot."""
    state = make_replica(entries=[make_entry(n, 1) for n in range(1, 9)], term=1)
    piece = m.InstallSnapshot(2, 5, 2, m.Membership(VOTERS), 0, b"state", True)
    effects = receive_whole(state, piece)
    (restore,) = [e for e in effects if isinstance(e, RestoreSnapshot)]
    assert not restore.is_log_kept
    handle(state, m.SnapshotRestored(5, b"state"))
    assert (state.log.last_index, state.persisted_index) == (5, 5)
    matching_state = make_replica(
        entries=[make_entry(n, 2) for n in range(1, 9)], term=2
    )
    effects = receive_whole(matching_state, piece)
    assert [e.is_log_kept for e in effects if isinstance(e, RestoreSnapshot)] == [True]
    handle(matching_state, m.SnapshotRestored(5, b"state"))
    assert matching_state.log.last_index == 8


def test_new_leader_changes_nothing_before_its_first_entry_is_committed():
    """Guard against two leaders that both change the same membership."""
    state, _ = make_leader()
    effects = handle(state, m.ChangeMembership(1, ChangeKind.ADD, "d"), now=LATER)
    (ended,) = [e for e in effects if isinstance(e, ChangeEnded)]
    assert ended.outcome is ChangeOutcome.REJECTED
    assert "not committed" in ended.reason


def test_replica_without_voters_never_starts_an_election():
    """Guard against an empty disk that bootstraps a second group."""
    state = make_replica("n1", voters=())
    for seconds in range(10):
        effects = handle(state, Tick(), now=NOW + timedelta(seconds=seconds))
        assert effects == []
    assert state.term == 0


def test_stopped_replica_stays_stopped():
    """Guard against a replica with a failed disk that leads as the only survivor."""
    state = make_replica(voters=("a", "b"))
    handle(state, m.StorageFailed("disk full"))
    lost = m.ChangeMembership(1, ChangeKind.DECLARE_LOST, "b")
    (ended,) = handle(state, lost)
    assert ended.outcome is ChangeOutcome.REJECTED
    assert "disk full" in ended.reason
    assert handle(state, Tick(), now=LATER) == []


def test_failed_leader_transfers_to_a_reachable_voter():
    """Guard against a transfer from a failed disk to an unreachable voter."""
    state, _ = make_leader()
    for voter in ("b", "c"):
        handle(state, m.AppendReply(1, True, 0, 0), voter, LATER)
        handle(state, m.AppendReply(1, True, 1, 1), voter, LATER)
    later = LATER + timedelta(seconds=1)
    handle(state, m.HeartbeatReply(1, 1), "c", later)
    effects = handle(state, m.StorageFailed("disk full"), now=later)
    targets = [e.replica for e in effects if isinstance(e, SendToReplica)]
    assert targets == ["c"]


def test_follower_of_a_live_leader_grants_no_vote():
    """Guard against a replica that returns from a partition and forces an election."""
    state = make_replica()
    handle(state, m.Heartbeat(1, 0, 1), "b")
    sync_hard_state(state)
    (reply,) = get_messages(handle(state, m.PreVoteRequest(2, 9, 1), "c"))
    assert not reply.is_granted
    assert handle(state, m.VoteRequest(2, 9, 1, False), "c") == []
    assert (state.term, state.leader) == (1, "b")
    (reply,) = get_messages(handle(state, m.PreVoteRequest(2, 9, 1), "c", LATER))
    assert reply.is_granted
    leader, _ = make_leader()
    assert handle(leader, m.VoteRequest(9, 9, 1, False), "c", LATER) == []


def test_leader_reports_follower_before_it_sends_timeout_now():
    """Guard against two stores that grant leases at the same time.

    The target becomes leader without an election timeout, so the old leader must report
    to its own process before it sends TimeoutNow.
    """
    state, effects = make_leader()
    handle(state, get_persisted(effects), now=LATER)
    handle(state, m.AppendReply(1, True, 1, 1), "b", LATER)
    effects = handle(state, m.TransferLeadership(), now=LATER)
    step_down_position = effects.index(LeadershipChanged(Role.FOLLOWER, 1, None))
    timeout_now_position = effects.index(SendToReplica("b", m.TimeoutNow(1)))
    assert step_down_position < timeout_now_position
    # The target didn't become leader, and a majority still replies to this leader.
    much_later = LATER + timedelta(seconds=1.3)
    effects = handle(state, m.AppendReply(1, True, 1, 1), "c", much_later)
    assert LeadershipChanged(Role.LEADER, 1, "a") in effects


def test_pre_vote_without_replies_is_retried_soon():
    """Guard against a whole election timeout lost to a peer that starts later."""
    state = make_replica()
    handle(state, Tick())
    first = state.election_deadline
    sent = [
        effect.message
        for effect in handle(state, Tick(), now=first)
        if isinstance(effect, SendToReplica)
    ]
    assert any(isinstance(message, m.PreVoteRequest) for message in sent)
    timing = state.timing
    spread = timing.election_timeout_max - timing.election_timeout_min
    assert state.election_deadline <= first + timing.election_retry_min + spread


def test_leader_sends_its_first_commit_index_before_it_applies_entries():
    """Guard against a restart in which followers replay the log after the leader.

    The group would need the time to replay the log twice.
    """
    state, elected = make_leader([make_entry(1, 1)], term=1)
    handle(state, m.AppendReply(2, True, 1, 1), "b", LATER)
    handle(state, get_persisted(elected), now=LATER)
    effects = handle(state, m.AppendReply(2, True, 2, 2), "b", LATER)
    kinds = [
        type(getattr(effect, "message", effect))
        for effect in effects
        if isinstance(effect, SendToReplica | ApplyCommitted)
    ]
    assert kinds[:3] == [m.Heartbeat, m.Heartbeat, ApplyCommitted]
    sent = [e.message for e in effects if isinstance(e, SendToReplica)]
    assert m.Heartbeat(2, 2, state.heartbeat_round) in sent


def test_heartbeat_gets_a_reply_before_commands_apply():
    """Guard against a follower that fails to confirm its leader during log replay."""
    state = make_replica()
    handle(state, m.AppendEntries(1, 0, 0, 0, (make_entry(1, 1),)), "b")
    sync_hard_state(state)
    effects = handle(state, m.Heartbeat(1, 1, 1), "b")
    kinds = [
        type(effect)
        for effect in effects
        if isinstance(effect, SendToReplica | ApplyCommitted)
    ]
    assert kinds == [SendToReplica, ApplyCommitted]


def play_group_in_use(n_commands, gap_ms, silent=()):
    """Let a leader commit commands at a gap; return its messages to each replica.

    Replicas acknowledge at once, except the silent ones.
    """
    state, effects = make_leader()
    sent = {"b": [], "c": []}
    now = LATER

    def deliver(effects):
        for effect in effects:
            if isinstance(effect, SendToReplica):
                sent[effect.replica].append((now, effect.message))
                answer(effect)

    def answer(effect):
        message = effect.message
        if effect.replica in silent:
            return
        if isinstance(message, m.AppendEntries):
            index = message.previous_index + len(message.entries)
            reply = m.AppendReply(state.term, True, index, message.previous_index)
            deliver(handle(state, reply, effect.replica, now))
        elif isinstance(message, m.Heartbeat):
            reply = m.HeartbeatReply(state.term, message.round)
            deliver(handle(state, reply, effect.replica, now))

    deliver(effects)
    for number in range(n_commands):
        proposed = handle(state, m.Propose(number, b"command"), now=now)
        deliver(proposed)
        deliver(handle(state, get_persisted(proposed), now=now))
        for _ in range(gap_ms // 5):
            now += timedelta(milliseconds=5)
            deliver(handle(state, Tick(), now=now))
    return state, sent


def test_entries_take_the_place_of_heartbeats():
    """Guard against heartbeats that are a third of the messages of a group in use."""
    n_commands = 100
    gap_ms = 40
    state, sent = play_group_in_use(n_commands, gap_ms)
    interval = state.timing.heartbeat_interval
    for messages in sent.values():
        heartbeats = [x for _, x in messages if isinstance(x, m.Heartbeat)]
        assert len(heartbeats) <= 2
        times = [at for at, _ in messages]
        gaps = [after - before for before, after in pairwise(times)]
        assert max(gaps) <= 1.5 * interval


def test_an_idle_group_has_heartbeats_at_the_interval():
    """Guard against replicas that hear nothing of their leader."""
    state, sent = play_group_in_use(1, 6000)
    interval = state.timing.heartbeat_interval
    for messages in sent.values():
        times = [at for at, _ in messages]
        gaps = [after - before for before, after in pairwise(times)]
        assert max(gaps) <= interval + timedelta(milliseconds=5)


def test_a_replica_that_does_not_acknowledge_gets_heartbeats():
    """Guard against a replica with a stalled disk that stops following its leader."""
    state, sent = play_group_in_use(100, 40, silent=("c",))
    heartbeats = [x for _, x in sent["c"] if isinstance(x, m.Heartbeat)]
    expected = 100 * timedelta(milliseconds=40) / state.timing.heartbeat_interval
    assert len(heartbeats) >= expected - 2
