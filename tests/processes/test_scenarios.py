"""Run the scenario files on failures of separate processes."""

import os
import time
from pathlib import Path

import pytest

from tests.processes.deployment import Deployment, wait_until
from tests.processes.load import Load
from tests.processes.operators import Operator
from tests.scenario import run_scenario

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))
WORK_DIR = os.environ.get("OLEANDERHITCH_DEPLOYMENT")


class ScenarioVerbs:
    """Implements the verbs of the scenario files for separate processes."""

    def __init__(self):
        self.deployment = Deployment(WORK_DIR)
        self.load = None
        self.operator = Operator(WORK_DIR)

    def load_programs(self, programs, turns):
        """Start programs that run concurrently."""
        self.load = Load(int(programs), int(turns))

    def resolve(self, name):
        """Return a process name; leader:GROUP is the store that leads the group."""
        if not name.startswith("leader:"):
            return name
        group = name.partition(":")[2]
        return wait_until(
            lambda: self.deployment.find_leader(group), 10, f"leader of {group}"
        )

    def kill(self, name):
        """Kill a process."""
        self.deployment.kill(self.resolve(name))

    def stop(self, name):
        """Stop a process with SIGTERM."""
        self.deployment.terminate(self.resolve(name))

    def freeze(self, name):
        """Suspend a process."""
        self.deployment.freeze(self.resolve(name))

    def thaw(self, name):
        """Resume a suspended process."""
        self.deployment.thaw(name)

    def start(self, name):
        """Start a process that is not running."""
        self.deployment.start(name)

    def start_all_stores(self):
        """Start each of the stores 1 to 3 that is not running."""
        for number in range(1, 4):
            if not self.deployment.is_running(f"store-{number}"):
                self.deployment.start(f"store-{number}")

    def declare_store(self, name, port, data_centre):
        """Declare another disk host and wait until that version is in force."""
        host = (
            f"  - name: {name}\n    role: store\n    data_centre: {data_centre}\n"
            f"    address: 127.0.0.1:{port}\n"
        )
        self.operator.edit("inventory", "\nmodels:\n", f"{host}\nmodels:\n")
        version, accepted_at = self.operator.publish()
        self.operator.wait_in_force(version, accepted_at, 5)

    def wait_store(self, name, within):
        """Wait until a disk host replies; fail after the timeout."""
        wait_until(
            lambda: self.operator.is_store_up(name), float(within), f"store {name}"
        )

    def replace(self, lost, by):
        """Move the replicas of a lost host to another one."""
        self.operator.replace(lost, by)

    def publish_rules(self, times, within):
        """Publish several changes; fail if one is not in force within the timeout."""
        durations_s = []
        for number in range(int(times)):
            budget = int(time.time() * 1000) % 1_000_000 + number + 1_000_000
            path = self.operator.folder / "rules.yaml"
            text = path.read_text()
            old = next(line for line in text.splitlines() if "budget_tokens" in line)
            self.operator.edit("rules", old, f"  budget_tokens: {budget}")
            version, accepted_at = self.operator.publish()
            timeout_s = float(within)
            durations_s.append(
                self.operator.wait_in_force(version, accepted_at, timeout_s)
            )
        durations_s.sort()
        print(
            f"accepted to in force over {times} publishes: median "
            f"{durations_s[len(durations_s) // 2] * 1000:.0f} ms, 99 of 100 "
            f"{durations_s[int(0.99 * (len(durations_s) - 1))] * 1000:.0f} ms"
        )

    def end_programs(self):
        """End every program of the load."""
        self.load.end(self.deployment)

    def check_released(self, within):
        """Wait until no engine caches prefixes of the ended programs."""
        ended_programs = {program.name for program in self.load.programs}

        def is_released():
            cached_programs = self.deployment.get_cached_programs()
            return cached_programs is not None and not ended_programs & cached_programs

        wait_until(is_released, float(within), "release of cached prefixes")

    def wait(self, seconds):
        """Sleep for a time."""
        time.sleep(float(seconds))

    def wait_ready(self, *entries, within):
        """Wait until entry hosts accept calls; fail after the timeout."""
        for entry in entries:
            wait_until(
                lambda name=entry: self.deployment.is_ready(name), float(within), entry
            )

    def expect_not_ready(self, entry, within):
        """Wait until an entry host refuses calls; fail after the timeout."""
        wait_until(
            lambda: not self.deployment.is_ready(entry),
            float(within),
            f"{entry} not ready",
        )

    def check_load(self, longest_call_s):
        """Wait for the programs; check their recorded results and the longest call."""
        self.load.join()
        self.load.check(self.deployment)
        assert self.load.longest_call_s <= float(longest_call_s), (
            f"a call took {self.load.longest_call_s:.1f} s"
        )

    def as_mapping(self):
        """Return the verbs by name."""
        return {
            name.replace("_", "-"): getattr(self, name)
            for name in dir(self)
            if not name.startswith("_") and callable(getattr(self, name))
        }


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    """Guard against lost, duplicated or late calls when processes fail."""
    run_scenario(path, ScenarioVerbs().as_mapping())
