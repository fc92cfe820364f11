"""Simulated cluster: real replica cores on a fake network, fake disks and clocks.

Each effect is checked against the guarantees of the replicated log as it occurs.
"""

from datetime import UTC, datetime, timedelta
from functools import singledispatchmethod
from random import Random

from oleanderhitch.process.messages import Tick
from oleanderhitch.process.replication import core
from oleanderhitch.process.replication import effects as e
from oleanderhitch.process.replication import messages as m
from oleanderhitch.process.replication.replica import ReplicationLimits
from oleanderhitch.process.replication.states import ChangeKind, ChangeOutcome, Role
from oleanderhitch.process.storage.messages import (
    EntryRecord,
    HardStateRecord,
    SnapshotRecord,
    TruncationRecord,
)
from oleanderhitch.process.storage.recovery import (
    RecoveredGroup,
    apply_record,
    describe_log_gap,
    make_missing_snapshot_record,
)

GROUP = "g"
TICK = timedelta(milliseconds=100)
START = datetime(2026, 1, 1, tzinfo=UTC)
# Small, so that short runs cover compaction, snapshots in pieces and limited appends.
LIMITS = ReplicationLimits(
    n_pipelined_appends=2,
    append_bytes=300,
    snapshot_piece_bytes=16,
    n_entries_per_snapshot=6,
    n_trailing_entries=2,
)


class MemoryDisk:
    """Fake disk that loses unsynced writes in a crash."""

    def __init__(self):
        self.recovered = RecoveredGroup()
        self.pending = []
        self.is_full = False

    def write(self, records, acknowledgement=None, snapshot=None):
        """Queue records and a snapshot for the next sync."""
        self.pending.append((records, acknowledgement, snapshot))

    def sync(self, n_writes):
        """Make the oldest writes durable and return their acknowledgements."""
        if self.is_full:
            raise OSError(28, "No space left on device")
        pending, self.pending = self.pending[:n_writes], self.pending[n_writes:]
        for records, _, snapshot in pending:
            self._store(records, snapshot)
        return [ack for _, ack, _ in pending if ack is not None]

    def _store(self, records, snapshot):
        if snapshot is not None:
            self.recovered.snapshot = snapshot
        for record in records:
            apply_record(record, {GROUP: self.recovered})

    def crash(self, random):
        """Drop unsynced writes, except for up to two that reached the disk."""
        for records, _, snapshot in self.pending[: random.randint(0, 2)]:
            # The crash may occur after a snapshot's file is written and before its
            # record is.
            is_partial = snapshot is not None and random.random() < 0.5
            self._store(() if is_partial else records, snapshot)
            if is_partial:
                break
        self.pending.clear()

    def recover(self):
        """Return the state that a restarted process recovers."""
        missing = make_missing_snapshot_record(GROUP, self.recovered)
        if missing is not None:
            apply_record(missing, {GROUP: self.recovered})
        assert describe_log_gap(self.recovered) == ""
        return self.recovered


class SimulatedHost:
    """One replica with its disk, its clock error and its state machine."""

    def __init__(self, name, disk, voters):
        self.name = name
        self.voters = voters
        self.disk = disk
        self.is_up = False
        self.is_disk_stalled = False
        self.clock_error = timedelta(0)
        self.state = None
        self.commands = []
        self.applied_index = 0
        self.arriving = b""


class Cluster:
    """Hosts of a group, and the history against which effects are checked."""

    def __init__(self, n_hosts, seed, make_disk=MemoryDisk):
        self.random = Random(seed)
        self.now = START
        self.make_disk = make_disk
        self.hosts = {}
        self.queue = []
        self.long_delayed = []
        self.isolated = set()
        self.drop_rate = 0.0
        self.sync_delay_rate = 0.0
        self.leader_by_term = {}
        self.vote_by_term = {}
        self.committed = {}
        self.acknowledged = {}
        self.rejected = set()
        self.uncertain = set()
        self.rejected_reads = set()
        self.reads = {}
        self.completed_reads = {}
        self.changes = {}
        self.added_replicas = {}
        self.n_calls = 0
        voters = tuple("abcde"[:n_hosts])
        for name in voters:
            self.add_host(name, voters)

    def add_host(self, name, voters=()):
        """Start a host with an empty disk."""
        self.hosts[name] = SimulatedHost(name, self.make_disk(), voters)
        self.restart(name)

    def restart(self, name):
        """Start a host with the data on its disk."""
        host = self.hosts[name]
        recovered = host.disk.recover()
        host.state = core.make_replica(
            GROUP,
            name,
            host.voters,
            (),
            Random(self.random.random()),
            limits=LIMITS,
            hard_state=recovered.hard_state,
            snapshot=recovered.snapshot,
            entries=tuple(recovered.entries),
        )
        host.is_up = True
        host.commands = []
        host.applied_index = 0
        if recovered.snapshot is not None:
            self._restore(host, recovered.snapshot)

    def crash(self, name):
        """Crash a host."""
        host = self.hosts[name]
        if not host.is_up:
            return
        host.is_up = False
        host.disk.crash(self.random)

    def destroy_host(self, name):
        """Remove a host and its disk permanently."""
        del self.hosts[name]

    def handle(self, name, message):
        """Have a replica handle a message; perform and check the effects."""
        host = self.hosts.get(name)
        if host is None or not host.is_up:
            return
        now = self.now + host.clock_error
        for effect in core.handle(message, host.state, now):
            self._perform(effect, host)

    def call(self, name, message_type, *fields):
        """Send a replica a message with a new number, and return the number."""
        self.n_calls += 1
        self.handle(name, message_type(self.n_calls, *fields))
        return self.n_calls

    def propose(self, name):
        """Propose a command that is unique within the run."""
        return self.call(name, m.Propose, b"c%d" % (self.n_calls + 1))

    def read(self, name):
        """Start a read, whose result must include all commands acknowledged so far."""
        self.reads[self.n_calls + 1] = max(self.acknowledged.values(), default=0)
        return self.call(name, m.ReadBarrier)

    def change(self, name, kind, replica, new_replica=None):
        """Request a membership change from a replica, and return its number."""
        added = replica if kind is ChangeKind.ADD else new_replica
        committed_index = max(self.committed, default=0)
        self.added_replicas[self.n_calls + 1] = (added, committed_index)
        return self.call(name, m.ChangeMembership, kind, replica, new_replica)

    def run(self, duration):
        """Advance the time by a duration, tick by tick."""
        end = self.now + duration
        while self.now < end:
            self.now += TICK
            for name in list(self.hosts):
                self.handle(name, Tick())
            for _ in range(4):
                self._sync_disks()
                self._deliver()

    def run_with_faults(self, n_ticks, seed):
        """Advance the time with random calls and faults in each tick."""
        random = Random(seed)
        self.sync_delay_rate = random.choice((0.0, 0.5, 0.8))
        for _ in range(n_ticks):
            for host in list(self.hosts.values()):
                self._inject_fault_or_call(host, random)
            self._inject_cluster_fault(random)
            self.run(TICK)
        self.sync_delay_rate = 0.0

    def _inject_cluster_fault(self, random):
        choice = random.random()
        names = sorted(self.hosts)
        if choice < 0.04:
            self.isolated = set(random.sample(names, random.randint(1, 2)))
        elif choice < 0.07:
            self.isolated = {self.find_leader()}
        elif choice < 0.11:
            self.isolated = set()
        elif choice < 0.14:
            self.drop_rate = random.choice((0.0, 0.1, 0.4))
        elif choice < 0.17:
            # Power failure on several hosts at the same time.
            for name in random.sample(names, random.randint(2, len(names))):
                self.crash(name)

    def _inject_fault_or_call(self, host, random):
        choice = random.random()
        if not host.is_up:
            if choice < 0.2:
                self.restart(host.name)
            return
        if choice < 0.01:
            self.crash(host.name)
        elif choice < 0.04:
            host.is_disk_stalled = True
        elif choice < 0.15:
            host.is_disk_stalled = False
        elif choice < (0.25 if host.name in self.isolated else 0.16):
            host.clock_error -= timedelta(seconds=2)
        elif host.state.role is Role.LEADER:
            if choice < 0.7:
                self.propose(host.name)
            if choice > 0.6:
                self.read(host.name)

    def _sync_disks(self):
        for host in list(self.hosts.values()):
            if self.random.random() < self.sync_delay_rate:
                continue
            if host.is_up and not host.is_disk_stalled and host.disk.pending:
                n_writes = len(host.disk.pending)
                if self.sync_delay_rate:
                    n_writes = self.random.randint(1, n_writes)
                try:
                    acknowledgements = host.disk.sync(n_writes)
                except OSError as error:
                    acknowledgements = [m.StorageFailed(str(error))]
                for acknowledgement in acknowledgements:
                    self.handle(host.name, acknowledgement)

    def _deliver(self):
        messages, self.queue = self.queue, []
        if self.drop_rate:
            if self.long_delayed and self.random.random() < 0.05:
                messages.extend(self.long_delayed)
                self.long_delayed.clear()
            self.random.shuffle(messages)
        for sender, receiver, message in messages:
            if self.drop_rate and self.random.random() < self.drop_rate:
                draw = self.random.random()
                if draw < 0.5:
                    continue
                # Delivered late, after newer messages; some are also duplicated.
                late = self.queue if draw < 0.8 else self.long_delayed
                late.append((sender, receiver, message))
                if draw < 0.65:
                    continue
            if (sender in self.isolated) == (receiver in self.isolated):
                self.handle(receiver, m.ReplicaMessage(sender, message))

    def find_leader(self):
        """Return the name of the replica that leads in the newest term."""
        leading = [
            host
            for host in self.hosts.values()
            if host.is_up and host.state.role is Role.LEADER
        ]
        newest = max(leading, key=lambda host: host.state.term, default=None)
        return newest and newest.name

    @singledispatchmethod
    def _perform(self, effect, host):
        """Ignore effects that affect no guarantee."""

    @_perform.register
    def _(self, effect: e.SendToReplica, host):
        message = effect.message
        if isinstance(message, m.VoteReply) and message.is_granted:
            self._check_vote(host.name, message.term, effect.replica)
        if isinstance(message, m.VoteRequest):
            self._check_vote(host.name, message.term, host.name)
        self.queue.append((host.name, effect.replica, message))

    def _check_vote(self, voter, term, candidate):
        earlier = self.vote_by_term.setdefault((voter, term), candidate)
        assert earlier == candidate, f"{voter} votes twice in term {term}"

    @_perform.register
    def _(self, effect: e.LeadershipChanged, host):
        if effect.role is Role.LEADER:
            earlier = self.leader_by_term.setdefault(effect.term, host.name)
            assert earlier == host.name, f"two leaders in term {effect.term}"

    @_perform.register
    def _(self, effect: e.PersistHardState, host):
        record = HardStateRecord(GROUP, effect.hard_state)
        host.disk.write((record,), m.HardStatePersisted(effect.hard_state))

    @_perform.register
    def _(self, effect: e.PersistEntries, host):
        last = effect.entries[-1]
        host.disk.write(
            tuple(EntryRecord(GROUP, entry) for entry in effect.entries),
            m.EntriesPersisted(last.index, last.term, effect.n_truncations),
        )

    @_perform.register
    def _(self, effect: e.TruncateLog, host):
        host.disk.write((TruncationRecord(GROUP, effect.first_index),))

    @_perform.register
    def _(self, effect: e.TakeSnapshot, host):
        data = b"\n".join(host.commands)
        snapshot = m.Snapshot(effect.index, effect.term, effect.membership, data)
        record = SnapshotRecord(GROUP, effect.index, effect.term, True)
        acknowledgement = m.SnapshotTaken(effect.index, data)
        host.disk.write((record,), acknowledgement, snapshot)

    @_perform.register
    def _(self, effect: e.StoreSnapshotPiece, host):
        if effect.offset == 0:
            host.arriving = b""
        assert effect.offset == len(host.arriving), "a piece of a snapshot is missing"
        host.arriving += effect.data
        acknowledgement = m.SnapshotPieceStored(effect.transfer, len(host.arriving))
        if effect.is_last:
            acknowledgement = m.SnapshotReceived(effect.transfer, host.arriving)
        host.disk.write((), acknowledgement)

    @_perform.register
    def _(self, effect: e.RestoreSnapshot, host):
        snapshot = effect.snapshot
        self._restore(host, snapshot)
        record = SnapshotRecord(
            GROUP, snapshot.index, snapshot.term, effect.is_log_kept
        )
        acknowledgement = m.SnapshotRestored(snapshot.index, snapshot.data)
        host.disk.write((record,), acknowledgement, snapshot)

    def _restore(self, host, snapshot):
        host.commands = snapshot.data.split(b"\n") if snapshot.data else []
        host.applied_index = snapshot.index
        expected = [
            command
            for index, command in sorted(self.committed.items())
            if index <= snapshot.index
        ]
        assert host.commands == expected, f"{host.name} restores another history"

    @_perform.register
    def _(self, effect: e.ApplyCommitted, host):
        earlier = self.committed.setdefault(effect.index, effect.command)
        assert earlier == effect.command, f"entry {effect.index} differs"
        assert effect.index > host.applied_index
        host.commands.append(effect.command)
        host.applied_index = effect.index

    @_perform.register
    def _(self, effect: e.ProposalCommitted, host):
        assert host.applied_index == effect.index
        assert host.commands[-1] == b"c%d" % effect.proposal_id
        self.acknowledged[effect.proposal_id] = effect.index

    @_perform.register
    def _(self, effect: e.ProposalRejected, host):
        self.rejected.add(b"c%d" % effect.proposal_id)

    @_perform.register
    def _(self, effect: e.ReadRejected, host):
        self.rejected_reads.add(effect.read_id)

    @_perform.register
    def _(self, effect: e.ProposalUncertain, host):
        self.uncertain.add(effect.proposal_id)

    @_perform.register
    def _(self, effect: e.ReadReady, host):
        needed = self.reads[effect.read_id]
        assert host.applied_index >= needed, f"stale read at {host.name}"
        self.completed_reads[effect.read_id] = host.name

    @_perform.register
    def _(self, effect: e.ChangeEnded, host):
        self.changes[effect.change_id] = effect
        if effect.outcome is ChangeOutcome.COMPLETED:
            name, needed_index = self.added_replicas.get(effect.change_id, (None, 0))
            added_host = self.hosts.get(name)
            if added_host is not None:
                assert added_host.state.persisted_index >= needed_index, (
                    f"{name} counts as repaired but lacks committed entries"
                )

    def is_change_completed(self, change):
        """Return whether a membership change was reported as completed."""
        ended = self.changes.get(change)
        return ended is not None and ended.outcome is ChangeOutcome.COMPLETED

    def heal_and_wait(self):
        """Repair everything except lost disks, and wait until the group works.

        The group works once a proposal is acknowledged and a read has a result.
        """
        self.isolated.clear()
        self.drop_rate = 0.0
        for host in self.hosts.values():
            host.is_disk_stalled = False
            if not host.is_up:
                self.restart(host.name)
        for _ in range(20):
            self.run(timedelta(milliseconds=500))
            leader = self.find_leader()
            if leader is None:
                continue
            proposal, read = self.propose(leader), self.read(leader)
            self.run(timedelta(milliseconds=100))
            if proposal in self.acknowledged and read in self.completed_reads:
                return leader
        raise AssertionError("the group does not work again within 10 s")

    def check_history(self, leader):
        """Check that acknowledged commands ran once and rejected ones never did."""
        commands = self.hosts[leader].commands
        for proposal in self.acknowledged:
            assert commands.count(b"c%d" % proposal) == 1, f"c{proposal} is lost"
        assert not self.rejected.intersection(commands), "a rejected command ran"
