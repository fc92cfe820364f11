"""Guard against requests that run twice, false refusals and false successes."""

from datetime import UTC, datetime, timedelta

import pytest

from oleanderhitch.connection.http.messages import (
    CallerLeft,
    ExchangeFailed,
    ResponseBody,
    ResponseEnd,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.messages import (
    AttemptResult,
    EndpointGranted,
    EndpointRefused,
    InferenceWorkload,
)
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.turns.messages import (
    BudgetSpent,
    PreviousTurnMissing,
    SettleTurn,
    TurnBegun,
    TurnSettled,
)
from oleanderhitch.request.forwarding.core import handle
from oleanderhitch.request.forwarding.messages import (
    AbortAnswer,
    Answer,
    AnswerBegun,
    AnswerHead,
    AskEndpoint,
    Begin,
    CancelSend,
    FinishAnswer,
    ForwardRequest,
    GiveVerdict,
    LogDecision,
    RecordFailed,
    Release,
    Reserve,
    Send,
    Settle,
    StartAnswer,
    TurnOfProgram,
    WritePiece,
)
from oleanderhitch.request.forwarding.state import ForwardState, make_forward_state
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.request.ids import PermitId, RequestId
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName
from oleanderhitch.version.routes.configuration import Route, Target
from oleanderhitch.version.routes.ids import RouteName
from oleanderhitch.version.routes.states import RouteKind

NOW = datetime(2026, 1, 1, tzinfo=UTC)
SERVICE = ServiceName("s")
TIMEOUT = timedelta(seconds=2)


def make_state(
    kind: RouteKind = RouteKind.NON_IDEMPOTENT,
    n_attempts: int = 1,
    keeps_history: bool = False,
    is_resumable: bool = False,
    is_turn: bool = False,
    wait_limit: timedelta | None = None,
    pause_limit: timedelta | None = None,
) -> ForwardState:
    """Return a request on a route."""
    route = Route(
        RouteName("r"),
        "h",
        "/p/",
        kind,
        TIMEOUT,
        timedelta(milliseconds=200),
        0,
        (Target(SERVICE, 1),),
        n_attempts,
        keeps_history,
        timedelta(seconds=60),
        is_resumable=is_resumable,
        pause_limit=pause_limit,
    )
    turn = TurnOfProgram(ProgramId("p"), 1000, RequestId("t")) if is_turn else None
    request = ForwardRequest(
        RequestId("q"),
        "POST",
        "h",
        "/p/x",
        (),
        b"input",
        wait_limit,
        None,
        InferenceWorkload(100, 80, 80, ()) if is_turn else None,
        turn,
        None,
    )
    return make_forward_state(request, route, SERVICE, 16, 1, NOW)


def make_head(
    status: int = 200,
    is_signed: bool = True,
    is_refusal: bool = False,
    is_misdirected: bool = False,
) -> AnswerHead:
    """Return the head of an endpoint's answer."""
    return AnswerHead(status, (), is_signed, is_refusal, is_misdirected)


def run(state: ForwardState, *messages: object, at: datetime = NOW) -> list[object]:
    """Return the effects of the last message, without log lines."""
    effects: list[object] = []
    for message in messages:
        effects = handle(message, state, at)
    return [effect for effect in effects if not isinstance(effect, LogDecision)]


def grant(name: str) -> EndpointGranted:
    """Return a grant of an endpoint."""
    endpoint = ListedEndpoint(
        EndpointId(name),
        SERVICE,
        HostAddress("10.0.0.1:80"),
        DataCentreName("a"),
        6,
        False,
    )
    return EndpointGranted(RequestId("q"), PermitId(f"permit-{name}"), endpoint)


def get_exchange(state: ForwardState) -> int:
    """Return the number of the exchange under way."""
    assert state.attempt is not None
    return state.attempt.exchange


def find(effects: list[object], kind: type) -> list[object]:
    """Return the effects of a type."""
    return [effect for effect in effects if isinstance(effect, kind)]


def test_non_idempotent_request_is_not_repeated_after_it_was_sent() -> None:
    """A request whose answer is lost may have run, so it must not run again."""
    state = make_state(n_attempts=3)
    run(state, Begin(), grant("e1"))
    effects = run(state, ExchangeFailed(get_exchange(state), True, "reset"))
    verdicts = find(effects, GiveVerdict)
    assert verdicts == [GiveVerdict(Verdict.OUTCOME_UNKNOWN, "reset")]
    assert not find(effects, AskEndpoint)


def test_request_that_could_not_be_sent_goes_elsewhere() -> None:
    """A connection that can't be made has run nothing."""
    state = make_state()
    run(state, Begin(), grant("e1"))
    effects = run(state, ExchangeFailed(get_exchange(state), False, "refused"))
    asked = find(effects, AskEndpoint)
    assert len(asked) == 1
    assert asked[0].tried == (EndpointId("e1"),)  # type: ignore[attr-defined]


def test_idempotent_request_uses_its_attempts_and_no_more() -> None:
    """The attempts of a route bound how many endpoints run a request."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=2)
    run(state, Begin(), grant("e1"))
    first = run(state, ExchangeFailed(get_exchange(state), True, "reset"))
    assert find(first, AskEndpoint)
    run(state, grant("e2"))
    second = run(state, ExchangeFailed(get_exchange(state), True, "reset"))
    assert find(second, GiveVerdict)


def test_refusals_of_all_endpoints_are_told_as_not_run() -> None:
    """A request that no endpoint ran must not end as one that may have run."""
    state = make_state()
    run(state, Begin(), grant("e1"))
    run(state, AnswerBegun(get_exchange(state), make_head(503, is_refusal=True)))
    effects = run(state, EndpointRefused(RequestId("q"), "full"))
    assert find(effects, GiveVerdict) == [GiveVerdict(Verdict.ALL_REFUSED, "full")]


def test_refusal_after_a_run_is_not_told_as_not_run() -> None:
    """A promise of not run is false once any endpoint may have run it."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=2)
    run(state, Begin(), grant("e1"))
    run(state, ExchangeFailed(get_exchange(state), True, "reset"))
    effects = run(state, EndpointRefused(RequestId("q"), "full"))
    assert find(effects, GiveVerdict) == [GiveVerdict(Verdict.OUTCOME_UNKNOWN, "full")]


def test_success_without_signature_is_no_success() -> None:
    """Bytes that are not the endpoint's answer must not reach the caller as one."""
    state = make_state()
    run(state, Begin(), grant("e1"))
    effects = run(state, AnswerBegun(get_exchange(state), make_head(is_signed=False)))
    assert find(effects, GiveVerdict)
    assert not find(effects, Answer)


def test_answer_of_an_earlier_exchange_is_ignored() -> None:
    """An answer that arrives late belongs to no request any more."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=2)
    run(state, Begin(), grant("e1"))
    late = get_exchange(state)
    run(state, ExchangeFailed(late, True, "reset"), grant("e2"))
    assert run(state, AnswerBegun(late, make_head())) == []
    assert run(state, ResponseEnd(late, True)) == []


def test_runners_own_failure_is_passed_on() -> None:
    """A failure of the endpoint keeps its status and body."""
    state = make_state()
    run(state, Begin(), grant("e1"))
    exchange = get_exchange(state)
    head = make_head(500)
    run(state, AnswerBegun(exchange, head), ResponseBody(exchange, b"no"))
    effects = run(state, ResponseEnd(exchange, True))
    assert find(effects, Answer) == [Answer(head, b"no")]


def start_stream(state: ForwardState) -> int:
    """Bring a stream to its first event."""
    run(state, Begin(), TurnBegun(b"history", 1), grant("e1"))
    exchange = get_exchange(state)
    run(state, AnswerBegun(exchange, make_head()))
    run(state, ResponseBody(exchange, b"id: 1\ndata: one\n\n"))
    return exchange


def test_turn_is_sent_with_its_history() -> None:
    """The endpoint gets what precedes the input, then the input."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    effects = run(state, Begin(), TurnBegun(b"history", 1), grant("e1"))
    sent = find(effects, Send)
    assert sent[0].body == b"historyinput"  # type: ignore[attr-defined]


def test_turn_ends_only_after_its_record() -> None:
    """A turn that looks whole must exist when the next one names it."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    exchange = start_stream(state)
    effects = run(state, ResponseEnd(exchange, True))
    assert not find(effects, FinishAnswer)
    settled = find(effects, Settle)
    assert len(settled) == 1
    command = settled[0].command  # type: ignore[attr-defined]
    assert isinstance(command, SettleTurn)
    assert command.turn is not None
    assert command.turn.content == b"inputone\n"
    assert command.spent_tokens == 16
    assert find(run(state, TurnSettled()), FinishAnswer)


def test_turn_without_a_record_does_not_look_whole() -> None:
    """A caller must not build on a turn that may be lost."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    exchange = start_stream(state)
    run(state, ResponseEnd(exchange, True))
    effects = run(state, RecordFailed("no quorum"))
    assert find(effects, AbortAnswer)
    assert not find(effects, FinishAnswer)


def test_broken_stream_spends_what_was_handed_out() -> None:
    """Tokens of turns that break off count against the budget."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    exchange = start_stream(state)
    effects = run(state, ExchangeFailed(exchange, True, "reset"))
    assert find(effects, AbortAnswer)
    settled = find(effects, Settle)
    assert settled[0].command.spent_tokens == 16  # type: ignore[attr-defined]


def test_resumable_stream_goes_on_behind_the_last_event() -> None:
    """A resumed stream must neither repeat nor skip events."""
    state = make_state(RouteKind.STREAM, n_attempts=2, is_resumable=True, is_turn=True)
    exchange = start_stream(state)
    run(state, ResponseBody(exchange, b"id: 2\nda"))
    run(state, ExchangeFailed(exchange, True, "reset"))
    effects = run(state, grant("e2"))
    assert find(effects, Send)[0].last_event == "1"  # type: ignore[attr-defined]
    exchange = get_exchange(state)
    assert not find(run(state, AnswerBegun(exchange, make_head())), StartAnswer)
    effects = run(state, ResponseBody(exchange, b"id: 2\ndata: two\n\n"))
    assert WritePiece(b"id: 2\ndata: two\n\n") in effects


@pytest.mark.parametrize(
    ("refusal", "verdict"),
    [
        (PreviousTurnMissing(), Verdict.NO_PREVIOUS_TURN),
        (BudgetSpent(900, 90), Verdict.BUDGET_SPENT),
        (RecordFailed("no quorum"), Verdict.RECORD_UNAVAILABLE),
    ],
)
def test_refused_turn_reaches_no_endpoint(refusal: object, verdict: Verdict) -> None:
    """These answers promise that the turn has not run."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    assert find(run(state, Begin()), Reserve)
    effects = run(state, refusal)
    assert [one.verdict for one in find(effects, GiveVerdict)] == [  # type: ignore[attr-defined]
        verdict
    ]
    late = run(state, grant("e1"))
    assert late == [Release(PermitId("permit-e1"), AttemptResult.CANCELLED)]


def test_caller_that_leaves_ends_the_work() -> None:
    """An endpoint must not go on for a caller that is gone."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=3)
    run(state, Begin(), grant("e1"))
    exchange = get_exchange(state)
    effects = run(state, CallerLeft("closed"))
    assert CancelSend(exchange) in effects
    assert state.has_ended


def test_time_limit_is_the_lesser_of_route_and_caller() -> None:
    """A caller must be answered when either limit is reached."""
    state = make_state(wait_limit=timedelta(seconds=1))
    run(state, Begin(), grant("e1"))
    assert run(state, Tick(), at=NOW + timedelta(milliseconds=900)) == []
    effects = run(state, Tick(), at=NOW + timedelta(seconds=1))
    verdicts = find(effects, GiveVerdict)
    assert verdicts[0].verdict is Verdict.TIMED_OUT  # type: ignore[attr-defined]


def test_silent_idempotent_call_goes_elsewhere_once() -> None:
    """A call must not wait out its time at an endpoint that is gone."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=2)
    run(state, Begin(), grant("e1"))
    assert state.wake_at < state.due_at
    assert run(state, Tick()) == []
    effects = run(state, Tick(), at=state.wake_at)
    assert find(effects, CancelSend)
    released = find(effects, Release)
    assert released == [Release(PermitId("permit-e1"), AttemptResult.SILENT)]
    assert find(effects, AskEndpoint)
    run(state, grant("e2"))
    # The route allows two attempts, and the first may run all the same.
    assert state.wake_at == state.due_at
    effects = run(state, Tick(), at=state.due_at)
    assert find(effects, GiveVerdict) == [GiveVerdict(Verdict.TIMED_OUT, "while sent")]


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAM])
def test_silent_work_that_must_not_repeat_is_awaited(kind: RouteKind) -> None:
    """Silence does not prove that a request has not run."""
    state = make_state(kind, n_attempts=3)
    run(state, Begin(), grant("e1"))
    assert state.wake_at == state.due_at


def test_slow_body_is_awaited() -> None:
    """A call whose answer has begun is not given up for its silence before."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=2)
    run(state, Begin(), grant("e1"))
    wake_at = state.wake_at
    run(state, AnswerBegun(get_exchange(state), make_head()))
    assert run(state, Tick(), at=wake_at) == []


@pytest.mark.parametrize(
    ("status", "result"),
    [
        (200, AttemptResult.COMPLETED),
        (404, AttemptResult.COMPLETED),
        (500, AttemptResult.FAILED),
        (504, AttemptResult.COMPLETED),
    ],
)
def test_errors_of_an_endpoint_count_against_it(
    status: int, result: AttemptResult
) -> None:
    """An endpoint that fails its work must be told from one that is short of time."""
    state = make_state()
    run(state, Begin(), grant("e1"))
    run(state, AnswerBegun(get_exchange(state), make_head(status)))
    effects = run(state, ResponseEnd(get_exchange(state), True))
    assert find(effects, Release) == [Release(PermitId("permit-e1"), result)]


def test_stream_that_falls_silent_is_resumed_where_that_is_allowed() -> None:
    """Callers must not wait for events of an endpoint that is gone."""
    pause = timedelta(milliseconds=400)
    state = make_state(
        RouteKind.STREAM, n_attempts=2, is_resumable=True, pause_limit=pause
    )
    run(state, Begin(), grant("e1"))
    exchange = get_exchange(state)
    run(state, AnswerBegun(exchange, make_head()))
    later = NOW + timedelta(seconds=1)
    piece = ResponseBody(exchange, b"id: 1\ndata: a\n\n")
    run(state, piece, at=later)
    assert state.wake_at > later + pause
    effects = run(state, Tick(), at=state.wake_at)
    assert find(effects, CancelSend) == [CancelSend(exchange)]
    assert find(effects, AskEndpoint)
    (send,) = find(run(state, grant("e2"), at=later), Send)
    assert send.last_event == "1"  # type: ignore[attr-defined]
