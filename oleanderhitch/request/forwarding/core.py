"""Decide how a request is sent, retried, responded to and recorded."""

from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.connection.http.messages import (
    BodyEnd,
    CallerDisconnected,
    ExchangeFailed,
    HostStopping,
    ResponseBody,
    ResponseEnd,
)
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.messages import (
    AttemptResult,
    EndpointGranted,
    EndpointRefused,
)
from oleanderhitch.process.quotas.messages import CreditGranted, CreditRefused
from oleanderhitch.program.turns.messages import (
    BudgetSpent,
    HistoryRead,
    PreviousTurnMissing,
    TurnBegun,
    TurnClosed,
    TurnFound,
    TurnNotFound,
    TurnSettled,
)
from oleanderhitch.request.forwarding.attempts import (
    cancel_work,
    fail_over_if_unresponsive,
    find_attempt,
    find_failover_time,
    handle_failed_attempt,
    handle_unexecuted_attempt,
    report_event_latency,
    report_short_stream,
    request_endpoint,
)
from oleanderhitch.request.forwarding.crediting import (
    end_renewal,
    end_without_credit,
    lacks_credit,
    renew_credit,
    request_credit,
)
from oleanderhitch.request.forwarding.delimiting import StreamEnd, judge_stream_end
from oleanderhitch.request.forwarding.importing import (
    begin_import,
    end_import,
    read_next_piece,
    store_piece,
)
from oleanderhitch.request.forwarding.messages import (
    AbortResponse,
    EndpointResponseHead,
    FinishResponse,
    GrantBarred,
    HistoryMemoryExhausted,
    LogDecision,
    LongHistoryFound,
    MemoryExhausted,
    RecordAway,
    RecordFailed,
    ReportFirstChunk,
    ReportLeaving,
    ReportRateLimit,
    ResponseBegun,
    ReturnPermit,
    SendResponse,
    SendToEndpoint,
    Start,
    StartResponse,
    WriteResponseChunk,
)
from oleanderhitch.request.forwarding.outcomes import (
    abort_response,
    end_with_verdict,
    make_end_log,
    release_reservation,
    settle_completed_turn,
    settle_spent_tokens,
    to_ms,
)
from oleanderhitch.request.forwarding.reservation import (
    add_history,
    record_fruitless_search,
    reserve_tokens,
    search_previous_turn,
)
from oleanderhitch.request.forwarding.resumption import EventPosition, find_position
from oleanderhitch.request.forwarding.sse import StreamEvent
from oleanderhitch.request.forwarding.state import Attempt, ForwardState
from oleanderhitch.request.forwarding.states import Phase, Verdict
from oleanderhitch.version.routes.states import RouteKind

# Responses from this status on count as failures of the endpoint, except the one for a
# request that ran out of time.
FIRST_SERVER_ERROR_STATUS = 500
GATEWAY_TIMEOUT_STATUS = 504
# An endpoint that fails may send bytes without end. A body is collected as a whole, and
# an event until its last line; both are in the memory of the entry host.
COLLECTED_BODY_LIMIT_BYTES = 16 * 1024 * 1024
EVENT_LIMIT_BYTES = 1024 * 1024
# Lower bound of the time limit sent to an endpoint; no work completes in less.
ENDPOINT_TIMEOUT_MIN = timedelta(milliseconds=10)
BARRED_REASONS = {
    Verdict.UNAUTHORIZED: "the key was removed or moved while the request waited",
    Verdict.NOT_CURRENT: "the lease on the configuration ended while it waited",
}


@singledispatch
def handle(message: object, state: ForwardState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(f"request does not support message type {type(message).__name__}")


@handle.register
def _(message: Start, state: ForwardState, now: datetime) -> list[object]:
    if state.needs_credit:
        return request_credit(state, now)
    return _begin(state, now)


def _begin(state: ForwardState, now: datetime) -> list[object]:
    """Begin the work on a request that may be sent."""
    if state.request.turn is None:
        return request_endpoint(state, now)
    effects = reserve_tokens(state, now)
    if state.resume_after is not None:
        fields = (("after", state.resume_after),)
        effects.append(LogDecision("resumed turn is generated again", fields))
    return effects


@handle.register
def _(message: CreditGranted, state: ForwardState, now: datetime) -> list[object]:
    if message.holder != state.holder:
        return []
    state.credit_expires_at = message.expires_at
    if state.phase is Phase.ADMITTING:
        return _begin(state, now)
    if state.phase is Phase.RENEWING:
        granted, state.granted_endpoint = state.granted_endpoint, None
        assert granted is not None
        if lacks_credit(state, now):
            # This host was suspended before it handled the message.
            return renew_credit(granted, state, now)
        return _send(granted, state, now)
    return []


@handle.register
def _(message: CreditRefused, state: ForwardState, now: datetime) -> list[object]:
    if message.holder != state.holder:
        return []
    if state.phase is Phase.ADMITTING:
        return end_without_credit(message, state)
    if state.phase is Phase.RENEWING:
        return end_renewal(message, state, now)
    return []


@handle.register
def _(message: TurnBegun, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is not Phase.RESERVING:
        return []
    return add_history(message.history, message.n_bytes_left, state, now)


@handle.register
def _(message: HistoryRead, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is Phase.IMPORTING:
        return store_piece(message.data, state, now)
    if state.phase is not Phase.READING:
        return []
    n_bytes_left = state.n_history_bytes_left - len(message.data)
    if not message.data or n_bytes_left < 0:
        return _end_unread(state, "the history has another length", now)
    return add_history(message.data, n_bytes_left, state, now)


@handle.register
def _(message: LongHistoryFound, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is not Phase.SEARCHING:
        return []
    return begin_import(message, state)


def _end_unread(state: ForwardState, reason: str, now: datetime) -> list[object]:
    return [
        *release_reservation(state, now),
        *end_with_verdict(state, Verdict.RECORD_UNAVAILABLE, reason),
    ]


@handle.register
def _(message: PreviousTurnMissing, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is not Phase.RESERVING:
        return []
    return search_previous_turn(state)


@handle.register
def _(message: TurnFound, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is not Phase.SEARCHING:
        return []
    return reserve_tokens(state, now, message.history)


@handle.register
def _(message: TurnNotFound, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is Phase.READING:
        return _end_unread(state, "the history is gone", now)
    if state.phase is Phase.IMPORTING:
        return end_import(state, "the history to import is gone")
    return record_fruitless_search(state, "")


@handle.register
def _(message: BudgetSpent, state: ForwardState, now: datetime) -> list[object]:
    detail = f"spent {message.spent_tokens}, reserved {message.reserved_tokens}"
    return end_with_verdict(state, Verdict.BUDGET_SPENT, detail)


@handle.register
def _(message: TurnClosed, state: ForwardState, now: datetime) -> list[object]:
    return end_with_verdict(
        state, Verdict.RECORD_UNAVAILABLE, "the turn was given up before"
    )


@handle.register
def _(message: RecordFailed, state: ForwardState, now: datetime) -> list[object]:
    if state.phase in (Phase.RESERVING, Phase.READING):
        return _end_unread(state, message.reason, now)
    if state.phase is Phase.SEARCHING:
        return record_fruitless_search(state, message.reason)
    if state.phase is Phase.IMPORTING:
        return end_import(state, message.reason)
    if state.phase is Phase.RECORDING:
        # An unrecorded turn cannot be continued, so it must not appear complete.
        return abort_response(state, f"turn not recorded: {message.reason}")
    return []


@handle.register
def _(message: RecordAway, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is Phase.SEARCHING:
        return record_fruitless_search(state, message.reason)
    if state.phase is Phase.READING:
        return _end_unread(state, message.reason, now)
    if state.phase not in (Phase.RESERVING, Phase.IMPORTING):
        return []
    # Nothing was reserved, so there is nothing to release.
    return end_with_verdict(state, Verdict.RECORD_UNAVAILABLE, message.reason)


@handle.register
def _(message: TurnSettled, state: ForwardState, now: datetime) -> list[object]:
    if state.phase is Phase.IMPORTING:
        return read_next_piece(state)
    if state.phase is not Phase.RECORDING:
        return []
    state.phase = Phase.ENDED
    return [FinishResponse(), make_end_log(state, "request answered", now)]


@handle.register
def _(message: EndpointGranted, state: ForwardState, now: datetime) -> list[object]:
    if message.holder != state.holder:
        # It is for an earlier request of the connection, for which it was returned.
        return []
    if state.phase is not Phase.WAITING or state.attempt is not None:
        return [ReturnPermit(message.permit, AttemptResult.UNSENT)]
    if lacks_credit(state, now):
        return renew_credit(message, state, now)
    return _send(message, state, now)


def _send(message: EndpointGranted, state: ForwardState, now: datetime) -> list[object]:
    state.n_sends += 1
    exchange_id = state.exchange_id_base + state.n_sends
    endpoint = message.endpoint
    state.attempt = Attempt(
        exchange_id, message.permit, endpoint.endpoint, now, message.is_rate_limited
    )
    state.failover_at = find_failover_time(state, now)
    state.phase = Phase.SENT
    fields = (
        ("endpoint", endpoint.endpoint),
        ("address", endpoint.address),
        ("send", state.n_sends),
        ("waited_ms", to_ms(now - state.started_at)),
    )
    body = b"".join((state.history, state.request.body))
    time_left = max(ENDPOINT_TIMEOUT_MIN, state.deadline - now)
    return [
        LogDecision("sent to endpoint", fields),
        SendToEndpoint(
            exchange_id,
            endpoint,
            body,
            time_left,
            state.last_event_id,
            state.rank,
            state.identity.account_id,
            state.identity.is_checked,
        ),
    ]


@handle.register
def _(message: GrantBarred, state: ForwardState, now: datetime) -> list[object]:
    grant, verdict = message.grant, message.verdict
    if grant.holder != state.holder:
        return []
    effects: list[object] = [ReturnPermit(grant.permit, AttemptResult.UNSENT)]
    is_kept = grant == state.granted_endpoint
    if not is_kept and (state.phase is not Phase.WAITING or state.attempt is not None):
        return effects
    state.granted_endpoint = None
    effects.extend(settle_spent_tokens(state, now))
    reason = BARRED_REASONS[verdict]
    if state.has_started_response:
        return [*effects, *abort_response(state, reason)]
    if state.n_runs:
        verdict = Verdict.OUTCOME_UNKNOWN
    return [*effects, *end_with_verdict(state, verdict, reason)]


@handle.register
def _(message: EndpointRefused, state: ForwardState, now: datetime) -> list[object]:
    if message.holder != state.holder or state.phase is not Phase.WAITING:
        return []
    if state.has_started_response:
        return [
            *settle_spent_tokens(state, now),
            *abort_response(state, message.reason),
        ]
    if state.n_runs:
        return end_with_verdict(state, Verdict.OUTCOME_UNKNOWN, message.reason)
    verdict = Verdict.ALL_REFUSED if state.n_sends else Verdict.NO_ENDPOINT
    if message.is_quarantined:
        verdict = Verdict.QUARANTINED
    elif message.is_overloaded:
        verdict = Verdict.OVERLOADED
    return [
        *release_reservation(state, now),
        *end_with_verdict(state, verdict, message.reason, message.retry_after),
    ]


@handle.register
def _(message: ResponseBegun, state: ForwardState, now: datetime) -> list[object]:
    attempt = find_attempt(message.exchange_id, state)
    if attempt is None:
        return []
    head = message.head
    # What the endpoint says of itself comes first, since the permit names the endpoint
    # until it is returned.
    return [
        *_report_announcements(head, attempt),
        *_handle_head(head, attempt, state, now),
    ]


def _report_announcements(head: EndpointResponseHead, attempt: Attempt) -> list[object]:
    effects: list[object] = []
    if head.is_leaving:
        effects.append(ReportLeaving(attempt.permit))
    # Only the endpoint that was asked can end its limit, by an answer without one.
    is_from_endpoint = head.is_signed or (head.is_refusal and not head.is_misdirected)
    is_limit_of_interest = head.requests_per_s is not None or attempt.is_rate_limited
    if is_from_endpoint and head.is_rate_limit_known and is_limit_of_interest:
        effects.append(ReportRateLimit(attempt.permit, head.requests_per_s))
    return effects


def _handle_head(
    head: EndpointResponseHead, attempt: Attempt, state: ForwardState, now: datetime
) -> list[object]:
    if head.is_refusal:
        result = AttemptResult.REFUSED
        if head.is_misdirected:
            result = AttemptResult.MISDIRECTED
        return handle_unexecuted_attempt(
            state, result, f"endpoint answered {head.status}", now
        )
    state.n_runs += 1
    if head.is_success and not head.is_signed:
        return handle_failed_attempt(state, "answer without a signature", now)
    if head.is_unproven_refusal:
        reason = f"status {head.status} without a statement that it has not run"
        return handle_failed_attempt(state, reason, now)
    attempt.head = head
    attempt.n_head_bytes = sum(len(name) + len(value) for name, value in head.headers)
    state.failover_at = find_failover_time(state, now)
    if state.has_started_response and not head.is_success:
        return handle_failed_attempt(state, f"endpoint answered {head.status}", now)
    if head.is_success and state.route.kind is RouteKind.STREAM:
        state.phase = Phase.RELAYING
        if state.has_started_response:
            return []
        state.has_started_response = True
        return [StartResponse(head)]
    state.phase = Phase.COLLECTING
    return []


@handle.register
def _(message: ResponseBody, state: ForwardState, now: datetime) -> list[object]:
    attempt = find_attempt(message.exchange_id, state)
    if attempt is None:
        return []
    if state.phase is Phase.COLLECTING:
        attempt.body += message.data
        if len(attempt.body) > COLLECTED_BODY_LIMIT_BYTES:
            return handle_failed_attempt(state, "the response is too large", now)
        return []
    events = state.splitter.feed(message.data)
    if state.splitter.n_incomplete_bytes > EVENT_LIMIT_BYTES:
        return handle_failed_attempt(state, "an event is too large", now)
    effects = _observe_progress(events, attempt, state, now)
    if data := b"".join(event.raw for event in _record_events(events, state)):
        effects.append(WriteResponseChunk(data))
    return effects


def _observe_progress(
    events: list[StreamEvent], attempt: Attempt, state: ForwardState, now: datetime
) -> list[object]:
    """Record the progress of a stream, and report its pace.

    Bytes that complete no event with data are no progress: an endpoint that sends some
    now and then, or a comment, is as stalled as a silent one.
    """
    n_events = sum(event.data is not None for event in events)
    if not n_events:
        return []
    state.failover_at = find_failover_time(state, now)
    effects: list[object] = []
    if not attempt.n_events:
        effects.append(ReportFirstChunk(attempt.permit))
    attempt.n_events += n_events
    effects.extend(report_event_latency(attempt, n_events, now))
    return effects


def _record_events(events: list[StreamEvent], state: ForwardState) -> list[StreamEvent]:
    """Record events; return those that the caller does not have yet."""
    relayed = []
    for event in events:
        state.last_event_id = event.event_id or state.last_event_id
        if event.data is not None and state.is_recorded:
            state.output += event.data + b"\n"
        if state.resume_after is not None:
            position = find_position(event.event_id, state.resume_after)
            if position is not EventPosition.BEFORE:
                state.resume_after = None
            if position is not EventPosition.AFTER:
                continue
        state.n_events += event.data is not None
        relayed.append(event)
    return relayed


@handle.register
def _(message: MemoryExhausted, state: ForwardState, now: datetime) -> list[object]:
    if state.attempt is None:
        return []
    return handle_failed_attempt(state, "responses take too much memory", now)


@handle.register
def _(
    message: HistoryMemoryExhausted, state: ForwardState, now: datetime
) -> list[object]:
    return _end_unread(state, "histories take too much memory", now)


@handle.register
def _(message: ResponseEnd, state: ForwardState, now: datetime) -> list[object]:
    attempt = find_attempt(message.exchange_id, state)
    if attempt is None or attempt.head is None:
        return []
    if state.phase is Phase.RELAYING:
        end = judge_stream_end(
            state.splitter.incomplete_event, attempt.n_events, message.body_end
        )
        if end is not StreamEnd.COMPLETE:
            result = AttemptResult.FAILED
            if message.body_end is BodyEnd.CONNECTION:
                result = AttemptResult.CONNECTION_LOST
            return handle_failed_attempt(state, end.value, now, result)
    state.attempt = None
    result = AttemptResult.COMPLETED
    if (
        attempt.head.status >= FIRST_SERVER_ERROR_STATUS
        and attempt.head.status != GATEWAY_TIMEOUT_STATUS
    ):
        result = AttemptResult.FAILED
    effects: list[object] = [
        *report_short_stream(attempt),
        ReturnPermit(attempt.permit, result),
    ]
    if state.phase is Phase.RELAYING and state.resume_after is not None:
        # Another endpoint would generate the same events.
        return [
            *effects,
            *settle_spent_tokens(state, now),
            *abort_response(state, "the event to resume after was not generated"),
        ]
    if state.phase is Phase.COLLECTING:
        state.phase = Phase.ENDED
        return [
            *effects,
            *settle_spent_tokens(state, now),
            SendResponse(attempt.head, bytes(attempt.body)),
            make_end_log(state, "request answered", now, status=attempt.head.status),
        ]
    if state.is_recorded:
        state.phase = Phase.RECORDING
        return [*effects, settle_completed_turn(state, now)]
    state.phase = Phase.ENDED
    return [
        *effects,
        FinishResponse(),
        *settle_spent_tokens(state, now),
        make_end_log(state, "request answered", now),
    ]


@handle.register
def _(message: ExchangeFailed, state: ForwardState, now: datetime) -> list[object]:
    attempt = find_attempt(message.exchange_id, state)
    if attempt is None:
        return []
    if not message.was_sent:
        return handle_unexecuted_attempt(
            state, AttemptResult.NOT_CONNECTED, message.reason, now
        )
    if attempt.head is None:
        state.n_runs += 1
    result = AttemptResult.FAILED
    if message.is_connection_lost:
        result = AttemptResult.CONNECTION_LOST
    return handle_failed_attempt(state, message.reason, now, result)


@handle.register
def _(message: CallerDisconnected, state: ForwardState, now: datetime) -> list[object]:
    state.disconnect_message = message
    effects = cancel_work(state)
    if state.phase is not Phase.RECORDING:
        effects.extend(settle_spent_tokens(state, now))
    state.phase = Phase.ENDED
    effects.append(AbortResponse())
    effects.append(
        make_end_log(state, "caller disconnected", now, reason=message.reason)
    )
    return effects


@handle.register
def _(message: Tick, state: ForwardState, now: datetime) -> list[object]:
    if state.has_ended:
        return []
    if now < state.deadline:
        return fail_over_if_unresponsive(state, now)
    return _end_out_of_time(state, now)


@handle.register
def _(message: HostStopping, state: ForwardState, now: datetime) -> list[object]:
    return [] if state.has_ended else _end_out_of_time(state, now)


def _end_out_of_time(state: ForwardState, now: datetime) -> list[object]:
    was_sent = state.n_runs > 0 or state.attempt is not None
    phase = state.phase
    effects = cancel_work(state)
    if phase is not Phase.RECORDING:
        effects.extend(settle_spent_tokens(state, now))
    if state.has_started_response:
        return [*effects, *abort_response(state, f"timed out while {phase.value}")]
    if was_sent:
        return [
            *effects,
            *end_with_verdict(state, Verdict.TIMED_OUT, f"while {phase.value}"),
        ]
    verdict = Verdict.NO_ENDPOINT
    if phase is Phase.ADMITTING:
        verdict = Verdict.QUOTA_UNAVAILABLE
    if phase in (Phase.RESERVING, Phase.SEARCHING, Phase.READING, Phase.IMPORTING):
        verdict = Verdict.RECORD_UNAVAILABLE
    return [*effects, *end_with_verdict(state, verdict, "no time is left")]


def end_after_error(state: ForwardState, now: datetime) -> list[object]:
    """Return the effects that end a request whose handling failed unexpectedly."""
    if state.has_ended:
        return []
    effects = [*cancel_work(state), *settle_spent_tokens(state, now)]
    if state.has_started_response:
        return [*effects, *abort_response(state, "unexpected error")]
    return [
        *effects,
        *end_with_verdict(state, Verdict.OUTCOME_UNKNOWN, "unexpected error"),
    ]
