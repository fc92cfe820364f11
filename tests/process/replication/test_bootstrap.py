"""Guard against a group that is founded twice."""

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


class Founders:
    """Run the founding of one group over disks and messages in memory."""

    def __init__(self):
        self.n_disks = 0
        self.disks = {}
        self.states = {}
        self.writing = {}
        self.messages = []
        self.formed = set()
        self.n_ticks = 0
        for node in NODES:
            self.wipe(node)

    def wipe(self, node):
        """Give a node an empty disk."""
        self.n_disks += 1
        self.disks[node] = (f"{node}/{self.n_disks}", (), False)
        self.restart(node)

    def restart(self, node):
        """Start a node with what its disk has synced."""
        replica, voters, is_formed = self.disks[node]
        state = BootstrapState(node, replica, NODES)
        state.voters, state.is_formed = voters, is_formed
        self.states[node] = state
        self.writing.pop(node, None)

    def tick(self, node):
        """Let a node say hello."""
        self.n_ticks += 1
        now = NOW + timedelta(seconds=self.n_ticks)
        self.perform(node, handle_bootstrap_tick(self.states[node], now))

    def perform(self, node, effects):
        """Queue messages and writes."""
        for effect in effects:
            if isinstance(effect, SendHello):
                self.messages.append((effect.node, effect.hello))
            elif isinstance(effect, PersistVoters):
                self.writing[node] = effect

    def sync(self, node):
        """Make a node's write durable."""
        write = self.writing.pop(node, None)
        if write is None:
            return
        replica, voters, _ = self.disks[node]
        assert voters in ((), write.voters), "a fixed set changes"
        self.disks[node] = (replica, write.voters, write.is_formed)
        synced = VotersPersisted(write.voters, write.is_formed)
        handle_voters_persisted(self.states[node], synced)
        if write.is_formed:
            self.formed.add(write.voters)

    def deliver(self, number):
        """Deliver one of the messages under way; it may come again later."""
        if self.messages:
            node, hello = self.messages[number % len(self.messages)]
            self.perform(node, handle_hello(self.states[node], hello))


STEPS = ("tick", "deliver", "deliver", "deliver", "sync", "sync", "restart", "wipe")


@settings(max_examples=10 * settings.default.max_examples)
@given(st.integers(0, 2**32))
def test_no_two_groups_while_one_founding_disk_remains(seed):
    """Guards against two formed sets after lost disks and late messages."""
    random = Random(seed)
    founders = Founders()
    for _ in range(60):
        step, node = random.choice(STEPS), random.choice(NODES)
        if step == "deliver":
            founders.deliver(random.randrange(100))
        elif step != "wipe" or node != "a":
            getattr(founders, step)(node)
        assert len(founders.formed) <= 1


def test_group_forms_and_a_new_disk_stays_out():
    """Guards against founding that never ends, and against an empty disk that joins."""
    founders = Founders()
    for _ in range(6):
        for node in NODES:
            founders.tick(node)
            founders.sync(node)
        for number in range(len(founders.messages)):
            founders.deliver(number)
        founders.messages.clear()
        for node in NODES:
            founders.sync(node)
    assert all(state.is_formed for state in founders.states.values())
    founders.wipe("b")
    founders.tick("b")
    for _ in range(2):
        for number in range(len(founders.messages)):
            founders.deliver(number)
    assert founders.states["b"].is_excluded
    assert len(founders.formed) == 1
    # A node that joined later knows of the group but not of its founding voters.
    other = BootstrapState("e", "e/1", ("b", "e"))
    founders.states["b"].voters = ("b/4", "e/1")
    (reply,) = handle_hello(
        founders.states["b"], FoundingHello("e", "e/1", (), False, False)
    )
    handle_hello(other, reply.hello)
    assert other.is_excluded
