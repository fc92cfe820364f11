"""Track the health of endpoints by attempt results and the time since a response."""

from datetime import datetime, timedelta

from oleanderhitch.process.placement.messages import AttemptResult
from oleanderhitch.process.placement.records import Endpoint
from oleanderhitch.process.placement.reliability import record_attempt

# Time without new requests after a failed connection or a misdirected request, and
# after a refusal. The list of endpoints still contains a crashed one for some seconds.
AVOID_AFTER_UNREACHABLE = timedelta(seconds=1)
AVOID_AFTER_REFUSAL = timedelta(milliseconds=150)
# One request tries an endpoint that was unreachable. A connection that can't be made
# fails sooner: see `CONNECT_TIMEOUT` of `connection/http/endpoint.py`.
TRIAL_DURATION = timedelta(milliseconds=300)
# An unresponsive endpoint may be slowed down by a noisy neighbour; such slowdowns last
# about this long.
AVOID_AFTER_SILENCE = timedelta(milliseconds=300)
# Longest time that a busy endpoint sends nothing: prefill of the largest prompts takes
# 0.2 s, and noisy neighbours slow an engine down two to three times.
SILENCE_TIMEOUT = timedelta(milliseconds=600)
# Results that come with a response from the endpoint.
RESPONSIVE_RESULTS = (
    AttemptResult.COMPLETED,
    AttemptResult.REFUSED,
    AttemptResult.MISDIRECTED,
)
# Results that count in the failure rate, and whether as a failure.
IS_FAILURE = {
    AttemptResult.COMPLETED: False,
    AttemptResult.FAILED: True,
    AttemptResult.CONNECTION_LOST: True,
    AttemptResult.SILENT: True,
}
# Affinity keys kept per endpoint; bounds the memory use of an entry host.
N_AFFINITY_KEYS_LIMIT = 500


def record_result(result: AttemptResult, endpoint: Endpoint, now: datetime) -> None:
    """Update an endpoint with the result of an attempt."""
    if result in RESPONSIVE_RESULTS:
        endpoint.last_activity_at = now
    if result in IS_FAILURE:
        record_attempt(endpoint.reliability, IS_FAILURE[result], now)
    if result is AttemptResult.SILENT:
        _avoid(endpoint, now + AVOID_AFTER_SILENCE)
    elif result is AttemptResult.REFUSED:
        _avoid(endpoint, now + AVOID_AFTER_REFUSAL)
    elif result in (AttemptResult.NOT_CONNECTED, AttemptResult.MISDIRECTED):
        _avoid(endpoint, now + AVOID_AFTER_UNREACHABLE)
        endpoint.unreachable_at, endpoint.trial_at = now, None
    elif result is AttemptResult.COMPLETED:
        endpoint.avoid_until = None
        _end_trial(endpoint)


def begin_trial(endpoint: Endpoint, now: datetime) -> None:
    """Record that a request is sent to an endpoint that may be back."""
    if endpoint.unreachable_at is None:
        return
    if endpoint.trial_at is None:
        endpoint.trial_at = now
    elif not is_on_trial(endpoint, now):
        # The connection was made, or its failure would have been reported.
        _end_trial(endpoint)


def is_on_trial(endpoint: Endpoint, now: datetime) -> bool:
    """Return whether one request finds out if an endpoint is back, and others wait."""
    return endpoint.trial_at is not None and now - endpoint.trial_at < TRIAL_DURATION


def _avoid(endpoint: Endpoint, until: datetime) -> None:
    # Late results of earlier requests must not shorten it.
    endpoint.avoid_until = max(until, endpoint.avoid_until or until)


def record_trial_end(
    result: AttemptResult, granted_at: datetime, endpoint: Endpoint, now: datetime
) -> None:
    """Record what the end of an attempt says of an endpoint that may be back.

    A refusal is an answer. A trial that was not sent has shown nothing, and another
    request may try.
    """
    if result is AttemptResult.REFUSED:
        record_answer(granted_at, endpoint)
    elif (
        result is AttemptResult.UNSENT
        and is_on_trial(endpoint, now)
        and granted_at == endpoint.trial_at
    ):
        endpoint.trial_at = None


def record_answer(granted_at: datetime, endpoint: Endpoint) -> bool:
    """Return whether the answer to what was granted at a time ends a trial."""
    if endpoint.unreachable_at is None or granted_at <= endpoint.unreachable_at:
        return False
    _end_trial(endpoint)
    return True


def _end_trial(endpoint: Endpoint) -> None:
    endpoint.unreachable_at = endpoint.trial_at = None


def is_unresponsive(endpoint: Endpoint, now: datetime) -> bool:
    """Return whether a busy endpoint has sent nothing for SILENCE_TIMEOUT."""
    if endpoint.last_activity_at is None or not endpoint.permits:
        return False
    return now - endpoint.last_activity_at > SILENCE_TIMEOUT


def record_affinity_key(key: str, endpoint: Endpoint) -> None:
    """Record that a call with an affinity key was sent to an endpoint."""
    endpoint.affinity_keys[key] = None
    endpoint.affinity_keys.move_to_end(key)
    if len(endpoint.affinity_keys) > N_AFFINITY_KEYS_LIMIT:
        endpoint.affinity_keys.popitem(last=False)
