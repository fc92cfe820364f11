"""Run the scenario files on host and disk faults, single and in pairs."""

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


class ScenarioSteps:
    """Implements the verbs of the scenario files."""

    def __init__(self, directory):
        self.disks = {"memory": MemoryDisk, "files": partial(FileDisk, directory)}
        self.names = {}
        self.numbers_by_label = {}
        self.cluster = None

    def get_verbs(self):
        """Return the verbs by name."""
        return {
            name.removeprefix("do_").replace("_", "-"): getattr(self, name)
            for name in dir(self)
            if name.startswith("do_")
        }

    def resolve_host_name(self, name):
        """Return the host for a name, an alias, "leader" or "follower"."""
        leader = self.cluster.find_leader()
        if name == "leader":
            assert leader is not None, "no replica leads"
            return leader
        if name == "follower":
            hosts = sorted(self.cluster.hosts.values(), key=lambda host: host.name)
            return next(h.name for h in hosts if h.is_up and h.name != leader)
        return self.names.get(name, name)

    def get_host(self, name):
        """Return the host for a name, an alias or a role."""
        return self.cluster.hosts[self.resolve_host_name(name)]

    def do_replicas(self, n_hosts, disk="memory", seed="1"):
        """Start a group."""
        self.cluster = Cluster(int(n_hosts), int(seed), self.disks[disk])

    def do_run(self, seconds):
        """Advance the time."""
        self.cluster.run(timedelta(seconds=float(seconds)))

    def do_random_faults(self, n_ticks, seed):
        """Advance the time with random calls and faults in each tick."""
        self.cluster.run_with_faults(int(n_ticks), int(seed))

    def do_name(self, name, alias):
        """Set an alias for a host, such as the current leader."""
        self.names[alias] = self.resolve_host_name(name)

    def do_propose(self, *aliases, count="1", label="p"):
        """Propose commands, alternating between the given hosts."""
        aliases = [self.resolve_host_name(name) for name in aliases]
        self.numbers_by_label[label] = [
            self.cluster.propose(name) for _ in range(int(count)) for name in aliases
        ]

    def do_read(self, name, label="r"):
        """Start a read."""
        self.numbers_by_label[label] = [self.cluster.read(self.resolve_host_name(name))]

    def do_change(self, name, kind, replica, new_replica=None, label="change"):
        """Request a membership change."""
        number = self.cluster.change(
            self.resolve_host_name(name),
            ChangeKind(kind),
            self.resolve_host_name(replica),
            new_replica,
        )
        self.numbers_by_label[label] = [number]

    def do_transfer(self, name):
        """Request that the leader transfer leadership."""
        self.cluster.handle(self.resolve_host_name(name), m.TransferLeadership())

    def do_expect(self, label, outcome):
        """Check the outcome of all calls with a label."""
        for number in self.numbers_by_label[label]:
            actual = self.describe_outcome(number)
            assert actual == outcome, f"call {number} is {actual}"

    def describe_outcome(self, number):
        """Return the outcome of a call."""
        ended = self.cluster.changes.get(number)
        if ended is not None:
            return ended.outcome.value
        if (
            number in self.cluster.acknowledged
            or number in self.cluster.completed_reads
        ):
            return "succeeded"
        if number in self.cluster.uncertain:
            return "uncertain"
        is_rejected = b"c%d" % number in self.cluster.rejected
        is_rejected = is_rejected or number in self.cluster.rejected_reads
        return "rejected" if is_rejected else "open"

    def do_leader(self, word, name="none"):
        """Check the leader: is NAME, not NAME, or none."""
        leader = self.cluster.find_leader()
        expected = None if name == "none" else self.resolve_host_name(name)
        assert (leader == expected) is (word == "is"), f"{leader} leads"

    def do_voters(self, *names):
        """Check the voters in the leader's membership."""
        voters = self.get_host("leader").state.membership.voters
        assert set(voters) == {self.resolve_host_name(name) for name in names}, voters

    def do_cut(self, *names):
        """Isolate hosts from the others."""
        self.cluster.isolated = {self.resolve_host_name(name) for name in names}

    def do_drop(self, rate):
        """Drop, delay or duplicate the given share of the messages."""
        self.cluster.drop_rate = float(rate)

    def do_crash(self, *names):
        """Crash hosts at the same time."""
        for name in [self.resolve_host_name(name) for name in names]:
            self.cluster.crash(name)

    def do_restart(self, *names):
        """Start hosts with the data on their disks."""
        for name in names:
            self.cluster.restart(self.resolve_host_name(name))

    def do_lose(self, name):
        """Lose a host and its disk."""
        self.cluster.destroy_host(self.resolve_host_name(name))

    def do_join(self, name):
        """Start a host with an empty disk that belongs to no group yet."""
        self.cluster.add_host(name)

    def do_jump(self, name, seconds):
        """Set a host's clock forward or back."""
        self.get_host(name).clock_error += timedelta(seconds=float(seconds))

    def do_disk(self, name, condition):
        """Set the condition of a disk: stalled, full or working."""
        host = self.get_host(name)
        host.is_disk_stalled = condition == "stalled"
        disk = getattr(host.disk, "disk", host.disk)
        disk.is_full = condition == "full"

    def do_stopped(self, name, reason):
        """Check that a replica has stopped and reports the reason."""
        fault = self.get_host(name).state.fault
        assert reason in fault, f"fault is {fault!r}"

    def do_truncate_log(self, name, n_bytes):
        """Remove bytes from the end of a stopped host's log."""
        path = self.get_host(name).disk.get_last_segment()
        data = path.read_bytes()
        path.write_bytes(data[: -int(n_bytes)])

    def do_append_partial_write(self, name, n_bytes):
        """Append a partial write to the end of a stopped host's log."""
        path = self.get_host(name).disk.get_last_segment()
        path.write_bytes(path.read_bytes() + b"OLH1" + b"\x55" * int(n_bytes))

    def do_corrupt(self, name, offset):
        """Change one byte of a stopped host's oldest segment."""
        path = self.get_host(name).disk.get_first_segment()
        data = bytearray(path.read_bytes())
        data[int(offset)] ^= 0xFF
        path.write_bytes(data)

    def do_refused(self, name, text):
        """Check that a host refuses to start on its damaged log and names the file."""
        try:
            self.cluster.restart(self.resolve_host_name(name))
        except StorageError as error:
            expected = str(self.get_host(name).disk.get_first_segment())
            assert text in str(error) and expected in str(error), str(error)
        else:
            raise AssertionError("the host starts")

    def do_segments(self, name, maximum):
        """Check that old segments are deleted, by the number that is left."""
        n_segments = len(list(self.get_host(name).disk.directory.glob("*.wal")))
        assert n_segments <= int(maximum), f"{n_segments} segments"

    def do_heal(self):
        """Repair all but lost disks, and check that no acknowledged command is lost."""
        self.cluster.check_history(self.cluster.heal_and_wait())


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path, tmp_path):
    """Guard against the fault that the scenario's first line names."""
    steps = ScenarioSteps(tmp_path)
    run_scenario(path, steps.get_verbs())
