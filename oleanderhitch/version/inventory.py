"""Define what an inventory document declares."""

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
    """Declare a region."""

    __pydantic_config__ = STRICT
    name: Annotated[RegionName, Name]


@dataclass(frozen=True, slots=True)
class DataCentre:
    """Declare a data centre of a region."""

    __pydantic_config__ = STRICT
    name: Annotated[DataCentreName, Name]
    region: RegionName


@dataclass(frozen=True, slots=True)
class Host:
    """Declare a machine that runs an entry or a store."""

    __pydantic_config__ = STRICT
    name: Annotated[HostName, Name]
    role: HostRole
    data_centre: DataCentreName
    address: Address


@dataclass(frozen=True, slots=True)
class Model:
    """Declare a model."""

    __pydantic_config__ = STRICT
    name: Annotated[ModelName, Name]
    weight_bytes: Annotated[int, Ge(0)] = 0


@dataclass(frozen=True, slots=True)
class Service:
    """Declare a plain service."""

    __pydantic_config__ = STRICT
    name: Annotated[ServiceName, Name]


@dataclass(frozen=True, slots=True)
class EngineDeclaration:
    """Declare an endpoint that runs a model."""

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
    """Declare an endpoint that runs a plain service."""

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
    """Hold one inventory document; several add up to one inventory."""

    __pydantic_config__ = STRICT
    regions: tuple[Region, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    hosts: tuple[Host, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    engines: tuple[EngineDeclaration, ...] = ()
    runners: tuple[RunnerDeclaration, ...] = ()
