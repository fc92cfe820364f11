"""Define the state of the placement task."""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Mapping
from datetime import datetime, timedelta
from enum import Enum
from random import Random

from msgspec import Struct, field

from oleanderhitch.process.crashes.messages import Suspicion
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.placement.cache import CacheEstimate
from oleanderhitch.process.placement.latency import LatencyAverage
from oleanderhitch.process.placement.messages import AcquireEndpoint, EndpointLoad
from oleanderhitch.process.placement.reliability import Reliability
from oleanderhitch.process.placement.speeds import (
    EndpointSpeeds,
    ServiceSpeeds,
    SpeedReports,
)
from oleanderhitch.program.ids import AccountId
from oleanderhitch.request.ids import HolderId, PermitId, RequestFingerprint
from oleanderhitch.values import Value
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName

# Entry hosts of a usual deployment, until the leader has said how many there are.
N_ENTRY_HOSTS_ASSUMED = 7
# With fewer entry hosts, each sees an endpoint often enough to judge it by itself, and
# few requests of others go unseen. With twenty, a host sends a twentieth of what an
# endpoint gets.
N_ENTRY_HOSTS_MANY = 20
# Never changed.
ASSUMED_SPEEDS = ServiceSpeeds()
# Loads change within half a second; reports older than this no longer describe them.
PEER_LOAD_TTL = timedelta(seconds=1)


class RateLimit(Struct):
    """Requests a second that an endpoint takes from all entry hosts together.

    None is no limit. The leader has said that it takes none until `exhausted_until`.
    Without a leader this entry host may send at `next_local_send_at`. `price_ms`, as of
    `priced_at`, is what a request must gain by a send here for it to ask for one.
    """

    requests_per_s: float | None = None
    observed_at: datetime | None = None
    exhausted_until: datetime | None = None
    next_local_send_at: datetime | None = None
    price_ms: float = 0.0
    priced_at: datetime | None = None


class InterruptedRequest(Value, frozen=True):
    """The content of a request whose connection to its endpoint broke."""

    fingerprint: RequestFingerprint
    suspicion: Suspicion
    sent_at: datetime
    at: datetime


class Ramping(Struct):
    """What this host has counted of an endpoint and not yet reported, for its ramp.

    `duration_ms` is the mean of its calls, None before the first. `has_started` is set
    from its start until the leader has set a limit.
    """

    has_started: bool
    n_fast: int = 0
    n_slow: int = 0
    n_failed: int = 0
    duration_ms: float | None = None


class Endpoint(Struct):
    """State of one endpoint as observed by this entry host."""

    listed: ListedEndpoint
    cache: CacheEstimate
    needs_cache_query: bool
    latency: LatencyAverage = field(default_factory=LatencyAverage)
    reliability: Reliability = field(default_factory=Reliability)
    speeds: EndpointSpeeds = field(default_factory=EndpointSpeeds)
    # None if the deployment asks for no ramp.
    ramping: Ramping | None = None
    # Whether this host may send a trial request before the next loads are reported.
    has_trial: bool = False
    # Whether it was chosen since the last report of loads, and in which share of them.
    is_wanted: bool = False
    wanted_share: float = 1.0
    permits: set[PermitId] = field(default_factory=set)
    avoid_until: datetime | None = None
    # Since when it is known that no request reaches it, until one is answered, and when
    # the first one after that was sent.
    unreachable_at: datetime | None = None
    trial_at: datetime | None = None
    # Affinity keys of the calls that were sent here, most recent last.
    affinity_keys: OrderedDict[str, None] = field(default_factory=OrderedDict)
    # Time of the last response, or of the first request after an idle period.
    last_activity_at: datetime | None = None
    peer_load: EndpointLoad | None = None
    peer_load_at: datetime | None = None
    # Whether the endpoint itself has said that it will stop.
    has_announced_stop: bool = False
    rate_limit: RateLimit = field(default_factory=RateLimit)
    interrupted: list[InterruptedRequest] = field(default_factory=list)
    # When it was found that the endpoint has crashed, until it serves a later request.
    crash_found_at: datetime | None = None
    # Since when the list does not name it.
    unlisted_at: datetime | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether the list or the endpoint says that it will stop."""
        return self.listed.is_leaving or self.has_announced_stop


class QueueId(Value, frozen=True):
    """Requests that compete for the same slots: those of one service and kind."""

    service: ServiceName
    is_engine: bool


class DrainRate(Struct):
    """Grants of a service and the seconds in which requests waited for them.

    Both lose their weight with time.
    """

    n_grants: float = 0.0
    waiting_s: float = 0.0
    observed_at: datetime | None = None
    # Whether requests wait for slots, and none is free.
    is_waiting: bool = False


class ServiceQueue(Struct):
    """Requests of this entry host that run at one service or wait for it."""

    # In the order of their arrival.
    waiting: list[AcquireEndpoint] = field(default_factory=list)
    # Only accounts that have running requests.
    n_running: Counter[AccountId | None] = field(default_factory=Counter)
    # Grants since the last one to the request that had waited longest.
    n_grants_by_order: int = 0
    drain: DrainRate = field(default_factory=DrainRate)
    # When the last log line on early refusals was written.
    refusals_logged_at: datetime | None = None
    # How long a request holds its endpoint.
    mean_duration: timedelta | None = None
    # The number of waiting requests in the metrics.
    n_reported: int = 0


class PrefixKnowledge(Enum):
    """What an entry host knows of the shared prefix of a prompt at its endpoint.

    ASSUMED: the endpoint is one of its homes.
    """

    KNOWN = "known"
    ASSUMED = "assumed"
    MISSING = "missing"


class Permit(Value, frozen=True):
    """Endpoint, pending prefill and content of one granted request."""

    endpoint: EndpointId
    n_pending_prefill_tokens: int
    fingerprint: RequestFingerprint
    is_engine: bool
    granted_at: datetime
    holder: HolderId
    queue: QueueId
    account: AccountId | None
    # Prompt tokens to read, if no other prefill had to end before: a first event then
    # shows how fast the endpoint reads.
    n_measured_tokens: int | None = None
    # How long the first event of an engine should take.
    expected_first_ms: float | None = None


class PendingPermitRequest(Value, frozen=True):
    """A request whose send to a limited endpoint the leader has been asked for."""

    message: AcquireEndpoint
    asked_at: datetime


class PlacementState(Struct):
    """Endpoints, permits and waiting requests; owned by the placement task."""

    data_centre: DataCentreName
    permit_prefix: str
    random_source: Random = field(default_factory=lambda: Random(0))
    endpoints: dict[EndpointId, Endpoint] = field(default_factory=dict)
    # When the list of endpoints changed last.
    listed_at: datetime | None = None
    # Endpoints that the list does not name for a while, or whose entry can't be read.
    unlisted: dict[EndpointId, Endpoint] = field(default_factory=dict)
    cache_capacity_tokens: Mapping[ServiceName, int] = field(default_factory=dict)
    tokens_per_event: Mapping[ServiceName, int] = field(default_factory=dict)
    speed_reports: SpeedReports = field(default_factory=SpeedReports)
    service_speeds: defaultdict[ServiceName, ServiceSpeeds] = field(
        default_factory=lambda: defaultdict(ServiceSpeeds)
    )
    permits: dict[PermitId, Permit] = field(default_factory=dict)
    # What each request holds: every permit belongs to one request in progress.
    held_permits: dict[HolderId, set[PermitId]] = field(default_factory=dict)
    # Requests that were neither granted nor refused an endpoint yet, and since when.
    undecided: dict[HolderId, datetime] = field(default_factory=dict)
    queues: defaultdict[QueueId, ServiceQueue] = field(
        default_factory=lambda: defaultdict(ServiceQueue)
    )
    pending_prefill_tokens: defaultdict[EndpointId, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    # Whether endpoints ramp up that do not say themselves that they start cold.
    is_ramp_up_enabled: bool = False
    # Mean duration of the calls of each plain service.
    durations_ms: dict[ServiceName, float] = field(default_factory=dict)
    # When the leader has reported the loads of other entry hosts last.
    peer_loads_at: datetime | None = None
    last_permit_number: int = 0
    permit_requests: dict[int, PendingPermitRequest] = field(default_factory=dict)
    last_permit_request: int = 0
    # Until when this entry host goes by its own share of the limits.
    local_share_until: datetime | None = None
    n_entry_hosts: int = N_ENTRY_HOSTS_ASSUMED
    # Endpoints in the order in which they cache a shared prefix of prompts, least
    # recently used prefix first.
    prefix_orders: OrderedDict[tuple[ServiceName, str], tuple[EndpointId, ...]] = field(
        default_factory=OrderedDict
    )
    # Grants since the last report to the metrics.
    prefix_counts: Counter[PrefixKnowledge] = field(default_factory=Counter)
    # Content that endpoints ran when they crashed, and what is not sent for it.
    suspected: frozenset[RequestFingerprint] = frozenset()
    quarantined: frozenset[RequestFingerprint] = frozenset()

    @property
    def has_many_hosts(self) -> bool:
        """Whether a host has to go by what others observe, too."""
        return self.n_entry_hosts >= N_ENTRY_HOSTS_MANY

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits for an endpoint."""
        return any(queue.waiting for queue in self.queues.values())


def find_endpoint(name: EndpointId, state: PlacementState) -> Endpoint | None:
    """Return what is known of an endpoint, whether the list names it or not."""
    return state.endpoints.get(name) or state.unlisted.get(name)


def get_cost_speeds(service: ServiceName, state: PlacementState) -> ServiceSpeeds:
    """Return the speeds that the costs of a service's endpoints are estimated with.

    With few entry hosts, these are the assumed ones: each compares the endpoints by
    what it observes itself.
    """
    return state.service_speeds[service] if state.has_many_hosts else ASSUMED_SPEEDS


def find_peer_load(endpoint: Endpoint, now: datetime) -> EndpointLoad | None:
    """Return the load that other entry hosts cause, unless its report is outdated."""
    reported_at = endpoint.peer_load_at
    if reported_at is None or now - reported_at > PEER_LOAD_TTL:
        return None
    return endpoint.peer_load


def count_running(endpoint: Endpoint, now: datetime) -> int:
    """Return the known number of running requests, of all entry hosts."""
    n_own = len(endpoint.permits)
    if endpoint.peer_load is None:
        return n_own
    peer_load = find_peer_load(endpoint, now)
    return n_own + (0 if peer_load is None else peer_load.n_running)
