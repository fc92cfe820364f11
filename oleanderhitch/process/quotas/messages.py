"""Credits of client accounts: requests, replies and the messages of the quotas task."""

from datetime import datetime, timedelta
from typing import NewType

from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import Term
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.ids import HolderId
from oleanderhitch.values import Value

# Stands for one term of office of a leader, whose ledger is in its memory only.
LedgerId = NewType("LedgerId", int)


class QuotaBounds(Value, frozen=True):
    """What the platform allows above a quota.

    In each sliding window at most (rate x window + burst) x (1 + `over`) + `slack`
    requests of an account may be sent, over all entry hosts together.
    """

    window: timedelta
    over: float
    slack: float


# Messages between entry hosts and the leader of the group `site`.


class CreditDemand(Value, frozen=True):
    """The credits that an entry host asks for on behalf of one account.

    `n_running` are for requests of programs in progress, of which `n_renewed` have had
    a credit that expired unused, or were asked for before. `n_new` are for first
    requests of programs, of which `n_new_again` were asked for before, and `n_ahead`
    for requests that are expected to arrive soon. The host has served others from its
    balance since the last demand.
    """

    account: AccountId
    n_running: int
    n_new: int
    n_ahead: int = 0
    n_served_running: int = 0
    n_served_new: int = 0
    n_renewed: int = 0
    n_new_again: int = 0


class ReturnedCredits(Value, frozen=True):
    """Credits of one loan that an entry host will not use any more."""

    account: AccountId
    ledger: LedgerId
    lent_ms: int
    n_credits: int


class CreditRequest(Value, frozen=True):
    """Asks the leader for credits of several accounts, and returns unused ones.

    An entry host numbers its requests.
    """

    number: int
    demands: tuple[CreditDemand, ...]
    returns: tuple[ReturnedCredits, ...] = ()


class CreditLoan(Value, frozen=True):
    """The credits that are lent for one demand.

    They can be used after `delay_ms` from the reply, for `ttl_ms`. `lent_ms` is when
    they were lent by the time of the ledger. Requests without a credit are refused, and
    can be retried after `retry_ms`. `level` is what is left in the bucket. An account
    without a limit in the newest configuration is lent all that is asked for.

    With `fill_ms`, the bucket has been empty at the beginning of the ledger and gets a
    credit in each such time. Requests that can have one in time wait for it.
    """

    account: AccountId
    n_running: int
    n_new: int
    n_ahead: int
    lent_ms: int
    ttl_ms: int
    delay_ms: int = 0
    retry_ms: int = 0
    level: int = 0
    fill_ms: int = 0


class CreditReply(Value, frozen=True):
    """Lends credits; without `is_lending`, the sender is no leader that may lend.

    A leader that may do so soon tells in what time.
    """

    number: int
    is_lending: bool
    ledger: LedgerId = LedgerId(0)
    loans: tuple[CreditLoan, ...] = ()
    lends_in_ms: int | None = None


# Messages between the leaders of two terms.


class GetLedger(Value, frozen=True):
    """Asks for the ledger of the term before `term`, which its leader then ends.

    The leader of `term` sends it to all stores.
    """

    term: Term


class BucketLevel(Value, frozen=True):
    """What the bucket of an account has left, and how it fills."""

    account: AccountId
    requests_per_s: float
    capacity: float
    level: float


class LedgerHandedOver(Value, frozen=True):
    """Hands the ledger of the term before over to the leader of `term`.

    The ledger lends from `lends_from_ms` after this message; the time is negative for
    one that has lent already. Without `has_limits`, it has lent nothing of an account
    with a limit.
    """

    term: Term
    lends_from_ms: int
    has_limits: bool
    buckets: tuple[BucketLevel, ...]


# Messages of the requests of an entry host.


class AcquireCredit(Value, frozen=True):
    """Asks for the credit that one request of an account needs to be sent.

    Without an answer of a leader, the request is refused at the deadline. `program` is
    the program that it belongs to. With `continues_program` the request itself shows
    that the program is in progress. With `is_renewal` the request had a credit, which
    has expired unused.
    """

    holder: HolderId
    account: AccountId
    program: ProgramId | None
    continues_program: bool
    deadline: datetime
    reply_address: Address
    is_renewal: bool = False


class ExplainCredit(Value, frozen=True):
    """Asks whether a request would get a credit, which it does not get."""

    acquire: AcquireCredit


class CreditExplained(Value, frozen=True):
    """Reports what would become of the request for a credit.

    With `is_held`, the host has a credit for it, which can be used after `wait`. If
    not, the host would ask the leader after `wait`. The leader was asked last
    at `asked_at`.
    """

    is_held: bool
    wait: timedelta
    n_held: int
    asked_at: datetime | None


class CreditGranted(Value, frozen=True):
    """Allows a request to be sent until its credit expires."""

    holder: HolderId
    expires_at: datetime


class CreditRefused(Value, frozen=True):
    """Refuses a credit, since the quota is used up or no leader answers."""

    holder: HolderId
    retry_after: timedelta
    is_over_quota: bool


class ReturnCredit(Value, frozen=True):
    """Ends the claim of a request that was not run; another one may use its credit."""

    holder: HolderId
