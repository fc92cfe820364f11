"""Test what operators see: faults, conflicts, resends, exit codes."""

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
ANSWER = RequestRecord(
    "p", "r", 3, "n1", RequestProgress.ENDED, Outcome.UNKNOWN, b"x", 1, False
)


class FakeClient:
    """Answer from a configuration core in this process."""

    def __init__(self):
        self.state = make_configuration_state()
        self.lost_answers = 0
        self.lost_requests = 0
        self.polls_until_in_force = 2
        self.refusal = None
        self.published = []

    def publish(self, publish):
        """Publish, or lose the request or its answer."""
        self.published.append(publish)
        if self.lost_requests:
            self.lost_requests -= 1
            raise UnavailableError("no store answers")
        answer = self.refusal or apply(publish, self.state)
        if self.lost_answers:
            self.lost_answers -= 1
            raise UnavailableError("the connection broke")
        return answer

    def get_configuration(self, after):
        """Return the accepted documents."""
        return read(GetConfiguration(after), self.state)

    def get_history(self, n_limit):
        """Return the latest versions."""
        return read(GetPublishHistory(n_limit), self.state)

    def get_status(self):
        """Return a status that is in force after some polls."""
        self.polls_until_in_force -= 1
        in_force = self.state.version if self.polls_until_in_force < 0 else None
        row = NodeStatusRow("n1", NodeState.ALIVE, HostRole.ENTRY, "split-a", 1)
        owners = (PoolOwner("veslo-llm@hr-coast", "n1"),)
        return NodeStatus(True, None, self.state.version, in_force, (row,), owners)

    def get_outcome(self, program, request):
        """Return a record for one request."""
        if request == "r":
            return ANSWER
        return Refused(RefusalReason.UNKNOWN_REQUEST, "request is not known")


class Desk:
    """Run commands at one office with a scripted clock."""

    def __init__(self, client, folder):
        self.client = client
        self.folder = folder
        self.time = datetime(2026, 1, 1, tzinfo=UTC)
        self.lines = []
        shutil.copytree(EXAMPLE, folder)

    def now(self):
        """Return the scripted time."""
        return self.time

    def sleep(self, duration):
        """Let the scripted time pass."""
        self.time += duration

    def run(self, words):
        """Run a command and return its exit code and output."""
        self.lines = []
        surroundings = CommandDependencies(
            lambda settings: self.client, self, self.sleep, self.lines.append
        )
        tester = ApplicationTester(make_application(surroundings))
        line = words.replace("DIR", str(self.folder))
        if not words.startswith("check"):
            line += " --stores 127.0.0.1:7201"
        tester.execute(line)
        return ExitCode(tester.status_code), "\n".join(self.lines)

    def edit(self, before, after, name="rules.yaml"):
        """Replace a text in a file of the folder."""
        path = self.folder / name
        assert before in path.read_text()
        path.write_text(path.read_text().replace(before, after))


@pytest.fixture
def client():
    """Return a system in which nothing is published."""
    return FakeClient()


@pytest.fixture
def desk(client, tmp_path):
    """Return an office with its own copy of the files."""
    return Desk(client, tmp_path / "split")


def test_check(desk):
    """Guard against a fault that check does not list or a wrong exit code."""
    assert desk.run("check DIR") == (ExitCode.OK, "no faults in inventory, rules")
    desk.edit("turn_limit: 140", "turn_limit: 0")
    desk.edit("places: [hr-coast]", "places: [moon]")
    code, output = desk.run("check DIR --json")
    assert code is ExitCode.ERROR
    checks = [fault["check"] for fault in json.loads(output)["faults"]]
    assert checks == ["rules.E005"]
    desk.edit("turn_limit: 0", "turn_limit: 140")
    code, output = desk.run("check DIR")
    assert code is ExitCode.ERROR and output.startswith("rules.E009 rules: defaults")


def test_apply_waits_until_in_force(desk):
    """Guard against reporting success while nodes still use the old version."""
    code, output = desk.run("apply DIR")
    assert (code, output) == (ExitCode.OK, "version 1 is accepted, in force")
    assert (desk.folder / "base-version").read_text() == "1\n"
    assert desk.run("apply DIR") == (ExitCode.OK, "no changes")


def test_apply_not_in_force_in_time(desk, client):
    """Guard against waiting for ever, or calling it in force."""
    client.polls_until_in_force = 10**6
    code, output = desk.run("apply DIR --wait 5 --json")
    assert code is ExitCode.NOT_IN_FORCE
    assert json.loads(output)["is_in_force"] is False
    desk.edit("turn_limit: 140", "turn_limit: 120")
    code, output = desk.run("apply DIR --no-wait --json")
    assert code is ExitCode.OK
    assert json.loads(output)["is_in_force"] is None


def test_two_offices(desk, client, tmp_path):
    """Guard against an office that overwrites what another has published."""
    other = Desk(client, tmp_path / "zadar")
    assert desk.run("apply DIR")[0] is ExitCode.OK
    (other.folder / "base-version").write_text("1\n")
    desk.edit("turn_limit: 140", "turn_limit: 120")
    other.edit("turn_limit: 140", "turn_limit: 100")
    assert desk.run("apply DIR --author split")[0] is ExitCode.OK
    code, output = other.run("apply DIR --author zadar")
    assert code is ExitCode.CONFLICT
    assert "version 2 by split:\n  rules: defaults turn_limit 140 -> 120" in output
    assert "  rules: defaults turn_limit 120 -> 100" in output
    assert "--base 2" in output
    assert other.run("plan DIR")[0] is ExitCode.CONFLICT
    assert other.run("apply DIR --base 2")[0] is ExitCode.OK
    assert client.state.version == 3


def test_resend_after_a_lost_answer(desk, client):
    """Guard against a lost answer that becomes a conflict with oneself."""
    client.lost_answers = 2
    assert desk.run("apply DIR")[0] is ExitCode.OK
    assert len(client.published) == 3
    assert len({publish.publish for publish in client.published}) == 1
    assert client.state.version == 1


def test_resend_by_a_later_command(desk, client):
    """Guard against a command that ends unanswered and is forgotten."""
    client.lost_answers = 10**6
    code, output = desk.run("apply DIR --timeout 2")
    assert code is ExitCode.UNREACHABLE and "run the same command again" in output
    client.lost_answers = 0
    desk.edit("turn_limit: 140", "turn_limit: 120")
    assert desk.run("apply DIR")[1] == "version 1 is accepted, in force"
    assert len({publish.publish for publish in client.published}) == 1
    assert desk.run("apply DIR")[1] == "version 2 is accepted, in force"


def test_refused_by_the_leader(desk, client):
    """Guard against a refusal that leaves the folder stuck."""
    fault = make_fault("rules.E005", "rules", "0", "at least 1")
    client.refusal = PublishRefused("p", (fault,))
    code, output = desk.run("apply DIR")
    assert code is ExitCode.ERROR and output.startswith("rules.E005")
    client.refusal = None
    assert desk.run("apply DIR")[0] is ExitCode.OK


def test_damaged_pending_file(desk):
    """Guard against a traceback or a silent second publish."""
    (desk.folder / ".pending-publish").write_bytes(b"\xc1")
    code, output = desk.run("apply DIR")
    assert code is ExitCode.ERROR and "remove the file" in output


def test_plan_status_and_history(desk):
    """Guard against reports that hide what an operator asks for."""
    code, output = desk.run("plan DIR")
    assert code is ExitCode.OK
    assert output.endswith("inventory: added\nrules: added")
    desk.run("apply DIR --author split --no-wait")
    code, output = desk.run("status")
    assert code is ExitCode.OK and "accepted: 1\nin force: not known yet" in output
    assert "node n1: alive, entry in split-a, version 1" in output
    assert json.loads(desk.run("status --json")[1])["nodes"][0]["state"] == "alive"
    code, output = desk.run("history --limit 1")
    assert code is ExitCode.OK and "version 1 by split at" in output
    assert json.loads(desk.run("history --json")[1])["records"][0]["author"] == "split"


def test_outcome(desk):
    """Guard against an unknown outcome that reads like a completed one."""
    code, output = desk.run("outcome r --program p")
    assert code is ExitCode.OK and "ended, outcome unknown, 1 attempts" in output
    record = json.loads(desk.run("outcome r --program p --json")[1])["record"]
    assert (record["outcome"], record["answer"]) == ("unknown", "x")
    assert desk.run("outcome other --program p")[0] is ExitCode.ERROR
    assert desk.run("outcome r")[0] is ExitCode.ERROR


@pytest.mark.parametrize("stores", ["", "--stores localhost:80", "--stores 1.2.3.4"])
def test_stores_must_be_ip_numbers(desk, stores):
    """Guard against names that would have to be looked up."""
    tester = ApplicationTester(
        make_application(
            CommandDependencies(
                lambda settings: None, desk, desk.sleep, desk.lines.append
            )
        )
    )
    tester.execute(f"status {stores}")
    assert tester.status_code == ExitCode.ERROR
    assert "expected stores as IP:PORT" in desk.lines[0]


def test_unreachable(desk, client):
    """Guard against an unreachable system that looks like a fault in the files."""
    client.lost_requests = 10**6
    assert desk.run("apply DIR --timeout 1")[0] is ExitCode.UNREACHABLE
    assert desk.time - datetime(2026, 1, 1, tzinfo=UTC) >= timedelta(seconds=1)
