"""Define the messages and effects of releasing cached prefixes."""

from oleanderhitch.process.ids import GroupId
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.messages import Release
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId


class ReleasesListed(Value, frozen=True):
    """Reports all open releases of a shard."""

    group: GroupId
    releases: tuple[Release, ...]


class ProgramsChecked(Value, frozen=True):
    """Reports which programs of CheckPrograms have ended and which are running.

    Programs that are unknown to their shard count as ended. Programs whose shard didn't
    reply are in neither tuple.
    """

    ended: tuple[ProgramId, ...]
    running: tuple[ProgramId, ...]


class ConfirmationRecorded(Value, frozen=True):
    """Reports that a shard has recorded a confirmed release."""

    program: ProgramId
    endpoint: EndpointId


class ListOpenReleases(Value, frozen=True):
    """Requests the open releases of all shards."""


class CheckPrograms(Value, frozen=True):
    """Queries the shards for those of these programs that have ended."""

    programs: tuple[ProgramId, ...]


class RecordConfirmation(Value, frozen=True):
    """Records in the program's shard that an engine no longer caches its prefix.

    `number` is that of the listed release. If the program has used the engine since,
    its new release has a higher number and stays listed.
    """

    program: ProgramId
    endpoint: EndpointId
    number: int | None = None
