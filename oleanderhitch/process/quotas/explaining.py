"""Explain whether a request would get a credit, on a copy of the state of quotas.

Answers an operator who asks why an account is refused. The host knows the credits that
it holds; whether the leader lends more is not known before it is asked.
"""

from collections import OrderedDict
from copy import deepcopy
from datetime import datetime, timedelta

from msgspec.structs import replace

from oleanderhitch.process.quotas.core import SendReply, get_ask_time, handle
from oleanderhitch.process.quotas.messages import (
    AcquireCredit,
    CreditExplained,
    CreditGranted,
)
from oleanderhitch.process.quotas.records import QuotasState


def explain(
    message: AcquireCredit, state: QuotasState, now: datetime
) -> CreditExplained:
    """Return what would become of a request for a credit; the state stays as it is."""
    account = state.accounts.get(message.account)
    n_held = 0 if account is None else account.n_held
    copied = copy_state(message, state)
    for effect in handle(message, copied, now):
        reply = effect.message if isinstance(effect, SendReply) else None
        if isinstance(reply, CreditGranted) and reply.holder == message.holder:
            return CreditExplained(True, timedelta(0), n_held, state.last_sent_at)
    for granted in copied.scheduled:
        if granted.holder == message.holder:
            wait = granted.usable_at - now
            return CreditExplained(True, wait, n_held, state.last_sent_at)
    copied_account = copied.get_account(message.account)
    wait = timedelta(0)
    if copied_account.waiting[message.holder].asked_in is None:
        wait = max(wait, get_ask_time(copied_account.ask_from, copied) - now)
    return CreditExplained(False, wait, n_held, state.last_sent_at)


def copy_state(message: AcquireCredit, state: QuotasState) -> QuotasState:
    """Return a deep copy of the state, without other accounts and programs.

    Decisions on a request read nothing of these, and a host knows 20,000 programs.
    """
    name = message.account
    programs: OrderedDict[object, datetime] = OrderedDict()
    if message.program is not None and (name, message.program) in state.programs:
        programs[name, message.program] = state.programs[name, message.program]
    return deepcopy(
        replace(
            state,
            accounts={key: item for key, item in state.accounts.items() if key == name},
            active=state.active & {name},
            granted=OrderedDict(),
            programs=programs,
        )
    )
