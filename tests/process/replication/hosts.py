"""Run replicas with real tasks and real files on hosts inside the test."""

from random import Random

import gevent

from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.groups.messages import GroupCall, LocalCall
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.replication.states import Role
from oleanderhitch.process.replication.task import OperatorCall, make_group_task
from oleanderhitch.process.storage.identity import get_node
from oleanderhitch.process.storage.task import open_storage

GROUP = "shard-1"


class Journal:
    """Fake an application: keep the applied commands in order."""

    def __init__(self):
        self.commands = []
        self.n_results = 0

    def apply(self, command):
        """Keep the command and return how many there are."""
        self.commands.append(command)
        self.n_results += 1
        return b"%d" % len(self.commands)

    def replay(self, command):
        """Keep the command."""
        self.commands.append(command)

    def read(self, query):
        """Return all commands."""
        return b",".join(self.commands)

    def take_snapshot(self):
        """Return the commands, one a line."""
        return b"\n".join(self.commands)

    def restore_snapshot(self, data):
        """Take over the commands of a snapshot."""
        self.commands = data.split(b"\n") if data else []

    def make_leader_commands(self, now):
        """Return nothing to propose."""
        return []


class Host:
    """Run one replica of one group on a data directory."""

    def __init__(self, name, directory, network, nodes, timing, limits=None, disk=None):
        clock = make_system_clock()
        self.name = name
        self.storage = open_storage(directory, name, clock, disk=disk)
        self.journal = Journal()
        self.task = make_group_task(
            GROUP,
            name,
            nodes,
            self.storage,
            self.journal,
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
        """Return the state of the replica."""
        return self.task._state.replica

    def stop(self, network):
        """Stop the host as a restart does."""
        network.tasks.pop(self.name, None)
        self.task.stop()
        self.task.join()
        self.storage.close()


def hash_name(name):
    """Return a number that, unlike hash(), is the same in every run."""
    return int.from_bytes(name.encode(), "big")


class Network:
    """Fake a transport: hand envelopes over to the task of the receiving node."""

    def __init__(self):
        self.tasks = {}
        self.cut = set()
        self.n_bytes = 0

    def send(self, envelope):
        """Hand an envelope over, unless a host is cut off."""
        node = get_node(envelope.receiver)
        self.n_bytes += len(envelope.body)
        if node in self.cut or get_node(envelope.sender) in self.cut:
            return
        if node in self.tasks:
            self.tasks[node].send(envelope)


def wait_for(condition, seconds=10):
    """Return the first true value of a condition; fail after a time."""
    with gevent.Timeout(seconds, AssertionError(f"waited {seconds} s in vain")):
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
    """Return the answer of one host to one call."""
    reply = make_mailbox("reply")
    host.task.send(LocalCall(GroupCall(1, GROUP, body, is_read), reply))
    with gevent.Timeout(seconds, AssertionError(f"no answer in {seconds} s")):
        return reply.receive()


def ask(host, request, seconds=10):
    """Return the answer of one host to an operator."""
    reply = make_mailbox("reply")
    host.task.send(OperatorCall(request, reply))
    with gevent.Timeout(seconds, AssertionError(f"no answer in {seconds} s")):
        return reply.receive()
