"""Define what a rules document declares."""

from dataclasses import dataclass
from typing import Annotated

from annotated_types import Ge, Gt, Le
from pydantic import ConfigDict

from oleanderhitch.program.ids import AccountId
from oleanderhitch.version.ids import OperationName, ServiceName
from oleanderhitch.version.names import Name

STRICT = ConfigDict(extra="forbid", strict=True)

Count = Annotated[int, Ge(1)]
SECONDS_LIMIT = 7 * 86400  # longer silences keep engine memory for nobody
Seconds = Annotated[float, Gt(0), Le(SECONDS_LIMIT)]


@dataclass(frozen=True, slots=True)
class Limits:
    """Limit the requests that wait or run at one time."""

    __pydantic_config__ = STRICT
    requests_per_account: Count | None = None
    requests_per_program: Count | None = None
    requests_per_pool: Count | None = None


@dataclass(frozen=True, slots=True)
class DefaultRules:
    """Declare the rules of accounts that declare nothing else."""

    __pydantic_config__ = STRICT
    places: tuple[str, ...]
    budget_tokens: Count
    turn_limit: Count
    silence_limit_s: Seconds
    limits: Limits
    admits_unlisted_accounts: bool


@dataclass(frozen=True, slots=True)
class AccountDeclaration:
    """Declare where an account differs from the defaults."""

    __pydantic_config__ = STRICT
    name: Annotated[AccountId, Name]
    places: tuple[str, ...] | None = None
    budget_tokens: Count | None = None
    turn_limit: Count | None = None
    silence_limit_s: Seconds | None = None
    limits: Limits = Limits()


@dataclass(frozen=True, slots=True)
class OperationDeclaration:
    """Declare whether an operation of a service may run more than once."""

    __pydantic_config__ = STRICT
    service: ServiceName
    name: Annotated[OperationName, Name]
    is_idempotent: bool


@dataclass(frozen=True, slots=True)
class QueueDeclaration:
    """Limit the queue of the pools of a model or service."""

    __pydantic_config__ = STRICT
    name: str
    queued_requests: Count


@dataclass(frozen=True, slots=True)
class Rules:
    """Hold one rules document; several add up to one set of rules."""

    __pydantic_config__ = STRICT
    defaults: DefaultRules | None = None
    accounts: tuple[AccountDeclaration, ...] = ()
    operations: tuple[OperationDeclaration, ...] = ()
    queues: tuple[QueueDeclaration, ...] = ()
