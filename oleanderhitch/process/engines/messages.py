"""Define the HTTP calls to engines and their results.

An order requests that an engine change its model, adapter, version or role. It carries
the leader's term as its fencing number, so that the engine can refuse the orders of an
earlier leader.
"""

from datetime import datetime, timedelta

from oleanderhitch.process.engines.states import OrderKind
from oleanderhitch.process.ids import Term
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId, ModelName


class EngineDescription(Value, frozen=True):
    """Engine that the configuration declares.

    `models` are the models that it may load. An engine with `checks_fencing_tokens`
    refuses orders with an outdated fencing number.
    """

    endpoint: EndpointId
    address: str
    models: tuple[ModelName, ...]
    checks_fencing_tokens: bool


class EnginesChanged(Value, frozen=True):
    """Replaces the set of engines."""

    engines: tuple[EngineDescription, ...]


# Requests. The reply to each is its result or EngineCallFailed.


class ReadLoad(Value, frozen=True):
    """Requests the load that an engine measured last."""

    endpoint: EndpointId


class ReadCacheEvents(Value, frozen=True):
    """Requests the cache events after a sequence number."""

    endpoint: EndpointId
    after: int


class ReadCachedPrograms(Value, frozen=True):
    """Requests the programs whose prefixes an engine caches."""

    endpoint: EndpointId


class ReleaseCache(Value, frozen=True):
    """Requests that an engine drop the cached prefix of an ended program."""

    endpoint: EndpointId
    program: ProgramId


class SendOrder(Value, frozen=True):
    """Sends an order to an engine, but not after `send_before`.

    `name` is that of the model, adapter or version to load, or of the role to set.
    """

    endpoint: EndpointId
    fencing_number: Term
    kind: OrderKind
    name: str
    send_before: datetime


class ReadLoadedModel(Value, frozen=True):
    """Requests the model that an engine has loaded.

    `requested_at` matches the result to its request.
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


class CallEngine(Value, frozen=True):
    """Sends a request to an address; an effect of all cores of this package."""

    address: str
    request: EngineRequest


# Results.


class LoadRead(Value, frozen=True):
    """Reports the load that an engine measured; `age` is the time since then."""

    endpoint: EndpointId
    n_running: int
    n_waiting: int
    age: timedelta


class CacheEvent(Value, frozen=True):
    """Event of an engine that stored or evicted the prefix of a program."""

    sequence_number: int
    program: ProgramId
    is_cached: bool


class CacheEventsRead(Value, frozen=True):
    """Reports the cache events after a sequence number; some may be missing."""

    endpoint: EndpointId
    after: int
    events: tuple[CacheEvent, ...]
    last_sequence_number: int


class CachedProgramsRead(Value, frozen=True):
    """Reports the programs whose prefixes an engine caches."""

    endpoint: EndpointId
    programs: frozenset[ProgramId]


class CacheReleased(Value, frozen=True):
    """Reports the result of ReleaseCache.

    `is_released` is False while a request of the program still runs.
    """

    endpoint: EndpointId
    program: ProgramId
    is_released: bool


class OrderAccepted(Value, frozen=True):
    """Reports that an engine accepted an order."""

    order: SendOrder


class OrderRefused(Value, frozen=True):
    """Reports that an engine refused an order whose fencing number is outdated.

    `fencing_number` is the highest that the engine has received.
    """

    order: SendOrder
    fencing_number: Term


class LoadedModelRead(Value, frozen=True):
    """Reports an engine's model and the highest fencing number that it has received.

    `loading_model` is the model that it is loading, if any.
    """

    endpoint: EndpointId
    requested_at: datetime
    model: ModelName
    loading_model: ModelName | None
    fencing_number: Term


class EngineCallFailed(Value, frozen=True):
    """Reports that a request failed; if it was sent, it may have taken effect."""

    request: EngineRequest
    was_sent: bool
    reason: str
