"""Define the messages and effects of releasing cached prefixes."""

from dataclasses import dataclass

from oleanderhitch.process.ids import GroupId
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.messages import Release
from oleanderhitch.version.ids import EndpointId


@dataclass(frozen=True, slots=True)
class ReleasesListed:
    """Reports all open releases of a shard."""

    group: GroupId
    releases: tuple[Release, ...]


@dataclass(frozen=True, slots=True)
class ProgramsChecked:
    """Reports which programs of CheckPrograms have ended and which are running.

    Programs that are unknown to their shard count as ended. Programs whose shard didn't
    reply are in neither tuple.
    """

    ended: tuple[ProgramId, ...]
    running: tuple[ProgramId, ...]


@dataclass(frozen=True, slots=True)
class ConfirmationRecorded:
    """Reports that a shard has recorded a confirmed release."""

    program: ProgramId
    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class ListOpenReleases:
    """Requests the open releases of all shards."""


@dataclass(frozen=True, slots=True)
class CheckPrograms:
    """Queries the shards for those of these programs that have ended."""

    programs: tuple[ProgramId, ...]


@dataclass(frozen=True, slots=True)
class RecordConfirmation:
    """Records in the program's shard that an engine no longer caches its prefix.

    `number` is that of the listed release. If the program has used the engine since,
    its new release has a higher number and stays listed.
    """

    program: ProgramId
    endpoint: EndpointId
    number: int | None = None
