"""Guard against requests of limited accounts that are sent without a valid credit."""

from datetime import timedelta

from oleanderhitch.connection.http.messages import CallerDisconnected, ExchangeFailed
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.quotas.messages import CreditGranted, CreditRefused
from oleanderhitch.program.ids import AccountId
from oleanderhitch.request.forwarding.core import handle
from oleanderhitch.request.forwarding.identity import CallerIdentity
from oleanderhitch.request.forwarding.messages import (
    RequestCredit,
    RequestEndpoint,
    ReserveTokens,
    ReturnPermit,
    SendToEndpoint,
    SendVerdict,
    SettleReservation,
    Start,
)
from oleanderhitch.request.forwarding.state import ForwardState
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.version.routes.accounts import Account
from tests.request.forwarding.test_core import (
    HOLDER,
    NOW,
    TIMEOUT,
    find,
    get_exchange_id,
    grant,
    make_state,
    run,
)

RETRY_AFTER = timedelta(seconds=1)
TTL = timedelta(milliseconds=500)
CREDIT = CreditGranted(HOLDER, NOW + TTL)
OVER_QUOTA = CreditRefused(HOLDER, RETRY_AFTER, True)
NO_LEADER = CreditRefused(HOLDER, RETRY_AFTER, False)


def make_limited_state(is_turn: bool = False) -> ForwardState:
    """Return the state of a request of an account with a limit."""
    state = make_state(is_turn=is_turn)
    state.identity = CallerIdentity(Account(AccountId("a"), (), None, 1.0), True)
    state.needs_credit = True
    return state


def test_nothing_is_reserved_before_a_credit_is_granted() -> None:
    """Guard against a flood that fills the record and the queues."""
    state = make_limited_state(is_turn=True)
    effects = run(state, Start())
    assert effects == [RequestCredit(AccountId("a"), NOW + TIMEOUT / 4)]
    assert find(run(state, CREDIT), ReserveTokens)
    other = make_limited_state()
    run(other, Start())
    assert find(run(other, CREDIT), RequestEndpoint)


def test_refused_request_leaves_nothing_behind() -> None:
    """Guard against settlements of turns that were never begun."""
    for message, verdict in (
        (OVER_QUOTA, Verdict.OVER_QUOTA),
        (NO_LEADER, Verdict.QUOTA_UNAVAILABLE),
    ):
        state = make_limited_state(is_turn=True)
        effects = run(state, Start(), message)
        (ended,) = effects
        assert isinstance(ended, SendVerdict) and ended.verdict is verdict
        assert state.has_not_run
    for message in (CallerDisconnected("gone"), Tick()):
        state = make_limited_state(is_turn=True)
        run(state, Start())
        effects = handle(message, state, state.deadline)
        assert not find(effects, SettleReservation)


def test_credit_that_expired_in_the_queue_is_renewed() -> None:
    """Guard against all waiting requests being sent at once when endpoints recover."""
    state = make_limited_state()
    run(state, Start(), CREDIT)
    late = NOW + TTL
    effects = run(state, grant("e1"), at=late)
    assert find(effects, RequestCredit) and not find(effects, SendToEndpoint)
    renewed = CreditGranted(HOLDER, late + TTL)
    assert find(run(state, renewed, at=late), SendToEndpoint)
    assert not state.has_not_run
    # An attempt that was not run does not count; another one has to be in time too.
    run(state, ExchangeFailed(get_exchange_id(state), False, "refused"), at=late)
    assert state.has_not_run
    assert find(run(state, grant("e2"), at=late + TTL), RequestCredit)


def test_endpoint_is_returned_if_the_credit_is_not_renewed() -> None:
    """Guard against slots that a refused request keeps."""
    state = make_limited_state()
    run(state, Start(), CREDIT)
    effects = run(state, grant("e1"), OVER_QUOTA, at=NOW + TTL)
    assert find(effects, ReturnPermit)
    assert find(effects, SendVerdict)


def test_renewed_credit_that_has_expired_is_renewed_again() -> None:
    """Guard against a credit that a suspended host handles after its time."""
    state = make_limited_state()
    run(state, Start(), CREDIT)
    late = NOW + TTL
    run(state, grant("e1"), at=late)
    effects = run(state, CreditGranted(HOLDER, late + TTL), at=late + TTL)
    assert find(effects, RequestCredit) and not find(effects, SendToEndpoint)


def test_endpoint_is_returned_if_the_request_ends_during_the_renewal() -> None:
    """Guard against log lines on permits that requests have left."""
    for message in (CallerDisconnected("gone"), Tick()):
        state = make_limited_state()
        run(state, Start(), CREDIT)
        run(state, grant("e1"), at=NOW + TTL)
        assert find(handle(message, state, state.deadline), ReturnPermit)
