"""Decide how a request ends and how its outcome is recorded."""

from datetime import datetime, timedelta

from oleanderhitch.request.messages import (
    EndTask,
    RespondToCaller,
    SubmitFinish,
)
from oleanderhitch.request.state import RequestState
from oleanderhitch.request.states import Outcome, Phase, Reason

# Recording an outcome is retried for at most this long, in the background once the
# caller has its response.
FINISH_RETRY_TIMEOUT = timedelta(minutes=10)


def get_outcome_without_answer(state: RequestState) -> Outcome:
    """Return the outcome of a call for which this node makes no more attempts.

    A call that this node has not sent did not run, even if its record took effect,
    because no other node sends it under this run.
    """
    if not state.was_sent:
        return Outcome.NOT_RUN
    return Outcome.FAILED if state.call.is_idempotent else Outcome.UNKNOWN


def finish_request(
    state: RequestState,
    now: datetime,
    outcome: Outcome,
    reason: Reason,
    detail: str = "",
    spent_tokens: int = 0,
    retry_after: timedelta | None = None,
    immediate_outcome: Outcome | None = None,
    context_tokens: int = 0,
) -> list[object]:
    """Record the outcome and respond to the caller once it is recorded.

    With an immediate outcome, the response reports that one at once and the outcome is
    recorded in the background.
    """
    answer = bytes(state.answer)
    state.phase = Phase.FINISH_RECORD
    command = SubmitFinish(
        outcome, answer, spent_tokens, context_tokens, state.completed_attempt
    )
    state.finish_commands = (*state.unsent_attempts, command)
    state.finish_deadline = now + FINISH_RETRY_TIMEOUT
    reported_outcome = immediate_outcome or outcome
    response = RespondToCaller(reported_outcome, answer, reason, detail, retry_after)
    if immediate_outcome is not None:
        return [response, *state.finish_commands]
    state.pending_response = response
    return [command]


def end_without_record(state: RequestState, response: RespondToCaller) -> list[object]:
    """Respond to the caller and end the task without recording an outcome."""
    state.phase = Phase.ENDED
    return [response, EndTask()]
