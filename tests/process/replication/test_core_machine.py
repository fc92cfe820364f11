"""Guard against violations of the log's guarantees under faults in any order."""

from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from oleanderhitch.process.replication import messages as m
from oleanderhitch.process.replication.states import ChangeKind
from tests.process.replication.cluster import Cluster

HOST_NUMBERS = st.integers(0, 5)


class ReplicaMachine(RuleBasedStateMachine):
    """Cluster with random proposals, reads, faults and repairs."""

    @initialize(n_hosts=st.integers(3, 5), seed=st.integers(0, 2**32))
    def start(self, n_hosts, seed):
        """Start a group and wait until it has elected a leader."""
        self.cluster = Cluster(n_hosts, seed)
        self.n_added = 0
        # Durability holds while fewer than half of the disks are lost. Here one disk is
        # lost at a time, the next only after the repair is complete.
        self.lost_host = None
        self.repair_change = None
        self.cluster.run(timedelta(milliseconds=1500))

    def pick_host(self, number):
        """Return the name of a host."""
        names = sorted(self.cluster.hosts)
        return names[number % len(names)]

    @rule(n_ticks=st.integers(1, 15))
    def run(self, n_ticks):
        """Advance the time."""
        self.cluster.run(timedelta(milliseconds=100 * n_ticks))

    @rule()
    def heal(self):
        """Restart all hosts, end partitions and message loss, and run for 1.5 s."""
        for host in list(self.cluster.hosts.values()):
            host.is_disk_stalled = False
            if not host.is_up:
                self.cluster.restart(host.name)
        self.cluster.isolated.clear()
        self.cluster.drop_rate = 0.0
        self.cluster.run(timedelta(milliseconds=1500))

    @rule(number=HOST_NUMBERS, n_proposals=st.integers(1, 8), is_leader=st.booleans())
    def propose(self, number, n_proposals, is_leader):
        """Propose at the leader or at any host."""
        name = (is_leader and self.cluster.find_leader()) or self.pick_host(number)
        for _ in range(n_proposals):
            self.cluster.propose(name)

    @rule(number=HOST_NUMBERS)
    def read(self, number):
        """Read at any host."""
        self.cluster.read(self.pick_host(number))

    @rule(n_ticks=st.integers(10, 80), seed=st.integers(0, 2**32))
    def run_with_faults(self, n_ticks, seed):
        """Advance the time with calls, crashes, partitions and slow disks."""
        self.cluster.run_with_faults(n_ticks, seed)

    @rule(number=HOST_NUMBERS)
    def crash(self, number):
        """Crash a host."""
        self.cluster.crash(self.pick_host(number))

    @rule()
    def disconnect_leader(self):
        """Isolate the leader, which still takes calls for a while."""
        leader = self.cluster.find_leader()
        if leader is not None:
            self.cluster.isolated = {leader}

    @rule(number=HOST_NUMBERS, seconds=st.integers(-20, 20))
    def jump_clock(self, number, seconds):
        """Set the clock of one host forward or back."""
        host = self.cluster.hosts[self.pick_host(number)]
        host.clock_error += timedelta(seconds=seconds)

    @rule()
    def transfer_leadership(self):
        """Request that the leader transfer leadership."""
        leader = self.cluster.find_leader()
        if leader is not None:
            self.cluster.handle(leader, m.TransferLeadership())

    @precondition(lambda self: self.lost_host is None)
    @rule(number=HOST_NUMBERS)
    def lose_disk(self, number):
        """Lose a disk permanently; its host restarts under a new replica id."""
        name = self.pick_host(number)
        self.lost_host = name
        self.cluster.destroy_host(name)
        self.add_host()

    def add_host(self):
        """Start a host with an empty disk."""
        self.n_added += 1
        self.new_host = f"n{self.n_added}"
        self.cluster.add_host(self.new_host)

    @precondition(lambda self: self.lost_host is not None)
    @rule()
    def repair_lost(self):
        """Request the replacement of the lost replica until it is complete."""
        if self.repair_change is not None and self.cluster.is_change_completed(
            self.repair_change
        ):
            self.lost_host = None
            self.repair_change = None
            return
        leader = self.cluster.find_leader()
        if leader is None:
            return
        voters = self.cluster.hosts[leader].state.membership.voters
        kind = ChangeKind.REPLACE if self.lost_host in voters else ChangeKind.ADD
        first = self.lost_host if self.lost_host in voters else self.new_host
        self.repair_change = self.cluster.change(leader, kind, first, self.new_host)
        self.cluster.run(timedelta(milliseconds=1500))

    @precondition(lambda self: self.lost_host is None)
    @rule(number=HOST_NUMBERS)
    def remove(self, number):
        """Remove a replica if at least three voters remain."""
        leader = self.cluster.find_leader()
        if leader and len(self.cluster.hosts[leader].state.membership.voters) > 3:
            self.cluster.change(leader, ChangeKind.REMOVE, self.pick_host(number))

    @precondition(lambda self: self.lost_host is None and self.n_added < 3)
    @rule()
    def add(self):
        """Add a replica."""
        leader = self.cluster.find_leader()
        if leader is not None:
            self.add_host()
            self.cluster.change(leader, ChangeKind.ADD, self.new_host)

    def teardown(self):
        """Repair the cluster and check that no acknowledged command is lost."""
        if hasattr(self, "cluster"):
            self.cluster.check_history(self.cluster.heal_and_wait())


ReplicaMachine.TestCase.settings = settings(
    max_examples=10 * settings.default.max_examples,
    stateful_step_count=12,
)
TestReplicaMachine = pytest.mark.timeout(3600)(ReplicaMachine.TestCase)
