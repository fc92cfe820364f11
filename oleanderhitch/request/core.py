"""Decide the steps of a request from its record to the response to its caller."""

from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.process.messages import Tick
from oleanderhitch.program.messages import Begun, Refused, RequestRecord
from oleanderhitch.request.attempts import (
    dispatch_attempt,
    enqueue_call,
    get_reserved_tokens,
    make_failed_attempt,
    make_release,
    release_attempts,
    select_attempt,
)
from oleanderhitch.request.ids import AttemptNumber
from oleanderhitch.request.messages import (
    AttemptRecorded,
    AttemptRefused,
    BeginReplyReceived,
    CancelAttempt,
    CheckOwner,
    ChunkReceived,
    CloseReplyReceived,
    EndTask,
    FinishRecorded,
    FinishRefused,
    LookUpCall,
    LookupCompleted,
    OwnerChecked,
    RelayChunk,
    ReleasePermit,
    RespondToCaller,
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
from oleanderhitch.request.outcomes import (
    end_without_record,
    finish_request,
    get_outcome_without_answer,
)
from oleanderhitch.request.state import Attempt, RequestState
from oleanderhitch.request.states import Outcome, Phase, Reason

# After three endpoints failed, the request is the more likely cause.
N_SENT_ATTEMPTS_LIMIT = 3
# Higher, since an endpoint that refuses the connection costs a few milliseconds only.
N_UNSENT_ATTEMPTS_LIMIT = 12
FIRST_ATTEMPT = AttemptNumber(1)
FINISH_RETRY_DELAY = timedelta(milliseconds=200)
RETRY_AFTER = timedelta(seconds=1)


@singledispatch
def handle(message: object, state: RequestState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(f"request does not support message type {type(message).__name__}")


@handle.register
def _(message: Start, state: RequestState, now: datetime) -> list[object]:
    return [SubmitBegin()]


@handle.register
def _(message: BeginReplyReceived, state: RequestState, now: datetime) -> list[object]:
    if state.phase is not Phase.BEGIN:
        return []
    return _handle_begin_result(message.result, state, now)


@singledispatch
def _handle_begin_result(
    result: object, state: RequestState, now: datetime
) -> list[object]:
    raise TypeError(f"begin does not support result type {type(result).__name__}")


@_handle_begin_result.register
def _(result: Begun, state: RequestState, now: datetime) -> list[object]:
    state.begun = result
    return enqueue_call(state)


@_handle_begin_result.register
def _(result: RequestRecord, state: RequestState, now: datetime) -> list[object]:
    if result.outcome is None:
        state.phase = Phase.OWNER_CHECK
        state.owner_run = result.run
        return [CheckOwner(result.node)]
    response = RespondToCaller(result.outcome, result.answer, Reason.OK, is_replay=True)
    return end_without_record(state, response)


@_handle_begin_result.register
def _(result: Refused, state: RequestState, now: datetime) -> list[object]:
    reason = Reason(result.reason.value)
    return end_without_record(
        state, RespondToCaller(Outcome.NOT_RUN, b"", reason, result.detail)
    )


@handle.register
def _(message: OwnerChecked, state: RequestState, now: datetime) -> list[object]:
    if state.phase is not Phase.OWNER_CHECK:
        return []
    if message.is_lost:
        return [SubmitClose(state.owner_run)]
    response = RespondToCaller(
        Outcome.UNKNOWN,
        b"",
        Reason.REQUEST_IN_PROGRESS,
        "another host works on this request; ask for its outcome later",
        RETRY_AFTER,
    )
    return end_without_record(state, response)


@handle.register
def _(message: CloseReplyReceived, state: RequestState, now: datetime) -> list[object]:
    if state.phase is not Phase.OWNER_CHECK:
        return []
    state.phase = Phase.BEGIN
    return [SubmitBegin()]


@handle.register
def _(message: SlotGranted, state: RequestState, now: datetime) -> list[object]:
    number = AttemptNumber(state.n_attempts + 1)
    attempt = Attempt(number, message.endpoint, message.permit, message.priority, now)
    if not _needs_slot(message, state):
        return [make_release(attempt, False, now)]
    state.n_attempts += 1
    state.attempts[number] = attempt
    record = SubmitAttempt(number, message.endpoint, get_reserved_tokens(state))
    if state.call.is_idempotent and number == FIRST_ATTEMPT:
        # Not delayed until its record is durable: its tokens were reserved by
        # SubmitBegin, and an idempotent call may run again after a crash.
        state.phase = Phase.ANSWER
        return [record, dispatch_attempt(state, attempt)]
    # A non-idempotent call must not be sent before its record is durable, and a further
    # attempt not before its tokens are reserved.
    if not message.is_hedge:
        state.phase = Phase.ATTEMPT_RECORD
    return [record]


def _needs_slot(message: SlotGranted, state: RequestState) -> bool:
    if not message.is_hedge:
        return state.phase is Phase.SLOT
    is_waiting = state.phase is Phase.ANSWER and state.relayed_attempt is None
    return is_waiting and state.call.is_idempotent


@handle.register
def _(message: SlotRefused, state: RequestState, now: datetime) -> list[object]:
    if state.phase is not Phase.SLOT:
        return []
    outcome = get_outcome_without_answer(state)
    return finish_request(
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
    return [dispatch_attempt(state, attempt)]


@handle.register
def _(message: AttemptRefused, state: RequestState, now: datetime) -> list[object]:
    attempt = state.attempts.get(message.attempt)
    if attempt is None:
        return []
    if not attempt.is_dispatched and state.phase is Phase.ANSWER:
        # The budget does not cover a hedge; the first attempt continues.
        del state.attempts[message.attempt]
        return [make_release(attempt, True, now)]
    if state.phase is Phase.ATTEMPT_RECORD:
        return release_attempts(state, now) + finish_request(
            state,
            now,
            get_outcome_without_answer(state),
            message.reason,
            message.detail,
        )
    if state.phase is not Phase.ANSWER:
        return []
    # The first attempt of an idempotent call is sent before it is recorded.
    state.was_sent = True
    cancels: list[object] = [CancelAttempt(number) for number in state.attempts]
    return [
        *cancels,
        *release_attempts(state, now),
        *finish_request(
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
    effects = select_attempt(state, attempt, now)
    if state.relayed_attempt != message.attempt:
        return effects
    if attempt.time_to_first_token is None:
        attempt.time_to_first_token = now - attempt.started_at
    n_received = len(state.answer) - attempt.start_offset - message.offset
    if n_received < 0:
        gap = StreamFailed(
            message.attempt, True, False, f"answer misses {-n_received} bytes"
        )
        return [*effects, CancelAttempt(message.attempt), *handle(gap, state, now)]
    data = message.data[n_received:]
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
    effects = select_attempt(state, attempt, now)
    if state.relayed_attempt != message.attempt:
        return effects
    del state.attempts[message.attempt]
    release = ReleasePermit(
        attempt.permit,
        attempt.endpoint,
        True,
        message.completion_tokens,
        max(0, message.prompt_tokens - message.cached_tokens),
        attempt.time_to_first_token,
        now - attempt.started_at,
    )
    spent = message.prompt_tokens + message.completion_tokens
    state.completed_attempt = message.attempt
    finish_effects = finish_request(
        state,
        now,
        Outcome.COMPLETED,
        Reason.OK,
        spent_tokens=spent,
        context_tokens=spent,
    )
    return [*effects, release, *finish_effects]


@handle.register
def _(message: StreamFailed, state: RequestState, now: datetime) -> list[object]:
    attempt = state.attempts.pop(message.attempt, None)
    if attempt is None or state.phase is not Phase.ANSWER:
        return []
    state.was_sent = state.was_sent or message.was_sent
    state.excluded = (*state.excluded, attempt.endpoint)
    failed = make_failed_attempt(state, message.attempt, message.was_sent)
    if not message.was_sent:
        state.unsent_attempts = (*state.unsent_attempts, failed)
    effects: list[object] = [make_release(attempt, False, now), failed]
    if state.relayed_attempt == message.attempt:
        state.relayed_attempt = None
    if state.attempts:
        return effects
    if message.is_final:
        detail = message.reason
        return effects + finish_request(
            state, now, Outcome.FAILED, Reason.ENDPOINT_REFUSED, detail
        )
    if message.was_sent and not state.call.is_idempotent:
        state.phase = Phase.LOOKUP
        return [*effects, LookUpCall(attempt.endpoint)]
    n_unsent = len(state.unsent_attempts)
    may_retry = n_unsent < N_UNSENT_ATTEMPTS_LIMIT
    if state.n_attempts - n_unsent >= N_SENT_ATTEMPTS_LIMIT:
        may_retry = False
    if may_retry and now < state.call.deadline:
        return effects + enqueue_call(state)
    outcome = get_outcome_without_answer(state)
    return effects + finish_request(
        state, now, outcome, Reason.ENDPOINT_FAILED, message.reason
    )


@handle.register
def _(message: LookupCompleted, state: RequestState, now: datetime) -> list[object]:
    if state.phase is not Phase.LOOKUP:
        return []
    if message.is_found:
        state.answer = bytearray(message.answer)
        if message.was_refused:
            return finish_request(state, now, Outcome.FAILED, Reason.ENDPOINT_REFUSED)
        return finish_request(state, now, Outcome.COMPLETED, Reason.OK)
    return finish_request(
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
    if state.pending_response is None:
        return [EndTask()]
    return [state.pending_response, EndTask()]


@handle.register
def _(message: FinishRefused, state: RequestState, now: datetime) -> list[object]:
    if state.phase is not Phase.FINISH_RECORD:
        return []
    if message.is_retryable and state.unsent_attempts:
        # The unsent attempts are recorded by the next retry at the latest, which
        # resends their commands first.
        state.finish_retry_at = now + FINISH_RETRY_DELAY
        return []
    state.phase = Phase.ENDED
    if state.pending_response is None:
        return [EndTask()]
    response = RespondToCaller(
        Outcome.UNKNOWN,
        state.pending_response.answer,
        Reason.REQUEST_CLOSED,
        f"another host closed this request: {message.reason}",
    )
    return [response, EndTask()]


@handle.register
def _(message: ShardUnreachable, state: RequestState, now: datetime) -> list[object]:
    return _handle_unreachable_shard(state, now, message.reason)


@handle.register
def _(message: Tick, state: RequestState, now: datetime) -> list[object]:
    if state.finish_retry_at is not None and now >= state.finish_retry_at:
        state.finish_retry_at = None
        return list(state.finish_commands)
    if now < state.call.deadline:
        return []
    if state.phase is Phase.SLOT:
        outcome = get_outcome_without_answer(state)
        return [
            WithdrawCall(),
            *finish_request(
                state, now, outcome, Reason.DEADLINE_EXCEEDED, "no slot in time"
            ),
        ]
    if state.phase is Phase.ANSWER:
        state.was_sent = True
        is_unknown = not state.call.is_idempotent
        cancels: list[object] = [CancelAttempt(number) for number in state.attempts]
        return [
            *cancels,
            *release_attempts(state, now),
            *finish_request(
                state,
                now,
                Outcome.UNKNOWN if is_unknown else Outcome.FAILED,
                Reason.DEADLINE_EXCEEDED,
                "the answer is not whole at the deadline",
            ),
        ]
    return []


def _handle_unreachable_shard(
    state: RequestState, now: datetime, reason: str
) -> list[object]:
    if state.phase is Phase.FINISH_RECORD:
        return _retry_finish(state, now, reason)
    if state.phase in (Phase.BEGIN, Phase.OWNER_CHECK, Phase.ATTEMPT_RECORD):
        state.unsent_attempts = tuple(
            make_failed_attempt(state, number, False) for number in state.attempts
        )
        effects = release_attempts(state, now)
        # Without the record it is unknown whether an earlier call with the same
        # caller-chosen key ran at another host.
        may_be_duplicate = state.begun is None and state.call.has_idempotency_key
        return effects + finish_request(
            state,
            now,
            get_outcome_without_answer(state),
            Reason.STATE_UNAVAILABLE,
            reason,
            retry_after=RETRY_AFTER,
            immediate_outcome=Outcome.UNKNOWN
            if may_be_duplicate
            else get_outcome_without_answer(state),
        )
    return []


def _retry_finish(state: RequestState, now: datetime, reason: str) -> list[object]:
    effects: list[object] = []
    if state.pending_response is not None:
        response = state.pending_response
        if response.outcome is Outcome.COMPLETED:
            # A turn that is not durable on a majority of replicas may be lost, so the
            # caller must not continue from it.
            response = RespondToCaller(
                Outcome.UNKNOWN,
                response.answer,
                Reason.STATE_UNAVAILABLE,
                reason,
                RETRY_AFTER,
            )
        effects.append(response)
        state.pending_response = None
    if state.finish_deadline is not None and now >= state.finish_deadline:
        state.phase = Phase.ENDED
        return [*effects, EndTask()]
    return [*effects, *state.finish_commands]
