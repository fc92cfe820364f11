"""Decide how the attempts of a request are queued, sent and released."""

from datetime import datetime

from oleanderhitch.request.ids import AttemptNumber
from oleanderhitch.request.messages import (
    CancelAttempt,
    Dispatch,
    EnqueueCall,
    ReleasePermit,
    SubmitFailedAttempt,
)
from oleanderhitch.request.state import Attempt, RequestState
from oleanderhitch.request.states import Phase


def enqueue_call(state: RequestState) -> list[object]:
    """Request a slot, with the recorded usage and cache holders of the program."""
    assert state.begun is not None
    state.phase = Phase.SLOT
    history_bytes = sum(
        len(turn.content) + len(turn.answer) for turn in state.begun.history
    )
    return [
        EnqueueCall(
            len(state.begun.history),
            state.begun.attained_tokens,
            history_bytes + len(state.answer),
            state.begun.holders,
            state.excluded,
        )
    ]


def dispatch_attempt(state: RequestState, attempt: Attempt) -> Dispatch:
    """Send an attempt that continues the answer received so far."""
    assert state.begun is not None
    attempt.is_dispatched = True
    attempt.start_offset = len(state.answer)
    return Dispatch(
        attempt.number,
        attempt.endpoint,
        attempt.priority,
        state.begun.history,
        bytes(state.answer),
    )


def select_attempt(
    state: RequestState, attempt: Attempt, now: datetime
) -> list[object]:
    """Relay the first attempt that responds and cancel the others."""
    if state.relayed_attempt is not None:
        return []
    state.relayed_attempt = attempt.number
    effects: list[object] = []
    for other in list(state.attempts.values()):
        if other.number != attempt.number:
            del state.attempts[other.number]
            effects += [
                CancelAttempt(other.number),
                make_release(other, True, now),
                make_failed_attempt(state, other.number, other.is_dispatched),
            ]
    return effects


def make_release(attempt: Attempt, is_success: bool, now: datetime) -> ReleasePermit:
    """Return the release of an attempt's slot with the measured performance."""
    return ReleasePermit(
        attempt.permit,
        attempt.endpoint,
        is_success,
        # Engines send about one token per chunk, which is exact enough to assess the
        # health of an endpoint.
        attempt.n_chunks,
        0,
        attempt.time_to_first_token,
        now - attempt.started_at,
    )


def make_failed_attempt(
    state: RequestState, attempt: AttemptNumber, was_sent: bool
) -> SubmitFailedAttempt:
    """Return the record of an attempt that produced no answer."""
    # The engine's usage report is lost with the answer, so the whole reservation counts
    # as spent.
    spent_tokens = get_reserved_tokens(state) if was_sent else 0
    return SubmitFailedAttempt(attempt, was_sent, spent_tokens)


def get_reserved_tokens(state: RequestState) -> int:
    """Return the tokens reserved for one attempt."""
    return 0 if state.begun is None else state.begun.reserved_tokens


def release_attempts(state: RequestState, now: datetime) -> list[object]:
    """Remove all attempts and release their slots as failed."""
    releases: list[object] = [
        make_release(attempt, False, now) for attempt in state.attempts.values()
    ]
    state.attempts.clear()
    return releases
