"""Define the messages and effects of polling."""

from dataclasses import dataclass

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.version.ids import EndpointId


@dataclass(frozen=True, slots=True)
class CachedProgramChanged:
    """Reports that an engine stored or evicted the prefix of a program."""

    endpoint: EndpointId
    program: ProgramId
    is_cached: bool


@dataclass(frozen=True, slots=True)
class CachedProgramsListed:
    """Reports all programs whose prefixes an engine caches."""

    endpoint: EndpointId
    programs: frozenset[ProgramId]


@dataclass(frozen=True, slots=True)
class EventGapDetected:
    """Reports that cache events of an engine were lost."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class NotifySubscribers:
    """Sends a message to the tasks that subscribed to the engines' state."""

    message: object
