"""Decide how attempts at endpoints end and whether the request is retried."""

from datetime import datetime, timedelta

from oleanderhitch.process.placement.messages import AttemptResult
from oleanderhitch.request.forwarding.identity import get_share_account
from oleanderhitch.request.forwarding.messages import (
    CancelEndpointExchange,
    LogDecision,
    ReportEventLatency,
    RequestEndpoint,
    ReturnPermit,
)
from oleanderhitch.request.forwarding.outcomes import (
    abort_response,
    end_with_verdict,
    release_reservation,
    settle_spent_tokens,
)
from oleanderhitch.request.forwarding.state import Attempt, ForwardState
from oleanderhitch.request.forwarding.states import Phase, Verdict
from oleanderhitch.version.routes.states import RouteKind

# Sends that an endpoint did not run do not count as attempts of the route, so the
# number of sends has a limit of its own.
N_SENDS_LIMIT = 6
# Share of the remaining time that may be spent waiting for an endpoint. The rest is
# left for the work itself or, after a refusal, for a retry by the caller.
ENDPOINT_WAIT_SHARE = 0.5
# An endpoint that sends nothing for a multiple of the route's latency objective, or of
# its event latency target, which is the longest interval between two events that
# callers accept, has probably failed or slowed down.
SILENCE_OBJECTIVE_FACTOR = 3
SILENCE_EVENT_LATENCY_FACTOR = 2
# Shorter delays can be queueing at the endpoint.
SILENCE_TIMEOUT_MIN = timedelta(milliseconds=300)
# Number of events over which one reported event latency is averaged.
LATENCY_SAMPLE_EVENTS = 4
# Streams end with fewer where an event counts for many tokens. The last event may have
# fewer tokens, so that one alone says too little.
SHORT_SAMPLE_EVENTS_MIN = 2


def find_failover_time(state: ForwardState, now: datetime) -> datetime | None:
    """Return when an unresponsive endpoint is replaced by another, None for never."""
    attempt = state.attempt
    route = state.route
    if attempt is None or not route.allows_retry:
        return None
    n_runs = state.n_runs + (attempt.head is None)
    # The body of a response that is not streamed follows its head immediately.
    is_body_collected = attempt.head is not None and route.kind is not RouteKind.STREAM
    if n_runs >= route.n_attempts or is_body_collected:
        return None
    event_timeout = (
        route.event_latency_target or timedelta(0)
    ) * SILENCE_EVENT_LATENCY_FACTOR
    return now + max(
        route.latency_objective * SILENCE_OBJECTIVE_FACTOR,
        event_timeout,
        SILENCE_TIMEOUT_MIN,
    )


def fail_over_if_unresponsive(state: ForwardState, now: datetime) -> list[object]:
    """Move a request to another endpoint if its failover time has come."""
    attempt = state.attempt
    if state.failover_at is None or now < state.failover_at or attempt is None:
        return []
    if attempt.head is None:
        # The unresponsive endpoint may still run it, which counts as an attempt.
        state.n_runs += 1
    return handle_failed_attempt(
        state, "the endpoint is silent", now, AttemptResult.SILENT
    )


def excuse_wait(state: ForwardState, waited: timedelta) -> None:
    """Count the time for which the request waited for its caller as no silence.

    Nothing that the endpoint sent meanwhile was handled.
    """
    if state.failover_at is not None:
        state.failover_at += waited


def report_event_latency(
    attempt: Attempt, n_events: int, now: datetime
) -> list[object]:
    """Report the mean time between events once enough events have arrived."""
    attempt.last_event_at = now
    if attempt.latency_measured_from is None:
        attempt.latency_measured_from = now
        return []
    attempt.n_latency_events += n_events
    if attempt.n_latency_events < LATENCY_SAMPLE_EVENTS:
        return []
    latency = (now - attempt.latency_measured_from) / attempt.n_latency_events
    attempt.latency_measured_from = now
    attempt.n_latency_events = 0
    attempt.has_reported_latency = True
    return [ReportEventLatency(attempt.permit, latency)]


def report_short_stream(attempt: Attempt) -> list[object]:
    """Report the mean time between the events of a stream that had too few for it."""
    n_events = attempt.n_latency_events
    if attempt.has_reported_latency or n_events < SHORT_SAMPLE_EVENTS_MIN:
        return []
    if attempt.latency_measured_from is None or attempt.last_event_at is None:
        return []
    latency = (attempt.last_event_at - attempt.latency_measured_from) / n_events
    return [ReportEventLatency(attempt.permit, latency)]


def request_endpoint(state: ForwardState, now: datetime) -> list[object]:
    """Request an endpoint, to be granted within a share of the remaining time."""
    state.phase = Phase.WAITING
    deadline = now + (state.deadline - now) * ENDPOINT_WAIT_SHARE
    route = state.route
    return [
        RequestEndpoint(
            state.service,
            state.rank,
            state.tried_endpoints,
            route.allows_retry,
            deadline,
            get_share_account(state.identity),
            state.stage,
            state.finish_at,
            state.deadline,
        )
    ]


def find_attempt(exchange_id: int, state: ForwardState) -> Attempt | None:
    """Return the attempt that an exchange belongs to, unless it has ended."""
    attempt = state.attempt
    if attempt is None or attempt.exchange_id != exchange_id:
        return None
    return attempt


def end_attempt(state: ForwardState, result: AttemptResult) -> list[object]:
    """Cancel the exchange of the attempt and release its endpoint."""
    attempt = state.attempt
    if attempt is None:
        return []
    state.attempt = None
    state.failover_at = None
    if result is not AttemptResult.SILENT:
        state.tried_endpoints = (*state.tried_endpoints, attempt.endpoint)
    return [
        CancelEndpointExchange(attempt.exchange_id),
        ReturnPermit(attempt.permit, result, attempt.progress),
    ]


def cancel_work(state: ForwardState) -> list[object]:
    """End the running attempt, and return an endpoint that was kept for one.

    Placement forgets a request that has ended.
    """
    effects = end_attempt(state, AttemptResult.CANCELLED)
    if state.granted_endpoint is not None:
        permit, state.granted_endpoint = state.granted_endpoint.permit, None
        effects.append(ReturnPermit(permit, AttemptResult.UNSENT))
    return effects


def handle_unexecuted_attempt(
    state: ForwardState, result: AttemptResult, reason: str, now: datetime
) -> list[object]:
    """Retry a request that its endpoint did not run; end it at the send limit."""
    attempt = state.attempt
    state.n_unexecuted += 1
    endpoint = None if attempt is None else attempt.endpoint
    fields = (("endpoint", endpoint), ("result", result.value), ("reason", reason))
    effects = [
        LogDecision("endpoint did not run the request", fields),
        *end_attempt(state, result),
    ]
    if state.n_sends < N_SENDS_LIMIT:
        return [*effects, *request_endpoint(state, now)]
    if state.has_started_response:
        return [
            *effects,
            *settle_spent_tokens(state, now),
            *abort_response(state, reason),
        ]
    if state.n_runs:
        return [*effects, *end_with_verdict(state, Verdict.OUTCOME_UNKNOWN, reason)]
    return [
        *effects,
        *release_reservation(state, now),
        *end_with_verdict(state, Verdict.ALL_REFUSED, reason),
    ]


def handle_failed_attempt(
    state: ForwardState,
    reason: str,
    now: datetime,
    result: AttemptResult = AttemptResult.FAILED,
) -> list[object]:
    """Retry a request that may have run if its route allows that; otherwise end it."""
    attempt = state.attempt
    endpoint = None if attempt is None else attempt.endpoint
    fields = (("endpoint", endpoint), ("reason", reason), ("n_events", state.n_events))
    effects: list[object] = [
        LogDecision("endpoint failed", fields),
        *end_attempt(state, result),
    ]
    may_retry = state.route.allows_retry and state.n_runs < state.route.n_attempts
    if may_retry and state.n_sends < N_SENDS_LIMIT:
        # Discards an incomplete event: the next endpoint sends it from its start.
        state.splitter = type(state.splitter)()
        return [*effects, *request_endpoint(state, now)]
    effects.extend(settle_spent_tokens(state, now))
    if state.has_started_response:
        return [*effects, *abort_response(state, reason)]
    return [*effects, *end_with_verdict(state, Verdict.OUTCOME_UNKNOWN, reason)]
