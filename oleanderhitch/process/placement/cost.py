"""Estimate the cost of a request on an endpoint, in milliseconds of latency.

The cost adds the latency of the request itself, the delay that it causes to the
requests that run there, the expected loss from a failed attempt and, for an endpoint in
another data centre, the cost of the distance.
"""

from datetime import datetime

from oleanderhitch.process.placement.cache import count_uncached_tokens
from oleanderhitch.process.placement.messages import AcquireEndpoint, InferenceWorkload
from oleanderhitch.process.placement.records import (
    Endpoint,
    PlacementState,
    count_running,
    find_peer_load,
    get_cost_speeds,
)
from oleanderhitch.process.placement.reliability import get_failure_rate
from oleanderhitch.process.placement.speeds import (
    BATCH_OVERHEAD_RATIO,
    ServiceSpeeds,
)

# Requests that a prefill delays besides the running ones: its own and, while the engine
# is busy, the next one.
N_DELAYED_BY_PREFILL = 2.0
# Running requests are half done on average, so half of the output of a request is
# generated in the same batch as a new one.
REMAINING_OUTPUT_SHARE = 0.5
# Time of a short call of a plain service, from the data sheets of both sites; each call
# ahead in the queue adds it.
PLAIN_CALL_MS = 20.0
# Time that a plain service saves if it has recently served a call with the same
# affinity key: half of a short call, as in the deployment files of both sites.
AFFINITY_GAIN_MS = 10.0
# A request to another data centre costs a round trip and traffic between the two.
REMOTE_DATA_CENTRE_COST_MS = 2.0
# A failed attempt loses work that can't be retried and often the program that it
# belongs to, whose calls and turns take about two seconds. Work that can be retried
# costs only the time of the attempt.
LOST_WORK_COST_MS = 2000.0
RETRIED_WORK_COST_MS = 300.0


def get_cost_ms(
    endpoint: Endpoint,
    message: AcquireEndpoint,
    state: PlacementState,
    slowdown: float,
    now: datetime,
    has_prefix: bool = False,
) -> float:
    """Return the cost of a request on an endpoint, in milliseconds.

    `has_prefix` is whether the endpoint is assumed to have the shared prefix of the
    prompt cached.
    """
    n_running = count_running(endpoint, now)
    if message.workload is None:
        cost_ms = n_running * PLAIN_CALL_MS
        if message.affinity_key in endpoint.affinity_keys:
            cost_ms -= AFFINITY_GAIN_MS
    else:
        peer_load = find_peer_load(endpoint, now)
        n_pending_prefill_tokens = state.pending_prefill_tokens[
            endpoint.listed.endpoint
        ]
        n_pending_prefill_tokens += (
            0 if peer_load is None else peer_load.n_reading_tokens
        )
        cost_ms = _get_engine_cost_ms(
            endpoint,
            get_cost_speeds(message.service, state),
            message.workload,
            n_running,
            n_pending_prefill_tokens,
            count_uncached_tokens(endpoint.cache, message.workload, has_prefix),
        )
    cost_ms *= slowdown
    failure_cost_ms = (
        RETRIED_WORK_COST_MS if message.is_retryable else LOST_WORK_COST_MS
    )
    cost_ms += failure_cost_ms * get_failure_rate(endpoint.reliability, now)
    if endpoint.listed.data_centre != state.data_centre:
        cost_ms += REMOTE_DATA_CENTRE_COST_MS
    return cost_ms


def get_added_cost_ms(
    endpoint: Endpoint,
    workload: InferenceWorkload | None,
    state: PlacementState,
    has_prefix: bool = False,
) -> float:
    """Return what one more running request adds to the cost, in milliseconds."""
    if workload is None:
        return PLAIN_CALL_MS
    service = get_cost_speeds(endpoint.listed.service, state)
    n_output = workload.expected_output_tokens
    n_uncached_tokens = count_uncached_tokens(endpoint.cache, workload, has_prefix)
    prefill_ms = n_uncached_tokens * service.prefill_ms
    batch_overhead_ms = BATCH_OVERHEAD_RATIO * service.decode_ms
    return prefill_ms + n_output * batch_overhead_ms * (1 + REMAINING_OUTPUT_SHARE)


def _get_engine_cost_ms(
    endpoint: Endpoint,
    service: ServiceSpeeds,
    workload: InferenceWorkload,
    n_running: int,
    n_pending_prefill_tokens: int,
    n_uncached_tokens: int,
) -> float:
    """Return the milliseconds of the request's latency plus the delay of its batch.

    Engines run prefill in chunks between the decode steps of the batch, so a prefill
    delays each running request by its whole duration. A batch costs what the data
    sheets say also where its overhead is less: it takes slots from the next requests.
    """
    prefill_token_ms = service.prefill_ms * endpoint.speeds.prefill_ratio
    decode_token_ms = service.decode_ms * endpoint.speeds.decode_ratio
    batch_overhead_ms = BATCH_OVERHEAD_RATIO * decode_token_ms
    n_output = workload.expected_output_tokens
    prefill_ms = n_uncached_tokens * prefill_token_ms
    decode_ms = n_output * (decode_token_ms + batch_overhead_ms * n_running)
    batch_delay_ms = REMAINING_OUTPUT_SHARE * n_output * batch_overhead_ms
    prefill_queue_ms = n_pending_prefill_tokens * prefill_token_ms
    n_delayed = N_DELAYED_BY_PREFILL + n_running
    return (
        prefill_queue_ms
        + decode_ms
        + n_delayed * prefill_ms
        + n_running * batch_delay_ms
    )
