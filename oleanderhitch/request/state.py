"""State of one request."""

from datetime import UTC, datetime, timedelta

from msgspec import Struct, field

from oleanderhitch.program.ids import RunId
from oleanderhitch.program.messages import NO_RUN, Begun
from oleanderhitch.request.ids import AttemptNumber, PermitId
from oleanderhitch.request.messages import (
    Call,
    RespondToCaller,
    SubmitFailedAttempt,
)
from oleanderhitch.request.states import Phase
from oleanderhitch.version.ids import EndpointId

# No tick is needed before the next message.
NO_TICK = datetime.max.replace(tzinfo=UTC)


class Attempt(Struct):
    """An attempt in progress."""

    number: AttemptNumber
    endpoint: EndpointId
    permit: PermitId
    priority: int
    started_at: datetime
    time_to_first_token: timedelta | None = None
    n_chunks: int = 0
    is_dispatched: bool = False
    # Length of the answer received from earlier attempts, which this one continues.
    start_offset: int = 0


class RequestState(Struct):
    """The progress of one request."""

    call: Call
    phase: Phase = Phase.BEGIN
    begun: Begun | None = None
    owner_run: RunId = NO_RUN
    n_attempts: int = 0
    attempts: dict[AttemptNumber, Attempt] = field(default_factory=dict)
    relayed_attempt: AttemptNumber | None = None
    answer: bytearray = field(default_factory=bytearray)
    excluded: tuple[EndpointId, ...] = ()
    # An endpoint may have received the call.
    was_sent: bool = False
    # Attempts that may have been recorded but were never sent.
    unsent_attempts: tuple[SubmitFailedAttempt, ...] = ()
    completed_attempt: AttemptNumber | None = None
    # Commands that record the outcome, resent until the deadline.
    finish_commands: tuple[object, ...] = ()
    finish_deadline: datetime | None = None
    finish_retry_at: datetime | None = None
    # Sent to the caller once the outcome is recorded.
    pending_response: RespondToCaller | None = None


def make_request_state(call: Call) -> RequestState:
    """Return the state of a request that has not started."""
    return RequestState(call, excluded=call.excluded)


def find_next_tick(state: RequestState) -> datetime:
    """Return when the request needs its next tick."""
    if state.phase in (Phase.SLOT, Phase.ANSWER):
        return state.call.deadline
    return state.finish_retry_at or NO_TICK
