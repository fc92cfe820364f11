"""Define the state of one forwarded request."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from oleanderhitch.connection.http.messages import CallerLeft
from oleanderhitch.request.forwarding.messages import AnswerHead, ForwardRequest
from oleanderhitch.request.forwarding.sse import EventSplitter, make_event_splitter
from oleanderhitch.request.forwarding.states import Phase
from oleanderhitch.request.ids import PermitId
from oleanderhitch.version.ids import EndpointId, ServiceName
from oleanderhitch.version.routes.configuration import Route

# Exchanges of one request are numbered from a base that is this far from the
# base of the next request.
N_EXCHANGES_PER_REQUEST = 64


@dataclass(slots=True)
class Attempt:
    """Hold the work that one endpoint does for the request."""

    exchange: int
    permit: PermitId
    endpoint: EndpointId
    sent_at: datetime
    head: AnswerHead | None = None
    pace_since: datetime | None = None
    n_events_paced: int = 0
    body: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class ForwardState:
    """Hold everything known of one request; its task owns it."""

    request: ForwardRequest
    route: Route
    service: ServiceName
    tokens_per_event: int
    exchange_base: int
    started_at: datetime
    due_at: datetime
    phase: Phase = Phase.RESERVING
    history: bytes = b""
    attempt: Attempt | None = None
    tried: tuple[EndpointId, ...] = ()
    n_sends: int = 0
    n_runs: int = 0
    has_started_answer: bool = False
    splitter: EventSplitter = field(default_factory=make_event_splitter)
    output: list[bytes] = field(default_factory=list)
    n_events: int = 0
    last_event: str | None = None
    left: CallerLeft | None = None
    # When an unanswered attempt is given up for another endpoint.
    repeat_at: datetime | None = None

    @property
    def wake_at(self) -> datetime:
        """Return when the request must be looked at if nothing happens."""
        return min(self.due_at, self.repeat_at or self.due_at)

    @property
    def has_ended(self) -> bool:
        """Tell whether nothing more happens to the request."""
        return self.phase is Phase.ENDED

    @property
    def spent_tokens(self) -> int:
        """Return the tokens handed to the caller."""
        return self.n_events * self.tokens_per_event


def make_forward_state(
    request: ForwardRequest,
    route: Route,
    service: ServiceName,
    tokens_per_event: int,
    exchange_base: int,
    now: datetime,
) -> ForwardState:
    """Return the state of a request that has just been read."""
    wait_limit: timedelta = route.timeout
    if request.caller_timeout is not None:
        wait_limit = min(wait_limit, request.caller_timeout)
    return ForwardState(
        request,
        route,
        service,
        tokens_per_event,
        exchange_base * N_EXCHANGES_PER_REQUEST,
        now,
        now + wait_limit,
        last_event=request.last_event_id,
    )
