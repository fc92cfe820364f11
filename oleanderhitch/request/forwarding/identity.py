"""Identify the client account of a request, and separate the records of accounts."""

from msgspec.structs import replace

from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.forwarding.messages import ForwardRequest, ProgramTurn
from oleanderhitch.request.ids import RequestId
from oleanderhitch.values import Value
from oleanderhitch.version.routes.accounts import Account
from oleanderhitch.version.routes.configuration import Route, RouteTable

# Names of accounts have no control characters, so that no two pairs of an account and
# an id are qualified alike.
SEPARATOR = "\n"


class CallerIdentity(Value, frozen=True):
    """On whose behalf a request is served.

    `account` is None where the configuration has no accounts, and on a public route for
    a caller without a known key. With `is_checked` the configuration has accounts.
    """

    account: Account | None = None
    is_checked: bool = False

    @property
    def account_id(self) -> AccountId | None:
        """The id of the account, None without one."""
        return None if self.account is None else self.account.account

    @property
    def is_limited(self) -> bool:
        """Whether the account has a limit."""
        return self.account is not None and self.account.requests_per_s is not None


ANONYMOUS = CallerIdentity()


def identify_caller(
    request: ForwardRequest, route: Route, table: RouteTable
) -> CallerIdentity | None:
    """Return the identity of a request's caller, None if it may not use the route."""
    if not table.has_accounts:
        return ANONYMOUS
    account = table.find_account(request.key)
    if account is None and not route.is_public:
        return None
    return CallerIdentity(account, True)


def get_rank(identity: CallerIdentity, route: Route) -> int:
    """Return the rank of a request; that of an account goes before the route's."""
    account = identity.account
    if account is None or account.rank is None:
        return route.rank
    return account.rank


def qualify_request(request: RequestId, identity: CallerIdentity) -> RequestId:
    """Return the id under which a turn is recorded; each account has its own ids."""
    if identity.account is None:
        return request
    return RequestId(f"{identity.account.account}{SEPARATOR}{request}")


def qualify_turn(
    turn: ProgramTurn | None, identity: CallerIdentity
) -> ProgramTurn | None:
    """Return a turn with the recorded ids of its program and of the previous turn."""
    if turn is None or identity.account is None:
        return turn
    previous = turn.previous
    return replace(
        turn,
        program=ProgramId(f"{identity.account.account}{SEPARATOR}{turn.program}"),
        previous=None if previous is None else qualify_request(previous, identity),
    )
