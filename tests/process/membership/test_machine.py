"""Test leases, versions and pool owners under arbitrary faults."""

from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from oleanderhitch.process.configuration.messages import (
    Publish,
    PublishConflict,
    Published,
)
from tests.process.membership.world import World

NODES = st.sampled_from(["n1", "n2", "n3", "n4"])
STORES = st.integers(0, 2)
NAMES = st.sampled_from(["rules", "rules.a", "inventory"])


class MembershipMachine(RuleBasedStateMachine):
    """Guard against going back, false 'in force', late stops and double owners."""

    @initialize(
        seed=st.integers(0, 2**16),
        loss=st.sampled_from([0.0, 0.0, 0.1, 0.3]),
        lateness=st.sampled_from([0.0, 0.1, 0.3]),
        repetition=st.sampled_from([0.0, 0.2]),
    )
    def start(self, seed, loss, lateness, repetition):
        """Start with a leader."""
        self.world = World(seed=seed)
        self.world.loss = loss
        self.world.lateness = lateness
        self.world.repetition = repetition
        self.answers = {}
        self.world.elect(0)
        self.publish_and_note(self.world.make_publish(0))
        self.world.advance(timedelta(seconds=3.5))

    def publish_and_note(self, publish: Publish):
        """Publish and check that a publish id has one answer for ever."""
        answer = self.world.publish(publish)
        if answer is not None:
            known = self.answers.setdefault(publish.publish, (publish, answer))
            assert known[1] == answer
        return answer

    @rule(ms=st.sampled_from([20, 150, 700, 1500, 3100]))
    def advance(self, ms):
        """Let time pass."""
        self.world.advance(timedelta(milliseconds=ms))

    @rule(name=NAMES)
    def publish(self, name):
        """Publish on the accepted version."""
        version = self.world.group.version
        self.publish_and_note(self.world.make_publish(version, name))

    @rule(name=NAMES)
    def remove(self, name):
        """Remove a document."""
        version = self.world.group.version
        self.publish_and_note(self.world.make_publish(version, None, removed=(name,)))

    @precondition(lambda self: self.world.can_commit())
    @rule(name=NAMES, behind=st.integers(0, 2))
    def race(self, name, behind):
        """Publish twice on the same base: at most one may win."""
        before = self.world.group.version
        base = max(0, before - behind)
        both = [self.world.make_publish(base, name) for _ in range(2)]
        answers = [self.publish_and_note(publish) for publish in both]
        wins = [answer for answer in answers if isinstance(answer, Published)]
        losses = [answer for answer in answers if isinstance(answer, PublishConflict)]
        assert len(wins) == (1 if base == before else 0)
        assert len(losses) == 2 - len(wins)
        assert all(
            answer.accepted_version == self.world.group.version for answer in losses
        )

    @precondition(lambda self: self.answers)
    @rule(data=st.data())
    def resend(self, data):
        """Send an earlier publish again."""
        publish, _ = self.answers[data.draw(st.sampled_from(sorted(self.answers)))]
        version = self.world.group.version
        self.publish_and_note(publish)
        assert self.world.group.version == version

    @rule(node=NODES)
    def cut_off(self, node):
        """Cut a node off from all stores."""
        self.world.cut.add(node)

    @rule()
    def heal(self):
        """Mend all nodes' connections."""
        self.world.cut.clear()

    @rule(node=NODES)
    def restart(self, node):
        """Restart a node; its process before is gone."""
        self.world.start_node(node)

    @rule(node=NODES)
    def leave(self, node):
        """Ask a node to leave."""
        self.world.leave(node)

    @rule(node=NODES)
    def fail_installs(self, node):
        """Keep a node from installing versions, or let it again."""
        self.world.failing.symmetric_difference_update({node})

    @rule(index=STORES)
    def isolate(self, index):
        """Cut a store off from the other stores."""
        if not self.world.isolated:
            self.world.isolate(index)

    @rule()
    def join(self):
        """Bring isolated stores back."""
        for store in list(self.world.isolated):
            self.world.join(self.world.stores.index(store))

    @rule(index=STORES)
    def elect(self, index):
        """Let another store lead."""
        self.world.elect(index)

    @rule()
    def calm_down(self):
        """Mend everything: each node works under the accepted version again."""
        world = self.world
        faults = world.loss, world.lateness, world.repetition
        world.loss = world.lateness = world.repetition = 0.0
        world.cut.clear()
        world.failing.clear()
        self.join()
        for name, state in list(world.nodes.items()):
            # A failed installation is not tried again by the same process.
            if state.received > state.installed or state.is_leaving:
                world.start_node(name)
        world.advance(timedelta(seconds=12))
        assert world.list_working() == list(world.nodes)
        assert world.get_reported() == world.group.version
        for pool, _ in list(world.nodes["n1"].owners.items()):
            assert len({s.owners.get(pool) for s in world.nodes.values()}) == 1
        assert len(world.nodes["n1"].owners) == 4
        world.loss, world.lateness, world.repetition = faults


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(max_examples=60, stateful_step_count=30)
