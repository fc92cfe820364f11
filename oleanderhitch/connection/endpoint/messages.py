"""Messages of connections to endpoints."""

from datetime import datetime, timedelta

from msgspec import field

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.request.ids import AttemptNumber, RequestId
from oleanderhitch.request.messages import Work
from oleanderhitch.values import Value


class EndpointTimeouts(Value, frozen=True):
    """Timeouts of requests to endpoints."""

    connect: timedelta = timedelta(seconds=1)
    # The prefill of a prompt of 150,000 tokens takes seconds.
    first_byte: timedelta = timedelta(seconds=10)
    between_chunks: timedelta = timedelta(seconds=2)
    cancel: timedelta = timedelta(seconds=1)


class EndpointCall(Value, frozen=True):
    """One attempt of a call at an endpoint.

    `prompt` contains the messages of the history, oldest first, without the new ones in
    `work`; `partial_answer` is the part of the answer that earlier attempts delivered.
    """

    attempt: AttemptNumber
    request: RequestId
    program: ProgramId
    address: str
    work: Work
    is_idempotent: bool
    priority: int
    deadline: datetime
    prompt: tuple[dict[str, str], ...] = ()
    partial_answer: bytes = b""
    trace: dict[str, str] = field(default_factory=dict)

    @property
    def stream_id(self) -> str:
        """The id of the attempt's stream at the engine."""
        return f"{self.request}.{self.attempt}"


class LookUpOperation(Value, frozen=True):
    """Looks up a lost answer by the idempotency key of its call."""

    request: RequestId
    address: str
    deadline: datetime


class OperationFound(Value, frozen=True):
    """Delivers the answer that the service stored for an operation."""

    request: RequestId
    status: int
    body: bytes


class OperationNotFound(Value, frozen=True):
    """Reports that no answer was found; the operation may have run nevertheless."""

    request: RequestId
    reason: str
