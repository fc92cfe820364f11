"""Define the messages and effects of releasing cached prefixes."""

from dataclasses import dataclass

from oleanderhitch.process.ids import GroupId
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.messages import Release
from oleanderhitch.version.ids import EndpointId


@dataclass(frozen=True, slots=True)
class ReleasesListed:
    """Report all releases that a shard has open."""

    group: GroupId
    releases: tuple[Release, ...]


@dataclass(frozen=True, slots=True)
class ProgramsChecked:
    """Answer CheckPrograms with the programs that have ended and those that run.

    Programs that their shard doesn't know count as ended. Programs whose shard didn't
    answer are in neither tuple.
    """

    ended: tuple[ProgramId, ...]
    running: tuple[ProgramId, ...]


@dataclass(frozen=True, slots=True)
class ConfirmationRecorded:
    """Report that a shard has recorded a confirmed release."""

    program: ProgramId
    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class ListOpenReleases:
    """Request the open releases of all shards."""


@dataclass(frozen=True, slots=True)
class CheckPrograms:
    """Request from the shards which of these programs have ended."""

    programs: tuple[ProgramId, ...]


@dataclass(frozen=True, slots=True)
class RecordConfirmation:
    """Record in the program's shard that an engine no longer caches its prefix.

    number is the number of the listed release. If the program has used the engine
    since, its new release has a higher number and stays listed.
    """

    program: ProgramId
    endpoint: EndpointId
    number: int | None = None
