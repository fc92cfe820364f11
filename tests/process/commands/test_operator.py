"""Guard against wrong output, exit codes and resends of the operators' commands."""

import json
import shutil
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
from cleo.testers.application_tester import ApplicationTester

from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.process.commands.operator_application import make_application
from oleanderhitch.process.commands.operator_base import CommandDependencies, ExitCode
from oleanderhitch.process.configuration.core import (
    apply,
    make_configuration_state,
    read,
)
from oleanderhitch.process.configuration.messages import (
    GetConfiguration,
    GetPublishHistory,
    PublishRefused,
)
from oleanderhitch.process.membership.messages import (
    NodeStatus,
    NodeStatusRow,
    PoolOwner,
)
from oleanderhitch.process.membership.states import NodeState
from oleanderhitch.program.messages import Refused, RequestRecord
from oleanderhitch.program.states import RefusalReason, RequestProgress
from oleanderhitch.request.states import Outcome
from oleanderhitch.version.checks import make_fault
from oleanderhitch.version.states import HostRole

EXAMPLE = Path(__file__).parents[3] / "examples" / "waiver-office"
REQUEST_RECORD = RequestRecord(
    "p", "r", 3, "n1", RequestProgress.ENDED, Outcome.UNKNOWN, b"x", 1, False
)


class FakeConfigurationClient:
    """Client of a configuration core in this process that loses requests or replies."""

    def __init__(self):
        self.state = make_configuration_state()
        self.n_replies_to_lose = 0
        self.n_requests_to_lose = 0
        self.n_polls_until_in_force = 2
        self.refusal = None
        self.sent_publishes = []

    def publish(self, publish):
        """Apply a publish, unless its request is lost; raise if its reply is lost."""
        self.sent_publishes.append(publish)
        if self.n_requests_to_lose:
            self.n_requests_to_lose -= 1
            raise UnavailableError("no store answers")
        result = self.refusal or apply(publish, self.state)
        if self.n_replies_to_lose:
            self.n_replies_to_lose -= 1
            raise UnavailableError("the connection broke")
        return result

    def get_configuration(self, after):
        """Return the accepted documents."""
        return read(GetConfiguration(after), self.state)

    def get_history(self, n_limit):
        """Return the latest accepted versions."""
        return read(GetPublishHistory(n_limit), self.state)

    def get_status(self):
        """Return a status that reports the version in force after some polls."""
        self.n_polls_until_in_force -= 1
        in_force = self.state.version if self.n_polls_until_in_force < 0 else None
        row = NodeStatusRow("n1", NodeState.ALIVE, HostRole.ENTRY, "split-a", 1)
        owners = (PoolOwner("veslo-llm@hr-coast", "n1"),)
        return NodeStatus(True, None, self.state.version, in_force, (row,), owners)

    def get_outcome(self, program, request):
        """Return the record of request r, and refuse others."""
        if request == "r":
            return REQUEST_RECORD
        return Refused(RefusalReason.UNKNOWN_REQUEST, "request is not known")


class OperatorHarness:
    """Runs commands of one operator on a folder, with a manual clock."""

    def __init__(self, client, folder):
        self.client = client
        self.folder = folder
        self.time = datetime(2026, 1, 1, tzinfo=UTC)
        self.lines = []
        shutil.copytree(EXAMPLE, folder)

    def now(self):
        """Return the time of the manual clock."""
        return self.time

    def sleep(self, duration):
        """Advance the manual clock."""
        self.time += duration

    def run(self, command_line):
        """Run a command on the folder DIR and return its exit code and output."""
        self.lines = []
        dependencies = CommandDependencies(
            lambda settings: self.client, self, self.sleep, self.lines.append
        )
        tester = ApplicationTester(make_application(dependencies))
        arguments = command_line.replace("DIR", str(self.folder))
        if not command_line.startswith("check"):
            arguments += " --stores 127.0.0.1:7201"
        tester.execute(arguments)
        return ExitCode(tester.status_code), "\n".join(self.lines)

    def edit(self, before, after, name="rules.yaml"):
        """Replace a text in a file of the folder, which must contain it."""
        path = self.folder / name
        assert before in path.read_text()
        path.write_text(path.read_text().replace(before, after))


@pytest.fixture
def client():
    """Return a client of a deployment without a published version."""
    return FakeConfigurationClient()


@pytest.fixture
def harness(client, tmp_path):
    """Return a harness with its own copy of the example declarations."""
    return OperatorHarness(client, tmp_path / "split")


def test_check_reports_faults(harness):
    """Guard against a fault that check does not report, and a wrong exit code."""
    assert harness.run("check DIR") == (ExitCode.OK, "no faults in inventory, rules")
    harness.edit("turn_limit: 140", "turn_limit: 0")
    harness.edit("places: [hr-coast]", "places: [moon]")
    code, output = harness.run("check DIR --json")
    assert code is ExitCode.ERROR
    checks = [fault["check"] for fault in json.loads(output)["faults"]]
    assert checks == ["rules.E005"]
    harness.edit("turn_limit: 0", "turn_limit: 140")
    code, output = harness.run("check DIR")
    assert code is ExitCode.ERROR and output.startswith("rules.E009 rules: defaults")


def test_apply_waits_until_in_force(harness):
    """Guard against reporting success while nodes still use the old version."""
    code, output = harness.run("apply DIR")
    assert (code, output) == (ExitCode.OK, "version 1 is accepted, in force")
    assert (harness.folder / "base-version").read_text() == "1\n"
    assert harness.run("apply DIR") == (ExitCode.OK, "no changes")


def test_apply_returns_when_not_in_force_in_time(harness, client):
    """Guard against waiting without limit, or reporting the version as in force."""
    client.n_polls_until_in_force = 10**6
    code, output = harness.run("apply DIR --wait 5 --json")
    assert code is ExitCode.NOT_IN_FORCE
    assert json.loads(output)["is_in_force"] is False
    harness.edit("turn_limit: 140", "turn_limit: 120")
    code, output = harness.run("apply DIR --no-wait --json")
    assert code is ExitCode.OK
    assert json.loads(output)["is_in_force"] is None


def test_conflicting_publish(harness, client, tmp_path):
    """Guard against an operator who overwrites what another has published."""
    other = OperatorHarness(client, tmp_path / "zadar")
    assert harness.run("apply DIR")[0] is ExitCode.OK
    (other.folder / "base-version").write_text("1\n")
    harness.edit("turn_limit: 140", "turn_limit: 120")
    other.edit("turn_limit: 140", "turn_limit: 100")
    assert harness.run("apply DIR --author split")[0] is ExitCode.OK
    code, output = other.run("apply DIR --author zadar")
    assert code is ExitCode.CONFLICT
    assert "version 2 by split:\n  rules: defaults turn_limit 140 -> 120" in output
    assert "  rules: defaults turn_limit 120 -> 100" in output
    assert "--base 2" in output
    assert other.run("plan DIR")[0] is ExitCode.CONFLICT
    assert other.run("apply DIR --base 2")[0] is ExitCode.OK
    assert client.state.version == 3


def test_resend_after_a_lost_reply(harness, client):
    """Guard against a resend that conflicts with its own accepted publish."""
    client.n_replies_to_lose = 2
    assert harness.run("apply DIR")[0] is ExitCode.OK
    assert len(client.sent_publishes) == 3
    assert len({publish.publish for publish in client.sent_publishes}) == 1
    assert client.state.version == 1


def test_resend_by_a_later_command(harness, client):
    """Guard against a new publish id after a command that ended without a reply."""
    client.n_replies_to_lose = 10**6
    code, output = harness.run("apply DIR --timeout 2")
    assert code is ExitCode.UNREACHABLE and "run the same command again" in output
    client.n_replies_to_lose = 0
    harness.edit("turn_limit: 140", "turn_limit: 120")
    assert harness.run("apply DIR")[1] == "version 1 is accepted, in force"
    assert len({publish.publish for publish in client.sent_publishes}) == 1
    assert harness.run("apply DIR")[1] == "version 2 is accepted, in force"


def test_refused_publish_is_not_kept(harness, client):
    """Guard against a refused publish that stays pending and blocks the folder."""
    fault = make_fault("rules.E005", "rules", "0", "at least 1")
    client.refusal = PublishRefused("p", (fault,))
    code, output = harness.run("apply DIR")
    assert code is ExitCode.ERROR and output.startswith("rules.E005")
    client.refusal = None
    assert harness.run("apply DIR")[0] is ExitCode.OK


def test_corrupt_pending_publish(harness):
    """Guard against a traceback, or a second publish in place of a corrupt one."""
    (harness.folder / ".pending-publish").write_bytes(b"\xc1")
    code, output = harness.run("apply DIR")
    assert code is ExitCode.ERROR and "remove the file" in output


def test_plan_status_and_history(harness):
    """Guard against output that omits changes, nodes or authors."""
    code, output = harness.run("plan DIR")
    assert code is ExitCode.OK
    assert output.endswith("inventory: added\nrules: added")
    harness.run("apply DIR --author split --no-wait")
    code, output = harness.run("status")
    assert code is ExitCode.OK and "accepted: 1\nin force: not known yet" in output
    assert "node n1: alive, entry in split-a, version 1" in output
    assert json.loads(harness.run("status --json")[1])["nodes"][0]["state"] == "alive"
    code, output = harness.run("history --limit 1")
    assert code is ExitCode.OK and "version 1 by split at" in output
    assert (
        json.loads(harness.run("history --json")[1])["records"][0]["author"] == "split"
    )


def test_outcome(harness):
    """Guard against an unknown outcome that is shown as completed."""
    code, output = harness.run("outcome r --program p")
    assert code is ExitCode.OK and "ended, outcome unknown, 1 attempts" in output
    record = json.loads(harness.run("outcome r --program p --json")[1])["record"]
    assert (record["outcome"], record["answer"]) == ("unknown", "x")
    assert harness.run("outcome other --program p")[0] is ExitCode.ERROR
    assert harness.run("outcome r")[0] is ExitCode.ERROR


@pytest.mark.parametrize("stores", ["", "--stores localhost:80", "--stores 1.2.3.4"])
def test_stores_require_ip_addresses(harness, stores):
    """Guard against stores without IP address and port; names would need DNS."""
    tester = ApplicationTester(
        make_application(
            CommandDependencies(
                lambda settings: None, harness, harness.sleep, harness.lines.append
            )
        )
    )
    tester.execute(f"status {stores}")
    assert tester.status_code == ExitCode.ERROR
    assert "expected stores as IP:PORT" in harness.lines[0]


def test_unreachable_deployment(harness, client):
    """Guard against an unreachable deployment reported as a fault in the files."""
    client.n_requests_to_lose = 10**6
    assert harness.run("apply DIR --timeout 1")[0] is ExitCode.UNREACHABLE
    assert harness.time - datetime(2026, 1, 1, tzinfo=UTC) >= timedelta(seconds=1)
