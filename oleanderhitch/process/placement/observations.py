"""Observe the speeds of endpoints, and apply what all entry hosts observe.

A time until a first event counts for the prefill if nothing else was being read at the
endpoint, as far as known, when the request was sent and when the event came: no tokens
of this entry host or, by a report that is not outdated, of others. Otherwise the time
contains the wait for other prompts.
"""

from collections import defaultdict
from datetime import datetime, timedelta

from oleanderhitch.process.placement.latency import MILLISECOND, record_latency
from oleanderhitch.process.placement.messages import SpeedObservations, SpeedsReported
from oleanderhitch.process.placement.pace import take_ramp_observations
from oleanderhitch.process.placement.records import (
    Endpoint,
    Permit,
    PlacementState,
    count_running,
    find_peer_load,
    get_cost_speeds,
)
from oleanderhitch.process.placement.speeds import (
    EndpointSpeeds,
    find_report,
    get_batch_ratio,
    observe_decode,
    observe_prefill,
    record_reports,
    take_observations,
    update_ratios,
)
from oleanderhitch.version.ids import ServiceName


def record_event_latency(
    endpoint: Endpoint, latency: timedelta, state: PlacementState, now: datetime
) -> None:
    """Record the mean time between two events of a stream.

    A larger batch raises the latency by itself, and so does an engine that is slow for
    good. Dividing by both leaves the momentary slowdown.
    """
    service = state.service_speeds[endpoint.listed.service]
    speeds = endpoint.speeds
    n_further = max(0, count_running(endpoint, now) - 1)
    assumed = get_cost_speeds(endpoint.listed.service, state)
    ratio = get_batch_ratio(assumed, n_further) * speeds.decode_ratio
    record_latency(endpoint.latency, latency / ratio, now)
    n_tokens = state.tokens_per_event.get(endpoint.listed.service)
    if n_tokens:
        observe_decode(speeds, service, latency / MILLISECOND / n_tokens, n_further)


def find_measured_tokens(
    endpoint: Endpoint, n_uncached: int, state: PlacementState, now: datetime
) -> int | None:
    """Return the tokens of a prompt to send, None if others are read before it."""
    n_before = state.pending_prefill_tokens[endpoint.listed.endpoint]
    return None if n_before or _is_read_by_peers(endpoint, now) else n_uncached


def get_first_event_ms(
    endpoint: Endpoint, n_uncached: int, state: PlacementState, now: datetime
) -> float:
    """Return the expected time until the first event of a prompt to send now."""
    service = state.service_speeds[endpoint.listed.service]
    peer_load = find_peer_load(endpoint, now)
    n_tokens = n_uncached + state.pending_prefill_tokens[endpoint.listed.endpoint]
    n_tokens += 0 if peer_load is None else peer_load.n_reading_tokens
    expected_ms = service.first_event_ms + n_tokens * service.prefill_ms
    return expected_ms * endpoint.speeds.prefill_ratio


def record_first_event(permit: Permit, state: PlacementState, now: datetime) -> None:
    """Record the time until the first event of a stream if it shows the prefill."""
    endpoint = state.endpoints.get(permit.endpoint)
    if endpoint is None or permit.n_measured_tokens is None:
        return
    n_pending = state.pending_prefill_tokens[permit.endpoint]
    if n_pending > permit.n_pending_prefill_tokens or _is_read_by_peers(endpoint, now):
        return
    observe_prefill(
        endpoint.speeds,
        state.service_speeds[endpoint.listed.service],
        permit.n_measured_tokens,
        (now - permit.granted_at) / MILLISECOND,
    )


def list_observed_speeds(state: PlacementState) -> tuple[SpeedObservations, ...]:
    """Return what was observed since the last call."""
    found = (
        take_observations(
            name,
            endpoint.listed.born_ms,
            endpoint.speeds,
            take_ramp_observations(endpoint),
        )
        for name, endpoint in state.endpoints.items()
    )
    return tuple(observed for observed in found if observed is not None)


def apply_speeds(message: SpeedsReported, state: PlacementState, now: datetime) -> None:
    """Use the speeds that the leader has returned."""
    record_reports(state.speed_reports, message, now)
    update_speeds(state, now)


def expire_speeds(state: PlacementState, now: datetime) -> None:
    """Drop what an earlier leader has returned once its time is over."""
    reports = state.speed_reports
    if reports.unconfirmed and now >= reports.unconfirmed_until:
        update_speeds(state, now)


def update_speeds(state: PlacementState, now: datetime) -> None:
    """Compare the endpoints of each service with their median."""
    speeds = defaultdict[ServiceName, list[EndpointSpeeds]](list)
    for name, endpoint in state.endpoints.items():
        born_ms = endpoint.listed.born_ms
        reported = find_report(state.speed_reports, name, born_ms, now)
        endpoint.speeds.reported = reported
        speeds[endpoint.listed.service].append(endpoint.speeds)
        endpoint.speeds.decode_ratio = endpoint.speeds.prefill_ratio = 1.0
    if not state.has_many_hosts:
        return
    for service_speeds in speeds.values():
        update_ratios(service_speeds)


def _is_read_by_peers(endpoint: Endpoint, now: datetime) -> bool:
    peer_load = find_peer_load(endpoint, now)
    return peer_load is not None and peer_load.n_reading_tokens > 0
