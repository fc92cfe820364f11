"""Messages between the connections and the task of a stand-in."""

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
    """Injects a fault into `n_requests` requests; if None, until the next SetFault."""

    kind: FaultKind
    factor: float
    n_requests: int | None
    after_chunks: int


# Messages to an engine.


@dataclass(frozen=True, slots=True)
class SubmitStream:
    """Starts a stream and subscribes the sender to it.

    Streams with a lower priority number run first.
    """

    stream_id: StreamId
    program: StandinProgramId
    model: str
    messages: Messages
    max_tokens: int
    priority: int
    reply_address: Address


@dataclass(frozen=True, slots=True)
class AttachStream:
    """Subscribes a connection to a stream from a character offset on."""

    stream_id: StreamId
    offset: int
    reply_address: Address


@dataclass(frozen=True, slots=True)
class DetachStream:
    """Unsubscribes a connection from a stream, which keeps running."""

    stream_id: StreamId
    reply_address: Address


@dataclass(frozen=True, slots=True)
class CancelStream:
    """Ends a stream early."""

    stream_id: StreamId
    reply_address: Address


@dataclass(frozen=True, slots=True)
class ReleaseCache:
    """Removes the cached prefix of a program."""

    program: StandinProgramId
    reply_address: Address


@dataclass(frozen=True, slots=True)
class ExportCache:
    """Requests the cached prefix of a program."""

    program: StandinProgramId
    reply_address: Address


@dataclass(frozen=True, slots=True)
class ImportCache:
    """Caches a prefix that another engine has exported."""

    program: StandinProgramId
    messages: Messages
    reply_address: Address


@dataclass(frozen=True, slots=True)
class ApplyOrder:
    """Changes the engine's role or what it has loaded.

    `name` is that of the model, adapter or version to load, or of the role.
    """

    fencing_number: int
    kind: OrderKind
    name: str
    reply_address: Address


@dataclass(frozen=True, slots=True)
class GetLoad:
    """Requests the load report, which lags."""

    reply_address: Address


@dataclass(frozen=True, slots=True)
class GetCacheEvents:
    """Requests the cache events after a number; recent ones are not visible yet."""

    after: int
    reply_address: Address


@dataclass(frozen=True, slots=True)
class GetCachedPrograms:
    """Requests the programs that run or have a cached prefix."""

    reply_address: Address


@dataclass(frozen=True, slots=True)
class GetLoadedModel:
    """Requests a description of what the engine has loaded."""

    reply_address: Address


# Messages to a service.


@dataclass(frozen=True, slots=True)
class RunOperation:
    """Runs an operation, even if one with this key has run before."""

    operation: OperationName
    key: IdempotencyKey
    body: bytes
    reply_address: Address


@dataclass(frozen=True, slots=True)
class GetResponseByKey:
    """Requests the stored response of an idempotency key."""

    key: IdempotencyKey
    reply_address: Address


@dataclass(frozen=True, slots=True)
class GetCounts:
    """Requests the number of runs of each operation and of each idempotency key."""

    reply_address: Address


# Replies.


@dataclass(frozen=True, slots=True)
class StreamAccepted:
    """Confirms a subscription and names the fault to inject on its connection."""

    fault_kind: FaultKind
    after_chunks: int


@dataclass(frozen=True, slots=True)
class Chunk:
    """Carries the part of a stream's text that starts at a character offset."""

    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class Usage:
    """Reports the token usage of a stream; the last message of a complete one."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class StreamAborted:
    """Reports the end of an incomplete stream."""


@dataclass(frozen=True, slots=True)
class Response:
    """Carries the HTTP status and the JSON body of a response."""

    status: int
    body: dict[str, object]


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Sends a message to an address; the only effect type of the stand-ins."""

    address: Address
    message: object
