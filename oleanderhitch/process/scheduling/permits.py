"""Count the slots in use, exactly."""

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
    """Return a time as seconds, which cost less to compare than datetimes."""
    return now.timestamp()


def get_endpoint(state: PoolState, name: EndpointId) -> Endpoint:
    """Return the record of an endpoint, which a held slot may be first to name."""
    endpoint = state.endpoints.get(name)
    if endpoint is None:
        endpoint = state.endpoints[name] = Endpoint(name)
    return endpoint


def update_free_index(state: PoolState, endpoint: Endpoint) -> None:
    """Bring the index of free slots in line with an endpoint."""
    level = None
    is_free = endpoint.n_in_flight < endpoint.n_slots
    if is_free and endpoint.health is Health.HEALTHY:
        level = free_index.get_load_level(endpoint.n_in_flight, endpoint.n_slots)
    free_index.set_level(state.free_endpoints, endpoint.endpoint, level)


def make_permit(
    state: PoolState, waiting: QueuedRequest, endpoint: Endpoint, now_s: float
) -> Permit:
    """Take a slot for a waiting request."""
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
    """Take a slot for a second attempt of a running request."""
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
    """Count a slot as in use."""
    endpoint = get_endpoint(state, permit.endpoint)
    state.permits[permit.permit] = permit
    state.attempts.setdefault(permit.request, []).append(permit.permit)
    endpoint.permits[permit.permit] = None
    update_free_index(state, endpoint)


def release_permit(
    state: PoolState, permit_id: PermitId, now_s: float
) -> Permit | None:
    """Count a slot as free; return the permit, or None when it is not held."""
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
    state.n_permits += 1
    return PermitId(f"{state.permit_prefix}-{state.n_permits}")
