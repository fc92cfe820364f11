"""Guard against explanations of credits that differ from what is done, or change it."""

from datetime import timedelta
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.quotas.core import AskForCredits, SendReply, handle
from oleanderhitch.process.quotas.explaining import explain
from oleanderhitch.process.quotas.messages import (
    AcquireCredit,
    CreditGranted,
    CreditLoan,
    CreditReply,
    LedgerId,
    ReturnCredit,
)
from oleanderhitch.process.quotas.records import QuotasState
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.ids import HolderId
from tests.process.placement.test_explaining import freeze
from tests.process.quotas.fleet import MS, NOW

REPLY = make_mailbox("test")
accounts = st.sampled_from([AccountId("a"), AccountId("b")])
programs = st.sampled_from([None, ProgramId("p"), ProgramId("q")])
steps = st.lists(
    st.one_of(
        st.tuples(st.just("acquire"), accounts, programs),
        st.tuples(st.just("lend"), accounts, st.integers(0, 3)),
        st.tuples(st.just("lend late"), accounts, st.integers(1, 3)),
        st.tuples(st.just("return"), accounts, st.integers(0, 9)),
        st.tuples(st.just("wait"), accounts, st.sampled_from([1, 60, 500])),
    ),
    min_size=3,
    max_size=25,
)


def acquire(
    number: int, account: AccountId, program: ProgramId | None
) -> AcquireCredit:
    """Return a request for a credit."""
    return AcquireCredit(
        HolderId(str(number)), account, program, False, NOW + 500 * MS, REPLY
    )


def make_message(
    step: str, account: AccountId, value: object, number: int, state: QuotasState
) -> object:
    """Return the message of a step."""
    if step == "acquire":
        return acquire(number, account, value)
    if step == "return":
        return ReturnCredit(HolderId(str(value)))
    if step == "wait":
        return Tick()
    delay_ms = 200 if step == "lend late" else 0
    loan = CreditLoan(account, value, 0, 0, 0, 1000, delay_ms, 100)
    return CreditReply(max(state.sent, default=0), True, LedgerId(1), (loan,))


@given(steps=steps, account=accounts, program=programs)
def test_explanation_of_a_credit_is_what_is_then_done(
    steps: list[tuple[str, AccountId, object]],
    account: AccountId,
    program: ProgramId | None,
) -> None:
    """Guard against an account that is said to be held back and is not."""
    state, now = QuotasState(Random(1)), NOW
    for number, (step, name, value) in enumerate(steps):
        handle(make_message(step, name, value, number, state), state, now)
        now += (value if step == "wait" else 1) * MS
    request = acquire(100, account, program)
    before = freeze(state)
    explained = explain(request, state, now)
    assert freeze(state) == before
    effects = handle(request, state, now)
    granted = [
        effect.message.holder
        for effect in effects
        if isinstance(effect, SendReply) and isinstance(effect.message, CreditGranted)
    ]
    waits = {item.holder: item.usable_at - now for item in state.scheduled}
    is_granted = request.holder in granted
    assert explained.is_held is (is_granted or request.holder in waits)
    if explained.is_held:
        wait = timedelta(0) if is_granted else waits[request.holder]
        assert explained.wait == wait
    elif any(isinstance(effect, AskForCredits) for effect in effects):
        in_question = state.accounts[account].waiting[request.holder].asked_in
        assert (explained.wait == timedelta(0)) is (in_question is not None)
