"""Judge endpoints by how attempts end and by what is heard of them."""

from datetime import datetime, timedelta

from oleanderhitch.process.placement.messages import AttemptResult
from oleanderhitch.process.placement.records import Endpoint
from oleanderhitch.process.placement.reliability import note_outcome

# An endpoint that could not be reached or refused work is avoided for this
# long; the list names a crashed one for some seconds more.
AVOID_AFTER_FAILURE = timedelta(seconds=1)
AVOID_AFTER_REFUSAL = timedelta(milliseconds=150)
# An endpoint that leaves a call without an answer is avoided while a neighbour may
# slow it down, which lasts about as long.
AVOID_AFTER_SILENCE = timedelta(milliseconds=300)
# Longest time that a busy endpoint says nothing: the largest prompts take 0.2 s to
# read and neighbours slow an engine down two to three times.
SILENCE_LIMIT = timedelta(milliseconds=600)
# Results that show that an endpoint is there.
HEARD = (AttemptResult.COMPLETED, AttemptResult.REFUSED, AttemptResult.MISDIRECTED)
# Whether a result speaks against the endpoint; others say nothing of it.
HAS_FAILED = {
    AttemptResult.COMPLETED: False,
    AttemptResult.FAILED: True,
    AttemptResult.SILENT: True,
}
# Objects that are remembered for an endpoint; bounds the memory of an entry.
N_OBJECTS = 500


def note_result(result: AttemptResult, endpoint: Endpoint, now: datetime) -> None:
    """Take account of how an attempt ended."""
    if result in HEARD:
        endpoint.heard_at = now
    if result in HAS_FAILED:
        note_outcome(endpoint.reliability, HAS_FAILED[result], now)
    if result is AttemptResult.SILENT:
        endpoint.avoid_until = now + AVOID_AFTER_SILENCE
    elif result is AttemptResult.REFUSED:
        endpoint.avoid_until = now + AVOID_AFTER_REFUSAL
    elif result in (AttemptResult.NOT_CONNECTED, AttemptResult.MISDIRECTED):
        endpoint.avoid_until = now + AVOID_AFTER_FAILURE
    elif result is AttemptResult.COMPLETED:
        endpoint.avoid_until = None


def is_silent(endpoint: Endpoint, now: datetime) -> bool:
    """Tell whether an endpoint with work has said nothing for long."""
    if endpoint.heard_at is None or not endpoint.permits:
        return False
    return now - endpoint.heard_at > SILENCE_LIMIT


def note_object(name: str, endpoint: Endpoint) -> None:
    """Remember that an object was sent to an endpoint."""
    endpoint.objects[name] = None
    endpoint.objects.move_to_end(name)
    if len(endpoint.objects) > N_OBJECTS:
        endpoint.objects.popitem(last=False)
