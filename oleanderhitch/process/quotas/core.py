"""Decide which requests of limited accounts an entry host lets through.

Answers accounts that send more than their quota: their requests are refused before
anything is reserved or queued for them. All credits come from the leader; a host that
the leader does not answer spends what it holds and then nothing.
"""

from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from functools import singledispatch

from oleanderhitch.process.address import Address
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.quotas.messages import (
    AcquireCredit,
    CreditDemand,
    CreditExplained,
    CreditGranted,
    CreditLoan,
    CreditRefused,
    CreditReply,
    CreditRequest,
    ExplainCredit,
    LedgerId,
    ReturnCredit,
    ReturnedCredits,
)
from oleanderhitch.process.quotas.records import (
    AccountCredits,
    Credits,
    GrantedCredit,
    QuotasState,
    SentRequest,
    WaitingRequest,
)
from oleanderhitch.process.quotas.states import CreditResult
from oleanderhitch.process.task import NO_TICK
from oleanderhitch.program.ids import AccountId
from oleanderhitch.request.ids import HolderId
from oleanderhitch.values import Value

# Requests that arrive within this time of a question share the next one.
BATCH_INTERVAL = timedelta(milliseconds=2)
# The leader answers within some milliseconds; after this time it has probably failed.
REPLY_TIMEOUT = timedelta(milliseconds=150)
# A store that may not lend is asked again after this time. An election takes about half
# a second.
NO_LEADER_INTERVAL = timedelta(milliseconds=100)
# Questions on their way for one account.
N_QUESTIONS_MAX = 4
# While an account is over its quota, its requests wait for a common question, so that
# a flood costs a bounded number of messages.
OVER_QUOTA_INTERVAL = timedelta(milliseconds=50)
# Credits are held for the requests that are expected within this time.
AHEAD_DURATION = timedelta(milliseconds=200)
# Unused credits return to the leader when this share of their lifetime is left, so that
# other hosts can use them.
RETURN_SHARE = 0.4
# A reply that comes later lends nothing that could be used.
SENT_TTL = timedelta(seconds=3)
# Refused callers retry at different times, up to this share later.
RETRY_SPREAD = 0.5
LOG_INTERVAL = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
LONG_AGO = datetime.min.replace(tzinfo=UTC)


class AskForCredits(Value, frozen=True):
    """Asks the leader for credits; some are in the balance of this host."""

    request: CreditRequest
    n_held: int


class SendReply(Value, frozen=True):
    """Replies to a request of this host."""

    reply_address: Address
    message: CreditGranted | CreditRefused | CreditExplained


class CountCredits(Value, frozen=True):
    """Counts requests by how their wait for a credit ended."""

    result: CreditResult
    n_requests: int = 1


class LogRefusals(Value, frozen=True):
    """Logs that requests of an account were refused.

    `level` is what the leader had left for the account, None without an answer.
    """

    account: AccountId
    result: CreditResult
    n_requests: int
    n_held: int
    retry_after: timedelta
    level: int | None


@singledispatch
def handle(message: object, state: QuotasState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(f"quotas do not support message type {type(message).__name__}")


@handle.register
def _(message: AcquireCredit, state: QuotasState, now: datetime) -> list[object]:
    # A request that needs another credit has not used the one before.
    effects = _release(message.holder, state, now)
    account = state.get_account(message.account)
    if not message.is_renewal:
        account.count_arrival(now)
    is_new = not (
        message.is_renewal
        or message.continues_program
        or state.knows_program(message.account, message.program, now)
    )
    account.waiting[message.holder] = WaitingRequest(message, is_new)
    effects.extend(_serve(message.account, state, now))
    return [*effects, *_ask(state, now)]


@handle.register
def _(message: ReturnCredit, state: QuotasState, now: datetime) -> list[object]:
    for _, account in state.list_active():
        if account.waiting.pop(message.holder, None) is not None:
            return []
    effects = _release(message.holder, state, now)
    return [*effects, *_ask(state, now)]


@handle.register
def _(message: ExplainCredit, state: QuotasState, now: datetime) -> list[object]:
    # A start does not pay for it.
    from oleanderhitch.process.quotas.explaining import explain

    explained = explain(message.acquire, state, now)
    return [SendReply(message.acquire.reply_address, explained)]


@handle.register
def _(message: CreditReply, state: QuotasState, now: datetime) -> list[object]:
    sent = state.sent.pop(message.number, None)
    if sent is None:
        return []
    if not message.is_lending:
        wait = NO_LEADER_INTERVAL
        if message.lends_in_ms is not None:
            wait = min(wait, message.lends_in_ms * MILLISECOND)
        _end_question(message.number, sent, now + wait, state)
        return _ask(state, now)
    effects: list[object] = []
    for loan in message.loans:
        account = state.get_account(loan.account)
        _add_loan(loan, message.ledger, sent.sent_at, account, now)
        effects.extend(_serve(loan.account, state, now))
        effects.extend(_refuse_unserved(message.number, loan, account, state, now))
    _end_question(message.number, sent, None, state)
    return [*effects, *_ask(state, now)]


@handle.register
def _(message: Tick, state: QuotasState, now: datetime) -> list[object]:
    effects = _grant_scheduled(state, now)
    for number, sent in list(state.sent.items()):
        if not sent.is_late and now - sent.sent_at >= REPLY_TIMEOUT:
            sent.is_late = True
            _end_question(number, sent, None, state)
        if now - sent.sent_at >= SENT_TTL:
            del state.sent[number]
    for name, account in list(state.list_active()):
        effects.extend(_refuse_expired(account, state, now))
        _sort_out_expired(account, now)
        effects.extend(_serve(name, state, now))
    return [*effects, *_ask(state, now)]


def find_next_tick(state: QuotasState) -> datetime:
    """Return when something is due."""
    due = [credit.usable_at for credit in state.scheduled]
    for sent in state.sent.values():
        due.append(sent.sent_at + (SENT_TTL if sent.is_late else REPLY_TIMEOUT))
    for _, account in state.list_active():
        due.extend(waiting.acquire.deadline for waiting in account.waiting.values())
        due.extend(
            max(credits.return_at, get_ask_time(None, state))
            for credits in account.balance
        )
        if account.unused:
            due.append(get_ask_time(None, state))
        if account.n_unasked and len(account.pending) < N_QUESTIONS_MAX:
            due.append(get_ask_time(account.ask_from, state))
    return min(due, default=NO_TICK)


def _release(holder: HolderId, state: QuotasState, now: datetime) -> list[object]:
    """Let other requests use the credit of a request that was not run."""
    granted = state.granted.pop(holder, None)
    if granted is None:
        return []
    state.scheduled = [other for other in state.scheduled if other.holder != holder]
    account = state.get_account(granted.account)
    account.balance.appendleft(
        Credits(
            1,
            granted.usable_at,
            granted.return_at,
            granted.expires_at,
            granted.ledger,
            granted.lent_ms,
        )
    )
    _sort_out_expired(account, now)
    return _serve(granted.account, state, now)


def _add_loan(
    loan: CreditLoan,
    ledger: LedgerId,
    sent_at: datetime,
    account: AccountCredits,
    now: datetime,
) -> None:
    """Add credits to the balance.

    The ledger lent them after the question was sent and before the answer arrived, so
    that they expire early and become usable late on this host's clock.
    """
    n_credits = loan.n_running + loan.n_new + loan.n_ahead
    delay, ttl = loan.delay_ms * MILLISECOND, loan.ttl_ms * MILLISECOND
    expires_at = sent_at + delay + ttl
    usable_at = now + delay
    if n_credits and usable_at < expires_at:
        return_at = expires_at - ttl * RETURN_SHARE
        account.balance.append(
            Credits(n_credits, usable_at, return_at, expires_at, ledger, loan.lent_ms)
        )


def _serve(name: AccountId, state: QuotasState, now: datetime) -> list[object]:
    """Give credits to waiting requests, first to those of programs in progress."""
    account = state.accounts[name]
    if not account.waiting:
        return []
    _sort_out_expired(account, now)
    if not account.balance:
        return []
    effects: list[object] = []
    for waiting in sorted(account.waiting.values(), key=lambda waiting: waiting.is_new):
        if not account.balance:
            break
        credits = account.balance[0]
        credits.n_credits -= 1
        if not credits.n_credits:
            account.balance.popleft()
        acquire = waiting.acquire
        del account.waiting[acquire.holder]
        account.count_served(waiting)
        if acquire.program is not None:
            state.record_program(name, acquire.program, now)
        granted = GrantedCredit(
            acquire.holder,
            name,
            credits.usable_at,
            credits.return_at,
            credits.expires_at,
            credits.ledger,
            credits.lent_ms,
            acquire.reply_address,
        )
        state.record_granted(granted, now)
        if credits.usable_at > now:
            state.scheduled.append(granted)
        else:
            effects.extend(_grant(granted))
    return effects


def _grant_scheduled(state: QuotasState, now: datetime) -> list[object]:
    due = [granted for granted in state.scheduled if granted.usable_at <= now]
    state.scheduled = [
        granted for granted in state.scheduled if granted.usable_at > now
    ]
    return [effect for granted in due for effect in _grant(granted)]


def _grant(granted: GrantedCredit) -> list[object]:
    message = CreditGranted(granted.holder, granted.expires_at)
    return [
        SendReply(granted.reply_address, message),
        CountCredits(CreditResult.GRANTED),
    ]


def _refuse_unserved(
    number: int,
    loan: CreditLoan,
    account: AccountCredits,
    state: QuotasState,
    now: datetime,
) -> list[object]:
    """Refuse the requests that a question counted and its answer has no credit for."""
    unserved = [
        waiting for waiting in account.waiting.values() if waiting.asked_in == number
    ]
    if not unserved:
        return []
    retry_at = now + OVER_QUOTA_INTERVAL
    refused = unserved
    if loan.fill_ms:
        retry_at = max(retry_at, now + loan.retry_ms * MILLISECOND)
        refused = _keep_while_filling(unserved, loan, now)
    account.ask_from = retry_at
    return _refuse(refused, loan, account, state, now)


def _keep_while_filling(
    unserved: list[WaitingRequest], loan: CreditLoan, now: datetime
) -> list[WaitingRequest]:
    """Let requests wait that a filling bucket can serve in time; return the others.

    Those of programs in progress get credits first.
    """
    refused = []
    ready_at = now + loan.retry_ms * MILLISECOND
    for waiting in sorted(unserved, key=lambda waiting: waiting.is_new):
        if ready_at < waiting.acquire.deadline:
            waiting.asked_in, waiting.last_loan = None, loan
            ready_at += loan.fill_ms * MILLISECOND
        else:
            refused.append(waiting)
    return refused


def _refuse_expired(
    account: AccountCredits, state: QuotasState, now: datetime
) -> list[object]:
    expired = [
        waiting
        for waiting in account.waiting.values()
        if waiting.acquire.deadline <= now
    ]
    unanswered = [waiting for waiting in expired if waiting.last_loan is None]
    effects = _refuse(unanswered, None, account, state, now)
    for waiting in expired:
        if waiting.last_loan is not None:
            effects.extend(_refuse([waiting], waiting.last_loan, account, state, now))
    return effects


def _refuse(
    refused: list[WaitingRequest],
    loan: CreditLoan | None,
    account: AccountCredits,
    state: QuotasState,
    now: datetime,
) -> list[object]:
    """Refuse requests by the answer of the leader, or because there was none."""
    if not refused:
        return []
    result, retry_after, level = CreditResult.NO_LEADER, NO_LEADER_INTERVAL, None
    if loan is not None:
        result, level = CreditResult.OVER_QUOTA, loan.level
        retry_after = loan.retry_ms * MILLISECOND
    effects: list[object] = [CountCredits(result, len(refused))]
    for waiting in refused:
        acquire = waiting.acquire
        del account.waiting[acquire.holder]
        spread = 1 + state.random_source.random() * RETRY_SPREAD
        message = CreditRefused(acquire.holder, retry_after * spread, loan is not None)
        effects.append(SendReply(acquire.reply_address, message))
    account.n_refused += len(refused)
    if account.logged_at is None or now - account.logged_at >= LOG_INTERVAL:
        name, n_refused, n_held = acquire.account, account.n_refused, account.n_held
        effects.append(LogRefusals(name, result, n_refused, n_held, retry_after, level))
        account.logged_at, account.n_refused = now, 0
    return effects


def _sort_out_expired(account: AccountCredits, now: datetime) -> None:
    """Set aside the credits that only the ledger can use, by lending them again."""
    expired = [credits for credits in account.balance if credits.expires_at <= now]
    for credits in expired:
        account.balance.remove(credits)
    account.unused.extend(expired)


def _end_question(
    number: int, sent: SentRequest, ask_from: datetime | None, state: QuotasState
) -> None:
    for name in sent.accounts:
        account = state.get_account(name)
        account.pending.discard(number)
        account.ask_from = ask_from or account.ask_from
        for waiting in account.waiting.values():
            if waiting.asked_in == number:
                # Without an answer, the next leader counts it for the first time.
                waiting.asked_in = waiting.last_loan = None


def get_ask_time(ask_from: datetime | None, state: QuotasState) -> datetime:
    """Return when the next question can be asked."""
    times = [] if ask_from is None else [ask_from]
    if state.last_sent_at is not None:
        times.append(state.last_sent_at + BATCH_INTERVAL)
    return max(times, default=LONG_AGO)


def _ask(state: QuotasState, now: datetime) -> list[object]:
    """Ask for the credits that all accounts need, and return those not needed."""
    state.drop_idle()
    if state.last_sent_at is not None and now < state.last_sent_at + BATCH_INTERVAL:
        return []
    number = state.last_number + 1
    demands = []
    returns: list[ReturnedCredits] = []
    for name, account in state.list_active():
        returns.extend(_take_returns(name, account, now))
        demand = _make_demand(name, account, now)
        if demand is not None:
            demands.append(demand)
            account.pending.add(number)
            account.has_arrived = False
            for waiting in account.waiting.values():
                waiting.asked_in = waiting.asked_in or number
    if not demands and not returns:
        return []
    state.last_number, state.last_sent_at = number, now
    accounts = tuple(demand.account for demand in demands)
    state.sent[number] = SentRequest(now, accounts)
    request = CreditRequest(number, tuple(demands), tuple(returns))
    n_held = sum(account.n_held for _, account in state.list_active())
    return [AskForCredits(request, n_held)]


def _make_demand(
    name: AccountId, account: AccountCredits, now: datetime
) -> CreditDemand | None:
    is_early = account.ask_from is not None and now < account.ask_from
    if len(account.pending) >= N_QUESTIONS_MAX or is_early:
        return None
    n_ahead = 0
    if account.has_arrived and not account.pending:
        n_ahead = max(0, account.get_expected(AHEAD_DURATION, now) - account.n_held)
    unasked = [w for w in account.waiting.values() if w.asked_in is None]
    # Credits are asked for ahead once half of them are used.
    if not unasked and n_ahead <= account.n_held:
        return None
    n_new = sum(waiting.is_new for waiting in unasked)
    n_served_running, account.n_served_running = account.n_served_running, 0
    n_served_new, account.n_served_new = account.n_served_new, 0
    n_running = len(unasked) - n_new
    return CreditDemand(
        name,
        n_running,
        n_new,
        n_ahead,
        n_served_running,
        n_served_new,
        sum(waiting.was_counted and not waiting.is_new for waiting in unasked),
        sum(waiting.was_counted and waiting.is_new for waiting in unasked),
    )


def _take_returns(
    name: AccountId, account: AccountCredits, now: datetime
) -> Iterable[ReturnedCredits]:
    due = [credits for credits in account.balance if credits.return_at <= now]
    for credits in due:
        account.balance.remove(credits)
    due, account.unused = account.unused + due, []
    for credits in due:
        yield ReturnedCredits(name, credits.ledger, credits.lent_ms, credits.n_credits)
