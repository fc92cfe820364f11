"""Hold what placement knows of endpoints and of the work on them."""

from collections import OrderedDict, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.placement.cache import CacheEstimate
from oleanderhitch.process.placement.latency import Pace
from oleanderhitch.process.placement.messages import AcquireEndpoint, EndpointLoad
from oleanderhitch.process.placement.reliability import Reliability
from oleanderhitch.request.ids import PermitId
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName

# Loads of other entries change within half a second; older ones mislead.
OTHERS_AGE_LIMIT = timedelta(seconds=1)


@dataclass(slots=True)
class Endpoint:
    """Hold what placement knows of an endpoint."""

    listed: ListedEndpoint
    cache: CacheEstimate
    is_cache_unknown: bool
    pace: Pace = field(default_factory=Pace)
    reliability: Reliability = field(default_factory=Reliability)
    permits: set[PermitId] = field(default_factory=set)
    avoid_until: datetime | None = None
    # Objects whose calls were sent there, the last one at the end.
    objects: OrderedDict[str, None] = field(default_factory=OrderedDict)
    # When something was last heard of it, or when it began to work.
    heard_at: datetime | None = None
    others: EndpointLoad | None = None
    others_at: datetime | None = None


@dataclass(frozen=True, slots=True)
class Permit:
    """Hold the work that a permit stands for."""

    endpoint: EndpointId
    n_reading_tokens: int


@dataclass(slots=True)
class PlacementState:
    """Hold the endpoints and the work on them; the placement task owns it."""

    data_centre: DataCentreName
    prefix: str
    endpoints: dict[EndpointId, Endpoint] = field(default_factory=dict)
    memory_tokens: Mapping[ServiceName, int] = field(default_factory=dict)
    permits: dict[PermitId, Permit] = field(default_factory=dict)
    waiting: list[AcquireEndpoint] = field(default_factory=list)
    reading_tokens: defaultdict[EndpointId, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    n_permits: int = 0


def find_others(endpoint: Endpoint, now: datetime) -> EndpointLoad | None:
    """Return what other entries cause, unless that was told too long ago."""
    told_at = endpoint.others_at
    if told_at is None or now - told_at > OTHERS_AGE_LIMIT:
        return None
    return endpoint.others


def count_running(endpoint: Endpoint, now: datetime) -> int:
    """Return the requests on an endpoint, as far as this entry knows."""
    others = find_others(endpoint, now)
    return len(endpoint.permits) + (0 if others is None else others.n_running)
