"""Estimate the cost of a request on an endpoint, in milliseconds of latency.

The cost adds the latency of the request itself, the delay that it causes to the
requests that run there, the expected loss from a failed attempt, for an endpoint in
another data centre the cost of the distance and, for one with a rate limit, the price
of a send.
"""

from datetime import datetime

from oleanderhitch.process.explaining.states import CostPart
from oleanderhitch.process.placement.cache import count_uncached_tokens
from oleanderhitch.process.placement.messages import AcquireEndpoint, InferenceWorkload
from oleanderhitch.process.placement.rate_limits import get_price_ms
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


# Milliseconds of each component, in the order of `get_cost_parts`. Endpoints are
# compared by the sum. A tuple, since a decision makes one for each endpoint.
CostMs = tuple[float, ...]
OTHER_PARTS = (
    CostPart.SLOWDOWN,
    CostPart.FAILURE,
    CostPart.DISTANCE,
    CostPart.PRICE,
)
PLAIN_PARTS = (CostPart.QUEUE, CostPart.AFFINITY, *OTHER_PARTS)
ENGINE_PARTS = (
    CostPart.QUEUE,
    CostPart.DECODE,
    CostPart.PREFILL,
    CostPart.ASSUMED_PREFIX,
    CostPart.BATCH_DELAY,
    *OTHER_PARTS,
)


def get_cost_parts(message: AcquireEndpoint) -> tuple[CostPart, ...]:
    """Return what the components of a request's costs are."""
    return PLAIN_PARTS if message.workload is None else ENGINE_PARTS


def get_cost(
    endpoint: Endpoint,
    message: AcquireEndpoint,
    state: PlacementState,
    slowdown: float,
    now: datetime,
    has_prefix: bool = False,
) -> CostMs:
    """Return the components of the cost of a request on an endpoint.

    `has_prefix` is whether the endpoint is assumed to have the shared prefix of the
    prompt cached.
    """
    workload = message.workload
    work_ms: CostMs
    if workload is None:
        is_known = message.affinity_key in endpoint.affinity_keys
        work_ms = (
            count_running(endpoint, now) * PLAIN_CALL_MS,
            -AFFINITY_GAIN_MS if is_known else 0.0,
        )
    else:
        work_ms = _get_engine_cost(endpoint, workload, state, now, has_prefix)
    failure_ms = RETRIED_WORK_COST_MS if message.is_retryable else LOST_WORK_COST_MS
    is_remote = endpoint.listed.data_centre != state.data_centre
    is_unlimited = endpoint.rate_limit.requests_per_s is None
    other_ms = (
        0.0 if slowdown == 1.0 else sum(work_ms) * (slowdown - 1.0),
        failure_ms * get_failure_rate(endpoint.reliability, now),
        REMOTE_DATA_CENTRE_COST_MS if is_remote else 0.0,
        0.0 if is_unlimited else get_price_ms(endpoint, now),
    )
    return work_ms + other_ms


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


def _get_engine_cost(
    endpoint: Endpoint,
    workload: InferenceWorkload,
    state: PlacementState,
    now: datetime,
    has_prefix: bool,
) -> CostMs:
    """Return the latency of the request plus the delay of its batch.

    Engines run prefill in chunks between the decode steps of the batch, so a prefill
    delays each running request by its whole duration. A batch costs what the data
    sheets say also where its overhead is less: it takes slots from the next requests.
    """
    service = get_cost_speeds(endpoint.listed.service, state)
    n_running = len(endpoint.permits)
    n_pending_prefill_tokens = state.pending_prefill_tokens[endpoint.listed.endpoint]
    peer_load = find_peer_load(endpoint, now)
    if peer_load is not None:
        n_running += peer_load.n_running
        n_pending_prefill_tokens += peer_load.n_reading_tokens
    prefill_token_ms = service.prefill_ms * endpoint.speeds.prefill_ratio
    decode_token_ms = service.decode_ms * endpoint.speeds.decode_ratio
    batch_overhead_ms = BATCH_OVERHEAD_RATIO * decode_token_ms
    n_output = workload.expected_output_tokens
    n_uncached = count_uncached_tokens(endpoint.cache, workload)
    prefill_ms = n_uncached * prefill_token_ms
    n_delayed = N_DELAYED_BY_PREFILL + n_running
    prefix_ms = 0.0
    if has_prefix:
        n_assumed = n_uncached - count_uncached_tokens(endpoint.cache, workload, True)
        prefix_ms = -n_delayed * (n_assumed * prefill_token_ms)
    batch_delay_ms = REMAINING_OUTPUT_SHARE * n_output * batch_overhead_ms
    return (
        n_pending_prefill_tokens * prefill_token_ms,
        n_output * (decode_token_ms + batch_overhead_ms * n_running),
        n_delayed * prefill_ms,
        prefix_ms,
        n_running * batch_delay_ms,
    )
