"""Define the store of ended requests and an implementation in memory.

Decision code uses a store only through the HistoryStore protocol, so it works the same
with the history in memory or in files.
"""

from collections.abc import Iterator
from typing import Protocol

from oleanderhitch.process.ids import NodeId
from oleanderhitch.program.ids import ProgramId, RunId, SequenceNumber
from oleanderhitch.program.messages import RequestRecord, Turn
from oleanderhitch.program.states import RequestProgress
from oleanderhitch.request.ids import RequestId
from oleanderhitch.request.states import Outcome
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId


class EndedRequest(Value, frozen=True):
    """The record of a request that has an outcome.

    The content is kept only if the request completed, since it is then part of a turn;
    otherwise it is empty. `was_closed` means that the request was closed by the shard,
    without a report from the node that ran it.
    """

    program: ProgramId
    request: RequestId
    sequence: SequenceNumber
    node: NodeId
    run: RunId
    is_idempotent: bool
    digest: str
    content: bytes
    outcome: Outcome
    answer: bytes
    n_attempts: int
    endpoints: tuple[EndpointId, ...]
    was_closed: bool


class HistoryStore(Protocol):
    """Stores the ended requests of programs in the order in which they ended.

    A store in files raises HistoryUnavailableError if a file cannot be written or read,
    and HistoryCorruptError if a record is damaged.
    """

    def append(self, record: EndedRequest) -> None:
        """Add a record to its program."""

    def find(self, program: ProgramId, request: RequestId) -> EndedRequest | None:
        """Return the record of a request, or None when it has not ended."""

    def read(self, program: ProgramId) -> Iterator[EndedRequest]:
        """Yield the records of a program in order."""

    def read_turns(self, program: ProgramId) -> tuple[Turn, ...]:
        """Return the completed calls of a program in order."""

    def delete(self, program: ProgramId) -> None:
        """Delete the records of a program."""


class MemoryHistory:
    """A history store that keeps its records in memory."""

    def __init__(self) -> None:
        self._records: dict[ProgramId, dict[RequestId, EndedRequest]] = {}

    def append(self, record: EndedRequest) -> None:
        """Add a record to its program."""
        self._records.setdefault(record.program, {})[record.request] = record

    def find(self, program: ProgramId, request: RequestId) -> EndedRequest | None:
        """Return the record of a request, or None when it has not ended."""
        return self._records.get(program, {}).get(request)

    def read(self, program: ProgramId) -> Iterator[EndedRequest]:
        """Yield the records of a program in order."""
        yield from self._records.get(program, {}).values()

    def read_turns(self, program: ProgramId) -> tuple[Turn, ...]:
        """Return the completed calls of a program in order."""
        return tuple(
            Turn(record.sequence, record.content, record.answer)
            for record in self.read(program)
            if record.outcome is Outcome.COMPLETED
        )

    def delete(self, program: ProgramId) -> None:
        """Delete the records of a program."""
        self._records.pop(program, None)


def make_memory_history() -> HistoryStore:
    """Return an empty store in memory."""
    return MemoryHistory()


def make_ended_request_record(ended: EndedRequest) -> RequestRecord:
    """Return the result of a lookup of an ended request."""
    return RequestRecord(
        ended.program,
        ended.request,
        ended.sequence,
        ended.node,
        RequestProgress.ENDED,
        ended.outcome,
        ended.answer,
        ended.n_attempts,
        ended.is_idempotent,
        ended.run,
        ended.endpoints,
    )
