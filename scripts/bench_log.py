"""Measure the replicated log with fsync: throughput, size, idle cost and failover.

Run with: python scripts/bench_log.py [--seconds 4] [--directory DIR]
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

GROUP_NAME = "shard-01"
COMMAND = b"x" * 200
WRITER_COUNTS = (1, 16, 256)
N_FAILOVERS = 10


class NoOpApplication:
    """State machine without state, so that only the log is measured."""

    def apply(self, command):
        """Return an empty result."""
        return b""

    def replay(self, command):
        """Ignore the command."""

    def read(self, query):
        """Return an empty result."""
        return b""

    def take_snapshot(self):
        """Return an empty snapshot."""
        return b""

    def load_snapshot(self, stored):
        """Ignore the snapshot."""
        return stored

    def restore_snapshot(self, data):
        """Ignore the snapshot."""
        return data

    def confirm_snapshot(self, data):
        """Do nothing."""

    def make_leader_commands(self, now):
        """Return no commands."""
        return []


class CountingNetwork:
    """Deliver envelopes between replicas and count their encoded bytes by node."""

    def __init__(self):
        self.codec = make_codec(MESSAGES)
        self.tasks = {}
        self.n_bytes = Counter()

    def send(self, envelope):
        """Count and deliver an envelope."""
        n_bytes = len(self.codec.encode(envelope))
        sender, receiver = get_node(envelope.sender), get_node(envelope.receiver)
        self.n_bytes[sender] += n_bytes
        self.n_bytes[receiver] += n_bytes
        if receiver in self.tasks and sender in self.tasks:
            self.tasks[receiver].send(envelope)


class LocalGroup:
    """Group of one or three replicas within this process."""

    def __init__(self, directory, n_replicas):
        self.network = CountingNetwork()
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
            GROUP_NAME,
            node,
            self.nodes,
            storage,
            NoOpApplication(),
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
        """Return the leader if it has committed the first entry of its term."""
        for node, task in self.network.tasks.items():
            state = task._state.replica
            is_ready = state.commit_index >= state.term_start_index
            if state.role is Role.LEADER and is_ready:
                return node
        return None

    def wait_for_leader(self):
        """Wait until there is a leader and return it."""
        while self.find_leader() is None:
            gevent.sleep(0.002)
        return self.find_leader()

    def close(self):
        """Stop all replicas."""
        for node in list(self.network.tasks):
            self.stop(node)


def write_records(task, end_s, latencies):
    """Write one record after the other until a time, and collect the latencies."""
    reply_mailbox = make_mailbox("writer")
    while time.perf_counter() < end_s:
        started_s = time.perf_counter()
        task.send(LocalCall(GroupCall(1, GROUP_NAME, COMMAND, False), reply_mailbox))
        reply = reply_mailbox.receive()
        assert isinstance(reply, GroupAnswer), reply
        latencies.append(time.perf_counter() - started_s)


def get_log_bytes(group, node):
    """Return the size of a node's log segments."""
    directory = group.directory / node
    return sum(path.stat().st_size for path in directory.glob("*.wal"))


def measure_writes(directory, n_replicas, n_writers, seconds):
    """Print the throughput, the latencies and the size of records."""
    group = LocalGroup(directory, n_replicas)
    leader = group.wait_for_leader()
    task = group.network.tasks[leader]
    n_bytes = get_log_bytes(group, leader)
    n_frames = group.storages[leader].writer.last_frame_number
    latencies = []
    started_s = time.perf_counter()
    cpu_s = time.process_time()
    writers = [
        gevent.spawn(write_records, task, started_s + seconds, latencies)
        for _ in range(n_writers)
    ]
    gevent.joinall(writers, raise_error=True)
    elapsed_s = time.perf_counter() - started_s
    cpu_s = time.process_time() - cpu_s
    n_records = len(latencies)
    n_bytes = get_log_bytes(group, leader) - n_bytes
    # Each frame is written with one sync.
    n_frames = group.storages[leader].writer.last_frame_number - n_frames
    latencies.sort()
    print(
        f"replicas={n_replicas} writers={n_writers:<3} "
        f"records/s={n_records / elapsed_s:.0f} "
        f"p50={latencies[n_records // 2] * 1e3:.2f}ms "
        f"p99={latencies[int(n_records * 0.99)] * 1e3:.2f}ms "
        f"bytes/record={n_bytes / n_records:.1f} (command {len(COMMAND)}) "
        f"records/sync={n_records / n_frames:.1f} "
        f"cpu/record={cpu_s / n_records * 1e6:.0f}us"
    )
    group.close()


def measure_idle(directory, seconds):
    """Print the traffic and the CPU usage of an idle group."""
    group = LocalGroup(directory, 3)
    leader = group.wait_for_leader()
    gevent.sleep(1)
    group.network.n_bytes.clear()
    cpu_s = time.process_time()
    gevent.sleep(seconds)
    cpu_s = time.process_time() - cpu_s
    for node, n_bytes in sorted(group.network.n_bytes.items()):
        role = "leader" if node == leader else "follower"
        print(f"idle {role}: {n_bytes / seconds:.0f} bytes/s sent and received")
    print(f"idle: {cpu_s / seconds / 3 * 100:.3f}% of a core per replica")
    group.close()


def measure_failover(directory):
    """Print how long the group has no leader after the old one has stopped."""
    group = LocalGroup(directory, 3)
    durations_s = []
    for _ in range(N_FAILOVERS):
        leader = group.wait_for_leader()
        gevent.sleep(1)
        group.network.tasks.pop(leader).stop()
        started_s = time.perf_counter()
        group.wait_for_leader()
        durations_s.append(time.perf_counter() - started_s)
        group.storages.pop(leader).close()
        group.start(leader)
    durations_s.sort()
    print(
        f"failover: n={N_FAILOVERS} median={statistics.median(durations_s):.2f}s "
        f"min={durations_s[0]:.2f}s max={durations_s[-1]:.2f}s"
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
            for n_writers in WRITER_COUNTS:
                directory = parent / f"{n_replicas}-{n_writers}"
                measure_writes(directory, n_replicas, n_writers, options.seconds)
        measure_idle(parent / "idle", options.seconds)
        measure_failover(parent / "failover")


if __name__ == "__main__":
    main()
