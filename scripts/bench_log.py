"""Measure the replicated log with real syncs: throughput, size, idle cost, failover.

Run as: python scripts/bench_log.py [--seconds 4] [--directory DIR]
"""

import argparse
import statistics
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import gevent

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.groups.messages import (
    MESSAGES,
    GroupAnswer,
    GroupCall,
    LocalCall,
)
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.replication.states import Role
from oleanderhitch.process.replication.task import make_group_task
from oleanderhitch.process.storage.identity import get_node
from oleanderhitch.process.storage.task import open_storage

GROUP = "shard-01"
BODY = b"x" * 200
N_WRITERS = (1, 16, 256)
N_FAILOVERS = 10


class NullApplication:
    """Apply nothing, so that only the log is measured."""

    def apply(self, command):
        """Return an empty result."""
        return b""

    def read(self, query):
        """Return an empty result."""
        return b""

    def take_snapshot(self):
        """Return an empty state."""
        return b""

    def restore_snapshot(self, data):
        """Ignore the state."""

    def make_leader_commands(self, now):
        """Propose nothing."""
        return []


class Network:
    """Encode envelopes as a peer stream does, count the bytes, deliver them."""

    def __init__(self):
        self.codec = make_codec(MESSAGES)
        self.tasks = {}
        self.n_bytes = Counter()

    def send(self, envelope):
        """Count and deliver one envelope."""
        n_bytes = len(self.codec.encode(envelope))
        sender, receiver = get_node(envelope.sender), get_node(envelope.receiver)
        self.n_bytes[sender] += n_bytes
        self.n_bytes[receiver] += n_bytes
        if receiver in self.tasks and sender in self.tasks:
            self.tasks[receiver].send(envelope)


class Group:
    """Run a group of one or three replicas inside this process."""

    def __init__(self, directory, n_replicas):
        self.network = Network()
        self.nodes = tuple(f"store-{number}" for number in range(n_replicas))
        self.storages = {}
        self.directory = directory
        for node in self.nodes:
            self.start(node)

    def start(self, node):
        """Start a replica."""
        clock = make_system_clock()
        storage = open_storage(self.directory / node, node, clock)
        task = make_group_task(
            GROUP,
            node,
            self.nodes,
            storage,
            NullApplication(),
            self.network,
            clock,
            Random(),
        )
        self.storages[node] = storage
        self.network.tasks[node] = task
        storage.start()
        task.start()

    def stop(self, node):
        """Stop a replica."""
        task = self.network.tasks.pop(node)
        task.stop()
        task.join()
        self.storages.pop(node).close()

    def find_leader(self):
        """Return the node that leads and has committed its first entry."""
        for node, task in self.network.tasks.items():
            state = task._state.replica
            is_ready = state.commit_index >= state.term_start_index
            if state.role is Role.LEADER and is_ready:
                return node
        return None

    def wait_for_leader(self):
        """Return the leader once there is one."""
        while self.find_leader() is None:
            gevent.sleep(0.002)
        return self.find_leader()

    def close(self):
        """Stop all replicas."""
        for node in list(self.network.tasks):
            self.stop(node)


def write_until(task, end, latencies):
    """Write one record after the other until a time."""
    reply = make_mailbox("writer")
    while time.perf_counter() < end:
        begin = time.perf_counter()
        task.send(LocalCall(GroupCall(1, GROUP, BODY, False), reply))
        answer = reply.receive()
        assert isinstance(answer, GroupAnswer), answer
        latencies.append(time.perf_counter() - begin)


def count_disk_bytes(group, node):
    """Return the bytes of a node's log segments."""
    directory = group.directory / node
    return sum(path.stat().st_size for path in directory.glob("*.wal"))


def measure_writes(directory, n_replicas, n_writers, seconds):
    """Print the throughput and the size of records."""
    group = Group(directory, n_replicas)
    leader = group.wait_for_leader()
    task = group.network.tasks[leader]
    n_bytes = count_disk_bytes(group, leader)
    n_frames = group.storages[leader].writer.last_frame_number
    latencies = []
    begin = time.perf_counter()
    cpu = time.process_time()
    writers = [
        gevent.spawn(write_until, task, begin + seconds, latencies)
        for _ in range(n_writers)
    ]
    gevent.joinall(writers, raise_error=True)
    elapsed = time.perf_counter() - begin
    cpu = time.process_time() - cpu
    n_records = len(latencies)
    n_bytes = count_disk_bytes(group, leader) - n_bytes
    n_frames = group.storages[leader].writer.last_frame_number - n_frames
    latencies.sort()
    print(
        f"replicas={n_replicas} writers={n_writers:<3} "
        f"records/s={n_records / elapsed:.0f} "
        f"p50={latencies[n_records // 2] * 1e3:.2f}ms "
        f"p99={latencies[int(n_records * 0.99)] * 1e3:.2f}ms "
        f"bytes/record={n_bytes / n_records:.1f} (command {len(BODY)}) "
        f"records/sync={n_records / n_frames:.1f} "
        f"cpu/record={cpu / n_records * 1e6:.0f}us"
    )
    group.close()


def measure_idle(directory, seconds):
    """Print what an idle group sends and how much processor time it takes."""
    group = Group(directory, 3)
    leader = group.wait_for_leader()
    gevent.sleep(1)
    group.network.n_bytes.clear()
    cpu = time.process_time()
    gevent.sleep(seconds)
    cpu = time.process_time() - cpu
    for node, n_bytes in sorted(group.network.n_bytes.items()):
        part = "leader" if node == leader else "follower"
        print(f"idle {part}: {n_bytes / seconds:.0f} bytes/s sent and received")
    print(f"idle: {cpu / seconds / 3 * 100:.3f}% of a core per replica")
    group.close()


def measure_failover(directory):
    """Print how long the group has no leader after it loses one."""
    group = Group(directory, 3)
    durations = []
    for _ in range(N_FAILOVERS):
        leader = group.wait_for_leader()
        gevent.sleep(1)
        group.network.tasks.pop(leader).stop()
        begin = time.perf_counter()
        group.wait_for_leader()
        durations.append(time.perf_counter() - begin)
        group.storages.pop(leader).close()
        group.start(leader)
    durations.sort()
    print(
        f"failover: n={N_FAILOVERS} median={statistics.median(durations):.2f}s "
        f"min={durations[0]:.2f}s max={durations[-1]:.2f}s"
    )
    group.close()


def main():
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--directory", type=Path)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=options.directory) as name:
        parent = Path(name)
        for n_replicas in (1, 3):
            for n_writers in N_WRITERS:
                directory = parent / f"{n_replicas}-{n_writers}"
                measure_writes(directory, n_replicas, n_writers, options.seconds)
        measure_idle(parent / "idle", options.seconds)
        measure_failover(parent / "failover")


if __name__ == "__main__":
    main()
