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
from tests.process.membership.harness import World

NODES = st.sampled_from(["n1", "n2", "n3", "n4"])
STORES = st.integers(0, 2)
PAUSES = st.sampled_from([100, 900, 1900, 2600, 2850, 3300])
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
        # A lease of the new leader, then two heartbeats until owners are known.
        self.world.advance(timedelta(seconds=6))

    def publish_and_note(self, publish: Publish):
        """Publish and check that a publish id has one answer for ever."""
        answer = self.world.publish(publish)
        if answer is not None:
            known = self.answers.setdefault(publish.publish, (publish, answer))
            assert known[1] == answer
        return answer

    @rule(ms=st.sampled_from([20, 150, 700, 1500, 3100, 6000]))
    def advance(self, ms):
        """Let time pass."""
        self.world.advance(timedelta(milliseconds=ms))

    @rule(node=NODES, before_ms=PAUSES, after_ms=PAUSES)
    def publish_around_a_cut(self, node, before_ms, after_ms):
        """Cut a node off before a publish and mend it after."""
        self.world.cut.add(node)
        self.world.advance(timedelta(milliseconds=before_ms))
        self.publish("rules")
        self.world.advance(timedelta(milliseconds=after_ms))
        self.world.cut.clear()
        self.world.advance(timedelta(milliseconds=1200))

    @rule(node=NODES, ms=PAUSES, index=STORES)
    def elect_around_a_cut(self, node, ms, index):
        """Cut a node off until its pools have other owners, then elect and mend."""
        self.world.cut.add(node)
        self.world.advance(timedelta(milliseconds=ms + 3000))
        self.world.elect(index)
        self.world.cut.clear()
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
        """Ask a node to leave; its pools get other owners."""
        self.world.leave(node)
        self.world.advance(timedelta(milliseconds=1300))

    @rule(node=NODES)
    def fail_installs(self, node):
        """Keep a node from installing versions, or let it again."""
        self.world.failing.symmetric_difference_update({node})

    @rule(index=STORES, successor=STORES, ms=PAUSES)
    def isolate(self, index, successor, ms):
        """Cut a store off from the other stores; another may lead."""
        if not self.world.isolated:
            self.world.isolate(index)
            self.world.elect(successor)
            self.publish("rules")
            self.world.advance(timedelta(milliseconds=ms))

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
            if state.received_version > state.installed_version or state.is_leaving:
                world.start_node(name)
        world.advance(timedelta(seconds=12))
        assert world.list_working() == list(world.nodes)
        assert world.get_reported() == world.group.version
        for pool, _ in list(world.nodes["n1"].owners.items()):
            assert len({s.owners.get(pool) for s in world.nodes.values()}) == 1
        assert len(world.nodes["n1"].owners) == 4
        world.loss, world.lateness, world.repetition = faults


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    max_examples=settings().max_examples // 2, stateful_step_count=15
)
