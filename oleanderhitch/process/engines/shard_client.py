"""Carry the questions of the release of engine memory to the program shards."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import singledispatch

import logbook

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
from oleanderhitch.version.ids import EndpointId

QUERY_TIMEOUT = timedelta(seconds=5)

ConvertResult = Callable[[object], object | None]

log = logbook.Logger("releases")


@dataclass(slots=True)
class ShardClient:
    """Ask the shards and pass their answers to the releases task."""

    groups: Address
    shards: Sequence[GroupId]
    get_group: Callable[[ProgramId], GroupId]
    codec: Codec
    clock: Clock
    releases_task: Address | None = None
    # Engines of pools that other hosts own, which release them.
    foreign_endpoints: frozenset[EndpointId] = field(default_factory=frozenset)

    def send(self, message: object) -> None:
        """Ask a question of the releases task."""
        send_query(message, self)

    def submit(
        self,
        group: GroupId,
        message: object,
        is_read: bool,
        convert_result: ConvertResult,
    ) -> None:
        """Ask one group; a question without an answer is asked again later."""
        self.groups.send(
            SubmitToGroup(
                group,
                self.codec.encode(message),
                is_read,
                QUERY_TIMEOUT,
                "releases",
                _ResultForwarder(self, convert_result),
            )
        )


@dataclass(frozen=True, slots=True)
class _ResultForwarder:
    """Turn a shard's answer into a message of the releases task."""

    client: ShardClient
    convert_result: ConvertResult

    def send(self, message: object) -> None:
        """Pass an answer on."""
        if not isinstance(message, GroupResult):
            return
        answer = self.convert_result(self.client.codec.decode(message.body))
        if answer is not None and self.client.releases_task is not None:
            self.client.releases_task.send(answer)


@singledispatch
def send_query(message: object, client: ShardClient) -> None:
    """Ask the shards what a message needs to know."""
    raise TypeError(f"shards have no question {type(message).__name__}")


@send_query.register
def _(message: ListOpenReleases, questions: ShardClient) -> None:
    for group in questions.shards:
        questions.submit(
            group, ListReleases(), True, _make_release_list_converter(group, questions)
        )


@send_query.register
def _(message: CheckPrograms, questions: ShardClient) -> None:
    for program in message.programs:
        questions.submit(
            questions.get_group(program),
            GetProgram(program),
            True,
            _make_program_check_converter(program),
        )


@send_query.register
def _(message: RecordConfirmation, questions: ShardClient) -> None:
    command = ConfirmRelease(
        message.program, message.endpoint, questions.clock.now(), message.number
    )
    recorded = ConfirmationRecorded(message.program, message.endpoint)

    def make_answer(result: object) -> object | None:
        if isinstance(result, Done):
            return recorded
        log.warning("release of {} is not recorded: {}", message.program, result)
        return None

    questions.submit(questions.get_group(message.program), command, False, make_answer)


def _make_release_list_converter(
    group: GroupId, questions: ShardClient
) -> ConvertResult:
    def make_answer(result: object) -> object | None:
        if not isinstance(result, Releases):
            return None
        own = tuple(
            release
            for release in result.releases
            if release.endpoint not in questions.foreign_endpoints
        )
        return ReleasesListed(group, own)

    return make_answer


def _make_program_check_converter(program: ProgramId) -> ConvertResult:
    def make_answer(result: object) -> object | None:
        if isinstance(result, ProgramSummary) and result.end_reason is None:
            return ProgramsChecked((), (program,))
        is_unknown = (
            isinstance(result, Refused)
            and result.reason is RefusalReason.UNKNOWN_PROGRAM
        )
        if isinstance(result, ProgramSummary) or is_unknown:
            return ProgramsChecked((program,), ())
        return None

    return make_answer
