"""Handle the messages of a pool's queue and grant slots to waiting requests."""

from collections.abc import Iterator
from datetime import datetime
from functools import singledispatch
from random import Random

from oleanderhitch.process.messages import Tick
from oleanderhitch.process.scheduling import (
    affinity,
    dispatching,
    health,
    hedging,
    limits,
    ordering,
    permits,
    queueing,
)
from oleanderhitch.process.scheduling.messages import (
    EndpointOffer,
    EndpointsChanged,
    EnqueueRequest,
    GrantSlot,
    HoldSlot,
    LoadReported,
    NodeGone,
    RefuseRequest,
    ReleaseSlot,
    WithdrawRequest,
)
from oleanderhitch.process.scheduling.records import Endpoint, Permit, PoolState
from oleanderhitch.process.scheduling.settings import PoolSettings
from oleanderhitch.process.scheduling.states import Health
from oleanderhitch.version.ids import PoolId

Effect = GrantSlot | RefuseRequest


def make_pool_state(
    pool: PoolId, settings: PoolSettings, random_source: Random
) -> PoolState:
    """Return the state of a pool's queue that has no endpoints yet."""
    # Each owner of the pool draws its own prefix, so that a late release never frees a
    # slot that another owner granted.
    permit_prefix = f"{random_source.getrandbits(48):012x}"
    return PoolState(pool, settings, permit_prefix)


@singledispatch
def handle(message: object, state: PoolState, now: datetime) -> list[Effect]:
    """Handle a message to the pool's queue and return its effects."""
    raise TypeError(
        f"pool queue does not support message type {type(message).__name__}"
    )


@handle.register
def _(message: EnqueueRequest, state: PoolState, now: datetime) -> list[Effect]:
    now_s = permits.get_timestamp_s(now)
    if message.request in state.waiting:
        return []
    if message.request in state.attempts:
        resent = _resend_grant(state, message, now_s)
        if resent:
            return resent
    refusal = limits.find_refusal(state, message)
    if refusal is not None:
        return [limits.make_refusal(state, message, refusal)]
    waiting, holder = queueing.add(state, message, now_s)
    effects: list[Effect] = []
    if holder is not None:
        effects.extend(dispatching.fill_endpoint(state, holder, now_s))
    if waiting.is_in_general_queue:
        effects.extend(dispatching.dispatch_general(state, now_s))
    return effects


@handle.register
def _(message: WithdrawRequest, state: PoolState, now: datetime) -> list[Effect]:
    queueing.withdraw(state, message.request)
    return []


@handle.register
def _(message: ReleaseSlot, state: PoolState, now: datetime) -> list[Effect]:
    now_s = permits.get_timestamp_s(now)
    permit = permits.release_permit(state, message.permit, now_s)
    if permit is None:
        return []
    endpoint = state.endpoints.get(permit.endpoint)
    if endpoint is None:
        return list(_dispatch(state, now_s))
    if message.is_success:
        hedging.refill_budget(state)
        n_tokens = permit.prompt_tokens + message.n_output_tokens
        affinity.record_prefix(state, endpoint, permit.program, n_tokens, now_s)
    health.record_release(state, endpoint, message, now_s)
    _update_probation(state, endpoint, now_s)
    effects: list[Effect] = list(dispatching.fill_endpoint(state, endpoint, now_s))
    effects.extend(_dispatch(state, now_s))
    return effects


@handle.register
def _(message: HoldSlot, state: PoolState, now: datetime) -> list[Effect]:
    now_s = permits.get_timestamp_s(now)
    if message.permit in state.permits:
        return []
    queueing.withdraw(state, message.request)
    permit = Permit(
        message.permit,
        message.request,
        message.program,
        message.account,
        message.node,
        message.endpoint,
        now_s - message.running_for.total_seconds(),
        ordering.charge_account(state, message.account, now_s),
    )
    permits.add_permit(state, permit, now_s)
    return []


@handle.register
def _(message: NodeGone, state: PoolState, now: datetime) -> list[Effect]:
    now_s = permits.get_timestamp_s(now)
    for permit in list(state.permits.values()):
        if permit.node == message.node:
            permits.release_permit(state, permit.permit, now_s)
    for waiting in list(state.waiting.values()):
        if waiting.enqueue.node == message.node:
            queueing.withdraw(state, waiting.enqueue.request)
    return list(_fill_all(state, now_s))


@handle.register
def _(message: LoadReported, state: PoolState, now: datetime) -> list[Effect]:
    # The owner counts the slots in use exactly; an engine's report lags behind.
    return []


@handle.register
def _(message: EndpointsChanged, state: PoolState, now: datetime) -> list[Effect]:
    offered = {offer.endpoint: offer for offer in message.offers}
    for name, endpoint in list(state.endpoints.items()):
        if name not in offered:
            _remove_endpoint(state, endpoint)
    for offer in message.offers:
        _apply_offer(state, offer)
    state.n_slots = sum(
        endpoint.n_slots
        for endpoint in state.endpoints.values()
        if endpoint.health is not Health.LEAVING
    )
    return list(_fill_all(state, permits.get_timestamp_s(now)))


@handle.register
def _(message: Tick, state: PoolState, now: datetime) -> list[Effect]:
    now_s = permits.get_timestamp_s(now)
    effects: list[Effect] = [
        limits.make_refusal(state, waiting.enqueue, limits.REASON_DEADLINE)
        for waiting in queueing.remove_expired(state, now_s)
    ]
    ordering.remove_idle_accounts(state, now_s)
    effects.extend(_dispatch(state, now_s))
    return effects


def _dispatch(state: PoolState, now_s: float) -> Iterator[Effect]:
    queueing.end_affinity_waits(state, now_s)
    yield from dispatching.dispatch_general(state, now_s)
    yield from dispatching.dispatch_hedges(state, now_s)


def _fill_all(state: PoolState, now_s: float) -> Iterator[Effect]:
    for endpoint in list(state.endpoints.values()):
        yield from dispatching.fill_endpoint(state, endpoint, now_s)
    yield from _dispatch(state, now_s)


def _update_probation(state: PoolState, endpoint: Endpoint, now_s: float) -> None:
    if endpoint.health is Health.PROBATION:
        if health.has_recovered(state, endpoint):
            health.end_probation(state, endpoint)
            permits.update_free_index(state, endpoint)
    elif health.should_start_probation(state, endpoint, now_s):
        health.start_probation(state, endpoint, now_s)
        permits.update_free_index(state, endpoint)
        queueing.add_queue_to_general(state, endpoint)
        hedging.add_candidates(state, endpoint)


def _apply_offer(state: PoolState, offer: EndpointOffer) -> None:
    endpoint = permits.get_or_create_endpoint(state, offer.endpoint)
    endpoint.n_slots = offer.n_slots
    endpoint.cache_capacity_tokens = offer.cache_tokens
    if offer.is_leaving:
        _set_leaving(state, endpoint)
    elif endpoint.health is Health.LEAVING:
        endpoint.health = Health.HEALTHY
    permits.update_free_index(state, endpoint)


def _remove_endpoint(state: PoolState, endpoint: Endpoint) -> None:
    endpoint.n_slots = 0
    _set_leaving(state, endpoint)
    permits.update_free_index(state, endpoint)
    if not endpoint.permits:
        del state.endpoints[endpoint.endpoint]


def _set_leaving(state: PoolState, endpoint: Endpoint) -> None:
    health.end_probation(state, endpoint)
    health.remove_from_median(state, endpoint)
    endpoint.health = Health.LEAVING
    queueing.clear_queue(state, endpoint)


def _resend_grant(
    state: PoolState, enqueue: EnqueueRequest, now_s: float
) -> list[Effect]:
    # Grants and releases may have been lost with a connection. An enqueue that excludes
    # an endpoint implies that the attempt there has ended.
    for permit_id in list(state.attempts[enqueue.request]):
        if state.permits[permit_id].endpoint in enqueue.excluded:
            permits.release_permit(state, permit_id, now_s)
    return [
        GrantSlot(
            state.pool,
            enqueue.node,
            enqueue.request,
            state.permits[permit_id].endpoint,
            permit_id,
            0,
            False,
        )
        for permit_id in state.attempts.get(enqueue.request, ())[:1]
    ]
