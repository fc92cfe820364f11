"""Send an endpoint that has started or recovered no more than it has shown to take.

Answers a herd at an endpoint that is not warm yet: it is idle, so that each entry host
finds it cheapest. The leader says how many requests it may run at once for all hosts,
and each host takes its part. The limit makes no request wait: it does not count where
no other endpoint is available.
"""

from datetime import datetime, timedelta

from oleanderhitch.process.placement.messages import AttemptResult, RampObservations
from oleanderhitch.process.placement.records import (
    PEER_LOAD_TTL,
    Endpoint,
    Permit,
    PlacementState,
    Ramping,
    count_running,
)

MILLISECOND = timedelta(milliseconds=1)
# Requests that an endpoint may run at once before it has answered any.
N_ALLOWED_AT_START = 1
# An answer is fast up to this multiple of what its peers or the endpoint itself take;
# most answers of a warm endpoint vary by less, a neighbour slows them down 2.5 times.
FAST_RATIO_MAX = 1.5
# A difference that says nothing: connections and the scheduling of processes.
FAST_TOLERANCE_MS = 5.0
# Weight of a new duration in the mean of a service or of an endpoint.
DURATION_WEIGHT = 0.2
# Weight of a new report in the share of reports between which a host would have used an
# endpoint, and the least that is assumed for others: they may need it all at once.
WANTED_WEIGHT = 0.3
WANTED_MIN = 0.2
FAILURES = frozenset(
    {
        AttemptResult.FAILED,
        AttemptResult.CONNECTION_LOST,
        AttemptResult.NOT_CONNECTED,
        AttemptResult.REFUSED,
        AttemptResult.SILENT,
    }
)


def begin_ramp(endpoint: Endpoint, is_new: bool, state: PlacementState) -> None:
    """Begin the ramp of an endpoint that has started, where it is asked for.

    `is_new` is whether it has started since the first list of this entry host.
    """
    is_cold = endpoint.listed.is_cold
    if endpoint.ramping is None and (state.is_ramp_up_enabled or is_cold):
        endpoint.ramping = Ramping(has_started=is_new or is_cold)


def find_allowed(endpoint: Endpoint) -> int | None:
    """Return how many requests an endpoint may run at once, None outside of a ramp."""
    reported = endpoint.speeds.reported
    if reported is not None:
        return reported.n_allowed or None
    is_starting = endpoint.ramping is not None and endpoint.ramping.has_started
    return N_ALLOWED_AT_START if is_starting else None


def try_pace(endpoint: Endpoint, state: PlacementState, now: datetime) -> bool:
    """Return whether the ramp of a chosen endpoint, if it is in one, allows a send."""
    n_allowed = find_allowed(endpoint)
    if n_allowed is None:
        return True
    endpoint.is_wanted = True
    n_own = len(endpoint.permits)
    if state.peer_loads_at is None or now - state.peer_loads_at > PEER_LOAD_TTL:
        # Without a leader nobody knows what all hosts send.
        return n_own < 1
    if endpoint.peer_load_at is None or count_running(endpoint, now) >= n_allowed:
        return False
    share = n_allowed // max(1, state.n_entry_hosts)
    return n_own < share or (n_own < 1 and endpoint.has_trial)


def draw_trial(endpoint: Endpoint, state: PlacementState, now: datetime) -> None:
    """Decide whether this host may send a trial request until the next loads come.

    All hosts see the same room. By chance, as many may send as there is room for, on
    average, if the others have a use for the endpoint as often as this one.
    """
    n_allowed = find_allowed(endpoint)
    endpoint.has_trial = False
    if n_allowed is None:
        return
    endpoint.wanted_share += WANTED_WEIGHT * (
        endpoint.is_wanted - endpoint.wanted_share
    )
    endpoint.is_wanted = False
    n_free = n_allowed - count_running(endpoint, now)
    n_hosts = max(1.0, state.n_entry_hosts * max(endpoint.wanted_share, WANTED_MIN))
    endpoint.has_trial = state.random_source.random() * n_hosts < n_free


def record_first_answer(
    permit: Permit, endpoint: Endpoint, state: PlacementState, now: datetime
) -> None:
    """Compare the time until a first event with what the service's engines take."""
    ramping, expected_ms = endpoint.ramping, permit.expected_first_ms
    if ramping is None or expected_ms is None:
        return
    # Before engines were observed, the first answers are the reference.
    is_known = state.service_speeds[endpoint.listed.service].prefill_sums.is_known
    latency_ms = (now - permit.granted_at) / MILLISECOND
    _count(ramping, not is_known or _is_fast(latency_ms, expected_ms))


def record_attempt_pace(
    permit: Permit,
    result: AttemptResult,
    endpoint: Endpoint,
    state: PlacementState,
    now: datetime,
) -> None:
    """Count a failure, or compare the duration of a call with that of others."""
    ramping = endpoint.ramping
    if result in FAILURES:
        if ramping is not None:
            ramping.n_failed += 1
    elif result is AttemptResult.COMPLETED and not permit.is_engine:
        service = endpoint.listed.service
        duration_ms = (now - permit.granted_at) / MILLISECOND
        service_ms = state.durations_ms.get(service, duration_ms)
        state.durations_ms[service] = _average(service_ms, duration_ms)
        if ramping is not None:
            _record_duration(ramping, duration_ms, service_ms)


def _record_duration(ramping: Ramping, duration_ms: float, service_ms: float) -> None:
    """Compare a duration with those of peers and with the endpoint's earlier ones.

    An endpoint that is slow for good becomes its own reference.
    """
    own_ms = duration_ms if ramping.duration_ms is None else ramping.duration_ms
    _count(ramping, _is_fast(duration_ms, max(service_ms, own_ms)))
    ramping.duration_ms = _average(own_ms, duration_ms)


def take_ramp_observations(endpoint: Endpoint) -> RampObservations | None:
    """Return what was counted since the last call, None if nothing was."""
    ramping = endpoint.ramping
    if ramping is None:
        return None
    if endpoint.speeds.reported is not None:
        ramping.has_started = False
    n_counted = ramping.n_fast + ramping.n_slow + ramping.n_failed
    if not n_counted and not ramping.has_started:
        return None
    taken = RampObservations(
        endpoint.listed.n_slots,
        ramping.has_started,
        ramping.n_fast,
        ramping.n_slow,
        ramping.n_failed,
    )
    ramping.n_fast = ramping.n_slow = ramping.n_failed = 0
    return taken


def _count(ramping: Ramping, is_fast: bool) -> None:
    ramping.n_fast += is_fast
    ramping.n_slow += not is_fast


def _is_fast(actual_ms: float, expected_ms: float) -> bool:
    return actual_ms <= expected_ms * FAST_RATIO_MAX + FAST_TOLERANCE_MS


def _average(mean_ms: float, new_ms: float) -> float:
    return mean_ms + (new_ms - mean_ms) * DURATION_WEIGHT
