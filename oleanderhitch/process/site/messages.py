"""Define what entries and stores of a site tell each other."""

from dataclasses import dataclass

from oleanderhitch.process.directory.messages import EndpointList, ListVersion
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.placement.messages import EndpointLoad
from oleanderhitch.version.routes.ids import NO_ROUTING, RoutingVersion


@dataclass(frozen=True, slots=True)
class PublishRouting:
    """Ask for a routing configuration to be accepted; a replicated command.

    The content is kept as the operator sent it. A version that is not higher
    than the accepted one changes nothing.
    """

    version: RoutingVersion
    content: bytes


@dataclass(frozen=True, slots=True)
class GetRouting:
    """Ask for the accepted routing configuration; a read."""


@dataclass(frozen=True, slots=True)
class RoutingAccepted:
    """Say which version is accepted after a publish."""

    version: RoutingVersion


@dataclass(frozen=True, slots=True)
class RoutingFound:
    """Bring the accepted routing configuration."""

    version: RoutingVersion
    content: bytes


@dataclass(frozen=True, slots=True)
class CommandRefused:
    """Say that a command can't be read."""

    reason: str


@dataclass(frozen=True, slots=True)
class EntryHello:
    """Announce an entry, what it has and which loads it causes.

    The answer brings what is newer.
    """

    node: NodeId
    routing: RoutingVersion
    list_version: ListVersion | None
    loads: tuple[EndpointLoad, ...] = ()


@dataclass(frozen=True, slots=True)
class SiteStatus:
    """Bring an entry what a store knows that the entry lacks.

    A store that reads the list names its version even to an entry that has it,
    and the loads that all other entries cause.
    """

    stores: tuple[NodeId, ...]
    routing: RoutingFound | None
    list_version: ListVersion | None
    endpoints: EndpointList | None
    other_loads: tuple[EndpointLoad, ...] | None = None


EMPTY_ROUTING = RoutingFound(NO_ROUTING, b"")

COMMANDS: tuple[type, ...] = (PublishRouting,)
READS: tuple[type, ...] = (GetRouting,)
RESULTS: tuple[type, ...] = (RoutingAccepted, RoutingFound, CommandRefused)
MESSAGES: tuple[type, ...] = (EntryHello, SiteStatus)
