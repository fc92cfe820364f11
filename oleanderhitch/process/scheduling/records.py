"""Define the state of a pool's queue."""

from collections import OrderedDict, deque

from msgspec import Struct, field

from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.scheduling.free_index import FreeIndex
from oleanderhitch.process.scheduling.lazy_heap import HeapItem
from oleanderhitch.process.scheduling.messages import EnqueueRequest
from oleanderhitch.process.scheduling.settings import PoolSettings
from oleanderhitch.process.scheduling.states import Health
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.ids import PermitId, RequestId
from oleanderhitch.version.ids import EndpointId, PoolId

# Older candidates have most likely ended by the time that slots become free.
N_HEDGE_CANDIDATES_LIMIT = 1_024


class QueuedRequest(Struct):
    """A waiting request; times are seconds of the owner's clock.

    `charged_s` is the fair-share time that the account was charged. `holder` is the
    endpoint that is assumed to have cached `n_cached_tokens` of the prefix.
    """

    enqueue: EnqueueRequest
    arrival_number: int
    rank: float
    deadline_s: float
    charged_s: float
    holder: EndpointId | None
    n_cached_tokens: int
    is_in_general_queue: bool = False


class Permit(Struct):
    """The right of an attempt to use one slot; times are seconds of the owner's clock.

    `charged_s` is the fair-share time that the account was charged.
    """

    permit: PermitId
    request: RequestId
    program: ProgramId
    account: AccountId
    node: NodeId
    endpoint: EndpointId
    started_s: float
    charged_s: float = 0.0
    deadline_s: float = 0.0
    prompt_tokens: int = 0
    may_hedge: bool = False
    excluded: tuple[EndpointId, ...] = ()


class CachedPrefix(Struct):
    """A prefix that an endpoint is assumed to have cached."""

    n_tokens: int
    last_used_s: float


class Endpoint(Struct):
    """Slots, queue, assumed cache contents and observed speed of an endpoint."""

    endpoint: EndpointId
    n_slots: int = 0
    cache_capacity_tokens: int = 0
    # Until it is offered, an endpoint gets no requests.
    health: Health = Health.LEAVING
    permits: dict[PermitId, None] = field(default_factory=dict)
    queue: list[HeapItem] = field(default_factory=list)
    cached_prefixes: OrderedDict[ProgramId, CachedPrefix] = field(
        default_factory=OrderedDict
    )
    n_cached_tokens: int = 0
    # Until the first eviction, an endpoint that a request names as holder counts as
    # caching the whole prefix: a new owner has no record of the cache contents.
    has_evicted_prefix: bool = False
    # Recent observations: time in seconds, number of tokens, duration in seconds.
    observations: deque[tuple[float, int, float]] = field(
        default_factory=lambda: deque(maxlen=8)
    )
    s_per_token: float | None = None
    last_probe_s: float = 0.0
    # Time at which the prefill of all prompts sent here is expected to be done.
    prefill_done_s: float = 0.0

    @property
    def n_in_flight(self) -> int:
        """The exact number of slots in use."""
        return len(self.permits)


class Account(Struct):
    """Use of an account's fair share.

    `virtual_finish_s` is the time at which its fair share has covered the slot time
    charged so far; an account within its share has a time in the past. `n_active`
    counts its waiting requests and its permits.
    """

    virtual_finish_s: float = 0.0
    n_active: int = 0


class Averages(Struct):
    """Moving averages over the attempts of the pool."""

    slot_s: float = 1.0
    prefill_s_per_token: float = 0.0002
    n_observed: int = 0


class PoolState(Struct):
    """Queues, slots in use and endpoints of one pool; owned by the pool's task."""

    pool: PoolId
    settings: PoolSettings
    permit_prefix: str
    last_permit_number: int = 0
    last_arrival_number: int = 0
    n_slots: int = 0
    n_active_accounts: int = 0
    # Retries and hedges that are left in the budget.
    retry_budget: float = 8.0
    waiting: dict[RequestId, QueuedRequest] = field(default_factory=dict)
    permits: dict[PermitId, Permit] = field(default_factory=dict)
    attempts: dict[RequestId, list[PermitId]] = field(default_factory=dict)
    endpoints: dict[EndpointId, Endpoint] = field(default_factory=dict)
    accounts: dict[AccountId, Account] = field(default_factory=dict)
    general_queue: list[HeapItem] = field(default_factory=list)
    free_endpoints: FreeIndex = field(default_factory=FreeIndex)
    # Endpoints on probation, least recently probed first.
    probation: dict[EndpointId, None] = field(default_factory=dict)
    sorted_s_per_token: list[float] = field(default_factory=list)
    averages: Averages = field(default_factory=Averages)
    # Time in seconds at which the affinity wait or the deadline is over, arrival
    # number, request.
    affinity_timers: list[tuple[float, int, RequestId]] = field(default_factory=list)
    deadline_timers: list[tuple[float, int, RequestId]] = field(default_factory=list)
    hedge_candidates: deque[PermitId] = field(
        default_factory=lambda: deque(maxlen=N_HEDGE_CANDIDATES_LIMIT)
    )
