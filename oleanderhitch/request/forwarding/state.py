"""State of one forwarded request."""

from datetime import datetime, timedelta

from msgspec import Struct, field

from oleanderhitch.connection.http.messages import CallerDisconnected
from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.placement.messages import (
    AttemptProgress,
    EndpointGranted,
    RequestStage,
)
from oleanderhitch.request.forwarding.identity import (
    ANONYMOUS,
    CallerIdentity,
    get_rank,
    qualify_request,
    qualify_turn,
)
from oleanderhitch.request.forwarding.messages import (
    EndpointResponseHead,
    ForwardRequest,
    ProgramTurn,
)
from oleanderhitch.request.forwarding.sse import EventSplitter, make_event_splitter
from oleanderhitch.request.forwarding.states import Phase
from oleanderhitch.request.ids import HolderId, PermitId, RequestId
from oleanderhitch.version.ids import EndpointId, ServiceName
from oleanderhitch.version.routes.configuration import Route

# Size of the range of exchange ids that each request gets, so that the exchanges of an
# entry host's requests never share an id.
N_EXCHANGES_PER_REQUEST = 64


class Attempt(Struct):
    """The running attempt of a request at one endpoint."""

    exchange_id: int
    permit: PermitId
    endpoint: EndpointId
    sent_at: datetime
    # Whether the endpoint had named a rate limit before.
    is_rate_limited: bool = False
    head: EndpointResponseHead | None = None
    n_head_bytes: int = 0
    latency_measured_from: datetime | None = None
    n_latency_events: int = 0
    last_event_at: datetime | None = None
    has_reported_latency: bool = False
    n_events: int = 0
    body: bytearray = field(default_factory=bytearray)

    @property
    def progress(self) -> AttemptProgress:
        """How far the response of the endpoint has come."""
        if self.head is None:
            return AttemptProgress.NOTHING
        has_output = self.n_events > 0 or bool(self.body)
        return AttemptProgress.OUTPUT if has_output else AttemptProgress.HEAD


class HistoryImport(Struct):
    """The copy of another program's history, so far as it is stored.

    `last_piece` is the id under which the last piece is stored.
    """

    group: GroupId
    n_bytes: int
    retention: timedelta
    n_bytes_stored: int = 0
    last_piece: RequestId | None = None


class ForwardState(Struct):
    """The state of one request, owned by its task."""

    request: ForwardRequest
    route: Route
    service: ServiceName
    tokens_per_event: int
    number: int
    started_at: datetime
    deadline: datetime
    # Groups of the record that may have the turn to continue, besides the program's.
    n_other_record_groups: int = 0
    identity: CallerIdentity = ANONYMOUS
    # Whether the request needs a credit of its account, and until when it has one.
    needs_credit: bool = False
    credit_expires_at: datetime | None = None
    # The endpoint that was granted while the credit is renewed.
    granted_endpoint: EndpointGranted | None = None
    phase: Phase = Phase.RESERVING
    # Groups that have not answered the search of the turn to continue yet, and why one
    # of them could not be searched.
    n_searches: int = 0
    search_failure: str = ""
    history_import: HistoryImport | None = None
    history: bytearray = field(default_factory=bytearray)
    n_history_bytes_left: int = 0
    attempt: Attempt | None = None
    tried_endpoints: tuple[EndpointId, ...] = ()
    n_sends: int = 0
    # Sends that the endpoint did not run.
    n_unexecuted: int = 0
    # Attempts that ran or may have run.
    n_runs: int = 0
    has_started_response: bool = False
    splitter: EventSplitter = field(default_factory=make_event_splitter)
    # What is recorded: the data of all events, also of those that the caller has.
    output: bytearray = field(default_factory=bytearray)
    # Events relayed to the caller.
    n_events: int = 0
    # The last event that was received, after which the next endpoint goes on.
    last_event_id: str | None = None
    # Events up to this one are recorded and not relayed; None once it has passed.
    resume_after: str | None = None
    disconnect_message: CallerDisconnected | None = None
    # When the running attempt is abandoned and another endpoint is tried.
    failover_at: datetime | None = None

    @property
    def exchange_id_base(self) -> int:
        """The id before those of this request's exchanges."""
        return self.number * N_EXCHANGES_PER_REQUEST

    @property
    def has_been_admitted(self) -> bool:
        """Whether the request had a credit of its account."""
        return self.credit_expires_at is not None

    @property
    def has_not_run(self) -> bool:
        """Whether no endpoint runs, ran or may have run the request."""
        return self.n_sends == self.n_unexecuted

    @property
    def holder(self) -> HolderId:
        """What placement knows this request as."""
        return HolderId(f"{self.request.request}/{self.number}")

    @property
    def rank(self) -> int:
        """How urgent the request is; a lower rank is more urgent."""
        return get_rank(self.identity, self.route)

    @property
    def stage(self) -> RequestStage:
        """How much of its program the request continues."""
        if self.n_runs or self.has_started_response:
            return RequestStage.REPEATED
        turn = self.request.turn
        if self.request.program is None:
            return RequestStage.STANDALONE
        # Calls that spend no tokens follow a turn that asked for them.
        if turn is None or turn.previous is not None:
            return RequestStage.IN_PROGRESS
        return RequestStage.NEW_PROGRAM

    @property
    def finish_at(self) -> datetime | None:
        """The time by which the program of the request should be finished."""
        time_to_finish = self.request.time_to_finish
        return None if time_to_finish is None else self.started_at + time_to_finish

    @property
    def record_id(self) -> RequestId:
        """The id under which the turn is recorded."""
        return qualify_request(self.request.request, self.identity)

    @property
    def turn(self) -> ProgramTurn | None:
        """The turn with the ids of the record, None for other requests."""
        return qualify_turn(self.request.turn, self.identity)

    @property
    def next_tick_at(self) -> datetime:
        """The time at which the request needs a tick if no message arrives before."""
        return min(self.deadline, self.failover_at or self.deadline)

    @property
    def has_ended(self) -> bool:
        """Whether the request is in its final phase."""
        return self.phase is Phase.ENDED

    @property
    def is_recorded(self) -> bool:
        """Whether later turns may continue this request."""
        return self.request.turn is not None and self.route.keeps_history

    @property
    def n_history_bytes(self) -> int:
        """The size of the history that the turn continues, once it is known."""
        return len(self.history) + self.n_history_bytes_left

    @property
    def n_kept_bytes(self) -> int:
        """The bytes of the response that are kept in memory."""
        n_bytes = self.splitter.n_incomplete_bytes + len(self.output)
        if self.attempt is not None:
            n_bytes += len(self.attempt.body) + self.attempt.n_head_bytes
        return n_bytes

    @property
    def spent_tokens(self) -> int:
        """The tokens relayed to the caller."""
        return self.n_events * self.tokens_per_event


def make_forward_state(
    request: ForwardRequest,
    route: Route,
    service: ServiceName,
    tokens_per_event: int,
    request_number: int,
    now: datetime,
    n_other_record_groups: int = 0,
    identity: CallerIdentity = ANONYMOUS,
    has_quotas: bool = False,
) -> ForwardState:
    """Return the state of a request that was received at the given time."""
    timeout: timedelta = route.timeout
    if request.caller_timeout is not None:
        timeout = min(timeout, request.caller_timeout)
    state = ForwardState(
        request,
        route,
        service,
        tokens_per_event,
        request_number,
        now,
        now + timeout,
        n_other_record_groups,
        identity,
        has_quotas and identity.is_limited,
    )
    if state.is_recorded:
        state.resume_after = request.last_event_id or None
    else:
        state.last_event_id = request.last_event_id
    return state
