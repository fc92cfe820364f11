"""Define what polling tells other tasks."""

from dataclasses import dataclass

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.version.ids import EndpointId


@dataclass(frozen=True, slots=True)
class HolderChanged:
    """Say that an engine began or ceased to hold memory for a program."""

    endpoint: EndpointId
    program: ProgramId
    is_holder: bool


@dataclass(frozen=True, slots=True)
class HoldersListed:
    """Say which programs hold memory at an engine, all others do not."""

    endpoint: EndpointId
    programs: frozenset[ProgramId]


@dataclass(frozen=True, slots=True)
class EventGapSeen:
    """Say that cache events of an engine were lost."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class NotifyFollowers:
    """Send a message to the tasks that follow the engines."""

    message: object
