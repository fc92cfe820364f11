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
    TurnBegun,
    TurnClosed,
    TurnSettled,
)
from oleanderhitch.request.forwarding.attempts import (
    ask_endpoint,
    drop_work,
    fail_attempt,
    find_attempt,
    find_repeat_time,
    leave_silent_endpoint,
    observe_pace,
    try_elsewhere,
)
from oleanderhitch.request.forwarding.endings import (
    abort,
    end,
    keep_turn,
    log_end,
    settle_spent,
    settle_unspent,
    to_ms,
)
from oleanderhitch.request.forwarding.messages import (
    AbortAnswer,
    Answer,
    AnswerBegun,
    Begin,
    FinishAnswer,
    LogDecision,
    NoteFirstPiece,
    RecordFailed,
    Release,
    Reserve,
    Send,
    StartAnswer,
    WritePiece,
)
from oleanderhitch.request.forwarding.state import Attempt, ForwardState
from oleanderhitch.request.forwarding.states import Phase, Verdict
from oleanderhitch.version.routes.states import RouteKind

# Answers from this status on say that the endpoint itself failed, except the one
# that says that the time of the request was over.
SERVER_ERROR = 500
OUT_OF_TIME = 504
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
        return ask_endpoint(state, now)
    shape = state.request.shape
    command = BeginTurn(
        state.request.request,
        turn.program,
        turn.budget_tokens,
        0 if shape is None else shape.max_output_tokens,
        turn.previous if state.route.keeps_history else None,
        now,
    )
    return [Reserve(command, state.due_at)]


@handle.register
def _(message: TurnBegun, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is not Phase.RESERVING:
        return []
    state.history = message.history
    return ask_endpoint(state, now)


@handle.register
def _(message: PreviousTurnMissing, state: ForwardState, now: datetime) -> list[object]:
    return end(state, Verdict.NO_PREVIOUS_TURN, "the turn to continue is unknown")


@handle.register
def _(message: BudgetSpent, state: ForwardState, now: datetime) -> list[object]:
    detail = f"spent {message.spent_tokens}, reserved {message.reserved_tokens}"
    return end(state, Verdict.BUDGET_SPENT, detail)


@handle.register
def _(message: TurnClosed, state: ForwardState, now: datetime) -> list[object]:
    return end(state, Verdict.RECORD_UNAVAILABLE, "the turn was given up before")


@handle.register
def _(message: RecordFailed, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is Phase.RESERVING:
        return [
            *settle_unspent(state, now),
            *end(state, Verdict.RECORD_UNAVAILABLE, message.reason),
        ]
    if state.phase is Phase.RECORDING:
        # Without its record the turn does not exist, so it must not look whole.
        return abort(state, f"turn not recorded: {message.reason}")
    return []


@handle.register
def _(message: TurnSettled, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is not Phase.RECORDING:
        return []
    state.phase = Phase.ENDED
    return [FinishAnswer(), log_end(state, "answered", now)]


@handle.register
def _(message: EndpointGranted, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is not Phase.WAITING or state.attempt is not None:
        return [Release(message.permit, AttemptResult.CANCELLED)]
    state.n_sends += 1
    exchange = state.exchange_base + state.n_sends
    endpoint = message.endpoint
    state.attempt = Attempt(exchange, message.permit, endpoint.endpoint, now)
    state.repeat_at = find_repeat_time(state, now)
    state.phase = Phase.SENT
    fields = (
        ("endpoint", endpoint.endpoint),
        ("address", endpoint.address),
        ("send", state.n_sends),
        ("waited_ms", to_ms(now - state.started_at)),
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
        return [*settle_spent(state, now), *abort(state, message.reason)]
    if state.n_runs:
        return end(state, Verdict.OUTCOME_UNKNOWN, message.reason)
    verdict = Verdict.ALL_REFUSED if state.n_sends else Verdict.NO_ENDPOINT
    return [*settle_unspent(state, now), *end(state, verdict, message.reason)]


@handle.register
def _(message: AnswerBegun, state: ForwardState, now: datetime) -> list[object]:
    attempt = find_attempt(message.exchange, state)
    if attempt is None:
        return []
    head = message.head
    if head.is_refusal:
        result = AttemptResult.REFUSED
        if head.is_misdirected:
            result = AttemptResult.MISDIRECTED
        return try_elsewhere(state, result, f"endpoint answered {head.status}", now)
    state.n_runs += 1
    if head.is_success and not head.is_signed:
        return fail_attempt(state, "answer without a signature", now)
    attempt.head = head
    state.repeat_at = find_repeat_time(state, now)
    if state.has_started_answer and not head.is_success:
        return fail_attempt(state, f"endpoint answered {head.status}", now)
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
    attempt = find_attempt(message.exchange, state)
    if attempt is None:
        return []
    if state.phase is Phase.COLLECTING:
        attempt.body.append(message.data)
        return []
    state.repeat_at = find_repeat_time(state, now)
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
    effects.extend(observe_pace(attempt, len(events), now))
    return effects


@handle.register
def _(message: ResponseEnd, state: ForwardState, now: datetime) -> list[object]:
    attempt = find_attempt(message.exchange, state)
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
            *settle_spent(state, now),
            Answer(attempt.head, b"".join(attempt.body)),
            log_end(state, "answered", now, status=attempt.head.status),
        ]
    if state.splitter.rest:
        effects.append(WritePiece(state.splitter.rest))
    if state.request.turn is not None and state.route.keeps_history:
        state.phase = Phase.RECORDING
        return [*effects, keep_turn(state, now)]
    state.phase = Phase.ENDED
    return [
        *effects,
        FinishAnswer(),
        *settle_spent(state, now),
        log_end(state, "answered", now),
    ]


@handle.register
def _(message: ExchangeFailed, state: ForwardState, now: datetime) -> list[object]:
    attempt = find_attempt(message.exchange, state)
    if attempt is None:
        return []
    if not message.was_sent:
        result = AttemptResult.NOT_CONNECTED
        if message.was_kept_connection:
            result = AttemptResult.STALE_CONNECTION
        return try_elsewhere(state, result, message.reason, now)
    if attempt.head is None:
        state.n_runs += 1
    return fail_attempt(state, message.reason, now)


@handle.register
def _(message: CallerLeft, state: ForwardState, now: datetime) -> list[object]:
    state.left = message
    effects = drop_work(state)
    if state.phase is not Phase.RECORDING:
        effects.extend(settle_spent(state, now))
    state.phase = Phase.ENDED
    effects.append(AbortAnswer())
    effects.append(log_end(state, "caller left", now, reason=message.reason))
    return effects


@handle.register
def _(message: Tick, state: ForwardState, now: datetime) -> list[object]:
    if state.has_ended:
        return []
    if now < state.due_at:
        return leave_silent_endpoint(state, now)
    was_sent = state.n_runs > 0 or state.attempt is not None
    phase = state.phase
    effects = drop_work(state)
    if phase is not Phase.RECORDING:
        effects.extend(settle_spent(state, now))
    if state.has_started_answer:
        return [*effects, *abort(state, f"timed out while {phase.value}")]
    if was_sent:
        return [*effects, *end(state, Verdict.TIMED_OUT, f"while {phase.value}")]
    verdict = Verdict.NO_ENDPOINT
    if phase is Phase.RESERVING:
        verdict = Verdict.RECORD_UNAVAILABLE
    return [*effects, *end(state, verdict, "no time is left")]
