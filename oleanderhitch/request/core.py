"""Decide the course of one request from its record to its answer."""

from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.process.messages import Tick
from oleanderhitch.program.messages import Begun, Refused, RequestRecord
from oleanderhitch.request.attempts import (
    choose,
    dispatch,
    enqueue,
    get_reserved_tokens,
    make_failed,
    make_release,
    release_all,
)
from oleanderhitch.request.ids import AttemptNumber
from oleanderhitch.request.messages import (
    AnswerCaller,
    AttemptRecorded,
    AttemptRefused,
    BeginAnswered,
    CancelAttempt,
    CheckOwner,
    ChunkReceived,
    CloseAnswered,
    EndTask,
    FinishRecorded,
    FinishRefused,
    LookupAnswered,
    LookUpCall,
    OwnerChecked,
    RelayChunk,
    ReleasePermit,
    ShardUnreachable,
    SlotGranted,
    SlotRefused,
    Start,
    StreamEnded,
    StreamFailed,
    SubmitAttempt,
    SubmitBegin,
    SubmitClose,
    WithdrawCall,
)
from oleanderhitch.request.outcomes import end, finish, get_unanswered_outcome
from oleanderhitch.request.state import Attempt, RequestState
from oleanderhitch.request.states import Outcome, Phase, Reason

# A third endpoint that fails as well points at the request, not the endpoints.
SENT_ATTEMPT_LIMIT = 3
# Endpoints that refuse the connection cost a few milliseconds each.
UNSENT_ATTEMPT_LIMIT = 12
FIRST_ATTEMPT = AttemptNumber(1)
FINISH_RETRY_PAUSE = timedelta(milliseconds=200)
RETRY_AFTER_UNAVAILABLE = timedelta(seconds=1)


@singledispatch
def handle(message: object, state: RequestState, now: datetime) -> list[object]:
    """Return the effects of a message."""
    raise TypeError(f"request has no message {type(message).__name__}")


@handle.register
def _(message: Start, state: RequestState, now: datetime) -> list[object]:
    return [SubmitBegin()]


@handle.register
def _(message: BeginAnswered, state: RequestState, now: datetime) -> list[object]:
    if state.phase is not Phase.BEGIN:
        return []
    return _continue_begin(message.result, state, now)


@singledispatch
def _continue_begin(result: object, state: RequestState, now: datetime) -> list[object]:
    raise TypeError(f"begin has no result {type(result).__name__}")


@_continue_begin.register
def _(result: Begun, state: RequestState, now: datetime) -> list[object]:
    state.begun = result
    return enqueue(state)


@_continue_begin.register
def _(result: RequestRecord, state: RequestState, now: datetime) -> list[object]:
    if result.outcome is None:
        state.phase = Phase.OWNER_CHECK
        state.owner_run = result.run
        return [CheckOwner(result.node)]
    answer = AnswerCaller(result.outcome, result.answer, Reason.OK, is_replay=True)
    return end(state, answer)


@_continue_begin.register
def _(result: Refused, state: RequestState, now: datetime) -> list[object]:
    reason = Reason(result.reason.value)
    return end(state, AnswerCaller(Outcome.NOT_RUN, b"", reason, result.detail))


@handle.register
def _(message: OwnerChecked, state: RequestState, now: datetime) -> list[object]:
    if state.phase is not Phase.OWNER_CHECK:
        return []
    if message.is_gone:
        return [SubmitClose(state.owner_run)]
    answer = AnswerCaller(
        Outcome.UNKNOWN,
        b"",
        Reason.REQUEST_IN_PROGRESS,
        "another host works on this request; ask for its outcome later",
        RETRY_AFTER_UNAVAILABLE,
    )
    return end(state, answer)


@handle.register
def _(message: CloseAnswered, state: RequestState, now: datetime) -> list[object]:
    if state.phase is not Phase.OWNER_CHECK:
        return []
    state.phase = Phase.BEGIN
    return [SubmitBegin()]


@handle.register
def _(message: SlotGranted, state: RequestState, now: datetime) -> list[object]:
    number = AttemptNumber(state.n_attempts + 1)
    attempt = Attempt(number, message.endpoint, message.permit, message.priority, now)
    if not _is_slot_wanted(message, state):
        return [make_release(attempt, False, now)]
    state.n_attempts += 1
    state.attempts[number] = attempt
    record = SubmitAttempt(number, message.endpoint, get_reserved_tokens(state))
    if state.call.is_idempotent and number == FIRST_ATTEMPT:
        # The begin has reserved its spend, and it may run again after a crash,
        # so it need not wait for its record.
        state.phase = Phase.ANSWER
        return [record, dispatch(state, attempt)]
    # A call that may not be repeated must not be sent before its record is
    # durable, and a further attempt not before its spend is reserved.
    if not message.is_hedge:
        state.phase = Phase.ATTEMPT_RECORD
    return [record]


def _is_slot_wanted(message: SlotGranted, state: RequestState) -> bool:
    if not message.is_hedge:
        return state.phase is Phase.SLOT
    is_waiting = state.phase is Phase.ANSWER and state.relaying is None
    return is_waiting and state.call.is_idempotent


@handle.register
def _(message: SlotRefused, state: RequestState, now: datetime) -> list[object]:
    if state.phase is not Phase.SLOT:
        return []
    outcome = get_unanswered_outcome(state)
    return finish(
        state,
        now,
        outcome,
        Reason.POOL_REFUSED,
        message.reason,
        retry_after=message.retry_after,
    )


@handle.register
def _(message: AttemptRecorded, state: RequestState, now: datetime) -> list[object]:
    attempt = state.attempts.get(message.attempt)
    if attempt is None or attempt.is_dispatched:
        return []
    state.phase = Phase.ANSWER
    return [dispatch(state, attempt)]


@handle.register
def _(message: AttemptRefused, state: RequestState, now: datetime) -> list[object]:
    attempt = state.attempts.get(message.attempt)
    if attempt is None:
        return []
    if not attempt.is_dispatched and state.phase is Phase.ANSWER:
        # A hedge that the budget does not cover; the first attempt goes on.
        del state.attempts[message.attempt]
        return [make_release(attempt, True, now)]
    if state.phase is Phase.ATTEMPT_RECORD:
        return release_all(state, now) + finish(
            state,
            now,
            get_unanswered_outcome(state),
            message.reason,
            message.detail,
        )
    if state.phase is not Phase.ANSWER:
        return []
    state.was_sent = True
    cancels: list[object] = [CancelAttempt(number) for number in state.attempts]
    return [
        *cancels,
        *release_all(state, now),
        *finish(
            state,
            now,
            Outcome.FAILED,
            message.reason,
            message.detail,
        ),
    ]


@handle.register
def _(message: ChunkReceived, state: RequestState, now: datetime) -> list[object]:
    attempt = state.attempts.get(message.attempt)
    if attempt is None or state.phase is not Phase.ANSWER:
        return []
    effects = choose(state, attempt, now)
    if state.relaying != message.attempt:
        return effects
    if attempt.first_token is None:
        attempt.first_token = now - attempt.started_at
    n_known = len(state.answer) - attempt.base - message.offset
    if n_known < 0:
        lost = StreamFailed(
            message.attempt, True, False, f"answer misses {-n_known} bytes"
        )
        return [*effects, CancelAttempt(message.attempt), *handle(lost, state, now)]
    data = message.data[n_known:]
    if not data:
        return effects
    attempt.n_chunks += 1
    state.answer += data
    effects.append(RelayChunk(data))
    return effects


@handle.register
def _(message: StreamEnded, state: RequestState, now: datetime) -> list[object]:
    attempt = state.attempts.get(message.attempt)
    if attempt is None or state.phase is not Phase.ANSWER:
        return []
    effects = choose(state, attempt, now)
    if state.relaying != message.attempt:
        return effects
    del state.attempts[message.attempt]
    release = ReleasePermit(
        attempt.permit,
        attempt.endpoint,
        True,
        message.completion_tokens,
        max(0, message.prompt_tokens - message.cached_tokens),
        attempt.first_token,
        now - attempt.started_at,
    )
    spent = message.prompt_tokens + message.completion_tokens
    state.answered = message.attempt
    ending = finish(
        state,
        now,
        Outcome.COMPLETED,
        Reason.OK,
        spent_tokens=spent,
        context_tokens=spent,
    )
    return [*effects, release, *ending]


@handle.register
def _(message: StreamFailed, state: RequestState, now: datetime) -> list[object]:
    attempt = state.attempts.pop(message.attempt, None)
    if attempt is None or state.phase is not Phase.ANSWER:
        return []
    state.was_sent = state.was_sent or message.was_sent
    state.excluded = (*state.excluded, attempt.endpoint)
    failed = make_failed(state, message.attempt, message.was_sent)
    if not message.was_sent:
        state.unsent = (*state.unsent, failed)
    effects: list[object] = [make_release(attempt, False, now), failed]
    if state.relaying == message.attempt:
        state.relaying = None
    if state.attempts:
        return effects
    if message.is_final:
        detail = message.reason
        return effects + finish(
            state, now, Outcome.FAILED, Reason.ENDPOINT_REFUSED, detail
        )
    if message.was_sent and not state.call.is_idempotent:
        state.phase = Phase.LOOKUP
        return [*effects, LookUpCall(attempt.endpoint)]
    n_unsent = len(state.unsent)
    has_tries = n_unsent < UNSENT_ATTEMPT_LIMIT
    if state.n_attempts - n_unsent >= SENT_ATTEMPT_LIMIT:
        has_tries = False
    if has_tries and now < state.call.deadline:
        return effects + enqueue(state)
    outcome = get_unanswered_outcome(state)
    return effects + finish(state, now, outcome, Reason.ENDPOINT_FAILED, message.reason)


@handle.register
def _(message: LookupAnswered, state: RequestState, now: datetime) -> list[object]:
    if state.phase is not Phase.LOOKUP:
        return []
    if message.is_known:
        state.answer = bytearray(message.answer)
        if message.was_refused:
            return finish(state, now, Outcome.FAILED, Reason.ENDPOINT_REFUSED)
        return finish(state, now, Outcome.COMPLETED, Reason.OK)
    return finish(
        state,
        now,
        Outcome.UNKNOWN,
        Reason.ANSWER_LOST,
        "the endpoint got the call and its answer was lost; do not repeat it blindly",
    )


@handle.register
def _(message: FinishRecorded, state: RequestState, now: datetime) -> list[object]:
    if state.phase is not Phase.FINISH_RECORD:
        return []
    state.phase = Phase.ENDED
    if state.pending_answer is None:
        return [EndTask()]
    return [state.pending_answer, EndTask()]


@handle.register
def _(message: FinishRefused, state: RequestState, now: datetime) -> list[object]:
    if state.phase is not Phase.FINISH_RECORD:
        return []
    if message.is_retryable and state.unsent:
        # The record of an attempt that was not sent arrives before the next
        # try at the latest.
        state.retry_finish_at = now + FINISH_RETRY_PAUSE
        return []
    state.phase = Phase.ENDED
    if state.pending_answer is None:
        return [EndTask()]
    answer = AnswerCaller(
        Outcome.UNKNOWN,
        state.pending_answer.answer,
        Reason.REQUEST_CLOSED,
        f"another host closed this request: {message.reason}",
    )
    return [answer, EndTask()]


@handle.register
def _(message: ShardUnreachable, state: RequestState, now: datetime) -> list[object]:
    return _continue_unreachable(state, now, message.reason)


@handle.register
def _(message: Tick, state: RequestState, now: datetime) -> list[object]:
    if state.retry_finish_at is not None and now >= state.retry_finish_at:
        state.retry_finish_at = None
        return list(state.finish)
    if now < state.call.deadline:
        return []
    if state.phase is Phase.SLOT:
        outcome = get_unanswered_outcome(state)
        return [
            WithdrawCall(),
            *finish(state, now, outcome, Reason.DEADLINE_EXCEEDED, "no slot in time"),
        ]
    if state.phase is Phase.ANSWER:
        state.was_sent = True
        is_unknown = not state.call.is_idempotent
        cancels: list[object] = [CancelAttempt(number) for number in state.attempts]
        return [
            *cancels,
            *release_all(state, now),
            *finish(
                state,
                now,
                Outcome.UNKNOWN if is_unknown else Outcome.FAILED,
                Reason.DEADLINE_EXCEEDED,
                "the answer is not whole at the deadline",
            ),
        ]
    return []


def _continue_unreachable(
    state: RequestState, now: datetime, reason: str
) -> list[object]:
    if state.phase is Phase.FINISH_RECORD:
        return _retry_finish(state, now, reason)
    if state.phase in (Phase.BEGIN, Phase.OWNER_CHECK, Phase.ATTEMPT_RECORD):
        state.unsent = tuple(
            make_failed(state, number, False) for number in state.attempts
        )
        effects = release_all(state, now)
        # Without the record, an earlier delivery under the caller's own key may
        # have run at another host.
        may_be_repeat = state.begun is None and state.call.has_caller_key
        return effects + finish(
            state,
            now,
            get_unanswered_outcome(state),
            Reason.STATE_UNAVAILABLE,
            reason,
            retry_after=RETRY_AFTER_UNAVAILABLE,
            told_first=Outcome.UNKNOWN
            if may_be_repeat
            else get_unanswered_outcome(state),
        )
    return []


def _retry_finish(state: RequestState, now: datetime, reason: str) -> list[object]:
    effects: list[object] = []
    if state.pending_answer is not None:
        answer = state.pending_answer
        if answer.outcome is Outcome.COMPLETED:
            # A turn that is not on a majority's disks may be lost, so the
            # caller must not build on it.
            answer = AnswerCaller(
                Outcome.UNKNOWN,
                answer.answer,
                Reason.STATE_UNAVAILABLE,
                reason,
                RETRY_AFTER_UNAVAILABLE,
            )
        effects.append(answer)
        state.pending_answer = None
    if state.finish_until is not None and now >= state.finish_until:
        state.phase = Phase.ENDED
        return [*effects, EndTask()]
    return [*effects, *state.finish]
