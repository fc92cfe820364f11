"""Guard against the named faults of hosts and disks, alone and in pairs."""

from datetime import timedelta
from functools import partial
from pathlib import Path

import pytest

from oleanderhitch.process.replication import messages as m
from oleanderhitch.process.replication.states import ChangeKind
from oleanderhitch.process.storage.exceptions import StorageError
from tests.process.replication.cluster import Cluster, MemoryDisk
from tests.process.replication.file_disk import FileDisk
from tests.scenario import run_scenario

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.scenario"))


class Script:
    """Give the verbs of a scenario their meaning."""

    def __init__(self, directory):
        self.disks = {"memory": MemoryDisk, "files": partial(FileDisk, directory)}
        self.names = {}
        self.numbers = {}
        self.cluster = None

    def get_verbs(self):
        """Return the verbs by name."""
        return {
            name.removeprefix("do_").replace("_", "-"): getattr(self, name)
            for name in dir(self)
            if name.startswith("do_")
        }

    def find(self, name):
        """Return the name of a host that may be given by its part."""
        leader = self.cluster.find_leader()
        if name == "leader":
            assert leader is not None, "no replica leads"
            return leader
        if name == "follower":
            hosts = sorted(self.cluster.hosts.values(), key=lambda host: host.name)
            return next(h.name for h in hosts if h.is_up and h.name != leader)
        return self.names.get(name, name)

    def host(self, name):
        """Return a host."""
        return self.cluster.hosts[self.find(name)]

    def do_replicas(self, n_hosts, disk="memory", seed="1"):
        """Start a group."""
        self.cluster = Cluster(int(n_hosts), int(seed), self.disks[disk])

    def do_run(self, seconds):
        """Let time pass."""
        self.cluster.run(timedelta(seconds=float(seconds)))

    def do_storm(self, n_ticks, seed):
        """Let time pass with calls and faults at every moment."""
        self.cluster.storm(int(n_ticks), int(seed))

    def do_name(self, name, alias):
        """Give the host that has a part now a name of its own."""
        self.names[alias] = self.find(name)

    def do_propose(self, *names, count="1", label="p"):
        """Propose commands, in turns if there is more than one host."""
        names = [self.find(name) for name in names]
        self.numbers[label] = [
            self.cluster.propose(name) for _ in range(int(count)) for name in names
        ]

    def do_read(self, name, label="r"):
        """Ask for a read."""
        self.numbers[label] = [self.cluster.read(self.find(name))]

    def do_change(self, name, kind, replica, newcomer=None, label="change"):
        """Ask for a membership change."""
        number = self.cluster.change(
            self.find(name), ChangeKind(kind), self.find(replica), newcomer
        )
        self.numbers[label] = [number]

    def do_transfer(self, name):
        """Ask the leader to hand over."""
        self.cluster.handle(self.find(name), m.TransferLeadership())

    def do_expect(self, label, outcome):
        """Check how all calls of a label ended."""
        for number in self.numbers[label]:
            found = self.describe(number)
            assert found == outcome, f"call {number} is {found}"

    def describe(self, number):
        """Return how a call ended."""
        ended = self.cluster.changes.get(number)
        if ended is not None:
            return ended.outcome.value
        if number in self.cluster.acknowledged or number in self.cluster.answered_reads:
            return "answered"
        if number in self.cluster.uncertain:
            return "uncertain"
        is_rejected = b"c%d" % number in self.cluster.rejected
        is_rejected = is_rejected or number in self.cluster.rejected_reads
        return "rejected" if is_rejected else "open"

    def do_leader(self, word, name="none"):
        """Check who leads: is NAME, not NAME, or none."""
        leader = self.cluster.find_leader()
        expected = None if name == "none" else self.find(name)
        assert (leader == expected) is (word == "is"), f"{leader} leads"

    def do_voters(self, *names):
        """Check the voters that the leader knows."""
        voters = self.host("leader").state.membership.voters
        assert set(voters) == {self.find(name) for name in names}, voters

    def do_cut(self, *names):
        """Cut hosts off from the others."""
        self.cluster.cut = {self.find(name) for name in names}

    def do_drop(self, rate):
        """Drop, delay and duplicate a part of the messages."""
        self.cluster.drop_rate = float(rate)

    def do_crash(self, *names):
        """Stop hosts without warning, all at once."""
        for name in [self.find(name) for name in names]:
            self.cluster.crash(name)

    def do_restart(self, *names):
        """Start hosts with what their disks have kept."""
        for name in names:
            self.cluster.restart(self.find(name))

    def do_lose(self, name):
        """Lose a host and its disk."""
        self.cluster.lose(self.find(name))

    def do_join(self, name):
        """Start a host with an empty disk that belongs to no group yet."""
        self.cluster.add_host(name)

    def do_jump(self, name, seconds):
        """Set a host's clock forward or back."""
        self.host(name).clock_error += timedelta(seconds=float(seconds))

    def do_disk(self, name, condition):
        """Make a disk stalled, full or working."""
        host = self.host(name)
        host.is_disk_stalled = condition == "stalled"
        disk = getattr(host.disk, "disk", host.disk)
        disk.is_full = condition == "full"

    def do_stopped(self, name, reason):
        """Check that a replica has stopped and says why."""
        fault = self.host(name).state.fault
        assert reason in fault, f"fault is {fault!r}"

    def do_tear(self, name, n_bytes):
        """Cut bytes off the end of a stopped host's log."""
        path = self.host(name).disk.get_last_segment()
        data = path.read_bytes()
        path.write_bytes(data[: -int(n_bytes)])

    def do_spoil(self, name, n_bytes):
        """Leave a part of a write at the end of a stopped host's log."""
        path = self.host(name).disk.get_last_segment()
        path.write_bytes(path.read_bytes() + b"OLH1" + b"\x55" * int(n_bytes))

    def do_corrupt(self, name, offset):
        """Change one byte of a stopped host's oldest segment."""
        path = self.host(name).disk.get_first_segment()
        data = bytearray(path.read_bytes())
        data[int(offset)] ^= 0xFF
        path.write_bytes(data)

    def do_refused(self, name, text):
        """Check that a host does not start on its damaged log, and says where."""
        try:
            self.cluster.restart(self.find(name))
        except StorageError as error:
            expected = str(self.host(name).disk.get_first_segment())
            assert text in str(error) and expected in str(error), str(error)
        else:
            raise AssertionError("the host starts")

    def do_segments(self, name, maximum):
        """Check that old segments are removed."""
        n_segments = len(list(self.host(name).disk.directory.glob("*.wal")))
        assert n_segments <= int(maximum), f"{n_segments} segments"

    def do_settle(self):
        """Repair all but lost disks, and check that nothing acknowledged is lost."""
        self.cluster.check_history(self.cluster.settle())


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path, tmp_path):
    """Guards against the fault that the scenario's first line names."""
    script = Script(tmp_path)
    run_scenario(path, script.get_verbs())
