"""Run the scenario files of leases, versions and owners."""

from datetime import timedelta
from pathlib import Path

import pytest

from oleanderhitch.process.configuration.messages import PublishConflict, Published
from oleanderhitch.process.membership.core import find_version_in_force
from tests.process.membership.harness import POOLS, World
from tests.scenario import run_scenario

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.scenario"))


class Script:
    """Give the verbs of a scenario their meaning."""

    def __init__(self, seed):
        self.world = World(seed=seed)
        self.publishes = {}
        self.answers = {}
        self.owners = {}

    def make_verbs(self):
        """Return the verbs by name."""
        world = self.world
        return {
            "elect": lambda index: world.elect(int(index)),
            "isolate": lambda index: world.isolate(int(index)),
            "join": lambda index: world.join(int(index)),
            "advance": lambda ms: world.advance(timedelta(milliseconds=int(ms))),
            "cut": world.cut.add,
            "mend": world.cut.clear,
            "stop": world.stop_node,
            "restart": world.start_node,
            "leave": world.leave,
            "fail-installs": world.failing.add,
            "slow-installs": self.slow_installs,
            "publish": self.publish,
            "publish-many": self.publish_many,
            "resend": self.resend,
            "expect": self.expect,
            "expect-documents": self.expect_documents,
            "in-force": self.expect_in_force,
            "working": self.expect_working,
            "installed": self.expect_installed,
            "owned": self.expect_owned,
            "owned-without": self.expect_owned,
            "remember-owners": self.remember_owners,
            "same-owners": self.expect_same_owners,
        }

    def slow_installs(self):
        """Keep every node from confirming what it is sent."""
        self.world.failing.update(self.world.nodes)

    def publish(self, name, base):
        """Publish under a name of the scenario."""
        self.publishes[name] = self.world.make_publish(int(base))
        self.answers[name] = [self.world.publish(self.publishes[name])]

    def publish_many(self, count):
        """Publish many times, in three documents, with time in between."""
        for number in range(int(count)):
            name = ("rules", "rules.a", "inventory")[number % 3]
            version = self.world.group.version
            answer = self.world.publish(self.world.make_publish(version, name))
            assert isinstance(answer, Published)
            self.world.advance(timedelta(milliseconds=20))

    def resend(self, name):
        """Send a publish again."""
        self.answers[name].append(self.world.publish(self.publishes[name]))

    def expect(self, name, *nothing, accepted=None, conflict=None):
        """Check the answers to a publish; they are all the same."""
        answers = self.answers[name]
        assert all(answer == answers[0] for answer in answers), answers
        if nothing:
            assert answers[0] is None
        elif accepted is not None:
            assert isinstance(answers[0], Published), answers[0]
            assert answers[0].version == int(accepted)
        else:
            assert isinstance(answers[0], PublishConflict), answers[0]
            assert answers[0].accepted_version == int(conflict)

    def expect_documents(self, node, count):
        """Check how many documents a node has."""
        assert len(self.world.nodes[node].documents) == int(count)

    def expect_in_force(self, version):
        """Check what the leader reports, and that no other store reports."""
        reports = {
            store: find_version_in_force(state, self.world.now)
            for store, state in self.world.members.items()
        }
        expected = None if version == "unknown" else int(version)
        assert reports.pop(self.world.leader) == expected, reports
        assert set(reports.values()) == {None}, reports

    def expect_working(self, *names):
        """Check which nodes may start work."""
        assert self.world.list_working() == list(names)

    def expect_installed(self, *names, version):
        """Check the version of some nodes."""
        installed = {name: self.world.nodes[name].installed_version for name in names}
        assert set(installed.values()) == {int(version)}, installed

    def read_owners(self):
        """Return the owners that the nodes agree on."""
        views = [
            state.owners
            for state in self.world.nodes.values()
            if state.owners and state.lease_until is not None
        ]
        assert views and all(view == views[0] for view in views), views
        return dict(views[0])

    def expect_owned(self, *without):
        """Check that every pool has an owner, which is none of some nodes."""
        owners = self.read_owners()
        assert set(owners) == {pool for pool, _ in POOLS}, owners
        assert not set(owners.values()) & set(without), owners

    def remember_owners(self):
        """Keep the owners for a later step."""
        self.owners = self.read_owners()

    def expect_same_owners(self):
        """Check that no pool has changed its owner."""
        assert self.read_owners() == self.owners


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path, seed):
    """Guard against the failure that the scenario names in its first line."""
    run_scenario(path, Script(seed).make_verbs())
