"""Define the calls of engines and their results."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from oleanderhitch.process.engines.states import OrderKind
from oleanderhitch.process.ids import Term
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.version.ids import EndpointId, ModelName


@dataclass(frozen=True, slots=True)
class EngineDescription:
    """Describe an engine of the configuration in use."""

    endpoint: EndpointId
    address: str
    models: tuple[ModelName, ...]
    checks_fencing: bool


@dataclass(frozen=True, slots=True)
class EnginesChanged:
    """Replace the set of engines."""

    engines: tuple[EngineDescription, ...]


# Calls; each ends with its result or with EngineCallFailed.


@dataclass(frozen=True, slots=True)
class ReadLoad:
    """Read an engine's report of its load."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class ReadCacheEvents:
    """Read the cache events after a number."""

    endpoint: EndpointId
    after: int


@dataclass(frozen=True, slots=True)
class ReadCachedPrograms:
    """Read which programs hold memory."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class ReleaseCache:
    """Free the memory of an ended program."""

    endpoint: EndpointId
    program: ProgramId


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Change what an engine has loaded; it must not be sent after its time."""

    endpoint: EndpointId
    fencing_number: Term
    kind: OrderKind
    name: str
    send_before: datetime


@dataclass(frozen=True, slots=True)
class ReadLoadedModel:
    """Read back what an engine has loaded."""

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
    """Ask for a call at an address; the effect of every core of this package."""

    address: str
    request: EngineRequest


# Results.


@dataclass(frozen=True, slots=True)
class LoadRead:
    """Bring an engine's report of its load."""

    endpoint: EndpointId
    n_running: int
    n_waiting: int
    age: timedelta


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Hold one numbered change of an engine's cache."""

    sequence_number: int
    program: ProgramId
    is_stored: bool


@dataclass(frozen=True, slots=True)
class CacheEventsRead:
    """Bring the cache events after a number, maybe with gaps."""

    endpoint: EndpointId
    after: int
    events: tuple[CacheEvent, ...]
    last_sequence_number: int


@dataclass(frozen=True, slots=True)
class CachedProgramsRead:
    """Bring the programs that hold memory at an engine."""

    endpoint: EndpointId
    programs: frozenset[ProgramId]


@dataclass(frozen=True, slots=True)
class CacheReleased:
    """Bring an engine's answer to a release; a running program is not freed."""

    endpoint: EndpointId
    program: ProgramId
    is_released: bool


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """Say that an engine accepted an order."""

    order: SendOrder


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """Say that an engine refused an order for its old fencing number."""

    order: SendOrder
    fencing_number: Term


@dataclass(frozen=True, slots=True)
class LoadedModelRead:
    """Bring what an engine has loaded and the fencing number it saw last."""

    endpoint: EndpointId
    requested_at: datetime
    model: ModelName
    loading_model: ModelName | None
    fencing_number: Term


@dataclass(frozen=True, slots=True)
class EngineCallFailed:
    """Say that a call had no result; if it was sent, it may have taken effect."""

    request: EngineRequest
    was_sent: bool
    reason: str
