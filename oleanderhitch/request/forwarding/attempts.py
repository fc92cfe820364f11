"""Decide how attempts at endpoints end and where the work goes on."""

from datetime import datetime, timedelta

from oleanderhitch.process.placement.messages import AttemptResult
from oleanderhitch.request.forwarding.messages import (
    AskEndpoint,
    CancelSend,
    LogDecision,
    NotePace,
    Release,
    Withdraw,
)
from oleanderhitch.request.forwarding.outcomes import (
    abort,
    end,
    settle_spent,
    settle_unspent,
)
from oleanderhitch.request.forwarding.state import Attempt, ForwardState
from oleanderhitch.request.forwarding.states import Phase, Verdict
from oleanderhitch.version.routes.states import RouteKind

# Endpoints that say that they did not run a request leave its attempts whole;
# this bounds how many are asked for one request.
N_SENDS_LIMIT = 6
# The rest of a request's time is kept for the work itself; a caller that is
# refused earlier can still try elsewhere.
QUEUE_SHARE = 0.5
# An endpoint that says nothing for this many times the objective, or the longest
# pause that callers accept, is probably gone or slowed down.
SILENCE_RATIO = 3
PAUSE_RATIO = 2
# Shorter silences are those of a queue.
SILENCE_MIN = timedelta(milliseconds=300)
# Events that are averaged into one observation of an endpoint's pace.
N_EVENTS_PER_PACE = 4
# Results that leave the endpoint itself a choice: only a kept connection had ended,
# or the answer was slow.
MAY_BE_WELL = (AttemptResult.STALE_CONNECTION, AttemptResult.SILENT)


def find_repeat_time(state: ForwardState, now: datetime) -> datetime | None:
    """Return when the work goes elsewhere if its endpoint stays silent, if ever."""
    attempt = state.attempt
    route = state.route
    if attempt is None or not route.may_repeat:
        return None
    n_runs = state.n_runs + (attempt.head is None)
    # The body of an answer that is collected whole follows its head at once.
    is_whole_answer = attempt.head is not None and route.kind is not RouteKind.STREAM
    if n_runs >= route.n_attempts or is_whole_answer:
        return None
    pause = (route.pause_limit or timedelta(0)) * PAUSE_RATIO
    return now + max(route.objective * SILENCE_RATIO, pause, SILENCE_MIN)


def leave_silent_endpoint(state: ForwardState, now: datetime) -> list[object]:
    """Go on elsewhere with work that may repeat."""
    attempt = state.attempt
    if state.repeat_at is None or now < state.repeat_at or attempt is None:
        return []
    if attempt.head is None:
        # It may run there all the same, which counts as one of its attempts.
        state.n_runs += 1
    return fail_attempt(state, "the endpoint is silent", now, AttemptResult.SILENT)


def observe_pace(attempt: Attempt, n_events: int, now: datetime) -> list[object]:
    """Report the mean pause between events, some events at a time."""
    if attempt.pace_since is None:
        attempt.pace_since = now
        return []
    attempt.n_events_paced += n_events
    if attempt.n_events_paced < N_EVENTS_PER_PACE:
        return []
    pause = (now - attempt.pace_since) / attempt.n_events_paced
    attempt.pace_since = now
    attempt.n_events_paced = 0
    return [NotePace(attempt.permit, pause)]


def ask_endpoint(state: ForwardState, now: datetime) -> list[object]:
    """Ask for an endpoint, and keep time for the work itself."""
    state.phase = Phase.WAITING
    due_at = now + (state.due_at - now) * QUEUE_SHARE
    route = state.route
    return [
        AskEndpoint(state.service, route.rank, state.tried, route.may_repeat, due_at)
    ]


def find_attempt(exchange: int, state: ForwardState) -> Attempt | None:
    """Return the attempt that an exchange belongs to, unless it has ended."""
    attempt = state.attempt
    if attempt is None or attempt.exchange != exchange:
        return None
    return attempt


def end_attempt(state: ForwardState, result: AttemptResult) -> list[object]:
    """Give the endpoint of the attempt back."""
    attempt = state.attempt
    if attempt is None:
        return []
    state.attempt = None
    state.repeat_at = None
    if result not in MAY_BE_WELL:
        state.tried = (*state.tried, attempt.endpoint)
    return [CancelSend(attempt.exchange), Release(attempt.permit, result)]


def drop_work(state: ForwardState) -> list[object]:
    """End whatever is under way for the request."""
    if state.phase is Phase.WAITING:
        return [Withdraw()]
    return end_attempt(state, AttemptResult.CANCELLED)


def try_elsewhere(
    state: ForwardState, result: AttemptResult, reason: str, now: datetime
) -> list[object]:
    """Send a request that an endpoint did not run to another one."""
    attempt = state.attempt
    endpoint = None if attempt is None else attempt.endpoint
    fields = (("endpoint", endpoint), ("result", result.value), ("reason", reason))
    effects = [
        LogDecision("endpoint did not run it", fields),
        *end_attempt(state, result),
    ]
    if state.n_sends < N_SENDS_LIMIT:
        return [*effects, *ask_endpoint(state, now)]
    if state.has_started_answer:
        return [*effects, *settle_spent(state, now), *abort(state, reason)]
    if state.n_runs:
        return [*effects, *end(state, Verdict.OUTCOME_UNKNOWN, reason)]
    return [
        *effects,
        *settle_unspent(state, now),
        *end(state, Verdict.ALL_REFUSED, reason),
    ]


def fail_attempt(
    state: ForwardState,
    reason: str,
    now: datetime,
    result: AttemptResult = AttemptResult.FAILED,
) -> list[object]:
    """Repeat work that may have run where that is allowed, or say it failed."""
    attempt = state.attempt
    endpoint = None if attempt is None else attempt.endpoint
    fields = (("endpoint", endpoint), ("reason", reason), ("n_events", state.n_events))
    effects: list[object] = [
        LogDecision("endpoint failed", fields),
        *end_attempt(state, result),
    ]
    may_repeat = state.route.may_repeat and state.n_runs < state.route.n_attempts
    if may_repeat and state.n_sends < N_SENDS_LIMIT:
        state.splitter = type(state.splitter)()
        return [*effects, *ask_endpoint(state, now)]
    effects.extend(settle_spent(state, now))
    if state.has_started_answer:
        return [*effects, *abort(state, reason)]
    return [*effects, *end(state, Verdict.OUTCOME_UNKNOWN, reason)]
