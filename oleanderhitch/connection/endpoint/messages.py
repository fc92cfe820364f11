"""Define the messages of connections to endpoints."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from oleanderhitch.program.ids import ProgramId
from oleanderhitch.request.ids import AttemptNumber, RequestId
from oleanderhitch.request.messages import Work


@dataclass(frozen=True, slots=True)
class EndpointTimeouts:
    """Bound the waits for an endpoint."""

    connect: timedelta = timedelta(seconds=1)
    # A prompt of 150,000 tokens takes seconds to compute before the first byte.
    first_byte: timedelta = timedelta(seconds=10)
    between_chunks: timedelta = timedelta(seconds=2)
    cancel: timedelta = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class EndpointCall:
    """Hold one attempt of a call at an endpoint.

    `prompt` has the messages of the history, oldest first, without the new ones
    of the work; `answered` is what an earlier attempt already delivered.
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
    answered: bytes = b""
    trace: dict[str, str] = field(default_factory=dict)

    @property
    def stream(self) -> str:
        """Return the id of the attempt's stream at the engine."""
        return f"{self.request}.{self.attempt}"


@dataclass(frozen=True, slots=True)
class LookUpOperation:
    """Ask a service by idempotency key for an answer that was lost."""

    request: RequestId
    address: str
    deadline: datetime


@dataclass(frozen=True, slots=True)
class OperationFound:
    """Bring the stored answer of an operation that ran."""

    request: RequestId
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class OperationNotFound:
    """Say that no answer was found; the operation may still have run."""

    request: RequestId
    reason: str
