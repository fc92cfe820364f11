"""Run the scenario files against a pool's queue."""

from datetime import timedelta
from pathlib import Path

import pytest

from oleanderhitch.process.scheduling.states import Health
from tests.process.scheduling.builders import enqueue
from tests.process.scheduling.harness import PoolHarness
from tests.scenario import run_scenario

DIRECTORY = Path(__file__).parent / "scenarios"


class ScenarioVerbs:
    """Implements the verbs of the scenario files."""

    def __init__(self):
        self.harness = PoolHarness()
        self.n_requests = 0
        self.n_before = {}

    def offer(self, leaving="", **slots):
        """Set the endpoints and their slots."""
        counts = {name: int(n) for name, n in slots.items()}
        self.harness.offer(leaving=leaving.split(",") if leaving else (), **counts)

    def send(self, n="1", **fields):
        """Send requests."""
        for _ in range(int(n)):
            self.n_requests += 1
            self.harness.enqueue(enqueue(f"r{self.n_requests}", **fields))

    def finish(self, n="all", endpoint="", seconds="1", after="0"):
        """End running attempts, at one endpoint or at all endpoints."""
        self.harness.wait(float(after))
        duration = timedelta(seconds=float(seconds))
        grants = [
            grant
            for grant in self.harness.permits.values()
            if endpoint in ("", grant.endpoint)
        ]
        for grant in grants if n == "all" else grants[: int(n)]:
            if grant.permit in self.harness.permits:
                self.harness.release(grant.permit, duration=duration)

    def serve(self, rounds="1", n="1", slow="", seconds="9"):
        """Send and end requests, with a longer duration at slow endpoints."""
        for _ in range(int(rounds)):
            self.send(n)
            for name in slow.split(",") if slow else ():
                self.finish(endpoint=name, seconds=seconds)
            self.finish(after="0.2")

    def wait(self, seconds):
        """Advance the clock."""
        self.harness.wait(float(seconds))

    def replace_owner(self):
        """Replace the owner of the pool."""
        self.n_before = {n: self.harness.count_in_flight(n) for n in self.harness.slots}
        self.harness.replace_owner()

    def expect_in_flight(self, **counts):
        """Check how many slots of endpoints are in use."""
        for name, n in counts.items():
            assert self.harness.count_in_flight(name) == int(n), (
                f"{name} has {self.harness.count_in_flight(name)} in flight"
            )

    def expect_waiting(self, n):
        """Check how many requests wait."""
        assert len(self.harness.waiting) == int(n), f"{len(self.harness.waiting)} wait"

    def expect_probation(self, names=""):
        """Check which endpoints are on probation."""
        found = {
            name
            for name, endpoint in self.harness.state.endpoints.items()
            if endpoint.health is Health.PROBATION
        }
        assert found == set(filter(None, names.split(","))), f"on probation: {found}"


@pytest.mark.parametrize("path", sorted(DIRECTORY.glob("*.txt")), ids=lambda p: p.stem)
def test_scenario(path):
    """Guard against the failure that the first lines of each scenario file describe."""
    verbs = ScenarioVerbs()
    names = [name for name in dir(verbs) if not name.startswith("_")]
    run_scenario(
        path, {name: getattr(verbs, name) for name in names if name != "harness"}
    )
