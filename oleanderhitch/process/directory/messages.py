"""Define the list of endpoints and its version, as sent to entry hosts."""

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.values import Value
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName


class ListedEndpoint(Value, frozen=True):
    """An endpoint in the platform's list.

    A restarted endpoint keeps its id and gets another `born_ms`. One that is cold says
    that it remains slow for a time after its start.
    """

    endpoint: EndpointId
    service: ServiceName
    address: HostAddress
    data_centre: DataCentreName
    n_slots: int
    is_leaving: bool
    born_ms: int = 0
    is_cold: bool = False


class ListVersion(Value, frozen=True, order=True):
    """The version of a list; a list of a later reader's term is newer."""

    term: int = 0
    number: int = 0


class EndpointList(Value, frozen=True):
    """All endpoints that one complete read of the list returned."""

    version: ListVersion
    endpoints: tuple[ListedEndpoint, ...]


MESSAGES: tuple[type, ...] = (EndpointList,)
