"""Decide how a request ends and how its outcome is recorded."""

from datetime import datetime, timedelta

from oleanderhitch.request.messages import (
    AnswerCaller,
    EndTask,
    SubmitFinish,
)
from oleanderhitch.request.state import RequestState
from oleanderhitch.request.states import Outcome, Phase, Reason

# The outcome of a request is recorded in the background for this long after
# its caller was answered without it.
FINISH_RETRY_LIMIT = timedelta(minutes=10)


def get_unanswered_outcome(state: RequestState) -> Outcome:
    """Return the outcome of a call that this node sends no further.

    A call that this node has not sent did not run, even if its record took
    effect, because nobody else sends it under this run.
    """
    if not state.was_sent:
        return Outcome.NOT_RUN
    return Outcome.FAILED if state.call.is_idempotent else Outcome.UNKNOWN


def finish(
    state: RequestState,
    now: datetime,
    outcome: Outcome,
    reason: Reason,
    detail: str = "",
    spent_tokens: int = 0,
    retry_after: timedelta | None = None,
    told_first: Outcome | None = None,
    context_tokens: int = 0,
) -> list[object]:
    """Record the outcome, then answer; or tell the caller an outcome first."""
    answer = bytes(state.answer)
    state.phase = Phase.FINISH_RECORD
    finish = SubmitFinish(outcome, answer, spent_tokens, context_tokens, state.answered)
    state.finish = (*state.unsent, finish)
    state.finish_until = now + FINISH_RETRY_LIMIT
    told = told_first or outcome
    to_caller = AnswerCaller(told, answer, reason, detail, retry_after)
    if told_first is not None:
        return [to_caller, *state.finish]
    state.pending_answer = to_caller
    return [finish]


def end(state: RequestState, answer: AnswerCaller) -> list[object]:
    """Answer the caller and end, without a record of an outcome."""
    state.phase = Phase.ENDED
    return [answer, EndTask()]
