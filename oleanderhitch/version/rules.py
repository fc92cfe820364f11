"""Define the schema of rules documents."""

from dataclasses import dataclass
from typing import Annotated

from annotated_types import Ge, Gt, Le
from pydantic import ConfigDict

from oleanderhitch.program.ids import AccountId
from oleanderhitch.version.ids import OperationName, ServiceName
from oleanderhitch.version.names import Name

STRICT = ConfigDict(extra="forbid", strict=True)

Count = Annotated[int, Ge(1)]
SILENCE_LIMIT_MAX_S = 7 * 86400  # longer limits keep prefix caches of unused programs
SilenceLimit = Annotated[float, Gt(0), Le(SILENCE_LIMIT_MAX_S)]


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the requests that wait or run at the same time."""

    __pydantic_config__ = STRICT
    requests_per_account: Count | None = None
    requests_per_program: Count | None = None
    requests_per_pool: Count | None = None


@dataclass(frozen=True, slots=True)
class DefaultRules:
    """Rules of an account, unless its own declaration overrides them.

    `places` are the regions and data centres where its work may run, and
    `silence_limit_s` is the time without activity after which a program ends.
    """

    __pydantic_config__ = STRICT
    places: tuple[str, ...]
    budget_tokens: Count
    turn_limit: Count
    silence_limit_s: SilenceLimit
    limits: RequestLimits
    admits_unlisted_accounts: bool


@dataclass(frozen=True, slots=True)
class AccountDeclaration:
    """Rules of one account; None means the default rule."""

    __pydantic_config__ = STRICT
    name: Annotated[AccountId, Name]
    places: tuple[str, ...] | None = None
    budget_tokens: Count | None = None
    turn_limit: Count | None = None
    silence_limit_s: SilenceLimit | None = None
    limits: RequestLimits = RequestLimits()


@dataclass(frozen=True, slots=True)
class OperationDeclaration:
    """Whether an operation of a service may run more than once."""

    __pydantic_config__ = STRICT
    service: ServiceName
    name: Annotated[OperationName, Name]
    is_idempotent: bool


@dataclass(frozen=True, slots=True)
class QueueDeclaration:
    """Limit on the queued requests of each pool of the model or service `name`."""

    __pydantic_config__ = STRICT
    name: str
    queued_requests: Count


@dataclass(frozen=True, slots=True)
class Rules:
    """A rules document; several documents are combined into one set of rules."""

    __pydantic_config__ = STRICT
    defaults: DefaultRules | None = None
    accounts: tuple[AccountDeclaration, ...] = ()
    operations: tuple[OperationDeclaration, ...] = ()
    queues: tuple[QueueDeclaration, ...] = ()
