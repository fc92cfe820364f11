"""Define the messages and effects of polling."""

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId


class CachedProgramChanged(Value, frozen=True):
    """Reports that an engine stored or evicted the prefix of a program."""

    endpoint: EndpointId
    program: ProgramId
    is_cached: bool


class CachedProgramsListed(Value, frozen=True):
    """Reports all programs whose prefixes an engine caches."""

    endpoint: EndpointId
    programs: frozenset[ProgramId]


class EventGapDetected(Value, frozen=True):
    """Reports that cache events of an engine were lost."""

    endpoint: EndpointId


class NotifySubscribers(Value, frozen=True):
    """Sends a message to the tasks that subscribed to the engines' state."""

    message: object
