"""Guard against requests that run twice or end with a false outcome."""

from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from msgspec.structs import replace

from oleanderhitch.connection.http.messages import (
    BodyEnd,
    CallerDisconnected,
    ExchangeFailed,
    HostStopping,
    ResponseBody,
    ResponseEnd,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.messages import (
    AttemptResult,
    EndpointGranted,
    EndpointRefused,
    InferenceWorkload,
    RequestStage,
)
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.program.turns.messages import (
    BudgetSpent,
    HistoryRead,
    PreviousTurnMissing,
    SettleTurn,
    TurnBegun,
    TurnFound,
    TurnNotFound,
    TurnSettled,
    WholeTurn,
)
from oleanderhitch.request.forwarding.attempts import request_endpoint
from oleanderhitch.request.forwarding.core import (
    COLLECTED_BODY_LIMIT_BYTES,
    EVENT_LIMIT_BYTES,
    end_after_error,
    handle,
)
from oleanderhitch.request.forwarding.identity import CallerIdentity
from oleanderhitch.request.forwarding.messages import (
    AbortResponse,
    CancelEndpointExchange,
    EndpointResponseHead,
    FinishResponse,
    ForwardRequest,
    LogDecision,
    LongHistoryFound,
    MemoryExhausted,
    ProgramTurn,
    ReadMoreHistory,
    ReadOtherHistory,
    RecordAway,
    RecordFailed,
    ReportEventLatency,
    ReportFirstChunk,
    ReportLeaving,
    ReportRateLimit,
    RequestEndpoint,
    ReserveTokens,
    ResponseBegun,
    ReturnPermit,
    SearchTurn,
    SendResponse,
    SendToEndpoint,
    SendVerdict,
    SettleReservation,
    Start,
    StartResponse,
    WriteResponseChunk,
)
from oleanderhitch.request.forwarding.state import ForwardState, make_forward_state
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.request.ids import (
    HolderId,
    PermitId,
    RequestFingerprint,
    RequestId,
)
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName
from oleanderhitch.version.routes.accounts import Account
from oleanderhitch.version.routes.configuration import Route, Target
from oleanderhitch.version.routes.ids import RouteName
from oleanderhitch.version.routes.states import RouteKind

NOW = datetime(2026, 1, 1, tzinfo=UTC)
SERVICE = ServiceName("s")
TIMEOUT = timedelta(seconds=2)
HOLDER = HolderId("q/1")


def make_state(
    kind: RouteKind = RouteKind.NON_IDEMPOTENT,
    n_attempts: int = 1,
    keeps_history: bool = False,
    is_resumable: bool = False,
    is_turn: bool = False,
    caller_timeout: timedelta | None = None,
    event_latency_target: timedelta | None = None,
    last_event_id: str | None = None,
) -> ForwardState:
    """Return the state of a new request on a route."""
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
        event_latency_target=event_latency_target,
    )
    turn = ProgramTurn(ProgramId("p"), 1000, RequestId("t")) if is_turn else None
    request = ForwardRequest(
        RequestId("q"),
        "POST",
        "h",
        "/p/x",
        (),
        b"input",
        caller_timeout,
        None,
        InferenceWorkload(100, 80, 80, ()) if is_turn else None,
        turn,
        last_event_id,
        RequestFingerprint("content"),
    )
    return make_forward_state(request, route, SERVICE, 16, 1, NOW)


def make_response_head(
    status: int = 200,
    is_signed: bool = True,
    is_refusal: bool = False,
    is_misdirected: bool = False,
    is_unproven_refusal: bool = False,
) -> EndpointResponseHead:
    """Return the head of an endpoint's response."""
    return EndpointResponseHead(
        status, (), is_signed, is_refusal, is_misdirected, is_unproven_refusal
    )


def run(state: ForwardState, *messages: object, at: datetime = NOW) -> list[object]:
    """Handle messages and return the effects of the last, without log lines."""
    effects: list[object] = []
    for message in messages:
        effects = handle(message, state, at)
    return [effect for effect in effects if not isinstance(effect, LogDecision)]


def grant(name: str) -> EndpointGranted:
    """Return placement's grant of an endpoint."""
    endpoint = ListedEndpoint(
        EndpointId(name),
        SERVICE,
        HostAddress("10.0.0.1:80"),
        DataCentreName("a"),
        6,
        False,
    )
    return EndpointGranted(HOLDER, PermitId(f"permit-{name}"), endpoint)


def get_exchange_id(state: ForwardState) -> int:
    """Return the id of the running exchange."""
    assert state.attempt is not None
    return state.attempt.exchange_id


def find(effects: list[object], kind: type) -> list[object]:
    """Return the effects of a type."""
    return [effect for effect in effects if isinstance(effect, kind)]


def test_non_idempotent_request_is_not_retried_after_it_was_sent() -> None:
    """Guard against a second run of a non-idempotent request after a lost response."""
    state = make_state(n_attempts=3)
    run(state, Start(), grant("e1"))
    effects = run(state, ExchangeFailed(get_exchange_id(state), True, "reset"))
    verdicts = find(effects, SendVerdict)
    assert verdicts == [SendVerdict(Verdict.OUTCOME_UNKNOWN, "reset")]
    assert not find(effects, RequestEndpoint)


@pytest.mark.parametrize("n_failures", [0, 1, 2])
@pytest.mark.parametrize("has_head", [False, True])
def test_stop_does_not_report_a_sent_request_as_not_run(
    n_failures: int, has_head: bool
) -> None:
    """Guard against a 503 for a request that an endpoint runs, ran or may have run."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=3)
    run(state, Start(), grant("e0"))
    for number in range(n_failures):
        run(state, ExchangeFailed(get_exchange_id(state), True, "reset"))
        if number < n_failures - 1 or has_head:
            run(state, grant(f"e{number + 1}"))
    if has_head:
        head = make_response_head(200)
        run(state, ResponseBegun(get_exchange_id(state), head))
    (verdict,) = find(run(state, HostStopping()), SendVerdict)
    assert isinstance(verdict, SendVerdict)
    assert verdict.verdict is Verdict.TIMED_OUT


def test_unsent_request_is_retried_on_another_endpoint() -> None:
    """Guard against a request that fails although no endpoint has received it."""
    state = make_state()
    run(state, Start(), grant("e1"))
    effects = run(state, ExchangeFailed(get_exchange_id(state), False, "refused"))
    requests = find(effects, RequestEndpoint)
    assert len(requests) == 1
    assert requests[0].tried == (EndpointId("e1"),)  # type: ignore[attr-defined]


def test_placement_learns_what_a_request_continues() -> None:
    """Guard against requests that wait in the order of another program's."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=2)
    assert state.stage is RequestStage.STANDALONE
    account = Account(AccountId("a"), ())
    for turn, stage in (
        (ProgramTurn(ProgramId("p"), 1000, None), RequestStage.NEW_PROGRAM),
        (ProgramTurn(ProgramId("p"), None, RequestId("t")), RequestStage.IN_PROGRESS),
        (None, RequestStage.IN_PROGRESS),
    ):
        state.request = replace(
            state.request, program=ProgramId("p"), turn=turn, time_to_finish=TIMEOUT
        )
        state.identity = CallerIdentity(account, True)
        (effect,) = request_endpoint(state, NOW)
        assert isinstance(effect, RequestEndpoint)
        assert (effect.account, effect.stage) == ("a", stage)
        assert effect.finish_at == NOW + TIMEOUT
    state.identity = CallerIdentity(None, True)
    run(state, Start(), grant("e1"))
    (again,) = find(
        run(state, ExchangeFailed(get_exchange_id(state), True, "reset")),
        RequestEndpoint,
    )
    assert isinstance(again, RequestEndpoint)
    assert (again.account, again.stage) == ("", RequestStage.REPEATED)


def test_idempotent_request_is_retried_up_to_the_attempt_limit() -> None:
    """Guard against more runs of a request than its route allows attempts."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=2)
    run(state, Start(), grant("e1"))
    first = run(state, ExchangeFailed(get_exchange_id(state), True, "reset"))
    assert find(first, RequestEndpoint)
    run(state, grant("e2"))
    second = run(state, ExchangeFailed(get_exchange_id(state), True, "reset"))
    assert find(second, SendVerdict)


def test_request_refused_by_all_endpoints_is_reported_as_not_run() -> None:
    """Guard against an unknown outcome of a request that no endpoint ran."""
    state = make_state()
    run(state, Start(), grant("e1"))
    run(
        state,
        ResponseBegun(get_exchange_id(state), make_response_head(503, is_refusal=True)),
    )
    effects = run(state, EndpointRefused(HOLDER, "full"))
    assert find(effects, SendVerdict) == [SendVerdict(Verdict.ALL_REFUSED, "full")]


def test_overload_is_reported_with_the_time_to_come_back() -> None:
    """Guard against callers that are not told when there may be a slot."""
    state = make_state()
    run(state, Start())
    later = timedelta(milliseconds=300)
    refused = EndpointRefused(HOLDER, "late", is_overloaded=True, retry_after=later)
    verdict = SendVerdict(Verdict.OVERLOADED, "late", later)
    assert find(run(state, refused), SendVerdict) == [verdict]


def test_refusal_after_a_run_is_not_reported_as_not_run() -> None:
    """Guard against a false "not run" after an earlier attempt that may have run."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=2)
    run(state, Start(), grant("e1"))
    run(state, ExchangeFailed(get_exchange_id(state), True, "reset"))
    effects = run(state, EndpointRefused(HOLDER, "full"))
    assert find(effects, SendVerdict) == [SendVerdict(Verdict.OUTCOME_UNKNOWN, "full")]


def test_unsigned_success_is_a_failure() -> None:
    """Guard against relaying a response that no endpoint has signed."""
    state = make_state()
    run(state, Start(), grant("e1"))
    effects = run(
        state,
        ResponseBegun(get_exchange_id(state), make_response_head(is_signed=False)),
    )
    assert find(effects, SendVerdict)
    assert not find(effects, SendResponse)


def test_response_of_an_earlier_exchange_is_ignored() -> None:
    """Guard against a late response of an earlier attempt that ends the current one."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=2)
    run(state, Start(), grant("e1"))
    earlier_exchange_id = get_exchange_id(state)
    run(state, ExchangeFailed(earlier_exchange_id, True, "reset"), grant("e2"))
    assert run(state, ResponseBegun(earlier_exchange_id, make_response_head())) == []
    assert run(state, ResponseEnd(earlier_exchange_id, BodyEnd.FRAMED)) == []


def test_error_response_of_an_endpoint_is_relayed() -> None:
    """Guard against an endpoint's error that loses its status or body."""
    state = make_state()
    run(state, Start(), grant("e1"))
    exchange_id = get_exchange_id(state)
    head = make_response_head(500)
    run(state, ResponseBegun(exchange_id, head), ResponseBody(exchange_id, b"no"))
    effects = run(state, ResponseEnd(exchange_id, BodyEnd.FRAMED))
    assert find(effects, SendResponse) == [SendResponse(head, b"no")]


def start_stream(state: ForwardState) -> int:
    """Run a stream up to its first event and return the exchange id."""
    run(state, Start(), TurnBegun(b"history", 1), grant("e1"))
    exchange_id = get_exchange_id(state)
    run(state, ResponseBegun(exchange_id, make_response_head()))
    run(state, ResponseBody(exchange_id, b"id: 1\ndata: one\n\n"))
    return exchange_id


def test_turn_is_sent_with_its_history() -> None:
    """Guard against a turn that an endpoint runs without the preceding turns."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    effects = run(state, Start(), TurnBegun(b"history", 1), grant("e1"))
    sent = find(effects, SendToEndpoint)
    assert sent[0].body == b"historyinput"  # type: ignore[attr-defined]


def test_turn_is_sent_with_all_pieces_of_a_long_history() -> None:
    """Guard against a turn that can't be continued, or only without its beginning."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    (read,) = run(state, Start(), TurnBegun(b"one", 3, 6))
    assert isinstance(read, ReadMoreHistory)
    assert read.query.offset == 3
    (read,) = run(state, HistoryRead(b"two"))
    assert isinstance(read, ReadMoreHistory)
    assert read.query.offset == 6
    effects = run(state, HistoryRead(b"end"), grant("e1"))
    assert find(effects, SendToEndpoint)[0].body == b"onetwoendinput"  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    "failure",
    [HistoryRead(b""), TurnNotFound(), RecordFailed("timeout"), RecordAway("away")],
)
def test_turn_whose_history_is_not_read_whole_has_not_run(failure: object) -> None:
    """Guard against a turn that is run with a part of its history, or hangs."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    run(state, Start(), TurnBegun(b"one", 3, 6))
    effects = run(state, failure)
    assert list_verdicts(effects) == [Verdict.RECORD_UNAVAILABLE]
    assert find(effects, SettleReservation)


def test_turn_completes_only_after_its_record() -> None:
    """Guard against a completed response whose turn cannot be continued."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    exchange_id = start_stream(state)
    effects = run(state, ResponseEnd(exchange_id, BodyEnd.FRAMED))
    assert not find(effects, FinishResponse)
    settled = find(effects, SettleReservation)
    assert len(settled) == 1
    command = settled[0].command  # type: ignore[attr-defined]
    assert isinstance(command, SettleTurn)
    assert command.turn is not None
    assert command.turn.content == b"inputone\n"
    assert command.spent_tokens == 16
    assert find(run(state, TurnSettled()), FinishResponse)


def test_unrecorded_turn_does_not_appear_complete() -> None:
    """Guard against a turn that appears complete although its record failed."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    exchange_id = start_stream(state)
    run(state, ResponseEnd(exchange_id, BodyEnd.FRAMED))
    effects = run(state, RecordFailed("no quorum"))
    assert find(effects, AbortResponse)
    assert not find(effects, FinishResponse)


def test_aborted_stream_spends_the_relayed_tokens() -> None:
    """Guard against tokens of an aborted turn that are not counted as spent."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    exchange_id = start_stream(state)
    effects = run(state, ExchangeFailed(exchange_id, True, "reset"))
    assert find(effects, AbortResponse)
    settled = find(effects, SettleReservation)
    assert settled[0].command.spent_tokens == 16  # type: ignore[attr-defined]


def test_resumable_stream_continues_after_the_last_event() -> None:
    """Guard against a resumed stream that duplicates or skips events."""
    state = make_state(RouteKind.STREAM, n_attempts=2, is_resumable=True, is_turn=True)
    exchange_id = start_stream(state)
    run(state, ResponseBody(exchange_id, b"id: 2\nda"))
    run(state, ExchangeFailed(exchange_id, True, "reset"))
    effects = run(state, grant("e2"))
    assert find(effects, SendToEndpoint)[0].last_event_id == "1"  # type: ignore[attr-defined]
    exchange_id = get_exchange_id(state)
    assert not find(
        run(state, ResponseBegun(exchange_id, make_response_head())), StartResponse
    )
    effects = run(state, ResponseBody(exchange_id, b"id: 2\ndata: two\n\n"))
    assert WriteResponseChunk(b"id: 2\ndata: two\n\n") in effects


def make_resumed_turn(last_event_id: str) -> ForwardState:
    """Return the state of a turn that its caller resumes after an event."""
    return make_state(
        RouteKind.STREAM,
        n_attempts=3,
        keeps_history=True,
        is_resumable=True,
        is_turn=True,
        last_event_id=last_event_id,
    )


def run_all(state: ForwardState, *messages: object) -> list[object]:
    """Handle messages and return the effects of all of them."""
    return [effect for message in messages for effect in run(state, message)]


def make_events(*numbers: int) -> bytes:
    """Return events of a stream with their numbers as ids and data."""
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in numbers)


def list_written(effects: list[object]) -> bytes:
    """Return what the effects write to the caller."""
    chunks = find(effects, WriteResponseChunk)
    return b"".join(chunk.data for chunk in chunks)  # type: ignore[attr-defined]


def get_recorded_content(effects: list[object]) -> bytes:
    """Return the content of the turn that the effects record."""
    (settlement,) = find(effects, SettleReservation)
    return settlement.command.turn.content  # type: ignore[attr-defined,no-any-return]


@pytest.mark.parametrize("last_event_id", ["0", "2", "3"])
def test_resumed_turn_is_recorded_whole(last_event_id: str) -> None:
    """Guard against a turn that later turns continue without its first events."""
    state = make_resumed_turn(last_event_id)
    run(state, Start())
    effects = run(state, TurnBegun(b"before", 1), grant("i-1"))
    assert find(effects, SendToEndpoint)[0].last_event_id is None  # type: ignore[attr-defined]
    exchange = get_exchange_id(state)
    effects = run_all(
        state,
        ResponseBegun(exchange, make_response_head(200)),
        ResponseBody(exchange, make_events(1)),
        ResponseBody(exchange, make_events(2, 3)),
        ResponseEnd(exchange, BodyEnd.FRAMED),
    )
    due = range(int(last_event_id) + 1, 4)
    assert list_written(effects) == make_events(*due)
    assert get_recorded_content(effects) == b"input1\n2\n3\n"
    assert state.spent_tokens == 16 * len(due)


def test_resumed_turn_that_fails_over_is_recorded_whole() -> None:
    """Guard against events that are lost or repeated if the first endpoint fails."""
    state = make_resumed_turn("3")
    run(state, Start())
    run(state, TurnBegun(b"", 0), grant("i-1"))
    exchange = get_exchange_id(state)
    run(
        state,
        ResponseBegun(exchange, make_response_head(200)),
        ResponseBody(exchange, make_events(1, 2)),
    )
    run(state, ExchangeFailed(exchange, True, "closed"))
    effects = run(state, grant("i-2"))
    assert find(effects, SendToEndpoint)[0].last_event_id == "2"  # type: ignore[attr-defined]
    exchange = get_exchange_id(state)
    effects = run_all(
        state,
        ResponseBegun(exchange, make_response_head(200)),
        ResponseBody(exchange, make_events(3, 4)),
        ResponseEnd(exchange, BodyEnd.FRAMED),
    )
    assert list_written(effects) == make_events(4)
    assert get_recorded_content(effects) == b"input1\n2\n3\n4\n"


def test_resumed_turn_without_the_event_to_resume_after_is_broken_off() -> None:
    """Guard against a turn that seems complete although its end is missing."""
    state = make_resumed_turn("9")
    run(state, Start())
    run(state, TurnBegun(b"", 0), grant("i-1"))
    exchange = get_exchange_id(state)
    effects = run_all(
        state,
        ResponseBegun(exchange, make_response_head(200)),
        ResponseBody(exchange, make_events(1, 2)),
        ResponseEnd(exchange, BodyEnd.FRAMED),
    )
    permit = find(effects, ReturnPermit)[0]
    assert permit.result is AttemptResult.COMPLETED  # type: ignore[attr-defined]
    assert find(effects, AbortResponse)
    assert not find(effects, FinishResponse)


def test_resumed_stream_without_history_starts_after_the_last_event() -> None:
    """Guard against events that are generated again where nothing is recorded."""
    state = make_state(RouteKind.STREAM, is_resumable=True, last_event_id="2")
    effects = run(state, Start(), grant("i-1"))
    assert find(effects, SendToEndpoint)[0].last_event_id == "2"  # type: ignore[attr-defined]
    exchange = get_exchange_id(state)
    effects = run_all(
        state,
        ResponseBegun(exchange, make_response_head(200)),
        ResponseBody(exchange, make_events(3)),
    )
    assert list_written(effects) == make_events(3)


@pytest.mark.parametrize(
    ("refusal", "verdict"),
    [
        (PreviousTurnMissing(), Verdict.NO_PREVIOUS_TURN),
        (BudgetSpent(900, 90), Verdict.BUDGET_SPENT),
        (RecordFailed("no quorum"), Verdict.RECORD_UNAVAILABLE),
    ],
)
def test_refused_turn_reaches_no_endpoint(refusal: object, verdict: Verdict) -> None:
    """Guard against a run of a turn that was reported as not run."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    assert find(run(state, Start()), ReserveTokens)
    effects = run(state, refusal)
    assert [effect.verdict for effect in find(effects, SendVerdict)] == [  # type: ignore[attr-defined]
        verdict
    ]
    late_effects = run(state, grant("e1"))
    assert late_effects == [ReturnPermit(PermitId("permit-e1"), AttemptResult.UNSENT)]


def test_disconnect_of_the_caller_cancels_the_work() -> None:
    """Guard against endpoints that work for a caller that has disconnected."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=3)
    run(state, Start(), grant("e1"))
    exchange_id = get_exchange_id(state)
    effects = run(state, CallerDisconnected("closed"))
    assert CancelEndpointExchange(exchange_id) in effects
    assert state.has_ended


def test_timeout_is_the_lesser_of_route_and_caller() -> None:
    """Guard against a request that outlasts the shorter of its two timeouts."""
    state = make_state(caller_timeout=timedelta(seconds=1))
    run(state, Start(), grant("e1"))
    assert run(state, Tick(), at=NOW + timedelta(milliseconds=900)) == []
    effects = run(state, Tick(), at=NOW + timedelta(seconds=1))
    verdicts = find(effects, SendVerdict)
    assert verdicts[0].verdict is Verdict.TIMED_OUT  # type: ignore[attr-defined]


def test_idempotent_request_fails_over_from_a_silent_endpoint_once() -> None:
    """Guard against waiting until the deadline for an endpoint that has failed."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=2)
    run(state, Start(), grant("e1"))
    assert state.next_tick_at < state.deadline
    assert run(state, Tick()) == []
    effects = run(state, Tick(), at=state.next_tick_at)
    assert find(effects, CancelEndpointExchange)
    released = find(effects, ReturnPermit)
    assert released == [ReturnPermit(PermitId("permit-e1"), AttemptResult.SILENT)]
    assert find(effects, RequestEndpoint)
    run(state, grant("e2"))
    # The route allows two attempts, and the first endpoint may still run it.
    assert state.next_tick_at == state.deadline
    effects = run(state, Tick(), at=state.deadline)
    assert find(effects, SendVerdict) == [SendVerdict(Verdict.TIMED_OUT, "while sent")]


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAM])
def test_request_that_must_not_be_retried_has_no_failover(kind: RouteKind) -> None:
    """Guard against a second run while an unresponsive endpoint may run the request."""
    state = make_state(kind, n_attempts=3)
    run(state, Start(), grant("e1"))
    assert state.next_tick_at == state.deadline


def test_no_failover_after_the_response_head() -> None:
    """Guard against a failover while the body of the response is awaited."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=2)
    run(state, Start(), grant("e1"))
    failover_at = state.next_tick_at
    run(state, ResponseBegun(get_exchange_id(state), make_response_head()))
    assert run(state, Tick(), at=failover_at) == []


@pytest.mark.parametrize(
    ("status", "result"),
    [
        (200, AttemptResult.COMPLETED),
        (404, AttemptResult.COMPLETED),
        (500, AttemptResult.FAILED),
        (504, AttemptResult.COMPLETED),
    ],
)
def test_server_errors_count_as_failures_of_the_endpoint(
    status: int, result: AttemptResult
) -> None:
    """Guard against endpoint failures that miss server errors or include timeouts."""
    state = make_state()
    run(state, Start(), grant("e1"))
    run(state, ResponseBegun(get_exchange_id(state), make_response_head(status)))
    effects = run(state, ResponseEnd(get_exchange_id(state), BodyEnd.FRAMED))
    assert find(effects, ReturnPermit) == [ReturnPermit(PermitId("permit-e1"), result)]


def test_resumable_stream_fails_over_from_a_silent_endpoint() -> None:
    """Guard against a stream that waits for events of an endpoint that has failed."""
    event_latency_target = timedelta(milliseconds=400)
    state = make_state(
        RouteKind.STREAM,
        n_attempts=2,
        is_resumable=True,
        event_latency_target=event_latency_target,
    )
    run(state, Start(), grant("e1"))
    exchange_id = get_exchange_id(state)
    run(state, ResponseBegun(exchange_id, make_response_head()))
    later = NOW + timedelta(seconds=1)
    chunk = ResponseBody(exchange_id, b"id: 1\ndata: a\n\n")
    run(state, chunk, at=later)
    assert state.next_tick_at > later + event_latency_target
    effects = run(state, Tick(), at=state.next_tick_at)
    assert find(effects, CancelEndpointExchange) == [
        CancelEndpointExchange(exchange_id)
    ]
    assert find(effects, RequestEndpoint)
    (send,) = find(run(state, grant("e2"), at=later), SendToEndpoint)
    assert send.last_event_id == "1"  # type: ignore[attr-defined]


def search(n_groups: int = 3) -> ForwardState:
    """Return a request that searches its previous turn in other groups."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    state.n_other_record_groups = n_groups
    run(state, Start())
    assert [type(e) for e in run(state, PreviousTurnMissing())] == [SearchTurn]
    return state


def list_verdicts(effects: list[object]) -> list[Verdict]:
    """Return the verdicts among the effects."""
    return [effect.verdict for effect in effects if isinstance(effect, SendVerdict)]


def test_turn_found_in_another_group_is_imported() -> None:
    """Guard against a program that can't continue the turn of another program."""
    state = search()
    history = WholeTurn(None, b"history", timedelta(seconds=60))
    (effect,) = run(state, TurnFound(history))
    assert isinstance(effect, ReserveTokens)
    assert effect.command.imported == history
    assert run(state, TurnNotFound()) == []


def begin_import() -> ForwardState:
    """Return a request that has asked for the first of the pieces `one` and `two`."""
    state = search()
    found = LongHistoryFound(GroupId("turns-1"), 6, timedelta(seconds=60))
    (read,) = run(state, found)
    assert isinstance(read, ReadOtherHistory)
    assert (read.group, read.query.offset) == ("turns-1", 0)
    return state


def test_long_history_of_another_group_is_imported_in_pieces() -> None:
    """Guard against a long chain that no other program can continue."""
    state = begin_import()
    (store,) = run(state, HistoryRead(b"one"))
    assert isinstance(store, SettleReservation)
    assert (store.command.turn.content, store.is_awaited) == (b"one", True)
    (read,) = run(state, TurnSettled())
    assert isinstance(read, ReadOtherHistory)
    assert read.query.offset == 3
    (reserve,) = run(state, HistoryRead(b"two"))
    assert isinstance(reserve, ReserveTokens)
    piece = WholeTurn(store.command.request, b"two", timedelta(seconds=60))
    assert reserve.command.imported == piece
    effects = run(state, TurnBegun(b"onetwo", 2), grant("e1"))
    assert find(effects, SendToEndpoint)[0].body == b"onetwoinput"  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    "failure",
    [
        HistoryRead(b""),
        HistoryRead(b"too long"),
        TurnNotFound(),
        RecordFailed("timeout"),
        RecordAway("away"),
    ],
)
def test_turn_whose_history_is_not_imported_has_not_run(failure: object) -> None:
    """Guard against a turn that runs with a part of its history, or hangs."""
    verdicts = list_verdicts(run(begin_import(), failure))
    assert verdicts == [Verdict.RECORD_UNAVAILABLE]


def test_imported_history_that_is_gone_is_not_searched_again() -> None:
    """Guard against a request that imports the same history until its deadline."""
    state = begin_import()
    run(state, HistoryRead(b"onetwo"))
    verdicts = list_verdicts(run(state, PreviousTurnMissing()))
    assert verdicts == [Verdict.RECORD_UNAVAILABLE]


def test_turn_is_unknown_only_if_no_group_has_it() -> None:
    """Guard against status 404 for a turn that a silent group may have."""
    state = search()
    assert run(state, TurnNotFound()) == []
    assert run(state, TurnNotFound()) == []
    assert list_verdicts(run(state, TurnNotFound())) == [Verdict.NO_PREVIOUS_TURN]
    for failure in (RecordFailed("no quorum"), RecordAway("no quorum")):
        state = search()
        assert run(state, TurnNotFound()) == []
        assert run(state, failure) == []
        verdicts = list_verdicts(run(state, TurnNotFound()))
        assert verdicts == [Verdict.RECORD_UNAVAILABLE]


def test_rejected_reservation_is_not_released() -> None:
    """Guard against a record that returns to settlements of what it never got."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    run(state, Start())
    effects = run(state, RecordAway("no quorum"))
    assert list_verdicts(effects) == [Verdict.RECORD_UNAVAILABLE]
    assert not [e for e in effects if isinstance(e, SettleReservation)]


# Guards against an endpoint whose body or event never ends, which would fill the memory
# of the entry host until the deadline of the request.
def test_endless_response_ends_the_attempt() -> None:
    """End the attempt at the limit of a collected body and of one event."""
    for kind, limit in (
        (RouteKind.NON_IDEMPOTENT, COLLECTED_BODY_LIMIT_BYTES),
        (RouteKind.STREAM, EVENT_LIMIT_BYTES),
    ):
        state = make_state(kind)
        run(state, Start(), grant("a"))
        exchange_id = get_exchange_id(state)
        run(state, ResponseBegun(exchange_id, make_response_head()))
        chunk = ResponseBody(exchange_id, b"x" * (limit // 4))
        for _ in range(4):
            assert not run(state, chunk)
        effects = run(state, chunk)
        assert [e for e in effects if isinstance(e, CancelEndpointExchange)]
        assert state.has_ended


def test_events_that_nobody_records_are_not_kept() -> None:
    """Guard against sound events without end that fill the memory of the host."""
    state = make_state(RouteKind.STREAM)
    run(state, Start(), grant("e1"))
    exchange = get_exchange_id(state)
    run(state, ResponseBegun(exchange, make_response_head()))
    n_kept_bytes = state.n_kept_bytes
    for number in range(1000):
        run(state, ResponseBody(exchange, make_events(number)))
    assert state.n_kept_bytes == n_kept_bytes


@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.NON_IDEMPOTENT])
def test_whatever_is_kept_of_a_response_is_counted(kind: RouteKind) -> None:
    """Guard against parts that the memory of the host does not bound."""
    state = make_state(kind, keeps_history=True, is_turn=True)
    run(state, Start(), TurnBegun(b"", 0), grant("e1"))
    exchange = get_exchange_id(state)
    run(state, ResponseBegun(exchange, make_response_head()))
    before = state.n_kept_bytes
    run(
        state, ResponseBody(exchange, b"data: " + b"a" * 1000 + b"\n\ndata: incomplete")
    )
    assert state.n_kept_bytes >= before + 1000 + len("data: incomplete")


def test_response_without_room_is_given_up() -> None:
    """Guard against a response that goes on although the memory is exhausted."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=2)
    run(state, Start(), grant("e1"))
    exchange = get_exchange_id(state)
    run(state, ResponseBegun(exchange, make_response_head()))
    run(state, ResponseBody(exchange, b"a" * 1000))
    effects = run(state, MemoryExhausted())
    assert find(effects, CancelEndpointExchange)
    assert find(effects, RequestEndpoint)
    assert state.n_kept_bytes == 0


@pytest.mark.parametrize("body_end", list(BodyEnd))
def test_stream_that_ends_inside_an_event_is_broken_off(body_end: BodyEnd) -> None:
    """Guard against a broken stream that is finished and recorded as a whole turn."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    exchange_id = start_stream(state)
    run(state, ResponseBody(exchange_id, b"id: 2\ndata: tw"))
    effects = run(state, ResponseEnd(exchange_id, body_end))
    assert find(effects, AbortResponse)
    assert not find(effects, WriteResponseChunk)
    assert not find(effects, FinishResponse)
    (settled,) = find(effects, SettleReservation)
    assert settled.command.turn is None  # type: ignore[attr-defined]
    assert settled.command.spent_tokens == 16  # type: ignore[attr-defined]


def test_stream_that_ends_inside_an_event_is_resumed() -> None:
    """Guard against a resumable stream that is given up, or joined in the middle."""
    state = make_state(RouteKind.STREAM, n_attempts=2, is_resumable=True, is_turn=True)
    exchange_id = start_stream(state)
    run(state, ResponseBody(exchange_id, b"id: 2\nda"))
    run(state, ResponseEnd(exchange_id, BodyEnd.CONNECTION))
    (send,) = find(run(state, grant("e2")), SendToEndpoint)
    assert send.last_event_id == "1"  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("body_end", "is_complete"), [(BodyEnd.FRAMED, True), (BodyEnd.CONNECTION, False)]
)
def test_stream_without_events_is_complete_only_if_framed(
    body_end: BodyEnd, is_complete: bool
) -> None:
    """Guard against an endpoint that failed after its head and looks successful."""
    state = make_state(RouteKind.STREAM)
    run(state, Start(), grant("e1"))
    exchange_id = get_exchange_id(state)
    run(state, ResponseBegun(exchange_id, make_response_head()))
    effects = run(state, ResponseEnd(exchange_id, body_end))
    assert bool(find(effects, FinishResponse)) is is_complete
    assert bool(find(effects, AbortResponse)) is not is_complete


def test_stream_ended_by_its_connection_after_an_event_is_complete() -> None:
    """Guard against whole streams without a length that count as broken off."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    exchange_id = start_stream(state)
    effects = run(state, ResponseEnd(exchange_id, BodyEnd.CONNECTION))
    (settled,) = find(effects, SettleReservation)
    assert settled.command.turn is not None  # type: ignore[attr-defined]


def test_bytes_without_an_event_are_no_progress() -> None:
    """Guard against a stalled stream that a byte now and then keeps alive."""
    state = make_state(RouteKind.STREAM, n_attempts=2, is_resumable=True)
    run(state, Start(), grant("e1"))
    exchange_id = get_exchange_id(state)
    run(state, ResponseBegun(exchange_id, make_response_head()))
    failover_at = state.next_tick_at
    later = NOW + timedelta(milliseconds=400)
    run(state, ResponseBody(exchange_id, b":"), at=later)
    assert state.next_tick_at == failover_at
    run(state, ResponseBody(exchange_id, b"\ndata: a\n\n"), at=later)
    assert state.next_tick_at > failover_at


@pytest.mark.parametrize("data", [b"\n\n", b":\n\n", b": alive\n\n", b"id: 3\n\n"])
def test_blank_lines_and_comments_are_no_events(data: bytes) -> None:
    """Guard against a stalled stream that looks alive, and whole once it is closed."""
    state = make_state(RouteKind.STREAM, n_attempts=2, is_resumable=True)
    run(state, Start(), grant("e1"))
    exchange_id = get_exchange_id(state)
    run(state, ResponseBegun(exchange_id, make_response_head()))
    failover_at = state.next_tick_at
    later = NOW + timedelta(milliseconds=400)
    assert not find(
        run(state, ResponseBody(exchange_id, data), at=later), ReportFirstChunk
    )
    assert state.next_tick_at == failover_at
    effects = run(state, ResponseEnd(exchange_id, BodyEnd.CONNECTION), at=later)
    assert find(effects, RequestEndpoint)
    assert not find(effects, FinishResponse)


def test_stalled_stream_that_must_not_be_repeated_ends_with_its_route() -> None:
    """Guard against a stream that a byte now and then keeps open without end."""
    state = make_state(RouteKind.STREAM, keeps_history=True, is_turn=True)
    exchange_id = start_stream(state)
    for number in range(4):
        later = NOW + number * TIMEOUT / 4
        assert not find(run(state, ResponseBody(exchange_id, b":"), at=later), object)
        assert not run(state, Tick(), at=later)
    effects = run(state, Tick(), at=NOW + TIMEOUT)
    assert find(effects, AbortResponse)
    assert not find(effects, FinishResponse)


def test_unproven_refusal_has_an_unknown_outcome() -> None:
    """Guard against a promise to the caller that the endpoint has not made."""
    state = make_state()
    run(state, Start(), grant("e1"))
    head = make_response_head(503, is_unproven_refusal=True)
    effects = run(state, ResponseBegun(get_exchange_id(state), head))
    (verdict,) = find(effects, SendVerdict)
    assert verdict.verdict is Verdict.OUTCOME_UNKNOWN  # type: ignore[attr-defined]


def test_unproven_refusal_of_an_idempotent_request_is_retried() -> None:
    """Guard against callers that get a failure although another endpoint is free."""
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=2)
    run(state, Start(), grant("e1"))
    head = make_response_head(429, is_unproven_refusal=True)
    effects = run(state, ResponseBegun(get_exchange_id(state), head))
    assert find(effects, RequestEndpoint)


@pytest.mark.parametrize("is_refusal", [False, True])
def test_leaving_endpoint_is_reported_before_its_permit_is_returned(
    is_refusal: bool,
) -> None:
    """Guard against requests at an endpoint that says in its answers that it leaves."""
    state = make_state()
    run(state, Start(), grant("e1"))
    head = EndpointResponseHead(503, (), True, is_refusal, False, False, True)
    effects = run(state, ResponseBegun(get_exchange_id(state), head))
    assert effects[0] == ReportLeaving(PermitId("permit-e1"))


def test_unexpected_error_returns_the_permit_and_promises_nothing() -> None:
    """Guard against a slot that is never free again, and a false "not run"."""
    state = make_state()
    run(state, Start(), grant("e1"))
    effects = end_after_error(state, NOW)
    assert find(effects, ReturnPermit)
    (verdict,) = find(effects, SendVerdict)
    assert verdict.verdict is Verdict.OUTCOME_UNKNOWN  # type: ignore[attr-defined]
    assert end_after_error(state, NOW) == []


def test_rate_limit_ends_only_with_an_answer_of_its_endpoint() -> None:
    """Guard against a limit that another server or an unreadable header ends."""
    named = replace(make_response_head(), requests_per_s=4.5)
    unreadable = replace(make_response_head(), is_rate_limit_known=False)
    misdirected = make_response_head(421, False, is_refusal=True, is_misdirected=True)
    permit = PermitId("permit-e1")
    for head, is_limited, expected in (
        (named, False, [ReportRateLimit(permit, 4.5)]),
        (make_response_head(), True, [ReportRateLimit(permit, None)]),
        (make_response_head(), False, []),
        (unreadable, True, []),
        (make_response_head(is_signed=False), True, []),
        (misdirected, True, []),
    ):
        state = make_state()
        granted = replace(grant("e1"), is_rate_limited=is_limited)
        run(state, Start(), granted)
        assert state.attempt is not None
        begun = ResponseBegun(state.attempt.exchange_id, head)
        effects = run(state, begun)
        reports = [item for item in effects if isinstance(item, ReportRateLimit)]
        assert reports == expected


def test_quarantined_request_is_not_run_unless_it_may_have_run_before() -> None:
    """Guard against "not run" for content that an endpoint ran and crashed by."""
    refused = EndpointRefused(HOLDER, "crashes", is_quarantined=True)
    effects = run(make_state(), Start(), refused)
    assert SendVerdict(Verdict.QUARANTINED, "crashes") in effects
    state = make_state(RouteKind.IDEMPOTENT, n_attempts=3)
    run(state, Start(), grant("e1"))
    assert state.attempt is not None
    lost = ExchangeFailed(state.attempt.exchange_id, True, "", is_connection_lost=True)
    effects = run(state, lost)
    assert ReturnPermit(PermitId("permit-e1"), AttemptResult.CONNECTION_LOST) in effects
    effects = run(state, refused)
    assert SendVerdict(Verdict.OUTCOME_UNKNOWN, "crashes") in effects


@pytest.mark.parametrize(("n_events", "n_reports"), [(2, 0), (3, 1), (5, 1), (6, 1)])
def test_speed_of_a_short_stream_is_reported(n_events: int, n_reports: int) -> None:
    """Guard against engines whose streams are too short to tell that they are slow."""
    state = make_state(RouteKind.STREAM)
    run(state, Start(), grant("e1"))
    exchange_id = get_exchange_id(state)
    effects = run(state, ResponseBegun(exchange_id, make_response_head()))
    for number in range(n_events):
        at = NOW + number * timedelta(milliseconds=30)
        body = ResponseBody(exchange_id, f"id: {number}\ndata: x\n\n".encode())
        effects.extend(handle(body, state, at))
    end = ResponseEnd(exchange_id, BodyEnd.FRAMED)
    effects.extend(handle(end, state, NOW + timedelta(milliseconds=300)))
    reports = find(effects, ReportEventLatency)
    expected = ReportEventLatency(PermitId("permit-e1"), timedelta(milliseconds=30))
    assert reports == [expected] * n_reports


@given(st.lists(st.binary(max_size=30), max_size=6), st.sampled_from(["", "9" * 5000]))
@example([b"id: " + b"9" * 5000 + b"\ndata: a\n\n"], "7")
@example([b"id: 7\x00\ndata\ndata:\n\n", b"\n\n\n\n"], "9" * 5000)
def test_odd_events_cost_their_request_only(
    pieces: list[bytes], last_event_id: str
) -> None:
    """Guard against bytes of an endpoint, or an id of a caller, that raise an error."""
    state = make_state(
        RouteKind.STREAM,
        n_attempts=2,
        keeps_history=True,
        is_resumable=True,
        is_turn=True,
        last_event_id=last_event_id,
    )
    run(state, Start(), TurnBegun(b"", 0), grant("e1"))
    exchange_id = get_exchange_id(state)
    run(state, ResponseBegun(exchange_id, make_response_head()))
    for piece in pieces:
        run(state, ResponseBody(exchange_id, piece))
    run(state, ResponseEnd(exchange_id, BodyEnd.FRAMED))
