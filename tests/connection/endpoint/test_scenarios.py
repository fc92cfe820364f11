"""Run the scenario files on attempts at endpoints."""

import socket
from contextlib import ExitStack
from datetime import timedelta
from pathlib import Path

import pytest
from msgspec.structs import replace

from oleanderhitch.connection.endpoint.messages import LookUpOperation, OperationFound
from oleanderhitch.connection.endpoint.task import start_operation_lookup
from oleanderhitch.connection.endpoint.transport import make_pool_manager
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.request.messages import StreamEnded, StreamFailed
from tests.connection.endpoint.calls import (
    MODEL_WORK,
    SERVICE_WORK,
    TIMEOUTS,
    Attempt,
    count_resumed_streams,
    request_json,
    set_fault,
)
from tests.scenario import run_scenario
from tests.standins.serving import CLOCK, serve_engine, serve_service

FOLDER = Path(__file__).parent / "scenarios"
OUTCOMES = {"completed": StreamEnded, "failed": StreamFailed}


class EndpointHarness:
    """Stand-ins and attempts of one scenario; each verb calls a method."""

    def __init__(self, stack):
        self._stack = stack
        self._addresses = {}
        self._attempts = {}
        self._n_resumed_before = count_resumed_streams()

    def add_engine(self, name):
        """Serve an engine."""
        self._addresses[name] = self._stack.enter_context(serve_engine())

    def add_service(self, name):
        """Serve a plain service."""
        self._addresses[name] = self._stack.enter_context(serve_service())

    def add_unused_address(self, name):
        """Give a name to an address that nothing listens on."""
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            self._addresses[name] = f"127.0.0.1:{listener.getsockname()[1]}"

    def set_fault(self, name, kind, **options):
        """Make a stand-in inject a fault."""
        numbers = {key: int(value) for key, value in options.items()}
        set_fault(self._addresses[name], kind, **numbers)

    def start_model(self, name, at, after=None, silence_s="0.1"):
        """Start a model attempt; with `after`, continue another attempt's answer.

        The connection counts as silent after `silence_s` without a chunk.
        """
        partial_answer = self._attempts[after].answer if after else b""
        silence = timedelta(seconds=float(silence_s))
        self._attempts[name] = Attempt(
            self._addresses[at],
            MODEL_WORK,
            name,
            program=name,
            partial_answer=partial_answer,
            timeouts=replace(TIMEOUTS, between_chunks=silence),
        )

    def start_operation(self, name, at, deadline_s="10"):
        """Start a call that is not idempotent."""
        self._attempts[name] = Attempt(
            self._addresses[at],
            SERVICE_WORK,
            name,
            is_idempotent=False,
            deadline_s=float(deadline_s),
        )

    def check_end(self, name, outcome, **expected):
        """Check how an attempt ends."""
        last = self._attempts[name].finish()
        assert isinstance(last, OUTCOMES[outcome]), f"ended with {last}"
        for key, value in expected.items():
            assert getattr(last, key) == (value == "true"), f"ended with {last}"

    def check_same(self, name, other):
        """Check that two attempts got the same answer."""
        assert self._attempts[name].answer == self._attempts[other].answer

    def check_joined(self, first, second, whole):
        """Check that two partial answers join to a complete one."""
        joined = self._attempts[first].answer + self._attempts[second].answer
        assert joined == self._attempts[whole].answer, joined

    def check_programs(self, name, count):
        """Check how many programs have a cached prefix."""
        response = request_json("GET", self._addresses[name], "/v1/cache/programs")
        assert len(response["programs"]) == int(count), response

    def check_resumed(self, count):
        """Check how many streams were resumed on a new connection."""
        n_resumed = count_resumed_streams() - self._n_resumed_before
        assert n_resumed == int(count), n_resumed

    def check_lookup(self, name, at, found):
        """Check whether a lookup by key finds an answer."""
        mailbox = make_mailbox("lookup")
        deadline = CLOCK.now() + timedelta(seconds=1)
        lookup = LookUpOperation(name, self._addresses[at], deadline)
        start_operation_lookup(lookup, mailbox, make_pool_manager(), TIMEOUTS, CLOCK)
        result = mailbox.receive(timedelta(seconds=5))
        assert isinstance(result, OperationFound) == (found == "true"), result

    def check_runs(self, name, key, count):
        """Check how often the operation with a key ran."""
        keys = request_json("GET", self._addresses[name], "/v1/counts")["keys"]
        assert keys.get(key, 0) == int(count), keys


@pytest.mark.parametrize(
    "path", sorted(FOLDER.glob("*.scenario")), ids=lambda p: p.stem
)
def test_scenario(path):
    """Guard against the failure that the scenario's first comment names."""
    with ExitStack() as stack:
        harness = EndpointHarness(stack)
        verbs = {
            "engine": harness.add_engine,
            "service": harness.add_service,
            "unused_address": harness.add_unused_address,
            "fault": harness.set_fault,
            "model": harness.start_model,
            "operation": harness.start_operation,
            "ends": harness.check_end,
            "same": harness.check_same,
            "joined": harness.check_joined,
            "programs": harness.check_programs,
            "resumed": harness.check_resumed,
            "lookup": harness.check_lookup,
            "runs": harness.check_runs,
        }
        run_scenario(path, verbs)
