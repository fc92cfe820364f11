"""Define the schema of inventory documents."""

from dataclasses import dataclass
from typing import Annotated

from annotated_types import Ge
from pydantic import ConfigDict, PlainValidator

from oleanderhitch.version.addresses import HostPort, parse_host_port
from oleanderhitch.version.ids import (
    DataCentreName,
    EndpointId,
    HostName,
    ModelName,
    RegionName,
    ServiceName,
)
from oleanderhitch.version.names import Name
from oleanderhitch.version.states import HostRole

STRICT = ConfigDict(extra="forbid", strict=True)

Address = Annotated[HostPort, PlainValidator(parse_host_port)]
Count = Annotated[int, Ge(1)]
CountOrZero = Annotated[int, Ge(0)]


@dataclass(frozen=True, slots=True)
class Region:
    """A region, which groups data centres."""

    __pydantic_config__ = STRICT
    name: Annotated[RegionName, Name]


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre and its region."""

    __pydantic_config__ = STRICT
    name: Annotated[DataCentreName, Name]
    region: RegionName


@dataclass(frozen=True, slots=True)
class Host:
    """A machine that runs an entry process or a store process."""

    __pydantic_config__ = STRICT
    name: Annotated[HostName, Name]
    role: HostRole
    data_centre: DataCentreName
    address: Address


@dataclass(frozen=True, slots=True)
class Model:
    """A model; `weight_bytes` is the size of its weights, 0 if unknown."""

    __pydantic_config__ = STRICT
    name: Annotated[ModelName, Name]
    weight_bytes: Annotated[int, Ge(0)] = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service, which runs operations without a model."""

    __pydantic_config__ = STRICT
    name: Annotated[ServiceName, Name]


@dataclass(frozen=True, slots=True)
class EngineDeclaration:
    """An endpoint that runs a model.

    `cache_tokens` is the capacity of its prefix cache. An endpoint with `is_leaving`
    gets no new requests.
    """

    __pydantic_config__ = STRICT
    name: Annotated[EndpointId, Name]
    model: ModelName
    data_centre: DataCentreName
    address: Address
    slots: Count
    cache_tokens: CountOrZero
    checks_fencing_tokens: bool
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class RunnerDeclaration:
    """An endpoint that runs a plain service.

    `answers_by_key` means that the outcome of a request can be looked up by its
    idempotency key. An endpoint with `is_leaving` gets no new requests.
    """

    __pydantic_config__ = STRICT
    name: Annotated[EndpointId, Name]
    service: ServiceName
    data_centre: DataCentreName
    address: Address
    slots: Count
    answers_by_key: bool
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class Inventory:
    """An inventory document; several documents are combined into one inventory."""

    __pydantic_config__ = STRICT
    regions: tuple[Region, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    hosts: tuple[Host, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    engines: tuple[EngineDeclaration, ...] = ()
    runners: tuple[RunnerDeclaration, ...] = ()
