"""Guard against wrong leases, versions and pool owners under random faults."""

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
from tests.process.membership.harness import MembershipHarness

NODES = st.sampled_from(["n1", "n2", "n3", "n4"])
STORES = st.integers(0, 2)
PAUSES_MS = st.sampled_from([100, 900, 1900, 2600, 2850, 3300])
DOCUMENT_NAMES = st.sampled_from(["rules", "rules.a", "inventory"])


class MembershipMachine(RuleBasedStateMachine):
    """Guard against wrong versions, leases and owners under any order of faults.

    The harness checks that a node does not return to an older version, that no node
    works under an older version than the one reported in force or after its lease, and
    that a pool has at most one owner.
    """

    @initialize(
        seed=st.integers(0, 2**16),
        loss_rate=st.sampled_from([0.0, 0.0, 0.1, 0.3]),
        delay_rate=st.sampled_from([0.0, 0.1, 0.3]),
        duplication_rate=st.sampled_from([0.0, 0.2]),
    )
    def start(self, seed, loss_rate, delay_rate, duplication_rate):
        """Elect a leader and publish the first version."""
        self.harness = MembershipHarness(seed=seed)
        self.harness.loss_rate = loss_rate
        self.harness.delay_rate = delay_rate
        self.harness.duplication_rate = duplication_rate
        self.results = {}
        self.harness.elect_store(0)
        self.publish_and_check(self.harness.make_publish(0))
        # One lease duration of the new leader, then two heartbeats until all nodes have
        # the owners.
        self.harness.advance(timedelta(seconds=6))

    def publish_and_check(self, publish: Publish):
        """Publish, and check that a publish id always gets the same result."""
        result = self.harness.publish(publish)
        if result is not None:
            recorded = self.results.setdefault(publish.publish, (publish, result))
            assert recorded[1] == result
        return result

    @rule(ms=st.sampled_from([20, 150, 700, 1500, 3100, 6000]))
    def advance(self, ms):
        """Advance the clock."""
        self.harness.advance(timedelta(milliseconds=ms))

    @rule(node=NODES, before_ms=PAUSES_MS, after_ms=PAUSES_MS)
    def publish_while_disconnected(self, node, before_ms, after_ms):
        """Disconnect a node before a publish and reconnect it afterwards."""
        self.harness.disconnected_nodes.add(node)
        self.harness.advance(timedelta(milliseconds=before_ms))
        self.publish("rules")
        self.harness.advance(timedelta(milliseconds=after_ms))
        self.harness.disconnected_nodes.clear()
        self.harness.advance(timedelta(milliseconds=1200))

    @rule(node=NODES, ms=PAUSES_MS, index=STORES)
    def elect_while_disconnected(self, node, ms, index):
        """Reconnect a node to a new leader after its pools have got other owners."""
        self.harness.disconnected_nodes.add(node)
        self.harness.advance(timedelta(milliseconds=ms + 3000))
        self.harness.elect_store(index)
        self.harness.disconnected_nodes.clear()
        self.harness.advance(timedelta(milliseconds=ms))

    @rule(name=DOCUMENT_NAMES)
    def publish(self, name):
        """Publish a change of the accepted version."""
        version = self.harness.configuration.version
        self.publish_and_check(self.harness.make_publish(version, name))

    @rule(name=DOCUMENT_NAMES)
    def remove_document(self, name):
        """Remove a document."""
        version = self.harness.configuration.version
        self.publish_and_check(
            self.harness.make_publish(version, None, removed=(name,))
        )

    @precondition(lambda self: self.harness.can_commit())
    @rule(name=DOCUMENT_NAMES, behind=st.integers(0, 2))
    def publish_twice(self, name, behind):
        """Publish twice on the same base version; at most one may be accepted."""
        before = self.harness.configuration.version
        base = max(0, before - behind)
        publishes = [self.harness.make_publish(base, name) for _ in range(2)]
        results = [self.publish_and_check(publish) for publish in publishes]
        accepted = [result for result in results if isinstance(result, Published)]
        conflicts = [
            result for result in results if isinstance(result, PublishConflict)
        ]
        assert len(accepted) == (1 if base == before else 0)
        assert len(conflicts) == 2 - len(accepted)
        assert all(
            result.accepted_version == self.harness.configuration.version
            for result in conflicts
        )

    @precondition(lambda self: self.results)
    @rule(data=st.data())
    def resend_publish(self, data):
        """Resend an earlier publish command."""
        publish, _ = self.results[data.draw(st.sampled_from(sorted(self.results)))]
        version = self.harness.configuration.version
        self.publish_and_check(publish)
        assert self.harness.configuration.version == version

    @rule(node=NODES)
    def disconnect_node(self, node):
        """Disconnect a node from all stores."""
        self.harness.disconnected_nodes.add(node)

    @rule()
    def reconnect_nodes(self):
        """Reconnect all nodes."""
        self.harness.disconnected_nodes.clear()

    @rule(node=NODES)
    def restart_node(self, node):
        """Restart a node without a leave request."""
        self.harness.start_node(node)

    @rule(node=NODES)
    def request_leave(self, node):
        """Make a node leave and wait until its pools have other owners."""
        self.harness.request_leave(node)
        self.harness.advance(timedelta(milliseconds=1300))

    @rule(node=NODES)
    def fail_installs(self, node):
        """Make a node fail to install versions, or let it install them again."""
        self.harness.failing_nodes.symmetric_difference_update({node})

    @rule(index=STORES, successor=STORES, ms=PAUSES_MS)
    def isolate_store(self, index, successor, ms):
        """Isolate a store from the other stores, elect another and publish."""
        if not self.harness.isolated_stores:
            self.harness.isolate_store(index)
            self.harness.elect_store(successor)
            self.publish("rules")
            self.harness.advance(timedelta(milliseconds=ms))

    @rule()
    def reconnect_stores(self):
        """Reconnect the isolated stores."""
        for store in list(self.harness.isolated_stores):
            self.harness.reconnect_store(self.harness.stores.index(store))

    @rule(index=STORES)
    def elect_store(self, index):
        """Elect a store."""
        self.harness.elect_store(index)

    @rule()
    def clear_faults(self):
        """Clear all faults; every node must reach the accepted version."""
        harness = self.harness
        faults = harness.loss_rate, harness.delay_rate, harness.duplication_rate
        harness.loss_rate = harness.delay_rate = harness.duplication_rate = 0.0
        harness.disconnected_nodes.clear()
        harness.failing_nodes.clear()
        self.reconnect_stores()
        for name, state in list(harness.nodes.items()):
            # A process does not retry a failed installation.
            if state.received_version > state.installed_version or state.is_leaving:
                harness.start_node(name)
        harness.advance(timedelta(seconds=12))
        assert harness.list_working_nodes() == list(harness.nodes)
        assert harness.find_reported_version() == harness.configuration.version
        for pool, _ in list(harness.nodes["n1"].owners.items()):
            assert len({s.owners.get(pool) for s in harness.nodes.values()}) == 1
        assert len(harness.nodes["n1"].owners) == 4
        harness.loss_rate, harness.delay_rate, harness.duplication_rate = faults


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    max_examples=settings().max_examples // 2, stateful_step_count=15
)
