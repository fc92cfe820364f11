"""Entry hosts and leaders' ledgers, without a network, under a scripted clock."""

from collections import Counter
from datetime import UTC, datetime, timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random

from oleanderhitch.process.ids import Term
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.quotas.core import (
    AskForCredits,
    SendReply,
    find_next_tick,
    handle,
)
from oleanderhitch.process.quotas.messages import (
    AcquireCredit,
    CreditGranted,
    CreditReply,
    CreditRequest,
    LedgerId,
    QuotaBounds,
    ReturnCredit,
)
from oleanderhitch.process.quotas.records import QuotasState
from oleanderhitch.process.site.lender_silence import READ_VALIDITY, SILENCE_DURATION
from oleanderhitch.process.site.quota_ledger import (
    QuotaLedger,
    continue_ledger,
    get_tolerance,
    make_quota_ledger,
)
from oleanderhitch.process.task import NO_TICK
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.ids import HolderId
from oleanderhitch.version.routes.accounts import Account

NOW = datetime(2026, 1, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)
BOUNDS = QuotaBounds(timedelta(seconds=5), 0.1, 20)
LINK_DELAY = 1.5 * MS
REQUEST_TIMEOUT = timedelta(seconds=2)


class _Caller:
    """Reply address of requests; records what they are told."""

    def __init__(self) -> None:
        self.replies: list[object] = []

    def send(self, message: object) -> None:
        """Record a reply."""
        self.replies.append(message)


class QuotaFleet:
    """Entry hosts that share the limits of accounts by the ledger of a leader."""

    def __init__(self, n_hosts: int, *accounts: Account) -> None:
        self.random = Random(1)
        self.accounts = {account.account: account for account in accounts}
        self.hosts = [QuotasState(Random(number)) for number in range(n_hosts)]
        self.now = NOW
        self.ledger: QuotaLedger | None = None
        # Serves the first host until its time ends.
        self.deposed: tuple[QuotaLedger, datetime] | None = None
        self.lost_links: set[int] = set()
        self.link_delay = LINK_DELAY
        self.sent: dict[AccountId, list[datetime]] = {
            account.account: [] for account in accounts
        }
        self.waits: list[timedelta] = []
        self.n_refused: Counter[AccountId] = Counter()
        self.n_unanswered = 0
        self.n_messages = 0
        self.refused: set[HolderId] = set()
        self.granted: dict[HolderId, tuple[int, CreditGranted]] = {}
        self._arrivals: dict[HolderId, tuple[AccountId, datetime]] = {}
        self._due: list[tuple[datetime, int, int, object]] = []
        self._ticks: dict[int, datetime] = {}
        self._numbers = count()
        self._caller = _Caller()

    def elect(self, lends_from: datetime | None = None) -> None:
        """Replace the leader by one with an empty ledger."""
        self.deposed = None
        number = LedgerId(next(self._numbers))
        self.ledger = make_quota_ledger(number, BOUNDS, lends_from or self.now)
        self.ledger.apply_limits(self.accounts.values(), self.now)

    def depose(self) -> None:
        """Elect a leader while the one before lends to a host by its last read."""
        assert self.ledger is not None
        deposed = self.ledger, self.now + READ_VALIDITY
        self.elect(self.now + SILENCE_DURATION)
        self.deposed = deposed

    def hand_over(self, delay: timedelta) -> None:
        """Let the ledger go to another leader, which gets it after a delay."""
        assert self.ledger is not None
        handed_over = self.ledger.hand_over(Term(1), self.now)
        self.ledger = None
        self.run(self.now + delay)
        number = LedgerId(next(self._numbers))
        self.ledger = continue_ledger(number, BOUNDS, handed_over, self.now)
        self.ledger.apply_limits(self.accounts.values(), self.now)

    def fill(self) -> None:
        """Let all buckets be full, as long after an election."""
        assert self.ledger is not None
        for bucket in self.ledger.buckets.values():
            bucket.level = bucket.capacity

    def arrive(
        self,
        host: int,
        account: str,
        at: datetime,
        program: str | None = None,
        continues_program: bool = False,
    ) -> HolderId:
        """Let a request arrive at a time."""
        holder = HolderId(f"r{next(self._numbers)}")
        acquire = AcquireCredit(
            holder,
            AccountId(account),
            None if program is None else ProgramId(program),
            continues_program,
            at + REQUEST_TIMEOUT / 4,
            self._caller,
        )
        self._arrivals[holder] = AccountId(account), at
        self._schedule(at, host, acquire)
        return holder

    def run(self, until: datetime) -> None:
        """Handle everything that is due until a time."""
        while self._due and self._due[0][0] <= until:
            at, _, host, message = heappop(self._due)
            self.now = max(self.now, at)
            if isinstance(message, Tick):
                if self._ticks.get(host) != at:
                    continue
                del self._ticks[host]
            if isinstance(message, CreditRequest):
                self._lend(host, message)
            else:
                self.handle(host, message)
        self.now = until

    def handle(self, host: int, message: object) -> None:
        """Let a host handle a message now."""
        state = self.hosts[host]
        for effect in handle(message, state, self.now):
            if isinstance(effect, AskForCredits):
                self.n_messages += 1
                if host not in self.lost_links:
                    self._schedule(self.now + self.link_delay, host, effect.request)
            elif isinstance(effect, SendReply):
                self._record(host, effect.message)
        tick_at = find_next_tick(state)
        if tick_at == NO_TICK:
            self._ticks.pop(host, None)
        elif self._ticks.get(host) != tick_at:
            tick_at = max(tick_at, self.now)
            self._ticks[host] = tick_at
            self._schedule(tick_at, host, Tick())

    def get_allowed(self, account: str) -> float:
        """Return the most requests of an account that may be sent in a window."""
        limited = self.accounts[AccountId(account)]
        quota = (limited.requests_per_s or 0) * BOUNDS.window.total_seconds()
        return quota + limited.n_burst + get_tolerance(limited, BOUNDS)

    def count_most(self, account: str, window: timedelta = BOUNDS.window) -> int:
        """Return the most requests of an account that were sent in a window."""
        sent = sorted(self.sent[AccountId(account)])
        most, first = 0, 0
        for last, at in enumerate(sent):
            while at - sent[first] >= window:
                first += 1
            most = max(most, last - first + 1)
        return most

    def send_granted(self, holder: HolderId) -> None:
        """Send a request that holds its credit, unless the credit has expired."""
        _, granted = self.granted.pop(holder)
        if granted.expires_at > self.now:
            self.sent[self._arrivals[holder][0]].append(self.now)

    def get_arrival(self, holder: HolderId) -> datetime:
        """Return when a request arrived."""
        return self._arrivals[holder][1]

    def renew(self, holder: HolderId) -> None:
        """Ask for another credit for a request whose credit expires."""
        host, _ = self.granted.pop(holder)
        account, _ = self._arrivals[holder]
        deadline = self.now + REQUEST_TIMEOUT / 4
        acquire = AcquireCredit(
            holder, account, None, False, deadline, self._caller, is_renewal=True
        )
        self.handle(host, acquire)

    def give_up(self, holder: HolderId) -> None:
        """End a request that holds its credit without sending it."""
        host, _ = self.granted.pop(holder)
        self.handle(host, ReturnCredit(holder))

    def _lend(self, host: int, request: CreditRequest) -> None:
        if host in self.lost_links:
            return
        reply = CreditReply(request.number, False)
        ledger = self.ledger
        if self.deposed is not None and host == 0 and self.now < self.deposed[1]:
            ledger = self.deposed[0]
        if ledger is not None and self.now >= ledger.lends_from:
            reply = ledger.lend(request, self.now)
        self._schedule(self.now + self.link_delay, host, reply)

    def _record(self, host: int, message: object) -> None:
        if isinstance(message, CreditGranted):
            self.granted[message.holder] = host, message
            self.waits.append(self.now - self._arrivals[message.holder][1])
            return
        self.refused.add(message.holder)
        if message.is_over_quota:
            self.n_refused[self._arrivals[message.holder][0]] += 1
        else:
            self.n_unanswered += 1

    def _schedule(self, at: datetime, host: int, message: object) -> None:
        heappush(self._due, (at, next(self._numbers), host, message))
