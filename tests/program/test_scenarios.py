"""Run the scenario files on program shards; each guards against a failure."""

from datetime import UTC, datetime, timedelta
from functools import singledispatch
from pathlib import Path

import pytest

from oleanderhitch.program import messages as m
from oleanderhitch.program.core import apply, make_shard_state
from oleanderhitch.program.snapshot import (
    encode_snapshot,
    make_snapshot_codec,
    restore_snapshot,
)
from oleanderhitch.program.states import EndReason
from oleanderhitch.request.states import Outcome
from tests.scenario import run_scenario

SCENARIOS = sorted(Path(__file__).with_name("scenarios").glob("*.scenario"))
CODEC = make_snapshot_codec()


@singledispatch
def format_result(result):
    """Return the word for a result in scenarios."""
    raise TypeError(f"unsupported result: {result!r}")


format_result.register(m.Done, lambda result: "done")
format_result.register(m.Begun, lambda result: "begun")
format_result.register(m.Refused, lambda result: result.reason.value)
format_result.register(
    m.RequestRecord, lambda result: (result.outcome or result.progress).value
)


class ScenarioVerbs:
    """Implements the verbs of the scenario files; each public method is one."""

    def __init__(self):
        self.state = make_shard_state(retention=timedelta(seconds=120))
        self.now = datetime(2026, 1, 1, tzinfo=UTC)

    def _apply(self, command, expect):
        result = apply(command, self.state)
        assert format_result(result) == expect, result
        return result

    def start(self, program, budget="100", turns="20", repeats="5", expect="done"):
        """Start a program; its id names its parent."""
        parent = program.rpartition("/")[0] or None
        limits = int(budget), int(turns), timedelta(seconds=60)
        command = m.StartProgram(program, "a", parent, *limits, self.now, int(repeats))
        self._apply(command, expect)

    def begin(
        self,
        program,
        request,
        seq,
        run="x",
        kind="idempotent",
        content="",
        reserved="10",
        digest="d",
        expect="begun",
    ):
        """Begin a request."""
        content = (content or request).encode()
        order = int(seq), f"node-{run}", kind == "idempotent", int(reserved)
        command = m.BeginRequest(
            program, request, *order, content, digest, self.now, run
        )
        self._apply(command, expect)

    def attempt(self, program, request, n="1", at="e1", run="x", expect="done"):
        """Record an attempt at an engine that caches prompts."""
        command = m.RecordAttempt(program, request, int(n), at, 10, True, self.now, run)
        self._apply(command, expect)

    def fail(self, program, request, n="1", sent="yes", spent="0", run="x", **options):
        """Record a failed attempt."""
        command = m.FailAttempt(
            program, request, int(n), sent == "yes", int(spent), self.now, run
        )
        self._apply(command, options.get("expect", "done"))

    def finish(
        self, program, request, outcome, spent="10", run="x", n=None, answer="", **rest
    ):
        """Report an outcome."""
        ended = Outcome(outcome), answer.encode(), int(spent)
        command = m.FinishRequest(program, request, *ended, self.now, run, n and int(n))
        self._apply(command, rest.get("expect", "done"))

    def close(self, program, request, expect, run=None):
        """Close a request from another node."""
        self._apply(m.CloseRequest(program, request, self.now, run), expect)

    def outcome(self, program, request, expect, answer=None):
        """Look up a request."""
        result = self._apply(m.GetOutcome(program, request), expect)
        assert answer in (None, result.answer.decode())

    def end(self, program, reason="finished"):
        """End a program."""
        self._apply(m.EndProgram(program, EndReason(reason), self.now), "done")

    def confirm(self, program, endpoint, number=None):
        """Confirm a release."""
        number = number and int(number)
        command = m.ConfirmRelease(program, endpoint, self.now, number)
        self._apply(command, "done")

    def releases(self, expect=""):
        """Compare the listed releases, given as program@engine:number."""
        result = apply(m.ListReleases(), self.state)
        listed = [f"{r.program}@{r.endpoint}:{r.number}" for r in result.releases]
        assert listed == expect.split(), listed

    def wait(self, seconds):
        """Advance the clock and expire programs."""
        self.now += timedelta(seconds=int(seconds))
        apply(m.ExpirePrograms(self.now), self.state)

    def program(self, program, expect="found", **figures):
        """Compare fields of a program's summary."""
        result = apply(m.GetProgram(program), self.state)
        assert expect == "found" or result.reason.value == expect
        for name, value in figures.items():
            actual = getattr(result, name)
            assert str(getattr(actual, "value", actual)) == value, result

    def history(self, program, expect=""):
        """Compare the contents of a program's turns."""
        result = apply(m.GetHistory(program), self.state)
        contents = [turn.content.decode() for turn in result.turns]
        assert contents == expect.split(), contents

    def restart(self):
        """Replace the shard by a replica that is restored from its snapshot."""
        data = encode_snapshot(self.state, CODEC)
        self.state = make_shard_state(retention=self.state.retention)
        restore_snapshot(self.state, data, CODEC)


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    """Guard against the failure that the scenario's first line names."""
    scenario_verbs = ScenarioVerbs()
    verbs = {
        name: getattr(scenario_verbs, name)
        for name in dir(scenario_verbs)
        if name[0] != "_"
    }
    run_scenario(path, verbs)
