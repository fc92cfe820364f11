"""State of the quotas task: credits held, requests that wait and programs seen."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterator
from datetime import datetime, timedelta
from random import Random

from msgspec import Struct, field

from oleanderhitch.process.address import Address
from oleanderhitch.process.quotas.messages import (
    AcquireCredit,
    CreditLoan,
    LedgerId,
)
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.ids import HolderId
from oleanderhitch.values import Value

# Time over which the arrivals of an account are averaged.
ARRIVAL_MEMORY = timedelta(seconds=1)
# The ledger takes credits back for some seconds after they have expired.
GRANTED_TTL = timedelta(seconds=6)
# Programs that sent nothing for this long count as new again.
PROGRAM_TTL = timedelta(seconds=60)
# About 5 MB. With more programs in a minute, the least recent ones count as new again.
N_PROGRAMS_MAX = 20_000
# Several times the accounts of a large deployment. Those that are idle are forgotten
# beyond it, as configurations add and remove accounts.
N_ACCOUNTS_MAX = 1000


class Credits(Struct):
    """Credits of one loan that are left in the balance of this host."""

    n_credits: int
    usable_at: datetime
    return_at: datetime
    expires_at: datetime
    ledger: LedgerId
    lent_ms: int


class GrantedCredit(Value, frozen=True):
    """The credit of a request, which returns to the balance if it is not run."""

    holder: HolderId
    account: AccountId
    usable_at: datetime
    return_at: datetime
    expires_at: datetime
    ledger: LedgerId
    lent_ms: int
    reply_address: Address


class WaitingRequest(Struct):
    """A request without a credit; `asked_in` is the question that counts it.

    `last_loan` is the answer that had no credit for it, while it waits for another.
    """

    acquire: AcquireCredit
    is_new: bool
    asked_in: int | None = None
    last_loan: CreditLoan | None = None

    @property
    def was_counted(self) -> bool:
        """Whether the ledger has counted it before."""
        return self.acquire.is_renewal or self.last_loan is not None


class AccountCredits(Struct):
    """What this host holds and needs for one account."""

    waiting: dict[HolderId, WaitingRequest] = field(default_factory=dict)
    balance: deque[Credits] = field(default_factory=deque)
    # Credits that expired unused, which return with the next question.
    unused: list[Credits] = field(default_factory=list)
    # Questions that have no answer yet.
    pending: set[int] = field(default_factory=set)
    # Whether requests have arrived since the last question.
    has_arrived: bool = False
    ask_from: datetime | None = None
    n_arrivals: float = 0.0
    arrived_at: datetime | None = None
    # Requests that got credits from the balance, which no question has counted.
    n_served_running: int = 0
    n_served_new: int = 0
    n_refused: int = 0
    logged_at: datetime | None = None

    @property
    def n_held(self) -> int:
        """The credits in the balance."""
        return sum(credits.n_credits for credits in self.balance)

    @property
    def n_unasked(self) -> int:
        """The waiting requests that no question counts."""
        return sum(waiting.asked_in is None for waiting in self.waiting.values())

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits, is held or is asked for."""
        return not (self.waiting or self.balance or self.unused or self.pending)

    def count_arrival(self, now: datetime) -> None:
        """Count a request."""
        self.n_arrivals = self._get_recent_arrivals(now) + 1
        self.arrived_at = now
        self.has_arrived = True

    def count_served(self, waiting: WaitingRequest) -> None:
        """Count a request that gets a credit, unless a question has counted it."""
        if waiting.asked_in is None and not waiting.was_counted:
            self.n_served_new += waiting.is_new
            self.n_served_running += not waiting.is_new

    def get_expected(self, duration: timedelta, now: datetime) -> int:
        """Return how many requests are expected in a time."""
        return int(self._get_recent_arrivals(now) * (duration / ARRIVAL_MEMORY))

    def _get_recent_arrivals(self, now: datetime) -> float:
        if self.arrived_at is None:
            return 0.0
        return self.n_arrivals * math.exp(-((now - self.arrived_at) / ARRIVAL_MEMORY))


class SentRequest(Struct):
    """A question to the leader; a late one is asked again but may be answered yet."""

    sent_at: datetime
    accounts: tuple[AccountId, ...]
    is_late: bool = False


class QuotasState(Struct):
    """State of the quotas task of one entry host."""

    random_source: Random
    accounts: dict[AccountId, AccountCredits] = field(default_factory=dict)
    # Accounts that are not idle.
    active: set[AccountId] = field(default_factory=set)
    granted: OrderedDict[HolderId, GrantedCredit] = field(default_factory=OrderedDict)
    # Granted credits that can't be used yet.
    scheduled: list[GrantedCredit] = field(default_factory=list)
    sent: dict[int, SentRequest] = field(default_factory=dict)
    last_number: int = 0
    last_sent_at: datetime | None = None
    programs: OrderedDict[tuple[AccountId, ProgramId], datetime] = field(
        default_factory=OrderedDict
    )

    def get_account(self, account: AccountId) -> AccountCredits:
        """Return what is held and needed for an account, and mark it as active."""
        if account not in self.accounts:
            if len(self.accounts) >= N_ACCOUNTS_MAX:
                self.accounts = {name: self.accounts[name] for name in self.active}
            self.accounts[account] = AccountCredits()
        self.active.add(account)
        return self.accounts[account]

    def list_active(self) -> Iterator[tuple[AccountId, AccountCredits]]:
        """Return the accounts that are not idle, in a fixed order."""
        for account in sorted(self.active):
            yield account, self.accounts[account]

    def drop_idle(self) -> None:
        """Skip the accounts that are idle from now on."""
        self.active -= {name for name in self.active if self.accounts[name].is_idle}

    def record_granted(self, granted: GrantedCredit, now: datetime) -> None:
        """Record the credit of a request, and forget those of long ago."""
        self.granted.pop(granted.holder, None)
        self.granted[granted.holder] = granted
        while now - next(iter(self.granted.values())).expires_at > GRANTED_TTL:
            self.granted.popitem(last=False)

    def knows_program(
        self, account: AccountId, program: ProgramId | None, now: datetime
    ) -> bool:
        """Return whether a request of a program got a credit recently."""
        if program is None:
            return False
        served_at = self.programs.get((account, program))
        return served_at is not None and now - served_at <= PROGRAM_TTL

    def record_program(
        self, account: AccountId, program: ProgramId, now: datetime
    ) -> None:
        """Record that a request of a program got a credit."""
        key = account, program
        self.programs.pop(key, None)
        self.programs[key] = now
        while self.programs and (
            len(self.programs) > N_PROGRAMS_MAX
            or now - next(iter(self.programs.values())) > PROGRAM_TTL
        ):
            self.programs.popitem(last=False)
