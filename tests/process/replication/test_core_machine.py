"""Guard against any order of faults that breaks a promise of the log."""

from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from oleanderhitch.process.replication import messages as m
from oleanderhitch.process.replication.states import ChangeKind
from tests.process.replication.cluster import Cluster

PICKS = st.integers(0, 5)


class ReplicaMachine(RuleBasedStateMachine):
    """Drive a cluster through proposals, reads, faults and repairs."""

    @initialize(n_hosts=st.integers(3, 5), seed=st.integers(0, 2**32))
    def start(self, n_hosts, seed):
        """Start a group and let it elect a leader."""
        self.cluster = Cluster(n_hosts, seed)
        self.n_added = 0
        # Durability holds while fewer than half of the disks are lost; one at a
        # time is lost here, the next only after the repair is complete.
        self.lost = None
        self.repair = None
        self.cluster.run(timedelta(milliseconds=1500))

    def pick(self, number):
        """Return the name of a host."""
        names = sorted(self.cluster.hosts)
        return names[number % len(names)]

    @rule(n_ticks=st.integers(1, 15))
    def run(self, n_ticks):
        """Let time pass."""
        self.cluster.run(timedelta(milliseconds=100 * n_ticks))

    @rule()
    def heal(self):
        """Restart what is down and let the group work for a second."""
        for host in list(self.cluster.hosts.values()):
            host.is_disk_stalled = False
            if not host.is_up:
                self.cluster.restart(host.name)
        self.cluster.cut.clear()
        self.cluster.drop_rate = 0.0
        self.cluster.run(timedelta(milliseconds=1500))

    @rule(number=PICKS, n_proposals=st.integers(1, 8), is_leader=st.booleans())
    def propose(self, number, n_proposals, is_leader):
        """Propose at a host that leads, or that may only think so."""
        name = (is_leader and self.cluster.find_leader()) or self.pick(number)
        for _ in range(n_proposals):
            self.cluster.propose(name)

    @rule(number=PICKS)
    def read(self, number):
        """Read at any host."""
        self.cluster.read(self.pick(number))

    @rule(n_ticks=st.integers(10, 80), seed=st.integers(0, 2**32))
    def storm(self, n_ticks, seed):
        """Let time pass with calls, crashes, partitions and slow disks."""
        self.cluster.storm(n_ticks, seed)

    @rule(number=PICKS)
    def crash(self, number):
        """Stop a host."""
        self.cluster.crash(self.pick(number))

    @rule()
    def cut_leader_off(self):
        """Cut the leader off, which goes on answering for a while."""
        leader = self.cluster.find_leader()
        if leader is not None:
            self.cluster.cut = {leader}

    @rule(number=PICKS, seconds=st.integers(-20, 20))
    def jump_clock(self, number, seconds):
        """Set the clock of one host forward or back."""
        host = self.cluster.hosts[self.pick(number)]
        host.clock_error += timedelta(seconds=seconds)

    @rule()
    def transfer(self):
        """Ask the leader to hand over."""
        leader = self.cluster.find_leader()
        if leader is not None:
            self.cluster.handle(leader, m.TransferLeadership())

    @precondition(lambda self: self.lost is None)
    @rule(number=PICKS)
    def lose_disk(self, number):
        """Lose a disk for good; its host comes back under a new id."""
        name = self.pick(number)
        self.lost = name
        self.cluster.lose(name)
        self.add_host()

    def add_host(self):
        """Start a host that knows nothing."""
        self.n_added += 1
        self.new_name = f"n{self.n_added}"
        self.cluster.add_host(self.new_name)

    @precondition(lambda self: self.lost is not None)
    @rule()
    def repair_lost(self):
        """Ask for the replacement of the lost disk until it is complete."""
        if self.repair is not None and self.cluster.is_change_completed(self.repair):
            self.lost = None
            self.repair = None
            return
        leader = self.cluster.find_leader()
        if leader is None:
            return
        voters = self.cluster.hosts[leader].state.membership.voters
        kind = ChangeKind.REPLACE if self.lost in voters else ChangeKind.ADD
        first = self.lost if self.lost in voters else self.new_name
        self.repair = self.cluster.change(leader, kind, first, self.new_name)
        self.cluster.run(timedelta(milliseconds=1500))

    @precondition(lambda self: self.lost is None)
    @rule(number=PICKS)
    def remove(self, number):
        """Remove a replica if enough stay."""
        leader = self.cluster.find_leader()
        if leader and len(self.cluster.hosts[leader].state.membership.voters) > 3:
            self.cluster.change(leader, ChangeKind.REMOVE, self.pick(number))

    @precondition(lambda self: self.lost is None and self.n_added < 3)
    @rule()
    def add(self):
        """Add a replica."""
        leader = self.cluster.find_leader()
        if leader is not None:
            self.add_host()
            self.cluster.change(leader, ChangeKind.ADD, self.new_name)

    def teardown(self):
        """Repair everything, and check that nothing acknowledged is lost."""
        if hasattr(self, "cluster"):
            self.cluster.check_history(self.cluster.settle())


ReplicaMachine.TestCase.settings = settings(
    max_examples=10 * settings.default.max_examples,
    stateful_step_count=12,
)
TestReplicaMachine = pytest.mark.timeout(3600)(ReplicaMachine.TestCase)
