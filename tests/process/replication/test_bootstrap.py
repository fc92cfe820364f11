"""Guard against a group that is bootstrapped more than once."""

from datetime import UTC, datetime, timedelta
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderhitch.process.replication.bootstrap import (
    BootstrapState,
    FoundingHello,
    PersistVoters,
    SendHello,
    VotersPersisted,
    handle_bootstrap_tick,
    handle_hello,
    handle_voters_persisted,
)

NODES = ("a", "b", "c")
NOW = datetime(2026, 1, 1, tzinfo=UTC)


class BootstrapNodes:
    """Bootstrap nodes of one group with disks and messages in memory."""

    def __init__(self):
        self.n_disks = 0
        self.disks = {}
        self.states = {}
        self.pending_writes = {}
        self.messages = []
        self.formed_sets = set()
        self.n_ticks = 0
        for node in NODES:
            self.wipe(node)

    def wipe(self, node):
        """Give a node an empty disk."""
        self.n_disks += 1
        self.disks[node] = (f"{node}/{self.n_disks}", (), False)
        self.restart(node)

    def restart(self, node):
        """Start a node with what is synced on its disk."""
        replica, voters, is_formed = self.disks[node]
        state = BootstrapState(node, replica, NODES)
        state.voters, state.is_formed = voters, is_formed
        self.states[node] = state
        self.pending_writes.pop(node, None)

    def tick(self, node):
        """Send a tick to a node, later than its next hello is due."""
        self.n_ticks += 1
        now = NOW + timedelta(seconds=self.n_ticks)
        self.perform(node, handle_bootstrap_tick(self.states[node], now))

    def perform(self, node, effects):
        """Queue messages and writes."""
        for effect in effects:
            if isinstance(effect, SendHello):
                self.messages.append((effect.node, effect.hello))
            elif isinstance(effect, PersistVoters):
                self.pending_writes[node] = effect

    def sync(self, node):
        """Sync a node's pending write."""
        write = self.pending_writes.pop(node, None)
        if write is None:
            return
        replica, voters, _ = self.disks[node]
        assert voters in ((), write.voters), "a persisted set of voters changes"
        self.disks[node] = (replica, write.voters, write.is_formed)
        synced = VotersPersisted(write.voters, write.is_formed)
        handle_voters_persisted(self.states[node], synced)
        if write.is_formed:
            self.formed_sets.add(write.voters)

    def deliver(self, number):
        """Deliver one of the sent messages; it may be delivered again later."""
        if self.messages:
            node, hello = self.messages[number % len(self.messages)]
            self.perform(node, handle_hello(self.states[node], hello))


STEPS = ("tick", "deliver", "deliver", "deliver", "sync", "sync", "restart", "wipe")


@settings(max_examples=10 * settings.default.max_examples)
@given(st.integers(0, 2**32))
def test_no_two_groups_while_one_bootstrap_disk_remains(seed):
    """Guard against two formed sets of voters after lost disks and late messages."""
    random = Random(seed)
    nodes = BootstrapNodes()
    for _ in range(60):
        step, node = random.choice(STEPS), random.choice(NODES)
        if step == "deliver":
            nodes.deliver(random.randrange(100))
        elif step != "wipe" or node != "a":
            getattr(nodes, step)(node)
        assert len(nodes.formed_sets) <= 1


def test_group_forms_and_an_empty_disk_is_excluded():
    """Guard against an endless bootstrap, and against an empty disk that joins."""
    nodes = BootstrapNodes()
    for _ in range(6):
        for node in NODES:
            nodes.tick(node)
            nodes.sync(node)
        for number in range(len(nodes.messages)):
            nodes.deliver(number)
        nodes.messages.clear()
        for node in NODES:
            nodes.sync(node)
    assert all(state.is_formed for state in nodes.states.values())
    nodes.wipe("b")
    nodes.tick("b")
    for _ in range(2):
        for number in range(len(nodes.messages)):
            nodes.deliver(number)
    assert nodes.states["b"].is_excluded
    assert len(nodes.formed_sets) == 1
    # Without a record of the initial voters, a node reports only that the group exists.
    other_host = BootstrapState("e", "e/1", ("b", "e"))
    nodes.states["b"].voters = ("b/4", "e/1")
    (reply,) = handle_hello(
        nodes.states["b"], FoundingHello("e", "e/1", (), False, False)
    )
    handle_hello(other_host, reply.hello)
    assert other_host.is_excluded
