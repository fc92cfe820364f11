"""Define what polling tells other tasks."""

from dataclasses import dataclass

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.version.ids import EndpointId


@dataclass(frozen=True, slots=True)
class CachedProgramChanged:
    """Say that an engine began or ceased to hold memory for a program."""

    endpoint: EndpointId
    program: ProgramId
    is_cached: bool


@dataclass(frozen=True, slots=True)
class CachedProgramsListed:
    """Say which programs hold memory at an engine, all others do not."""

    endpoint: EndpointId
    programs: frozenset[ProgramId]


@dataclass(frozen=True, slots=True)
class EventGapDetected:
    """Say that cache events of an engine were lost."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class NotifySubscribers:
    """Send a message to the tasks that follow the engines."""

    message: object
