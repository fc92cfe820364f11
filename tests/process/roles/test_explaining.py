"""Guard against explanations that differ from what an entry host does with a call."""

from copy import deepcopy

import pytest

from oleanderhitch.connection.http.messages import HttpRequest
from oleanderhitch.process.explaining.messages import ExplainRequest
from oleanderhitch.process.explaining.states import ExplainVerdict, Unchecked
from oleanderhitch.process.groups.client.messages import GroupResult
from oleanderhitch.process.intake import explaining
from oleanderhitch.process.intake.core import IntakeState
from oleanderhitch.process.intake.messages import BeginDrain
from oleanderhitch.process.roles.explaining import (
    EntryExplainDependencies,
    explain_call,
)
from oleanderhitch.process.routing import core as routing
from oleanderhitch.process.routing.messages import OwnersChanged
from oleanderhitch.program.messages import Begun
from oleanderhitch.request.messages import RespondToCaller
from oleanderhitch.version.rules import AccountDeclaration
from tests.process.intake.test_core import START, make_call, make_ready_state, submit

POOL = "veslo-llm@hr-coast"
BODY = b'{"model": "veslo-llm", "messages": [{"role": "user", "content": "hi"}]}'


class Answering:
    """A task that answers at once, by the decision code of the real one."""

    def __init__(self, handle, state):
        self.handle = handle
        self.state = state

    def send(self, message):
        """Send the replies that the decision code makes."""
        for effect in self.handle(message, self.state, START):
            effect.reply_address.send(effect.message)


class Clock:
    """A clock that stands still."""

    def now(self):
        """Return the time of the intake's state."""
        return START


class Shard:
    """A shard that knows each program; also its codec."""

    def send(self, message):
        """Reply to a read."""
        message.reply_address.send(GroupResult(message.tag, b""))

    def encode(self, message):
        """Return the bytes of a query."""
        return b""

    def decode(self, body):
        """Return the context of a program."""
        return Begun((), 0, ())


def explain(state: IntakeState, router, account="rental-desk", key="k"):
    """Return the explanation of a call with a key of its own."""
    headers = (
        ("x-account", account),
        ("x-program", "p"),
        ("x-sequence", "1"),
        ("idempotency-key", key),
    )
    request = HttpRequest("POST", "/v1/chat/completions", headers, BODY)
    intake, shard = Answering(explaining.handle, state), Shard()
    router = Answering(routing.handle, router)
    return explain_call(
        ExplainRequest(1, request),
        EntryExplainDependencies("n1", Clock(), shard, shard, intake, router, str),
    )


def run_until_refused(state):
    """Submit calls until one is refused."""
    for number in range(1000):
        effect = submit(state, make_call(request=f"r{number}"))
        if isinstance(getattr(effect, "message", None), RespondToCaller):
            return
    pytest.fail("no limit was reached")


def run_request(state):
    """Submit a call with the same key."""
    submit(state, make_call(request="p~k"))


def stop(state):
    """Begin a planned stop."""
    explaining.handle(BeginDrain("stop"), state, START)


def declare_away(state):
    """Declare an account whose work may run where nothing is served."""
    state.configuration.accounts["away"] = AccountDeclaration("away", ("nowhere",))


@pytest.mark.parametrize(
    ("prepare", "account", "verdict"),
    [
        (run_until_refused, "rental-desk", ExplainVerdict.OVER_LIMIT),
        (run_request, "rental-desk", ExplainVerdict.IN_PROGRESS),
        (stop, "rental-desk", ExplainVerdict.STOPPING),
        (id, "stranger", ExplainVerdict.UNKNOWN_ID),
        (declare_away, "away", ExplainVerdict.NOT_ALLOWED),
    ],
)
def test_refusals_of_the_intake_are_explained(prepare, account, verdict):
    """Guard against a wrong reason, and an explanation that counts as a call."""
    state = make_ready_state()
    prepare(state)
    before = deepcopy(state.requests), deepcopy(state.admission)
    explanation = explain(state, routing.make_router_state("n1"), account)
    assert explanation.verdict is verdict
    assert (state.requests, state.admission) == before
    assert explanation.detail


@pytest.mark.parametrize(
    ("addresses", "detail"),
    [
        ({"n2": "127.0.0.1:7"}, "n2 at 127.0.0.1:7 owns the pool; ask that host"),
        ({}, "n2 owns the pool; ask that host"),
    ],
)
def test_call_whose_queue_is_elsewhere_names_its_owner(addresses, detail):
    """Guard against an operator who looks for a request at the wrong host."""
    router = routing.make_router_state("n1")
    routing.handle(OwnersChanged({POOL: "n2"}, addresses), router, START)
    explanation = explain(make_ready_state(), router)
    assert (explanation.verdict, explanation.detail) == (
        ExplainVerdict.ASKS_OWNER,
        detail,
    )
    assert Unchecked.QUEUE_OF_OWNER in explanation.unchecked
