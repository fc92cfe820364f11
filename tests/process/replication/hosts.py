"""Hosts that run replicas as real tasks on real files inside the test process."""

from random import Random

import gevent

from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.groups.messages import GroupCall, LocalCall
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.replication.snapshot_sink import make_memory_sink
from oleanderhitch.process.replication.states import Role
from oleanderhitch.process.replication.task import OperatorCall, make_group_task
from oleanderhitch.process.storage.identity import get_node
from oleanderhitch.process.storage.task import open_storage

GROUP = "shard-1"


class RecordingApplication:
    """Fake application that records the applied commands in order."""

    def __init__(self):
        self.commands = []
        self.n_results = 0

    def apply(self, command):
        """Record the command and return the number of commands."""
        self.commands.append(command)
        self.n_results += 1
        return b"%d" % len(self.commands)

    def replay(self, command):
        """Record the command."""
        self.commands.append(command)

    def read(self, query):
        """Return all commands."""
        return b",".join(self.commands)

    def take_snapshot(self):
        """Return the commands, one per line."""
        return b"\n".join(self.commands)

    def load_snapshot(self, stored):
        """Replace the commands by those of a snapshot."""
        return self.restore_snapshot(stored)

    def make_snapshot_sink(self):
        """Return a sink in memory."""
        return make_memory_sink()

    def restore_snapshot(self, data):
        """Replace the commands by those of a snapshot."""
        self.commands = data.split(b"\n") if data else []
        return data

    def confirm_snapshot(self, data):
        """Do nothing, since a snapshot has all commands."""

    def make_leader_commands(self, now):
        """Return no commands to propose."""
        return []


class Host:
    """One replica of a group, running on a data directory."""

    def __init__(self, name, directory, network, nodes, timing, limits=None, disk=None):
        clock = make_system_clock()
        self.name = name
        self.storage = open_storage(directory, name, clock, disk=disk)
        self.application = RecordingApplication()
        self.task = make_group_task(
            GROUP,
            name,
            nodes,
            self.storage,
            self.application,
            network,
            clock,
            Random(hash_name(name)),
            timing,
            limits,
        )
        network.tasks[name] = self.task
        self.storage.start()
        self.task.start()

    @property
    def state(self):
        """The state of the replica."""
        return self.task._state.replica

    def stop(self, network):
        """Stop the host in an orderly way, as before a restart."""
        network.tasks.pop(self.name, None)
        self.task.stop()
        self.task.join()
        self.storage.close()


def hash_name(name):
    """Return a number that, unlike `hash()`, is the same in every run."""
    return int.from_bytes(name.encode(), "big")


class Network:
    """Fake transport that delivers envelopes to the task of the receiving node."""

    def __init__(self):
        self.tasks = {}
        self.isolated = set()
        self.n_bytes = 0

    def send(self, envelope):
        """Deliver an envelope unless its sender or receiver is isolated."""
        node = get_node(envelope.receiver)
        self.n_bytes += len(envelope.body)
        if node in self.isolated or get_node(envelope.sender) in self.isolated:
            return
        if node in self.tasks:
            self.tasks[node].send(envelope)


def wait_for(condition, seconds=10):
    """Return the first true value of a condition; fail after a timeout."""
    with gevent.Timeout(
        seconds, AssertionError(f"condition is not met within {seconds} s")
    ):
        while True:
            value = condition()
            if value:
                return value
            gevent.sleep(0.005)


def find_leader(hosts):
    """Return the host that leads in the newest term, if one does."""
    leading = [
        host
        for host in hosts
        if host.state.role is Role.LEADER
        and host.state.commit_index >= host.state.term_start_index
    ]
    return max(leading, key=lambda host: host.state.term, default=None)


def call(host, body, is_read=False, seconds=5):
    """Call one host and return its reply."""
    reply_mailbox = make_mailbox("reply")
    host.task.send(LocalCall(GroupCall(1, GROUP, body, is_read), reply_mailbox))
    with gevent.Timeout(seconds, AssertionError(f"no reply in {seconds} s")):
        return reply_mailbox.receive()


def send_operator_request(host, request, seconds=10):
    """Send an operator request to one host and return its reply."""
    reply_mailbox = make_mailbox("reply")
    host.task.send(OperatorCall(request, reply_mailbox))
    with gevent.Timeout(seconds, AssertionError(f"no reply in {seconds} s")):
        return reply_mailbox.receive()
