"""Keep to the rate limits that endpoints name for all entry hosts together.

The leader grants each send to a limited endpoint. While it does not answer, an entry
host takes an equal share of each limit.

The sends that a limit allows have a price that rises with each refusal and falls with
each grant, so that they go to the requests that gain most by them, such as those whose
prompts the endpoint has cached.
"""

from collections.abc import Sequence
from datetime import datetime, timedelta

from oleanderhitch.process.placement.messages import (
    EndpointLimit,
    SendPermitReply,
    SendPermitRequest,
)
from oleanderhitch.process.placement.records import Endpoint, PlacementState, RateLimit

# The leader answers within some milliseconds; after this time it has probably failed.
PERMIT_TIMEOUT = timedelta(milliseconds=150)
# How long an entry host goes by its own share before it asks the leader again. An
# election takes about half a second.
LOCAL_SHARE_DURATION = timedelta(seconds=1)
# Questions on their way. More requests than these wait until one is answered, since the
# answer shows whether another question is of any use.
N_PERMIT_REQUESTS_LIMIT = 8
# Endpoints that one question names, in the order of their cost.
N_ENDPOINTS_PER_PERMIT = 8
# Steps of the price of a send, in milliseconds of cost. With these, a fifth of the
# questions is refused where demand exceeds a limit.
PRICE_STEP_MIN_MS = 2.0
PRICE_RISE = 1.5
PRICE_FALL = 0.9
# The prefill of the largest prompts takes 0.2 s; no request gains more.
PRICE_MAX_MS = 300.0
# Without questions nothing shows that a price has become too high.
PRICE_HALF_LIFE = timedelta(seconds=2)
# Observations that are older were reported before.
REPORTED_AGE_MAX = timedelta(seconds=2)
# A share of a limit that allows almost nothing is used at least this often, since only
# an answer can end the limit.
LOCAL_INTERVAL_MAX = timedelta(seconds=30)
MILLISECOND = timedelta(milliseconds=1)


def is_limited(endpoint: Endpoint) -> bool:
    """Return whether an endpoint names a rate limit."""
    return endpoint.rate_limit.requests_per_s is not None


def observe_limit(
    endpoint: Endpoint, requests_per_s: float | None, observed_at: datetime
) -> bool:
    """Record a limit unless a later one is known; return whether it has changed."""
    limit = endpoint.rate_limit
    if limit.observed_at is not None and observed_at < limit.observed_at:
        return False
    limit.observed_at = observed_at
    if limit.requests_per_s == requests_per_s:
        return False
    limit.requests_per_s = requests_per_s
    limit.exhausted_until = limit.next_local_send_at = None
    return True


def is_local(state: PlacementState, now: datetime) -> bool:
    """Return whether this entry host goes by its own share of the limits."""
    return state.local_share_until is not None and now < state.local_share_until


def allows_send(endpoint: Endpoint, state: PlacementState, now: datetime) -> bool:
    """Return whether the limit of an endpoint may allow a send now."""
    limit = endpoint.rate_limit
    if limit.requests_per_s is None:
        return True
    if is_local(state, now):
        if limit.next_local_send_at is None:
            # Hosts that lose the leader at the same time must not all send at once.
            phase = state.random_source.random()
            limit.next_local_send_at = now + phase * _get_local_interval(
                limit.requests_per_s, state
            )
        return limit.next_local_send_at <= now
    has_room = limit.exhausted_until is None or limit.exhausted_until <= now
    return has_room and len(state.permit_requests) < N_PERMIT_REQUESTS_LIMIT


def count_local_send(endpoint: Endpoint, state: PlacementState, now: datetime) -> None:
    """Count a send against this entry host's own share of a limit."""
    limit = endpoint.rate_limit
    if limit.requests_per_s is not None:
        limit.next_local_send_at = now + _get_local_interval(
            limit.requests_per_s, state
        )


def make_permit_request(
    endpoints: Sequence[Endpoint],
    costs_ms: Sequence[float],
    chosen: Endpoint,
    state: PlacementState,
    now: datetime,
) -> SendPermitRequest:
    """Return the question for a send to the chosen endpoint or one of the next best.

    Those are the limited endpoints that cost less than each without a limit.
    """
    ranked = sorted(
        zip(costs_ms, range(len(endpoints)), endpoints, strict=True),
        key=lambda item: (item[2] is not chosen, item[0], item[1]),
    )
    asked = []
    for _, _, endpoint in ranked[:N_ENDPOINTS_PER_PERMIT]:
        if not is_limited(endpoint):
            break
        asked.append(describe_limit(endpoint, now))
    state.last_permit_request += 1
    return SendPermitRequest(state.last_permit_request, tuple(asked))


def apply_reply(reply: SendPermitReply, state: PlacementState, now: datetime) -> None:
    """Record which endpoints take nothing more at the moment, or that nobody counts."""
    if not reply.is_leader:
        state.local_share_until = now + LOCAL_SHARE_DURATION
        return
    granted = state.endpoints.get(reply.endpoint) if reply.endpoint else None
    if granted is not None:
        _set_price(granted.rate_limit, get_price_ms(granted, now) * PRICE_FALL, now)
    for exhausted in reply.exhausted:
        endpoint = state.endpoints.get(exhausted.endpoint)
        if endpoint is not None:
            until = now + exhausted.wait_ms * MILLISECOND
            endpoint.rate_limit.exhausted_until = until
            price_ms = get_price_ms(endpoint, now)
            price_ms = max(price_ms * PRICE_RISE, price_ms + PRICE_STEP_MIN_MS)
            _set_price(endpoint.rate_limit, min(price_ms, PRICE_MAX_MS), now)


def get_price_ms(endpoint: Endpoint, now: datetime) -> float:
    """Return what a request must gain by a send to a limited endpoint."""
    limit = endpoint.rate_limit
    if limit.requests_per_s is None or limit.priced_at is None:
        return 0.0
    return limit.price_ms * float(0.5 ** ((now - limit.priced_at) / PRICE_HALF_LIFE))


def _set_price(limit: RateLimit, price_ms: float, now: datetime) -> None:
    limit.price_ms = price_ms
    limit.priced_at = now


def describe_limit(endpoint: Endpoint, now: datetime) -> EndpointLimit:
    """Return what this entry host knows of an endpoint's limit."""
    limit = endpoint.rate_limit
    age = timedelta(0) if limit.observed_at is None else now - limit.observed_at
    return EndpointLimit(
        endpoint.listed.endpoint,
        endpoint.listed.born_ms,
        limit.requests_per_s,
        int(age / MILLISECOND),
    )


def list_observed_limits(
    state: PlacementState, now: datetime
) -> tuple[EndpointLimit, ...]:
    """Return the limits that were observed lately, ended ones included."""
    return tuple(
        describe_limit(endpoint, now)
        for endpoint in state.endpoints.values()
        if endpoint.rate_limit.observed_at is not None
        and now - endpoint.rate_limit.observed_at <= REPORTED_AGE_MAX
    )


def _get_local_interval(requests_per_s: float, state: PlacementState) -> timedelta:
    """Return the time between two sends by this entry host alone."""
    n_hosts = max(1, state.n_entry_hosts)
    interval_s = n_hosts / requests_per_s if requests_per_s else float("inf")
    return min(timedelta(seconds=min(interval_s, 3600)), LOCAL_INTERVAL_MAX)
