"""Tell what a request costs on an endpoint, in milliseconds of callers' time."""

from datetime import datetime

from oleanderhitch.process.placement.cache import count_missing_tokens
from oleanderhitch.process.placement.messages import AcquireEndpoint, InferenceWorkload
from oleanderhitch.process.placement.records import (
    Endpoint,
    PlacementState,
    count_running,
    find_others,
)
from oleanderhitch.process.placement.reliability import get_failure_share

# Speeds of the engines of both sites, from their sheets and files: prompt tokens
# that are read in a millisecond, the time of an output token on an idle engine, and
# what each further request of the batch adds to it.
PROMPT_TOKENS_PER_MS = 145.0
TOKEN_MS = 1.0
BATCH_TOKEN_MS = 0.04
# A prompt delays its own request and, as long as the engine is busy, the next one.
READ_WEIGHT = 2.0
# Running requests are half done on average, so that a new one meets half of the
# output that they have yet to write.
OVERLAP_SHARE = 0.5
# Time of a short call of a plain service on the sheets of both sites, which each
# call ahead of it adds.
CALL_MS = 20.0
# Time that a plain service saves on an object that it has handled lately: half of a
# short call, as in the files of both sites.
WARM_GAIN_MS = 10.0
# Sending a prompt to another data centre costs a round trip and traffic.
REMOTE_COST_MS = 2.0
# Work that may not run twice is lost with a failed attempt, and often its program,
# whose calls and turns took about two seconds; other work costs the time of the
# attempt.
LOSS_COST_MS = 2000.0
REPEAT_COST_MS = 300.0


def get_cost_ms(
    endpoint: Endpoint,
    message: AcquireEndpoint,
    state: PlacementState,
    slowness: float,
    now: datetime,
) -> float:
    """Return the time that the request takes there and adds to those running."""
    n_running = count_running(endpoint, now)
    if message.workload is None:
        cost = n_running * CALL_MS
        if message.affinity_key in endpoint.objects:
            cost -= WARM_GAIN_MS
    else:
        others = find_others(endpoint, now)
        n_reading = state.reading_tokens[endpoint.listed.endpoint]
        n_reading += 0 if others is None else others.n_reading_tokens
        cost = _get_engine_cost_ms(endpoint, message.workload, n_running, n_reading)
    cost *= slowness
    failure_cost_ms = REPEAT_COST_MS if message.may_repeat else LOSS_COST_MS
    cost += failure_cost_ms * get_failure_share(endpoint.reliability, now)
    if endpoint.listed.data_centre != state.data_centre:
        cost += REMOTE_COST_MS
    return cost


def _get_engine_cost_ms(
    endpoint: Endpoint, shape: InferenceWorkload, n_running: int, n_reading: int
) -> float:
    """Return the delays of the request itself and of the batch that it joins.

    A prompt is read in chunks between the output tokens of all other requests, so
    that reading it delays each of them by the same time.
    """
    n_output = shape.expected_output_tokens
    read_ms = count_missing_tokens(endpoint.cache, shape) / PROMPT_TOKENS_PER_MS
    write_ms = n_output * (TOKEN_MS + BATCH_TOKEN_MS * n_running)
    batch_ms = OVERLAP_SHARE * n_output * BATCH_TOKEN_MS
    queue_ms = n_reading / PROMPT_TOKENS_PER_MS
    n_delayed = READ_WEIGHT + n_running
    return queue_ms + write_ms + n_delayed * read_ms + n_running * batch_ms
