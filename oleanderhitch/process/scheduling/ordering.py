"""Rank requests by arrival time, fair share of the account and program progress.

A rank is a time in seconds: the arrival plus bounded penalties; the lowest rank goes
first. A request that arrives later by more than the sum of the bounds never ranks
before an earlier one, so that no request starves.
"""

from oleanderhitch.process.scheduling.messages import EnqueueRequest
from oleanderhitch.process.scheduling.records import Account, PoolState
from oleanderhitch.program.ids import AccountId

# Idle accounts are removed in bulk; with fewer accounts, a pass isn't worth its cost.
N_IDLE_ACCOUNTS_MIN = 1024


def get_rank(state: PoolState, enqueue: EnqueueRequest, now_s: float) -> float:
    """Return the rank of a request in the general queue, in seconds; lowest first."""
    settings = state.settings
    fair_share_penalty_s = 0.0
    account = state.accounts.get(enqueue.account)
    if account is not None:
        fair_share_penalty_s = min(
            settings.fair_share_limit_s, max(0.0, account.virtual_finish_s - now_s)
        )
    new_program_penalty_s = 0.0
    if enqueue.n_turns == 0 and is_queue_long(state):
        new_program_penalty_s = settings.new_program_penalty_s
    arrival_s = now_s - enqueue.waited.total_seconds()
    return arrival_s + fair_share_penalty_s + new_program_penalty_s


def get_cached_bonus_s(state: PoolState, n_cached_tokens: int) -> float:
    """Return the rank bonus, in seconds, at the endpoint that caches the prefix."""
    return min(
        state.settings.cached_bonus_limit_s,
        n_cached_tokens * state.averages.prefill_s_per_token,
    )


def is_queue_long(state: PoolState) -> bool:
    """Return whether programs in progress go before new ones."""
    return len(state.waiting) > state.settings.long_queue_per_slot * state.n_slots


def charge_account(state: PoolState, account: AccountId, now_s: float) -> float:
    """Charge an account for the mean slot time; return the charge in seconds."""
    record = state.accounts.get(account)
    if record is None:
        record = state.accounts[account] = Account()
    if record.n_active == 0:
        state.n_active_accounts += 1
    record.n_active += 1
    charged_s = get_fair_share_s(state, state.averages.slot_s)
    # Bounds how long a burst raises the rank of the account's later requests.
    limit_s = now_s + 2 * state.settings.fair_share_limit_s
    record.virtual_finish_s = min(
        limit_s, max(now_s, record.virtual_finish_s) + charged_s
    )
    return charged_s


def settle_account(state: PoolState, account: AccountId, correction_s: float) -> None:
    """End a request of an account and correct the seconds that it was charged."""
    record = state.accounts.get(account)
    if record is None:
        return
    record.virtual_finish_s += correction_s
    record.n_active -= 1
    if record.n_active == 0:
        state.n_active_accounts -= 1


def get_fair_share_s(state: PoolState, slot_s: float) -> float:
    """Return the seconds in which an account's share of the slots yields `slot_s`."""
    return slot_s * max(1, state.n_active_accounts) / max(1, state.n_slots)


def remove_idle_accounts(state: PoolState, now_s: float) -> None:
    """Remove accounts without requests that are within their fair share."""
    if len(state.accounts) <= N_IDLE_ACCOUNTS_MIN + 2 * state.n_active_accounts:
        return
    state.accounts = {
        name: record
        for name, record in state.accounts.items()
        if record.n_active > 0 or record.virtual_finish_s > now_s
    }
