"""Keep the exact count of the slots in use."""

from datetime import datetime

from oleanderhitch.process.scheduling import affinity, free_index, ordering
from oleanderhitch.process.scheduling.records import (
    Endpoint,
    Permit,
    PoolState,
    QueuedRequest,
)
from oleanderhitch.process.scheduling.states import Health
from oleanderhitch.request.ids import PermitId
from oleanderhitch.version.ids import EndpointId


def get_timestamp_s(now: datetime) -> float:
    """Return a time in seconds, which is cheaper to compare than a datetime."""
    return now.timestamp()


def get_or_create_endpoint(state: PoolState, name: EndpointId) -> Endpoint:
    """Return an endpoint's record.

    Creates it if a held slot names the endpoint before the first offer does.
    """
    endpoint = state.endpoints.get(name)
    if endpoint is None:
        endpoint = state.endpoints[name] = Endpoint(name)
    return endpoint


def update_free_index(state: PoolState, endpoint: Endpoint) -> None:
    """Update the index of free endpoints after an endpoint has changed."""
    level = None
    is_free = endpoint.n_in_flight < endpoint.n_slots
    if is_free and endpoint.health is Health.HEALTHY:
        level = free_index.get_load_level(endpoint.n_in_flight, endpoint.n_slots)
    free_index.set_level(state.free_endpoints, endpoint.endpoint, level)


def make_permit(
    state: PoolState, waiting: QueuedRequest, endpoint: Endpoint, now_s: float
) -> Permit:
    """Create and add the permit of a waiting request."""
    enqueue = waiting.enqueue
    permit = Permit(
        _next_permit_id(state),
        enqueue.request,
        enqueue.program,
        enqueue.account,
        enqueue.node,
        endpoint.endpoint,
        now_s,
        waiting.charged_s,
        waiting.deadline_s,
        enqueue.prompt_tokens,
        enqueue.is_idempotent,
        enqueue.excluded,
    )
    add_permit(state, permit, now_s)
    affinity.record_prefix(
        state, endpoint, enqueue.program, enqueue.prompt_tokens, now_s
    )
    return permit


def make_hedge_permit(
    state: PoolState, first: Permit, endpoint: Endpoint, now_s: float
) -> Permit:
    """Create and add the permit of a hedge of a running request."""
    permit = Permit(
        _next_permit_id(state),
        first.request,
        first.program,
        first.account,
        first.node,
        endpoint.endpoint,
        now_s,
        ordering.charge_account(state, first.account, now_s),
        first.deadline_s,
        first.prompt_tokens,
    )
    add_permit(state, permit, now_s)
    return permit


def add_permit(state: PoolState, permit: Permit, now_s: float) -> None:
    """Add a permit; its slot counts as in use."""
    endpoint = get_or_create_endpoint(state, permit.endpoint)
    state.permits[permit.permit] = permit
    state.attempts.setdefault(permit.request, []).append(permit.permit)
    endpoint.permits[permit.permit] = None
    update_free_index(state, endpoint)


def release_permit(
    state: PoolState, permit_id: PermitId, now_s: float
) -> Permit | None:
    """Remove a permit and return it, or None if it doesn't exist."""
    permit = state.permits.pop(permit_id, None)
    if permit is None:
        return None
    attempts = state.attempts[permit.request]
    attempts.remove(permit_id)
    if not attempts:
        del state.attempts[permit.request]
    endpoint = state.endpoints[permit.endpoint]
    del endpoint.permits[permit_id]
    used_s = ordering.get_fair_share_s(state, now_s - permit.started_s)
    ordering.settle_account(state, permit.account, used_s - permit.charged_s)
    if endpoint.n_slots == 0 and not endpoint.permits:
        del state.endpoints[permit.endpoint]
    else:
        update_free_index(state, endpoint)
    return permit


def _next_permit_id(state: PoolState) -> PermitId:
    state.last_permit_number += 1
    return PermitId(f"{state.permit_prefix}-{state.last_permit_number}")
