"""Decide which waiting request gets which endpoint's slot."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import datetime
from functools import singledispatch
from random import Random

from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
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
from oleanderhitch.process.scheduling.settings import PoolSettings
from oleanderhitch.request.ids import PermitId, RequestId
from oleanderhitch.version.ids import EndpointId, PoolId

Effect = GrantSlot | RefuseRequest


@dataclass(slots=True)
class Waiting:
    """Hold a request that waits for a slot."""

    enqueue: EnqueueRequest
    deadline: datetime


@dataclass(slots=True)
class Permit:
    """Hold one slot that is in use."""

    permit: PermitId
    request: RequestId
    node: NodeId
    endpoint: EndpointId


@dataclass(slots=True)
class PoolState:
    """Hold the queue and the exact in-flight counts of one pool."""

    pool: PoolId
    settings: PoolSettings
    random_source: Random
    permit_prefix: str
    n_permits: int = 0
    waiting: dict[RequestId, Waiting] = field(default_factory=dict)
    permits: dict[PermitId, Permit] = field(default_factory=dict)
    offers: dict[EndpointId, EndpointOffer] = field(default_factory=dict)
    n_in_flight: dict[EndpointId, int] = field(default_factory=dict)


def make_pool(pool: PoolId, settings: PoolSettings, random_source: Random) -> PoolState:
    """Return a pool without endpoints."""
    # The prefix differs between the owners that a pool has over time, so that
    # a late release never frees a slot that another owner granted.
    prefix = f"{random_source.getrandbits(48):012x}"
    return PoolState(pool, settings, random_source, prefix)


@singledispatch
def handle(message: object, state: PoolState, now: datetime) -> list[Effect]:
    """Handle a message of the pool and return the effects it calls for."""
    raise TypeError(f"pool queue has no message {type(message).__name__}")


@handle.register
def _(message: EnqueueRequest, state: PoolState, now: datetime) -> list[Effect]:
    if message.request in state.waiting:
        return []
    if len(state.waiting) >= state.settings.n_waiting_limit:
        return [_make_refusal(state, message, "queue is full")]
    state.waiting[message.request] = Waiting(message, now + message.time_to_deadline)
    return list(_grant_slots(state))


@handle.register
def _(message: WithdrawRequest, state: PoolState, now: datetime) -> list[Effect]:
    state.waiting.pop(message.request, None)
    return []


@handle.register
def _(message: ReleaseSlot, state: PoolState, now: datetime) -> list[Effect]:
    _return_permit(state, message.permit)
    return list(_grant_slots(state))


@handle.register
def _(message: HoldSlot, state: PoolState, now: datetime) -> list[Effect]:
    if message.permit not in state.permits:
        state.permits[message.permit] = Permit(
            message.permit, message.request, message.node, message.endpoint
        )
        state.n_in_flight[message.endpoint] = (
            state.n_in_flight.get(message.endpoint, 0) + 1
        )
    state.waiting.pop(message.request, None)
    return []


@handle.register
def _(message: NodeGone, state: PoolState, now: datetime) -> list[Effect]:
    held = [p.permit for p in state.permits.values() if p.node == message.node]
    for permit in held:
        _return_permit(state, permit)
    for request, entry in list(state.waiting.items()):
        if entry.enqueue.node == message.node:
            del state.waiting[request]
    return list(_grant_slots(state))


@handle.register
def _(message: LoadReported, state: PoolState, now: datetime) -> list[Effect]:
    return []


@handle.register
def _(message: EndpointsChanged, state: PoolState, now: datetime) -> list[Effect]:
    state.offers = {offer.endpoint: offer for offer in message.offers}
    return list(_grant_slots(state))


@handle.register
def _(message: Tick, state: PoolState, now: datetime) -> list[Effect]:
    expired = [e.enqueue for e in state.waiting.values() if e.deadline <= now]
    for enqueue in expired:
        del state.waiting[enqueue.request]
    return [_make_refusal(state, e, "deadline passed in the queue") for e in expired]


def _make_refusal(
    state: PoolState, enqueue: EnqueueRequest, reason: str
) -> RefuseRequest:
    return RefuseRequest(
        state.pool,
        enqueue.node,
        enqueue.request,
        reason,
        state.settings.retry_after_full,
    )


def _return_permit(state: PoolState, permit: PermitId) -> None:
    held = state.permits.pop(permit, None)
    if held is not None:
        state.n_in_flight[held.endpoint] -= 1


def _grant_slots(state: PoolState) -> Iterator[GrantSlot]:
    for entry in list(state.waiting.values()):
        endpoint = _find_endpoint(state, entry.enqueue)
        if endpoint is not None:
            yield _grant(state, entry.enqueue, endpoint)


def _find_endpoint(state: PoolState, enqueue: EnqueueRequest) -> EndpointId | None:
    free = [
        (state.n_in_flight.get(offer.endpoint, 0) / offer.n_slots, offer.endpoint)
        for offer in state.offers.values()
        if not offer.is_leaving
        and offer.endpoint not in enqueue.excluded
        and state.n_in_flight.get(offer.endpoint, 0) < offer.n_slots
    ]
    return min(free)[1] if free else None


def _grant(
    state: PoolState, enqueue: EnqueueRequest, endpoint: EndpointId
) -> GrantSlot:
    del state.waiting[enqueue.request]
    state.n_permits += 1
    permit = PermitId(f"{state.permit_prefix}-{state.n_permits}")
    state.permits[permit] = Permit(permit, enqueue.request, enqueue.node, endpoint)
    state.n_in_flight[endpoint] = state.n_in_flight.get(endpoint, 0) + 1
    return GrantSlot(
        state.pool, enqueue.node, enqueue.request, endpoint, permit, 0, False
    )
