"""Get the credit that a request of an account with a limit needs to be sent.

A credit expires soon, so that requests that wait for an endpoint are not all sent at
once later. A request whose credit has expired keeps the granted endpoint while it gets
another one, which takes some milliseconds.
"""

from datetime import datetime, timedelta

from oleanderhitch.process.placement.messages import AttemptResult, EndpointGranted
from oleanderhitch.process.quotas.messages import CreditRefused
from oleanderhitch.request.forwarding.messages import RequestCredit, ReturnPermit
from oleanderhitch.request.forwarding.outcomes import (
    end_with_verdict,
    release_reservation,
)
from oleanderhitch.request.forwarding.state import ForwardState
from oleanderhitch.request.forwarding.states import Phase, Verdict

# Share of the time of a request in which it waits for a leader that lends credits.
CREDIT_WAIT_SHARE = 0.25
# An endpoint is kept for this long at most; the leader answers within milliseconds.
RENEWAL_TIMEOUT = timedelta(milliseconds=150)


def request_credit(state: ForwardState, now: datetime) -> list[object]:
    """Request a credit before anything is reserved or queued."""
    state.phase = Phase.ADMITTING
    deadline = now + (state.deadline - now) * CREDIT_WAIT_SHARE
    return [_make_request(state, deadline)]


def lacks_credit(state: ForwardState, now: datetime) -> bool:
    """Return whether the credit has expired; one that may have run needs no other."""
    if not state.needs_credit or not state.has_not_run:
        return False
    return state.credit_expires_at is None or state.credit_expires_at <= now


def renew_credit(
    granted: EndpointGranted, state: ForwardState, now: datetime
) -> list[object]:
    """Request another credit before the request is sent to the granted endpoint."""
    state.phase = Phase.RENEWING
    state.granted_endpoint = granted
    return [_make_request(state, min(now + RENEWAL_TIMEOUT, state.deadline))]


def end_without_credit(message: CreditRefused, state: ForwardState) -> list[object]:
    """End a request for which nothing was reserved."""
    if message.is_over_quota:
        detail = "the account has used up its quota"
        return end_with_verdict(state, Verdict.OVER_QUOTA, detail, message.retry_after)
    detail = "no leader answers for the quota of the account"
    return end_with_verdict(state, Verdict.QUOTA_UNAVAILABLE, detail)


def end_renewal(
    message: CreditRefused, state: ForwardState, now: datetime
) -> list[object]:
    """End a request that got no other credit, and return its endpoint."""
    granted = state.granted_endpoint
    assert granted is not None
    state.granted_endpoint = None
    return [
        ReturnPermit(granted.permit, AttemptResult.UNSENT),
        *release_reservation(state, now),
        *end_without_credit(message, state),
    ]


def _make_request(state: ForwardState, deadline: datetime) -> RequestCredit:
    account = state.identity.account_id
    assert account is not None
    return RequestCredit(account, deadline, state.has_been_admitted)
