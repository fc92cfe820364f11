"""Define the messages between connections and the task of a stand-in."""

from dataclasses import dataclass

from oleanderhitch.process.mailbox import Address
from standins.request.ids import (
    IdempotencyKey,
    OperationName,
    StandinProgramId,
    StreamId,
)
from standins.request.states import FaultKind, OrderKind
from standins.request.text import Messages


@dataclass(frozen=True, slots=True)
class SetFault:
    """Make requests misbehave; without a count, until the next fault is set."""

    kind: FaultKind
    factor: float
    n_requests: int | None
    after_chunks: int


# Messages to an engine.


@dataclass(frozen=True, slots=True)
class SubmitStream:
    """Start a stream and attach the sender to it."""

    stream: StreamId
    program: StandinProgramId
    model: str
    messages: Messages
    max_tokens: int
    priority: int
    reply: Address


@dataclass(frozen=True, slots=True)
class AttachStream:
    """Send a stream from a character offset to another connection."""

    stream: StreamId
    offset: int
    reply: Address


@dataclass(frozen=True, slots=True)
class DetachStream:
    """Stop sending a stream to a connection; the stream goes on."""

    stream: StreamId
    reply: Address


@dataclass(frozen=True, slots=True)
class CancelStream:
    """End a stream early."""

    stream: StreamId
    reply: Address


@dataclass(frozen=True, slots=True)
class ReleaseCache:
    """Free the memory of a program."""

    program: StandinProgramId
    reply: Address


@dataclass(frozen=True, slots=True)
class ExportCache:
    """Ask for the cached prefix of a program."""

    program: StandinProgramId
    reply: Address


@dataclass(frozen=True, slots=True)
class ImportCache:
    """Store a prefix that another engine exported."""

    program: StandinProgramId
    messages: Messages
    reply: Address


@dataclass(frozen=True, slots=True)
class ApplyOrder:
    """Change what the engine has loaded or its role."""

    fencing_number: int
    kind: OrderKind
    name: str
    reply: Address


@dataclass(frozen=True, slots=True)
class GetLoad:
    """Ask for the lagging report of the load."""

    reply: Address


@dataclass(frozen=True, slots=True)
class GetCacheEvents:
    """Ask for the late cache events after a number."""

    after: int
    reply: Address


@dataclass(frozen=True, slots=True)
class GetCachedPrograms:
    """Ask which programs hold memory."""

    reply: Address


@dataclass(frozen=True, slots=True)
class GetLoadedModel:
    """Ask what is loaded."""

    reply: Address


# Messages to a service.


@dataclass(frozen=True, slots=True)
class RunOperation:
    """Run an operation, even when its key ran before."""

    operation: OperationName
    key: IdempotencyKey
    body: bytes
    reply: Address


@dataclass(frozen=True, slots=True)
class GetResponseByKey:
    """Ask for the stored answer of a key."""

    key: IdempotencyKey
    reply: Address


@dataclass(frozen=True, slots=True)
class GetCounts:
    """Ask how often each operation and each key ran."""

    reply: Address


# Replies.


@dataclass(frozen=True, slots=True)
class StreamAccepted:
    """Say that a request runs and how its connection misbehaves."""

    fault: FaultKind
    after_chunks: int


@dataclass(frozen=True, slots=True)
class Chunk:
    """Bring a piece of a stream."""

    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class Usage:
    """Bring the end of a stream."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class StreamAborted:
    """Say that a stream ended without being whole."""


@dataclass(frozen=True, slots=True)
class Response:
    """Bring a whole answer."""

    status: int
    body: dict[str, object]


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to an address; the only effect of a stand-in."""

    address: Address
    message: object
