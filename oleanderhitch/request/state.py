"""Hold the course of one request."""

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from oleanderhitch.program.ids import RunId
from oleanderhitch.program.messages import NO_RUN, Begun
from oleanderhitch.request.ids import AttemptNumber, PermitId
from oleanderhitch.request.messages import (
    AnswerCaller,
    Call,
    SubmitFailedAttempt,
)
from oleanderhitch.request.states import Phase
from oleanderhitch.version.ids import EndpointId

NO_WAKE = datetime.max.replace(tzinfo=UTC)


@dataclass(slots=True)
class Attempt:
    """Hold one attempt that is under way."""

    number: AttemptNumber
    endpoint: EndpointId
    permit: PermitId
    priority: int
    started_at: datetime
    first_token: timedelta | None = None
    n_chunks: int = 0
    is_dispatched: bool = False
    base: int = 0


@dataclass(slots=True)
class RequestState:
    """Hold the course of one request."""

    call: Call
    phase: Phase = Phase.BEGIN
    begun: Begun | None = None
    owner_run: RunId = NO_RUN
    n_attempts: int = 0
    attempts: dict[AttemptNumber, Attempt] = field(default_factory=dict)
    relaying: AttemptNumber | None = None
    answer: bytearray = field(default_factory=bytearray)
    excluded: tuple[EndpointId, ...] = ()
    was_sent: bool = False
    # Attempts that were recorded, or may have been, and were never sent.
    unsent: tuple[SubmitFailedAttempt, ...] = ()
    answered: AttemptNumber | None = None
    finish: tuple[object, ...] = ()
    finish_until: datetime | None = None
    retry_finish_at: datetime | None = None
    pending_answer: AnswerCaller | None = None


def make_request_state(call: Call) -> RequestState:
    """Return the state of a request that has not started."""
    return RequestState(call, excluded=call.excluded)


def find_wake(state: RequestState) -> datetime:
    """Return when the request must look at the time again."""
    if state.phase in (Phase.SLOT, Phase.ANSWER):
        return state.call.deadline
    return state.retry_finish_at or NO_WAKE
