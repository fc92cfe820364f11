"""Reserve and settle the token budgets of programs and their sub-agents."""

from oleanderhitch.program.entries import ProgramEntry, ShardState
from oleanderhitch.program.messages import Refused
from oleanderhitch.program.states import RefusalReason


def get_free_tokens(state: ShardState, entry: ProgramEntry) -> int:
    """Return the tokens that are neither spent nor reserved.

    An ended child has returned its unspent budget, so its parent's free tokens limit it
    as well.
    """
    free_tokens = entry.budget_tokens - entry.spent_tokens - entry.reserved_tokens
    parent = state.find_parent(entry)
    if entry.end_reason is None or parent is None:
        return free_tokens
    return min(free_tokens, get_free_tokens(state, parent))


def reserve(state: ShardState, entry: ProgramEntry, tokens: int) -> Refused | None:
    """Reserve tokens; return a refusal if too few are free."""
    free_tokens = get_free_tokens(state, entry)
    if tokens > free_tokens:
        return Refused(
            RefusalReason.BUDGET_EXCEEDED,
            f"{tokens} tokens were asked for and {free_tokens} of "
            f"{entry.budget_tokens} are left in program {entry.program}",
        )
    _adjust_totals(state, entry, -tokens, 0)
    return None


def settle(
    state: ShardState, entry: ProgramEntry, released_tokens: int, spent_tokens: int
) -> None:
    """Replace a reservation with the tokens that were actually spent.

    An endpoint may report more tokens than were reserved. Tokens beyond the budget
    count as overrun, so spent tokens never exceed the budget.
    """
    limit = released_tokens + get_free_tokens(state, entry)
    charged = max(0, min(spent_tokens, limit))
    entry.overrun_tokens += max(0, spent_tokens - charged)
    _adjust_totals(state, entry, released_tokens, charged)


def return_unspent_budget(state: ShardState, entry: ProgramEntry) -> None:
    """Return the unspent budget of an ended child to its parent.

    Tokens that the child still has reserved stay reserved on the parent.
    """
    parent = state.find_parent(entry)
    if parent is not None:
        released_tokens = entry.budget_tokens - entry.reserved_tokens
        _adjust_totals(state, parent, released_tokens, entry.spent_tokens)


def _adjust_totals(
    state: ShardState, entry: ProgramEntry, released_tokens: int, spent_tokens: int
) -> None:
    entry.reserved_tokens -= released_tokens
    entry.spent_tokens += spent_tokens
    parent = state.find_parent(entry)
    if entry.end_reason is not None and parent is not None:
        _adjust_totals(state, parent, released_tokens, spent_tokens)
