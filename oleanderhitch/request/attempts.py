"""Decide on the attempts of a request."""

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


def enqueue(state: RequestState) -> list[object]:
    """Ask for a slot with what the record says of the program."""
    assert state.begun is not None
    state.phase = Phase.SLOT
    history = sum(len(turn.content) + len(turn.answer) for turn in state.begun.history)
    return [
        EnqueueCall(
            len(state.begun.history),
            state.begun.attained_tokens,
            history + len(state.answer),
            state.begun.holders,
            state.excluded,
        )
    ]


def dispatch(state: RequestState, attempt: Attempt) -> Dispatch:
    """Send an attempt; it continues what was answered so far."""
    assert state.begun is not None
    attempt.is_dispatched = True
    attempt.base = len(state.answer)
    return Dispatch(
        attempt.number,
        attempt.endpoint,
        attempt.priority,
        state.begun.history,
        bytes(state.answer),
    )


def choose(state: RequestState, attempt: Attempt, now: datetime) -> list[object]:
    """Relay the first attempt that answers and cancel the others."""
    if state.relaying is not None:
        return []
    state.relaying = attempt.number
    effects: list[object] = []
    for other in list(state.attempts.values()):
        if other.number != attempt.number:
            del state.attempts[other.number]
            effects += [
                CancelAttempt(other.number),
                make_release(other, True, now),
                make_failed(state, other.number, other.is_dispatched),
            ]
    return effects


def make_release(attempt: Attempt, is_success: bool, now: datetime) -> ReleasePermit:
    """Return the slot of an attempt with what was observed."""
    return ReleasePermit(
        attempt.permit,
        attempt.endpoint,
        is_success,
        # An engine sends about one token in a piece; health needs no more.
        attempt.n_chunks,
        0,
        attempt.first_token,
        now - attempt.started_at,
    )


def make_failed(
    state: RequestState, attempt: AttemptNumber, was_sent: bool
) -> SubmitFailedAttempt:
    """Return the record of an attempt that gave no answer."""
    # The engine's usage report is lost with the answer, so the whole
    # reservation counts as spent.
    spent = get_reserved_tokens(state) if was_sent else 0
    return SubmitFailedAttempt(attempt, was_sent, spent)


def get_reserved_tokens(state: RequestState) -> int:
    """Return what the record reserved for one attempt."""
    return 0 if state.begun is None else state.begun.reserved_tokens


def release_all(state: RequestState, now: datetime) -> list[object]:
    """Give back the slots of all attempts."""
    releases: list[object] = [
        make_release(attempt, False, now) for attempt in state.attempts.values()
    ]
    state.attempts.clear()
    return releases
