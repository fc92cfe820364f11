"""Define the messages of the placement task."""

from collections.abc import Mapping
from datetime import datetime, timedelta
from enum import Enum

from oleanderhitch.process.address import Address
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.program.ids import AccountId
from oleanderhitch.request.ids import HolderId, PermitId, RequestFingerprint
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId, ServiceName


class PromptPart(Value, frozen=True):
    """Part of a prompt prefix that several requests may share."""

    id: str
    n_tokens: int


class InferenceWorkload(Value, frozen=True):
    """Token counts and cacheable prompt parts of a model request."""

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    parts: tuple[PromptPart, ...]


class RequestStage(Enum):
    """How much of its program a request continues.

    REPEATED: an earlier attempt of the request itself may have run. STANDALONE: it
    belongs to no program.
    """

    REPEATED = "repeated"
    IN_PROGRESS = "in_progress"
    STANDALONE = "standalone"
    NEW_PROGRAM = "new_program"


class AcquireEndpoint(Value, frozen=True):
    """Requests an endpoint of a service, except those that were tried.

    A lower `rank` is served first. `is_retryable` is whether a request that may have
    run can be sent again. A request that still waits at the deadline is refused.
    `workload` is None for a plain service. `fingerprint` stands for its content. What
    is granted belongs to the holder until it is released or `EndHolder` comes. Slots
    are shared out between accounts, if `account` is known. The program of the request
    should be finished by `finish_at`. The caller waits until `caller_deadline`.
    """

    holder: HolderId
    service: ServiceName
    workload: InferenceWorkload | None
    affinity_key: str | None
    rank: int
    tried: tuple[EndpointId, ...]
    is_retryable: bool
    deadline: datetime
    reply_address: Address
    fingerprint: RequestFingerprint
    account: AccountId | None = None
    stage: RequestStage = RequestStage.STANDALONE
    finish_at: datetime | None = None
    caller_deadline: datetime | None = None


class ExplainPlacement(Value, frozen=True):
    """Asks what would be done with a request, which is not placed."""

    acquire: AcquireEndpoint
    reply_address: Address


class EndHolder(Value, frozen=True):
    """Reports that a request has ended, however, and holds nothing any more.

    It is the last message of the request, so that no grant comes after it.
    """

    holder: HolderId


class AttemptResult(Enum):
    """Result of an attempt at an endpoint.

    REFUSED and MISDIRECTED: the endpoint did not run the request. SILENT: the endpoint
    was unresponsive. CONNECTION_LOST: the connection broke after the request was sent.
    UNSENT: the endpoint was granted, and nothing was sent to it.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    CONNECTION_LOST = "connection_lost"
    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"
    SILENT = "silent"
    MISDIRECTED = "misdirected"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


class AttemptProgress(Enum):
    """What an endpoint had sent of its response when the attempt ended."""

    NOTHING = "nothing"
    HEAD = "head"
    OUTPUT = "output"


class ReleaseEndpoint(Value, frozen=True):
    """Releases a permit and reports how the attempt ended, and how far it had come."""

    permit: PermitId
    result: AttemptResult
    progress: AttemptProgress = AttemptProgress.NOTHING


class EndpointLeaving(Value, frozen=True):
    """Reports that the endpoint of a permit has said that it will stop.

    The list of endpoints shows it later, or only after the endpoint has stopped.
    """

    permit: PermitId


class StopAnnounced(Value, frozen=True):
    """Reports that an endpoint has said that it will stop, without a request to run."""

    endpoint: EndpointId
    born_ms: int


class EndpointRateLimited(Value, frozen=True):
    """Reports how many requests a second the endpoint of a permit takes from all hosts.

    None is no limit.
    """

    permit: PermitId
    requests_per_s: float | None


class FirstChunkReceived(Value, frozen=True):
    """Reports the first chunk of a response, which shows that prefill has finished."""

    permit: PermitId


class EventLatencyObserved(Value, frozen=True):
    """Reports the mean time between two events of a stream."""

    permit: PermitId
    latency: timedelta


class EndpointLoad(Value, frozen=True):
    """Load that entry hosts cause at an endpoint.

    `n_reading_tokens` counts the prompt tokens whose prefill is pending.
    """

    endpoint: EndpointId
    n_running: int
    n_reading_tokens: int


class EndpointLimit(Value, frozen=True):
    """Requests a second that an endpoint, started at `born_ms`, takes from all hosts.

    None is the end of a limit. `age_ms` is the time since the endpoint said so.
    """

    endpoint: EndpointId
    born_ms: int
    requests_per_s: float | None
    age_ms: int


class EndpointSpeed(Value, frozen=True, array_like=True):
    """Times of an endpoint, started at `born_ms`, as all entry hosts observe them.

    `decode` compares the time of an output token and `prefill` that until the first
    event with those of the service's median endpoint, in thousandths. `n_allowed` is
    how many requests it may run at once while it ramps up, 0 for no limit.
    """

    endpoint: EndpointId
    born_ms: int
    decode: int
    prefill: int
    n_allowed: int = 0


class RampObservations(Value, frozen=True, array_like=True):
    """Answers and failures of an endpoint with `n_slots` that an entry host counted.

    An answer is fast or slow in comparison with those of its peers. `has_started` is
    set until the leader has set a limit for its start.
    """

    n_slots: int
    has_started: bool
    n_fast: int
    n_slow: int
    n_failed: int


class SpeedObservations(Value, frozen=True, array_like=True):
    """Numbers and sums of the ratios that an entry host has observed, in thousandths.

    They compare an endpoint with the median one of its service, as EndpointSpeed does.
    """

    endpoint: EndpointId
    born_ms: int
    n_decode: int
    decode_sum: int
    n_prefill: int
    prefill_sum: int
    ramp: RampObservations | None = None


class SpeedsReported(Value, frozen=True):
    """Reports the speeds that have changed, as all entry hosts observe them.

    A complete report comes from a leader that this entry host has not heard before, and
    holds all that it knows.
    """

    speeds: tuple[EndpointSpeed, ...]
    is_complete: bool


class SendPermitRequest(Value, frozen=True):
    """Requests the permit for one send to the first of these endpoints that takes it.

    An entry host numbers its requests.
    """

    number: int
    limits: tuple[EndpointLimit, ...]


class ExhaustedEndpoint(Value, frozen=True):
    """An endpoint whose limit is reached, and the time until it takes more."""

    endpoint: EndpointId
    wait_ms: int


class SendPermitReply(Value, frozen=True):
    """Grants a send to an endpoint, or to none; only the leader can grant one.

    The endpoints before the granted one are exhausted.
    """

    number: int
    is_leader: bool
    endpoint: EndpointId | None = None
    exhausted: tuple[ExhaustedEndpoint, ...] = ()


class LimitsReported(Value, frozen=True):
    """Reports the limits that endpoints have named to any entry host."""

    limits: tuple[EndpointLimit, ...]


class GetLoads(Value, frozen=True):
    """Requests the loads that this entry host causes."""

    reply_address: Address


class LoadsFound(Value, frozen=True):
    """Reports what this entry host causes and has observed, in reply to GetLoads."""

    loads: tuple[EndpointLoad, ...]
    limits: tuple[EndpointLimit, ...] = ()
    # What was observed since the last reply.
    speeds: tuple[SpeedObservations, ...] = ()


class PeerLoadsReported(Value, frozen=True):
    """Reports the loads that all other entry hosts cause, and how many hosts there are.

    The number includes this entry host.
    """

    loads: tuple[EndpointLoad, ...]
    n_entry_hosts: int = 1


class EndpointGranted(Value, frozen=True):
    """Grants an endpoint to a request.

    `is_rate_limited` means that the endpoint names a limit for all hosts in its
    answers, so that its next answer is of interest for one.
    """

    holder: HolderId
    permit: PermitId
    endpoint: ListedEndpoint
    is_rate_limited: bool = False


class EndpointRefused(Value, frozen=True):
    """Refuses a request that gets no endpoint before its deadline.

    Quarantined content gets none at all, since it crashes the endpoints that run it. An
    overloaded service would serve the request too late. `retry_after` is None if it is
    not known when there may be a slot.
    """

    holder: HolderId
    reason: str
    is_quarantined: bool = False
    is_overloaded: bool = False
    retry_after: timedelta | None = None


class CrashesReported(Value, frozen=True):
    """Reports the content that is suspected of crashes, and what is not to be sent."""

    suspected: frozenset[RequestFingerprint]
    quarantined: frozenset[RequestFingerprint]


class CacheCapacitiesUpdated(Value, frozen=True):
    """Reports the prefix cache capacity of each service's engines, in tokens.

    `tokens_per_event` is the number of tokens that an event of a stream counts for.
    """

    capacity_tokens: Mapping[ServiceName, int]
    tokens_per_event: Mapping[ServiceName, int] = {}


class CacheContentsReported(Value, frozen=True):
    """Reports the prompt parts that an engine, started at `born_ms`, has cached."""

    endpoint: EndpointId
    born_ms: int
    parts: tuple[PromptPart, ...]


class EndpointsListed(Value, frozen=True):
    """Replaces the list of known endpoints."""

    endpoints: tuple[ListedEndpoint, ...]
