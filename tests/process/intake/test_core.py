"""Guard against calls that an entry host wrongly admits or refuses."""

from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
from msgspec.structs import replace

from oleanderhitch.process.configuration.files import read_folder
from oleanderhitch.process.intake.core import handle, make_intake_state
from oleanderhitch.process.intake.messages import (
    BeginDrain,
    CheckRequestOwner,
    Drained,
    GetProgramLimits,
    GetReadiness,
    IncomingCall,
    RequestEnded,
    SendReply,
    StartRequest,
    SubmitCall,
    UpdateRouter,
)
from oleanderhitch.process.membership.messages import NodeRow, PoolOwner
from oleanderhitch.process.membership.node.messages import (
    ConfigurationCompiled,
    MembershipView,
    VersionInstalled,
    WorkPermitted,
    WorkStopped,
)
from oleanderhitch.process.membership.states import NodeState
from oleanderhitch.process.membership.timing import LEASE_DURATION
from oleanderhitch.process.routing.messages import NodesGone, OwnersChanged
from oleanderhitch.request.messages import ModelWork, OwnerChecked, ServiceWork
from oleanderhitch.request.states import Outcome, Reason
from oleanderhitch.version.addresses import parse_host_port
from oleanderhitch.version.compile import compile_configuration
from oleanderhitch.version.ids import ConfigurationVersion
from oleanderhitch.version.states import HostRole

START = datetime(2026, 1, 1, tzinfo=UTC)
LEASE_END = START + timedelta(seconds=3)
EXAMPLE = Path(__file__).parents[3] / "examples" / "waiver-office"
MODEL = ModelWork("veslo-llm", ({"role": "user", "content": "hi"},), 10)


def make_call(work=MODEL, account="rental-desk", request="r"):
    """Return a call as parsed from a caller's request."""
    timeout = timedelta(seconds=10)
    return IncomingCall(request, account, "p", 1, work, "digest", timeout)


def make_ready_state():
    """Return an intake state with the example configuration and a lease."""
    state = make_intake_state("n1", "split-a")
    configuration = compile_configuration(ConfigurationVersion(1), read_folder(EXAMPLE))
    effects = handle(ConfigurationCompiled(configuration, "node"), state, START)
    assert SendReply("node", VersionInstalled(ConfigurationVersion(1))) in effects
    handle(WorkPermitted(LEASE_END), state, START)
    return state


def submit(state, call, now=START):
    """Return the effect of submitting a call."""
    (effect,) = handle(SubmitCall(call, "caller"), state, now)
    return effect


def test_admits_a_call_and_marks_idempotent_work():
    """Guard against a non-idempotent operation that is treated as idempotent."""
    state = make_ready_state()
    assert submit(state, make_call()).call.is_idempotent
    filing = ServiceWork("veslo-app", "file_waiver", b"{}")
    assert not submit(state, make_call(filing, request="s")).call.is_idempotent
    unlisted = ServiceWork("veslo-app", "unheard_of", b"{}")
    assert not submit(state, make_call(unlisted, request="t")).call.is_idempotent


@pytest.mark.parametrize(
    ("call", "reason"),
    [
        (make_call(ModelWork("nobody", MODEL.messages, 1)), Reason.UNKNOWN_MODEL),
        (make_call(ServiceWork("nobody", "x", b"")), Reason.UNKNOWN_SERVICE),
        (make_call(account="stranger"), Reason.PLACEMENT_NOT_ALLOWED),
    ],
)
def test_refuses_undeclared_names(call, reason):
    """Guard against work of undeclared accounts and work that no endpoint serves."""
    effect = submit(make_ready_state(), call)
    assert effect.message.outcome is Outcome.NOT_RUN
    assert effect.message.reason is reason


def test_excludes_endpoints_where_the_account_may_not_run():
    """Guard against work in a data centre that the account's rules forbid."""
    call = submit(make_ready_state(), make_call(account="harbour-audit")).call
    allowed = {
        name
        for name, endpoint in call.endpoints.items()
        if endpoint.data_centre in ("split-a", "zadar-b")
    }
    assert not allowed & set(call.excluded)
    assert "veslo-llm-3" in call.excluded


def test_starts_nothing_without_a_lease():
    """Guard against work under outdated rules on an isolated host."""
    state = make_ready_state()
    refused = submit(state, make_call(), LEASE_END).message
    assert (refused.outcome, refused.reason) == (Outcome.NOT_RUN, Reason.NO_LEASE)
    handle(WorkPermitted(LEASE_END), state, START)
    handle(WorkStopped(), state, START)
    assert submit(state, make_call()).message.reason is Reason.NO_LEASE


def test_a_possible_repeat_does_not_end_as_not_run():
    """Guard against "not run" for a call whose first delivery ran on another host."""
    state = make_ready_state()
    call = replace(make_call(), has_idempotency_key=True)
    assert submit(state, call, LEASE_END).message.outcome is Outcome.UNKNOWN
    handle(BeginDrain("stop"), state, START)
    assert submit(state, call).message.outcome is Outcome.UNKNOWN
    assert submit(state, make_call()).message.outcome is Outcome.NOT_RUN


def test_a_request_in_progress_is_not_started_again():
    """Guard against two tasks for one request id on one host."""
    state = make_ready_state()
    assert isinstance(submit(state, make_call()), StartRequest)
    again = submit(state, make_call()).message
    assert again.reason is Reason.REQUEST_IN_PROGRESS
    handle(RequestEnded("r"), state, START)
    assert isinstance(submit(state, make_call()), StartRequest)


def test_drains_before_it_stops():
    """Guard against a planned stop that interrupts a request in progress."""
    state = make_ready_state()
    submit(state, make_call())
    assert handle(BeginDrain("stop"), state, START) == []
    assert submit(state, make_call(request="s")).message.reason is Reason.SHUTTING_DOWN
    (ready,) = handle(GetReadiness("probe"), state, START)
    assert not ready.message.is_ready
    assert handle(RequestEnded("r"), state, START) == [SendReply("stop", Drained())]


def test_program_limits_follow_the_account_rules():
    """Guard against a program with a larger budget than its account allows."""
    state = make_ready_state()
    (effect,) = handle(GetProgramLimits("harbour-audit", 10**9, "x"), state, START)
    assert effect.message.budget_tokens == 150_000
    assert effect.message.n_turns_limit == 60


def make_row(node):
    """Return the node table's row for an entry host."""
    address = parse_host_port("127.0.0.1:7101")
    return NodeRow(node, NodeState.ALIVE, HostRole.ENTRY, "split-a", address)


def test_a_node_missing_from_the_table_counts_as_lost_after_a_lease():
    """Guard against requests of a lost node that no other node may resume.

    A node counts as lost one lease after it left the node table, since the table of a
    new leader may lack running nodes.
    """
    state = make_ready_state()
    owners = (PoolOwner("veslo-llm@hr-coast", "n2"),)
    view = MembershipView((make_row("n1"), make_row("n2")), owners)
    effects = handle(view, state, START)
    assert isinstance(effects[0].message, OwnersChanged)
    (check,) = handle(CheckRequestOwner("r", "n2", "x"), state, START)
    assert check.message == OwnerChecked(False)
    effects = handle(MembershipView((make_row("n1"),), ()), state, START)
    assert UpdateRouter(NodesGone(("n2",))) in effects
    (check,) = handle(CheckRequestOwner("r", "n2", "x"), state, START)
    assert check.message == OwnerChecked(False), "the table of a new leader may lack it"
    (check,) = handle(CheckRequestOwner("r", "n2", "x"), state, START + LEASE_DURATION)
    assert check.message == OwnerChecked(True)
