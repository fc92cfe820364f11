"""Run the scenario files on leases, versions and pool owners."""

from datetime import timedelta
from pathlib import Path

import pytest

from oleanderhitch.process.configuration.messages import PublishConflict, Published
from oleanderhitch.process.membership.core import find_version_in_force
from tests.process.membership.harness import POOLS, MembershipHarness
from tests.scenario import run_scenario

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.scenario"))


class ScenarioVerbs:
    """Implements the verbs of the scenario files."""

    def __init__(self, seed):
        self.harness = MembershipHarness(seed=seed)
        self.publishes = {}
        self.results = {}
        self.saved_owners = {}

    def make_verbs(self):
        """Return the verbs by name."""
        harness = self.harness
        return {
            "elect": lambda index: harness.elect_store(int(index)),
            "isolate": lambda index: harness.isolate_store(int(index)),
            "reconnect-store": lambda index: harness.reconnect_store(int(index)),
            "advance": lambda ms: harness.advance(timedelta(milliseconds=int(ms))),
            "disconnect": harness.disconnected_nodes.add,
            "reconnect-nodes": harness.disconnected_nodes.clear,
            "stop": harness.stop_node,
            "restart": harness.start_node,
            "leave": harness.request_leave,
            "fail-installs": harness.failing_nodes.add,
            "stop-installs": self.stop_installs,
            "publish": self.publish,
            "publish-many": self.publish_many,
            "resend": self.resend_publish,
            "expect": self.expect_result,
            "expect-documents": self.expect_documents,
            "in-force": self.expect_in_force,
            "working": self.expect_working,
            "installed": self.expect_installed,
            "owned": self.expect_owned,
            "owned-without": self.expect_owned,
            "save-owners": self.save_owners,
            "same-owners": self.expect_same_owners,
        }

    def stop_installs(self):
        """Keep every node from installing the versions that it receives."""
        self.harness.failing_nodes.update(self.harness.nodes)

    def publish(self, name, base):
        """Publish a version and keep the result under a name."""
        self.publishes[name] = self.harness.make_publish(int(base))
        self.results[name] = [self.harness.publish(self.publishes[name])]

    def publish_many(self, count):
        """Publish many versions of three documents, 20 ms apart."""
        for number in range(int(count)):
            name = ("rules", "rules.a", "inventory")[number % 3]
            version = self.harness.configuration.version
            result = self.harness.publish(self.harness.make_publish(version, name))
            assert isinstance(result, Published)
            self.harness.advance(timedelta(milliseconds=20))

    def resend_publish(self, name):
        """Resend a publish command and keep the result too."""
        self.results[name].append(self.harness.publish(self.publishes[name]))

    def expect_result(self, name, *nothing, accepted=None, conflict=None):
        """Check that all results of a publish command are the expected one."""
        results = self.results[name]
        assert all(result == results[0] for result in results), results
        if nothing:
            assert results[0] is None
        elif accepted is not None:
            assert isinstance(results[0], Published), results[0]
            assert results[0].version == int(accepted)
        else:
            assert isinstance(results[0], PublishConflict), results[0]
            assert results[0].accepted_version == int(conflict)

    def expect_documents(self, node, count):
        """Check how many documents a node has."""
        assert len(self.harness.nodes[node].documents) == int(count)

    def expect_in_force(self, version):
        """Check the version that the leader alone reports as in force."""
        reports = {
            store: find_version_in_force(state, self.harness.now)
            for store, state in self.harness.store_states.items()
        }
        expected = None if version == "unknown" else int(version)
        assert reports.pop(self.harness.leader) == expected, reports
        assert set(reports.values()) == {None}, reports

    def expect_working(self, *names):
        """Check which nodes may start work."""
        assert self.harness.list_working_nodes() == list(names)

    def expect_installed(self, *names, version):
        """Check the installed version of some nodes."""
        installed = {name: self.harness.nodes[name].installed_version for name in names}
        assert set(installed.values()) == {int(version)}, installed

    def get_agreed_owners(self):
        """Return the owners that the nodes agree on."""
        views = [
            state.owners
            for state in self.harness.nodes.values()
            if state.owners and state.lease_until is not None
        ]
        assert views and all(view == views[0] for view in views), views
        return dict(views[0])

    def expect_owned(self, *without):
        """Check that every pool has an owner other than the given nodes."""
        owners = self.get_agreed_owners()
        assert set(owners) == {pool for pool, _ in POOLS}, owners
        assert not set(owners.values()) & set(without), owners

    def save_owners(self):
        """Save the owners for a later comparison."""
        self.saved_owners = self.get_agreed_owners()

    def expect_same_owners(self):
        """Check that every pool still has its saved owner."""
        assert self.get_agreed_owners() == self.saved_owners


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path, seed):
    """Guard against the failure that the scenario's first line describes."""
    run_scenario(path, ScenarioVerbs(seed).make_verbs())
