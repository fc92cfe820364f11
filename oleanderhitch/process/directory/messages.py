"""Define what the directory holds and how it reaches entries."""

from dataclasses import dataclass

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """Describe one start of an endpoint as the platform's list has it."""

    endpoint: EndpointId
    service: ServiceName
    address: HostAddress
    data_centre: DataCentreName
    n_slots: int
    is_leaving: bool
    born_ms: int = 0


@dataclass(frozen=True, slots=True, order=True)
class ListVersion:
    """Order the lists that different readers made; later terms win."""

    term: int = 0
    number: int = 0


@dataclass(frozen=True, slots=True)
class EndpointList:
    """Hold all endpoints that one whole reading of the list named."""

    version: ListVersion
    endpoints: tuple[ListedEndpoint, ...]


MESSAGES: tuple[type, ...] = (EndpointList,)
