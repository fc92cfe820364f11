"""Decide how one request is sent, repeated, answered and recorded."""

from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.connection.http.messages import (
    CallerLeft,
    ExchangeFailed,
    ResponseBody,
    ResponseEnd,
)
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.messages import (
    AttemptResult,
    EndpointGranted,
    EndpointRefused,
)
from oleanderhitch.program.turns.messages import (
    BeginTurn,
    BudgetSpent,
    PreviousTurnMissing,
    SettleTurn,
    TurnBegun,
    TurnClosed,
    TurnSettled,
    WholeTurn,
)
from oleanderhitch.request.forwarding.messages import (
    AbortAnswer,
    Answer,
    AnswerBegun,
    AskEndpoint,
    Begin,
    CancelSend,
    FinishAnswer,
    GiveVerdict,
    LogDecision,
    NoteFirstPiece,
    NotePace,
    RecordFailed,
    Release,
    Reserve,
    Send,
    Settle,
    StartAnswer,
    Withdraw,
    WritePiece,
)
from oleanderhitch.request.forwarding.state import Attempt, ForwardState
from oleanderhitch.request.forwarding.states import Phase, Verdict
from oleanderhitch.version.routes.states import RouteKind

# Endpoints that say that they did not run a request leave its attempts whole;
# this bounds how many are asked for one request.
N_SENDS_LIMIT = 6
# The rest of a request's time is kept for the work itself; a caller that is
# refused earlier can still try elsewhere.
QUEUE_SHARE = 0.5
# An endpoint that says nothing for this many times the objective, or the longest
# pause that callers accept, is probably gone or slowed down.
SILENCE_RATIO = 3
PAUSE_RATIO = 2
# Shorter silences are those of a queue.
SILENCE_MIN = timedelta(milliseconds=300)
# Answers from this status on say that the endpoint itself failed, except the one
# that says that the time of the request was over.
SERVER_ERROR = 500
OUT_OF_TIME = 504
# Events that are averaged into one observation of an endpoint's pace.
N_EVENTS_PER_PACE = 4
# Results that leave the endpoint itself a choice: only a kept connection had ended,
# or the answer was slow.
MAY_BE_WELL = (AttemptResult.STALE_CONNECTION, AttemptResult.SILENT)
# An endpoint that gets less time than this could not finish anything.
TIME_LEFT_MIN = timedelta(milliseconds=10)


@singledispatch
def handle(message: object, state: ForwardState, now: datetime) -> list[object]:
    """Return the effects of a message."""
    raise TypeError(f"request has no message {type(message).__name__}")


@handle.register
def _(message: Begin, state: ForwardState, now: datetime) -> list[object]:
    turn = state.request.turn
    if turn is None:
        return _ask_endpoint(state, now)
    shape = state.request.shape
    command = BeginTurn(
        state.request.request,
        turn.program,
        turn.budget_tokens,
        0 if shape is None else shape.n_output_tokens,
        turn.previous if state.route.keeps_history else None,
        now,
    )
    return [Reserve(command, state.due_at)]


@handle.register
def _(message: TurnBegun, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is not Phase.RESERVING:
        return []
    state.history = message.history
    return _ask_endpoint(state, now)


@handle.register
def _(message: PreviousTurnMissing, state: ForwardState, now: datetime) -> list[object]:
    return _end(state, Verdict.NO_PREVIOUS_TURN, "the turn to continue is unknown")


@handle.register
def _(message: BudgetSpent, state: ForwardState, now: datetime) -> list[object]:
    detail = f"spent {message.spent_tokens}, reserved {message.reserved_tokens}"
    return _end(state, Verdict.BUDGET_SPENT, detail)


@handle.register
def _(message: TurnClosed, state: ForwardState, now: datetime) -> list[object]:
    return _end(state, Verdict.RECORD_UNAVAILABLE, "the turn was given up before")


@handle.register
def _(message: RecordFailed, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is Phase.RESERVING:
        return [
            *_settle_unspent(state, now),
            *_end(state, Verdict.RECORD_UNAVAILABLE, message.reason),
        ]
    if state.phase is Phase.RECORDING:
        # Without its record the turn does not exist, so it must not look whole.
        return _abort(state, f"turn not recorded: {message.reason}")
    return []


@handle.register
def _(message: TurnSettled, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is not Phase.RECORDING:
        return []
    state.phase = Phase.ENDED
    return [FinishAnswer(), _log_end(state, "answered", now)]


@handle.register
def _(message: EndpointGranted, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is not Phase.WAITING or state.attempt is not None:
        return [Release(message.permit, AttemptResult.CANCELLED)]
    state.n_sends += 1
    exchange = state.exchange_base + state.n_sends
    endpoint = message.endpoint
    state.attempt = Attempt(exchange, message.permit, endpoint.endpoint, now)
    state.repeat_at = _find_repeat_time(state, now)
    state.phase = Phase.SENT
    fields = (
        ("endpoint", endpoint.endpoint),
        ("address", endpoint.address),
        ("send", state.n_sends),
        ("waited_ms", _to_ms(now - state.started_at)),
    )
    body = state.history + state.request.body
    time_left = max(TIME_LEFT_MIN, state.due_at - now)
    return [
        LogDecision("sent to endpoint", fields),
        Send(exchange, endpoint, body, time_left, state.last_event),
    ]


@handle.register
def _(message: EndpointRefused, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is not Phase.WAITING:
        return []
    if state.has_started_answer:
        return [*_settle_spent(state, now), *_abort(state, message.reason)]
    if state.n_runs:
        return _end(state, Verdict.OUTCOME_UNKNOWN, message.reason)
    verdict = Verdict.ALL_REFUSED if state.n_sends else Verdict.NO_ENDPOINT
    return [*_settle_unspent(state, now), *_end(state, verdict, message.reason)]


@handle.register
def _(message: AnswerBegun, state: ForwardState, now: datetime) -> list[object]:
    attempt = _find_attempt(message.exchange, state)
    if attempt is None:
        return []
    head = message.head
    if head.is_refusal:
        result = AttemptResult.REFUSED
        if head.is_misdirected:
            result = AttemptResult.MISDIRECTED
        return _try_elsewhere(state, result, f"endpoint answered {head.status}", now)
    state.n_runs += 1
    if head.is_success and not head.is_signed:
        return _fail_attempt(state, "answer without a signature", now)
    attempt.head = head
    state.repeat_at = _find_repeat_time(state, now)
    if state.has_started_answer and not head.is_success:
        return _fail_attempt(state, f"endpoint answered {head.status}", now)
    if head.is_success and state.route.kind is RouteKind.STREAM:
        state.phase = Phase.RELAYING
        if state.has_started_answer:
            return []
        state.has_started_answer = True
        return [StartAnswer(head)]
    state.phase = Phase.COLLECTING
    return []


@handle.register
def _(message: ResponseBody, state: ForwardState, now: datetime) -> list[object]:
    attempt = _find_attempt(message.exchange, state)
    if attempt is None:
        return []
    if state.phase is Phase.COLLECTING:
        attempt.body.append(message.data)
        return []
    state.repeat_at = _find_repeat_time(state, now)
    events = state.splitter.feed(message.data)
    if not events:
        return []
    effects: list[object] = []
    if not state.n_events:
        effects.append(NoteFirstPiece(attempt.permit))
    for event in events:
        if event.data is not None:
            state.n_events += 1
            state.output.append(event.data + b"\n")
        state.last_event = event.identifier or state.last_event
    effects.append(WritePiece(b"".join(event.raw for event in events)))
    effects.extend(_observe_pace(attempt, len(events), now))
    return effects


@handle.register
def _(message: ResponseEnd, state: ForwardState, now: datetime) -> list[object]:
    attempt = _find_attempt(message.exchange, state)
    if attempt is None or attempt.head is None:
        return []
    state.attempt = None
    result = AttemptResult.COMPLETED
    if attempt.head.status >= SERVER_ERROR and attempt.head.status != OUT_OF_TIME:
        result = AttemptResult.FAILED
    effects: list[object] = [Release(attempt.permit, result)]
    if state.phase is Phase.COLLECTING:
        state.phase = Phase.ENDED
        return [
            *effects,
            *_settle_spent(state, now),
            Answer(attempt.head, b"".join(attempt.body)),
            _log_end(state, "answered", now, status=attempt.head.status),
        ]
    if state.splitter.rest:
        effects.append(WritePiece(state.splitter.rest))
    if state.request.turn is not None and state.route.keeps_history:
        state.phase = Phase.RECORDING
        return [*effects, _keep_turn(state, now)]
    state.phase = Phase.ENDED
    return [
        *effects,
        FinishAnswer(),
        *_settle_spent(state, now),
        _log_end(state, "answered", now),
    ]


@handle.register
def _(message: ExchangeFailed, state: ForwardState, now: datetime) -> list[object]:
    attempt = _find_attempt(message.exchange, state)
    if attempt is None:
        return []
    if not message.was_sent:
        result = AttemptResult.NOT_CONNECTED
        if message.was_kept_connection:
            result = AttemptResult.STALE_CONNECTION
        return _try_elsewhere(state, result, message.reason, now)
    if attempt.head is None:
        state.n_runs += 1
    return _fail_attempt(state, message.reason, now)


@handle.register
def _(message: CallerLeft, state: ForwardState, now: datetime) -> list[object]:
    state.left = message
    effects = _drop_work(state)
    if state.phase is not Phase.RECORDING:
        effects.extend(_settle_spent(state, now))
    state.phase = Phase.ENDED
    effects.append(AbortAnswer())
    effects.append(_log_end(state, "caller left", now, reason=message.reason))
    return effects


@handle.register
def _(message: Tick, state: ForwardState, now: datetime) -> list[object]:
    if state.has_ended:
        return []
    if now < state.due_at:
        return _leave_silent_endpoint(state, now)
    was_sent = state.n_runs > 0 or state.attempt is not None
    phase = state.phase
    effects = _drop_work(state)
    if phase is not Phase.RECORDING:
        effects.extend(_settle_spent(state, now))
    if state.has_started_answer:
        return [*effects, *_abort(state, f"timed out while {phase.value}")]
    if was_sent:
        return [*effects, *_end(state, Verdict.TIMED_OUT, f"while {phase.value}")]
    verdict = Verdict.NO_ENDPOINT
    if phase is Phase.RESERVING:
        verdict = Verdict.RECORD_UNAVAILABLE
    return [*effects, *_end(state, verdict, "no time is left")]


def _find_repeat_time(state: ForwardState, now: datetime) -> datetime | None:
    """Return when the work goes elsewhere if its endpoint stays silent, if ever."""
    attempt = state.attempt
    route = state.route
    if attempt is None or not route.may_repeat:
        return None
    n_runs = state.n_runs + (attempt.head is None)
    # The body of an answer that is collected whole follows its head at once.
    is_whole_answer = attempt.head is not None and route.kind is not RouteKind.STREAM
    if n_runs >= route.n_attempts or is_whole_answer:
        return None
    pause = (route.pause_limit or timedelta(0)) * PAUSE_RATIO
    return now + max(route.objective * SILENCE_RATIO, pause, SILENCE_MIN)


def _leave_silent_endpoint(state: ForwardState, now: datetime) -> list[object]:
    """Go on elsewhere with work that may repeat."""
    attempt = state.attempt
    if state.repeat_at is None or now < state.repeat_at or attempt is None:
        return []
    if attempt.head is None:
        # It may run there all the same, which counts as one of its attempts.
        state.n_runs += 1
    return _fail_attempt(state, "the endpoint is silent", now, AttemptResult.SILENT)


def _observe_pace(attempt: Attempt, n_events: int, now: datetime) -> list[object]:
    """Report the mean pause between events, some events at a time."""
    if attempt.pace_since is None:
        attempt.pace_since = now
        return []
    attempt.n_events_paced += n_events
    if attempt.n_events_paced < N_EVENTS_PER_PACE:
        return []
    pause = (now - attempt.pace_since) / attempt.n_events_paced
    attempt.pace_since = now
    attempt.n_events_paced = 0
    return [NotePace(attempt.permit, pause)]


def _ask_endpoint(state: ForwardState, now: datetime) -> list[object]:
    state.phase = Phase.WAITING
    due_at = now + (state.due_at - now) * QUEUE_SHARE
    route = state.route
    return [
        AskEndpoint(state.service, route.rank, state.tried, route.may_repeat, due_at)
    ]


def _find_attempt(exchange: int, state: ForwardState) -> Attempt | None:
    attempt = state.attempt
    if attempt is None or attempt.exchange != exchange:
        return None
    return attempt


def _end_attempt(state: ForwardState, result: AttemptResult) -> list[object]:
    attempt = state.attempt
    if attempt is None:
        return []
    state.attempt = None
    state.repeat_at = None
    if result not in MAY_BE_WELL:
        state.tried = (*state.tried, attempt.endpoint)
    return [CancelSend(attempt.exchange), Release(attempt.permit, result)]


def _drop_work(state: ForwardState) -> list[object]:
    if state.phase is Phase.WAITING:
        return [Withdraw()]
    return _end_attempt(state, AttemptResult.CANCELLED)


def _try_elsewhere(
    state: ForwardState, result: AttemptResult, reason: str, now: datetime
) -> list[object]:
    """Send a request that an endpoint did not run to another one."""
    attempt = state.attempt
    endpoint = None if attempt is None else attempt.endpoint
    fields = (("endpoint", endpoint), ("result", result.value), ("reason", reason))
    effects = [
        LogDecision("endpoint did not run it", fields),
        *_end_attempt(state, result),
    ]
    if state.n_sends < N_SENDS_LIMIT:
        return [*effects, *_ask_endpoint(state, now)]
    if state.has_started_answer:
        return [*effects, *_settle_spent(state, now), *_abort(state, reason)]
    if state.n_runs:
        return [*effects, *_end(state, Verdict.OUTCOME_UNKNOWN, reason)]
    return [
        *effects,
        *_settle_unspent(state, now),
        *_end(state, Verdict.ALL_REFUSED, reason),
    ]


def _fail_attempt(
    state: ForwardState,
    reason: str,
    now: datetime,
    result: AttemptResult = AttemptResult.FAILED,
) -> list[object]:
    """Repeat work that may have run where that is allowed, or say it failed."""
    attempt = state.attempt
    endpoint = None if attempt is None else attempt.endpoint
    fields = (("endpoint", endpoint), ("reason", reason), ("n_events", state.n_events))
    effects: list[object] = [
        LogDecision("endpoint failed", fields),
        *_end_attempt(state, result),
    ]
    may_repeat = state.route.may_repeat and state.n_runs < state.route.n_attempts
    if may_repeat and state.n_sends < N_SENDS_LIMIT:
        state.splitter = type(state.splitter)()
        return [*effects, *_ask_endpoint(state, now)]
    effects.extend(_settle_spent(state, now))
    if state.has_started_answer:
        return [*effects, *_abort(state, reason)]
    return [*effects, *_end(state, Verdict.OUTCOME_UNKNOWN, reason)]


def _keep_turn(state: ForwardState, now: datetime) -> Settle:
    turn = state.request.turn
    assert turn is not None
    whole = WholeTurn(
        turn.previous,
        state.request.body + b"".join(state.output),
        state.route.retention,
    )
    request = state.request.request
    command = SettleTurn(request, turn.program, state.spent_tokens, whole, now)
    return Settle(command, True)


def _settle_spent(state: ForwardState, now: datetime) -> list[object]:
    return _settle(state, state.spent_tokens, now)


def _settle_unspent(state: ForwardState, now: datetime) -> list[object]:
    return _settle(state, 0, now)


def _settle(state: ForwardState, spent_tokens: int, now: datetime) -> list[object]:
    turn = state.request.turn
    if turn is None:
        return []
    request = state.request.request
    command = SettleTurn(request, turn.program, spent_tokens, None, now)
    return [Settle(command, False)]


def _end(state: ForwardState, verdict: Verdict, detail: str) -> list[object]:
    if state.has_ended:
        return []
    state.phase = Phase.ENDED
    fields = (
        ("verdict", verdict.value),
        ("detail", detail),
        ("n_sends", state.n_sends),
        ("n_runs", state.n_runs),
    )
    return [GiveVerdict(verdict, detail), LogDecision("refused", fields)]


def _abort(state: ForwardState, reason: str) -> list[object]:
    state.phase = Phase.ENDED
    fields = (("reason", reason), ("n_events", state.n_events))
    return [AbortAnswer(), LogDecision("answer broken off", fields)]


def _log_end(
    state: ForwardState, event: str, now: datetime, **more: object
) -> LogDecision:
    fields = (
        ("took_ms", _to_ms(now - state.started_at)),
        ("n_sends", state.n_sends),
        ("n_events", state.n_events),
        *more.items(),
    )
    return LogDecision(event, fields)


def _to_ms(duration: timedelta) -> int:
    return round(duration / timedelta(milliseconds=1))
