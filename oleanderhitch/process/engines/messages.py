"""Define the HTTP calls to engines and their results.

An order asks an engine to change what it has loaded. It carries the leader's term as
its fencing number, so that the engine can refuse the orders of an earlier leader.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta

from oleanderhitch.process.engines.states import OrderKind
from oleanderhitch.process.ids import Term
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.version.ids import EndpointId, ModelName


@dataclass(frozen=True, slots=True)
class EngineDescription:
    """Engine of the configuration in use.

    models are the models that it may load. An engine with checks_fencing refuses
    orders with an outdated fencing number.
    """

    endpoint: EndpointId
    address: str
    models: tuple[ModelName, ...]
    checks_fencing: bool


@dataclass(frozen=True, slots=True)
class EnginesChanged:
    """Replace the set of engines."""

    engines: tuple[EngineDescription, ...]


# Requests; each is answered with its result or with EngineCallFailed.


@dataclass(frozen=True, slots=True)
class ReadLoad:
    """Read the load that an engine reports."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class ReadCacheEvents:
    """Read the cache events after a sequence number."""

    endpoint: EndpointId
    after: int


@dataclass(frozen=True, slots=True)
class ReadCachedPrograms:
    """Read the programs whose prefixes an engine caches."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class ReleaseCache:
    """Request that an engine drops the cached prefix of an ended program."""

    endpoint: EndpointId
    program: ProgramId


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Order an engine to change what it has loaded; not sent after send_before.

    name is that of the model, adapter or version to load, or of the role to set.
    """

    endpoint: EndpointId
    fencing_number: Term
    kind: OrderKind
    name: str
    send_before: datetime


@dataclass(frozen=True, slots=True)
class ReadLoadedModel:
    """Read which model an engine has loaded.

    requested_at matches the result to its request.
    """

    endpoint: EndpointId
    requested_at: datetime


EngineRequest = (
    ReadLoad
    | ReadCacheEvents
    | ReadCachedPrograms
    | ReleaseCache
    | SendOrder
    | ReadLoadedModel
)


@dataclass(frozen=True, slots=True)
class CallEngine:
    """Send a request to an address; an effect of all cores of this package."""

    address: str
    request: EngineRequest


# Results.


@dataclass(frozen=True, slots=True)
class LoadRead:
    """Load that an engine measured, age ago."""

    endpoint: EndpointId
    n_running: int
    n_waiting: int
    age: timedelta


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Report that an engine stored or evicted the prefix of a program."""

    sequence_number: int
    program: ProgramId
    is_stored: bool


@dataclass(frozen=True, slots=True)
class CacheEventsRead:
    """Cache events after a sequence number; some may be missing."""

    endpoint: EndpointId
    after: int
    events: tuple[CacheEvent, ...]
    last_sequence_number: int


@dataclass(frozen=True, slots=True)
class CachedProgramsRead:
    """Programs whose prefixes an engine caches."""

    endpoint: EndpointId
    programs: frozenset[ProgramId]


@dataclass(frozen=True, slots=True)
class CacheReleased:
    """Result of ReleaseCache; is_released is False while a request still runs."""

    endpoint: EndpointId
    program: ProgramId
    is_released: bool


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """Report that an engine accepted an order."""

    order: SendOrder


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """Report that an engine refused an order whose fencing number is outdated.

    fencing_number is the highest that the engine has received.
    """

    order: SendOrder
    fencing_number: Term


@dataclass(frozen=True, slots=True)
class LoadedModelRead:
    """Model of an engine and the highest fencing number that it has received.

    loading_model is the model that it is loading, if any.
    """

    endpoint: EndpointId
    requested_at: datetime
    model: ModelName
    loading_model: ModelName | None
    fencing_number: Term


@dataclass(frozen=True, slots=True)
class EngineCallFailed:
    """Report that a request failed; if it was sent, it may have taken effect."""

    request: EngineRequest
    was_sent: bool
    reason: str
