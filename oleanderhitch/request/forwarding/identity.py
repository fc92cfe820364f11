"""Identify the client account of a request, and separate the records of accounts."""

import hashlib

from msgspec.structs import replace

from oleanderhitch.process.site.subscription.lease import LeaseState
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.forwarding.messages import ForwardRequest, ProgramTurn
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.request.ids import RequestId
from oleanderhitch.values import Value
from oleanderhitch.version.routes.accounts import Account
from oleanderhitch.version.routes.configuration import Route, RouteTable

# Names of accounts have no control characters, so that no two pairs of an account and
# an id are qualified alike.
SEPARATOR = "\n"
# The stores keep the ids of programs and turns for minutes, and callers choose them.
# Longer ones are recorded by their digests.
RECORDED_ID_LIMIT_CHARACTERS = 128
# No id of a caller has a control character either.
DIGEST_MARK = "\x1f"


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
# No account of a configuration has an empty name.
CALLERS_WITHOUT_KEY = AccountId("")


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


class Admission(Value, frozen=True):
    """What a request is served by, according to the installed route table."""

    table: RouteTable
    route: Route
    identity: CallerIdentity


def judge_arrival(
    request: ForwardRequest, table: RouteTable, lease: LeaseState
) -> Admission | Verdict:
    """Return how a request is served that arrives now, or why it is not.

    A table with accounts may be outdated. A key in it counts only under a lease, and
    the lack of a key or of a route only under a fresh one.
    """
    may_deny = lease is LeaseState.FRESH or not table.has_accounts
    route = table.find_route(request.host, request.path)
    if route is None:
        return Verdict.NO_ROUTE if may_deny else Verdict.NOT_CURRENT
    is_keyless = route.is_public and request.key is None
    if table.has_accounts and not is_keyless and lease is LeaseState.LAPSED:
        return Verdict.NOT_CURRENT
    identity = identify_caller(request, route, table)
    if identity is None:
        return Verdict.UNAUTHORIZED if may_deny else Verdict.NOT_CURRENT
    return Admission(table, route, identity)


def find_departure_fault(
    request: ForwardRequest,
    identity: CallerIdentity,
    route: Route,
    table: RouteTable | None,
    lease: LeaseState,
) -> Verdict | None:
    """Return why an admitted request must not be sent to an endpoint now, or None.

    The table is the newest installed one.
    """
    if identity.account is None or route.is_public:
        return None
    if table is None or not table.has_accounts:
        return None
    if lease is LeaseState.LAPSED:
        return Verdict.NOT_CURRENT
    # The request has the account's rank, quota and records, so that it can't go on for
    # the account that has the key now.
    account = table.find_account(request.key)
    if account is None or account.account != identity.account_id:
        return Verdict.UNAUTHORIZED
    return None


def get_rank(identity: CallerIdentity, route: Route) -> int:
    """Return the rank of a request; that of an account goes before the route's."""
    account = identity.account
    if account is None or account.rank is None:
        return route.rank
    return account.rank


def get_share_account(identity: CallerIdentity) -> AccountId | None:
    """Return the account whose share of the slots a request uses, None without shares.

    All callers without a known key have one share, so that they can't take the slots
    of the accounts.
    """
    if not identity.is_checked:
        return None
    return identity.account_id or CALLERS_WITHOUT_KEY


def qualify_request(request: RequestId, identity: CallerIdentity) -> RequestId:
    """Return the id under which a turn is recorded; each account has its own ids."""
    return RequestId(_make_recorded_id(request, identity))


def qualify_turn(
    turn: ProgramTurn | None, identity: CallerIdentity
) -> ProgramTurn | None:
    """Return a turn with the recorded ids of its program and of the previous turn."""
    if turn is None:
        return turn
    previous = turn.previous
    return replace(
        turn,
        program=ProgramId(_make_recorded_id(turn.program, identity)),
        previous=None if previous is None else qualify_request(previous, identity),
    )


def _make_recorded_id(caller_id: str, identity: CallerIdentity) -> str:
    if len(caller_id) > RECORDED_ID_LIMIT_CHARACTERS:
        digest = hashlib.sha256(caller_id.encode("utf-8", "surrogateescape"))
        caller_id = DIGEST_MARK + digest.hexdigest()
    if identity.account is None:
        return caller_id
    return f"{identity.account.account}{SEPARATOR}{caller_id}"
