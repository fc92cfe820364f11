"""Send the queries and commands of the releases task to the program shards."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from functools import singledispatch

import logbook
from msgspec import Struct, field

from oleanderhitch.connection.codec import Codec
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.engines.releases.messages import (
    CheckPrograms,
    ConfirmationRecorded,
    ListOpenReleases,
    ProgramsChecked,
    RecordConfirmation,
    ReleasesListed,
)
from oleanderhitch.process.groups.client.messages import GroupResult, SubmitToGroup
from oleanderhitch.process.ids import GroupId
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.messages import (
    ConfirmRelease,
    Done,
    GetProgram,
    ListReleases,
    ProgramSummary,
    Refused,
    Releases,
)
from oleanderhitch.program.states import RefusalReason
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId

QUERY_TIMEOUT = timedelta(seconds=5)

ConvertResult = Callable[[object], object | None]

log = logbook.Logger("releases")


class ShardClient(Struct):
    """Sends queries to the shards and their results to the releases task."""

    group_client: Address
    shards: Sequence[GroupId]
    get_group: Callable[[ProgramId], GroupId]
    codec: Codec
    clock: Clock
    releases_task: Address | None = None
    # Engines of pools that other hosts own; those hosts release their prefixes.
    foreign_endpoints: frozenset[EndpointId] = field(default_factory=frozenset)

    def send(self, message: object) -> None:
        """Send a query of the releases task."""
        send_query(message, self)

    def submit(
        self,
        group: GroupId,
        message: object,
        is_read: bool,
        convert_result: ConvertResult,
    ) -> None:
        """Submit a query to a group; without a reply, the releases task retries it."""
        self.group_client.send(
            SubmitToGroup(
                group,
                self.codec.encode(message),
                is_read,
                QUERY_TIMEOUT,
                "releases",
                _ResultForwarder(self, convert_result),
            )
        )


class _ResultForwarder(Value, frozen=True):
    """Converts a shard's result to a message to the releases task."""

    client: ShardClient
    convert_result: ConvertResult

    def send(self, message: object) -> None:
        """Forward a result unless it converts to None."""
        if not isinstance(message, GroupResult):
            return
        converted = self.convert_result(self.client.codec.decode(message.body))
        if converted is not None and self.client.releases_task is not None:
            self.client.releases_task.send(converted)


@singledispatch
def send_query(message: object, client: ShardClient) -> None:
    """Send a query of the releases task to the shards that it concerns."""
    raise TypeError(
        f"shard client does not support query type {type(message).__name__}"
    )


@send_query.register
def _(message: ListOpenReleases, client: ShardClient) -> None:
    for group in client.shards:
        client.submit(
            group, ListReleases(), True, _make_release_list_converter(group, client)
        )


@send_query.register
def _(message: CheckPrograms, client: ShardClient) -> None:
    for program in message.programs:
        client.submit(
            client.get_group(program),
            GetProgram(program),
            True,
            _make_program_check_converter(program),
        )


@send_query.register
def _(message: RecordConfirmation, client: ShardClient) -> None:
    command = ConfirmRelease(
        message.program, message.endpoint, client.clock.now(), message.number
    )
    recorded = ConfirmationRecorded(message.program, message.endpoint)

    def convert_result(result: object) -> object | None:
        if isinstance(result, Done):
            return recorded
        log.warning(
            "could not record the release of program {}: {}", message.program, result
        )
        return None

    client.submit(client.get_group(message.program), command, False, convert_result)


def _make_release_list_converter(group: GroupId, client: ShardClient) -> ConvertResult:
    def convert_result(result: object) -> object | None:
        if not isinstance(result, Releases):
            return None
        owned_releases = tuple(
            release
            for release in result.releases
            if release.endpoint not in client.foreign_endpoints
        )
        return ReleasesListed(group, owned_releases)

    return convert_result


def _make_program_check_converter(program: ProgramId) -> ConvertResult:
    def convert_result(result: object) -> object | None:
        if isinstance(result, ProgramSummary) and result.end_reason is None:
            return ProgramsChecked((), (program,))
        is_unknown = (
            isinstance(result, Refused)
            and result.reason is RefusalReason.UNKNOWN_PROGRAM
        )
        if isinstance(result, ProgramSummary) or is_unknown:
            return ProgramsChecked((program,), ())
        return None

    return convert_result
