"""Calls of operators that ask where a request would go, and their answers."""

from datetime import datetime, timedelta

from oleanderhitch.connection.http.messages import HttpRequest
from oleanderhitch.process.explaining.states import (
    CostPart,
    Exclusion,
    ExplainVerdict,
    FactKind,
    Unchecked,
)
from oleanderhitch.process.ids import NodeId
from oleanderhitch.program.ids import AccountId
from oleanderhitch.values import Value
from oleanderhitch.version.ids import DataCentreName, EndpointId

# The body only shows whether its content is quarantined.
BODY_LIMIT_BYTES = 1024 * 1024
# An operator reads a few endpoints; more only make the answer long.
N_ENDPOINTS_MAX = 200
MILLISECOND = timedelta(milliseconds=1)


class ExplainRequest(Value, frozen=True):
    """Asks an entry host what would happen to a request that a caller sent now.

    With `account`, it is that account's, as if it came with one of its keys.
    """

    number: int
    request: HttpRequest
    account: AccountId | None = None


class Fact(Value, frozen=True):
    """Something that a decision goes by, and its age; None if it is not known."""

    kind: FactKind
    age_ms: float | None


class AccountShare(Value, frozen=True):
    """The account of a request, and how much of its service it uses at the host.

    `n_equal` is its equal share of the running requests: their number divided by
    `n_accounts`, the accounts with running or waiting requests, of which there are none
    where the host does not know them. The host holds `n_credits` for the account, None
    where it needs none.
    """

    account: AccountId | None
    n_running: int = 0
    n_waiting: int = 0
    n_accounts: int = 0
    n_equal: float = 0.0
    is_over: bool = False
    requests_per_s: float | None = None
    n_credits: int | None = None


class PartCost(Value, frozen=True):
    """One component of a cost."""

    part: CostPart
    cost_ms: float


class ExplainedEndpoint(Value, frozen=True):
    """An endpoint of the service, with its cost unless it is excluded.

    The total is what endpoints are compared by.
    """

    endpoint: EndpointId
    data_centre: DataCentreName
    is_chosen: bool
    exclusion: Exclusion | None
    n_running: int
    n_slots: int
    total_ms: float | None
    costs: tuple[PartCost, ...]
    facts: tuple[Fact, ...]


class Decision(Value, frozen=True):
    """What placement, or the queue of a pool, does with a request."""

    verdict: ExplainVerdict
    detail: str = ""
    endpoint: EndpointId | None = None
    wait: timedelta | None = None
    n_ahead: int = 0


class SchedulingExplanation(Value, frozen=True):
    """What the queue of a service, or of a pool, would do with a request now.

    `expected_wait` is None if it is not known. Chosen, then cheap endpoints come first,
    and those left out are counted in `n_omitted`.
    """

    verdict: ExplainVerdict
    detail: str
    expected_wait: timedelta | None
    n_ahead: int
    share: AccountShare
    endpoints: tuple[ExplainedEndpoint, ...]
    n_omitted: int
    facts: tuple[Fact, ...]


class Explanation(Value, frozen=True):
    """Answers ExplainRequest.

    `expected_wait` is the time until the request is sent or, if it is refused, until
    its caller should try again; None if it is not known. `unchecked` is what would also
    decide and is not known to this host.
    """

    number: int
    host: NodeId
    verdict: ExplainVerdict
    detail: str = ""
    version: int | None = None
    route: str | None = None
    service: str | None = None
    expected_wait: timedelta | None = None
    n_ahead: int = 0
    share: AccountShare | None = None
    unchecked: tuple[Unchecked, ...] = ()
    facts: tuple[Fact, ...] = ()
    endpoints: tuple[ExplainedEndpoint, ...] = ()
    n_omitted: int = 0


MESSAGES: tuple[type, ...] = (ExplainRequest, Explanation)


def make_fact(kind: FactKind, observed_at: datetime | None, now: datetime) -> Fact:
    """Return a fact that was observed at a time."""
    age_ms = None if observed_at is None else (now - observed_at) / MILLISECOND
    return Fact(kind, age_ms)
