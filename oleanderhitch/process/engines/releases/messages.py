"""Define the messages and effects of the release of engine memory."""

from dataclasses import dataclass

from oleanderhitch.process.ids import GroupId
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.messages import Release
from oleanderhitch.version.ids import EndpointId


@dataclass(frozen=True, slots=True)
class ReleasesListed:
    """Bring every release that a shard still has open."""

    group: GroupId
    releases: tuple[Release, ...]


@dataclass(frozen=True, slots=True)
class ProgramsChecked:
    """Bring which of the asked programs have ended, as their shards say.

    Programs that no shard knows count as ended; programs whose shard did not
    answer are in neither tuple.
    """

    ended: tuple[ProgramId, ...]
    running: tuple[ProgramId, ...]


@dataclass(frozen=True, slots=True)
class ConfirmationRecorded:
    """Say that a shard has recorded a confirmed release."""

    program: ProgramId
    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class ListOpenReleases:
    """Ask every shard for its open releases."""


@dataclass(frozen=True, slots=True)
class CheckPrograms:
    """Ask the shards which of these programs have ended."""

    programs: tuple[ProgramId, ...]


@dataclass(frozen=True, slots=True)
class RecordConfirmation:
    """Record in the program's shard that an engine holds no memory for it.

    The number is that of the listed release, so that a later use of the engine
    stays listed.
    """

    program: ProgramId
    endpoint: EndpointId
    number: int | None = None
