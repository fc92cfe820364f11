"""Rank requests: fair share by account, programs in progress first, ageing.

A rank is a time in seconds: the arrival plus bounded penalties. Ageing follows
from it, since a request that arrives later than the sum of the bounds cannot
rank lower, so that no request starves.
"""

from oleanderhitch.process.scheduling.messages import EnqueueRequest
from oleanderhitch.process.scheduling.records import Account, PoolState
from oleanderhitch.program.ids import AccountId

# Accounts are forgotten in bulk; below this number it is not worth a pass.
IDLE_ACCOUNTS_MIN = 1024


def get_rank(state: PoolState, enqueue: EnqueueRequest, now_s: float) -> float:
    """Return the rank of a request in the general queue; lower goes first."""
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
    """Return the seniority of a request at the endpoint that holds its prefix."""
    return min(
        state.settings.cached_bonus_limit_s,
        n_cached_tokens * state.averages.prefill_s_per_token,
    )


def is_queue_long(state: PoolState) -> bool:
    """Say whether programs in progress go before new ones."""
    return len(state.waiting) > state.settings.long_queue_per_slot * state.n_slots


def charge_account(state: PoolState, account: AccountId, now_s: float) -> float:
    """Charge the mean slot time of one request; return the seconds charged."""
    entry = state.accounts.get(account)
    if entry is None:
        entry = state.accounts[account] = Account()
    if entry.n_active == 0:
        state.n_active_accounts += 1
    entry.n_active += 1
    charged_s = get_fair_share_s(state, state.averages.slot_s)
    limit_s = now_s + 2 * state.settings.fair_share_limit_s
    entry.virtual_finish_s = min(
        limit_s, max(now_s, entry.virtual_finish_s) + charged_s
    )
    return charged_s


def settle_account(state: PoolState, account: AccountId, correction_s: float) -> None:
    """End one request of an account and correct what it was charged."""
    entry = state.accounts.get(account)
    if entry is None:
        return
    entry.virtual_finish_s += correction_s
    entry.n_active -= 1
    if entry.n_active == 0:
        state.n_active_accounts -= 1


def get_fair_share_s(state: PoolState, slot_s: float) -> float:
    """Return how long the fair share of one account takes to earn a slot time."""
    return slot_s * max(1, state.n_active_accounts) / max(1, state.n_slots)


def remove_idle_accounts(state: PoolState, now_s: float) -> None:
    """Drop accounts that are idle and owe nothing."""
    if len(state.accounts) <= IDLE_ACCOUNTS_MIN + 2 * state.n_active_accounts:
        return
    state.accounts = {
        name: entry
        for name, entry in state.accounts.items()
        if entry.n_active > 0 or entry.virtual_finish_s > now_s
    }
