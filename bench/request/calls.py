"""Call of a simulated program and its attempts."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.ids import PermitId, RequestId
from oleanderhitch.version.ids import EndpointId


class CallKind(Enum):
    """Pool that serves a call."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(slots=True)
class Call:
    """Call of a program.

    `endpoints_with_prefix` may have cached the program's prefix.
    """

    request: RequestId
    program: ProgramId
    account: AccountId
    kind: CallKind
    is_idempotent: bool
    n_turns: int
    attained_tokens: int
    history_tokens: int
    prompt_tokens: int
    endpoints_with_prefix: tuple[EndpointId, ...]
    submitted_s: float
    on_completed: Callable[["Call", "Attempt"], None]
    # Policies must not read these: they are unknown before the response.
    output_tokens: int
    service_s: float
    is_straggler: bool
    # Measured in the run.
    started_s: float | None = None
    first_token_s: float | None = None
    ended_s: float | None = None
    recomputed_tokens: int = 0
    n_refusals: int = 0


@dataclass(slots=True)
class Attempt:
    """Attempt of a call at an endpoint.

    `sibling_attempts` are the other attempts of a hedged call.
    """

    call: Call
    endpoint: EndpointId
    priority: int
    sent_s: float
    on_completed: Callable[["Attempt"], None]
    permit: PermitId | None = None
    first_token_s: float | None = None
    computed_tokens: int = 0
    output_tokens: int = 0
    # Prompt tokens still to compute; None before the prefix cache is looked up.
    remaining_prompt_tokens: int | None = None
    # The engine's `_progress_steps` at the first token; None before it.
    progress_at_first_token: float | None = None
    is_cancelled: bool = False
    sibling_attempts: list["Attempt"] = field(default_factory=list)
