"""Define what requests ask of placement."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum

from oleanderhitch.process.address import Address
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.request.ids import PermitId, RequestId
from oleanderhitch.version.ids import EndpointId, ServiceName


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name a part of a prompt that requests may share."""

    part: str
    n_tokens: int


@dataclass(frozen=True, slots=True)
class InferenceWorkload:
    """Describe the model work of a request.

    The output is bounded by one count of tokens and expected to have the other.
    """

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class AcquireEndpoint:
    """Ask for an endpoint of a service, except those that were tried."""

    request: RequestId
    service: ServiceName
    workload: InferenceWorkload | None
    affinity_key: str | None
    rank: int
    tried: tuple[EndpointId, ...]
    may_repeat: bool
    due_at: datetime
    reply: Address


@dataclass(frozen=True, slots=True)
class WithdrawRequest:
    """Say that a request needs no endpoint any more."""

    request: RequestId


class AttemptResult(Enum):
    """Tell how the work on an endpoint ended, as far as placement learns of it."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_CONNECTED = "not_connected"
    STALE_CONNECTION = "stale_connection"
    REFUSED = "refused"
    SILENT = "silent"
    MISDIRECTED = "misdirected"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class ReleaseEndpoint:
    """Give a permit back."""

    permit: PermitId
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class FirstChunkReceived:
    """Say that the endpoint has read the prompt."""

    permit: PermitId


@dataclass(frozen=True, slots=True)
class EventLatencyObserved:
    """Tell how long an endpoint takes between two events of a stream."""

    permit: PermitId
    latency: timedelta


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Count the requests on an endpoint and the prompt tokens it has yet to read."""

    endpoint: EndpointId
    n_running: int
    n_reading_tokens: int


@dataclass(frozen=True, slots=True)
class GetLoads:
    """Ask placement for the loads that this entry causes."""

    reply: Address


@dataclass(frozen=True, slots=True)
class LoadsFound:
    """Bring the loads that this entry causes."""

    loads: tuple[EndpointLoad, ...]


@dataclass(frozen=True, slots=True)
class PeerLoadsReported:
    """Bring the loads that all other entries cause."""

    loads: tuple[EndpointLoad, ...]


@dataclass(frozen=True, slots=True)
class EndpointGranted:
    """Name the endpoint that a request may use."""

    request: RequestId
    permit: PermitId
    endpoint: ListedEndpoint


@dataclass(frozen=True, slots=True)
class EndpointRefused:
    """Say that no endpoint can take the request in time."""

    request: RequestId
    reason: str


@dataclass(frozen=True, slots=True)
class CacheCapacitiesUpdated:
    """Say how many tokens the engines of each service hold in memory."""

    capacity_tokens: Mapping[ServiceName, int]


@dataclass(frozen=True, slots=True)
class CacheContentsReported:
    """Bring the parts that one start of an engine holds."""

    endpoint: EndpointId
    born_ms: int
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """Replace the known endpoints."""

    endpoints: tuple[ListedEndpoint, ...]
