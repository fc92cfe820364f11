"""Decide which queue a request waits in and keep new owners informed."""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.messages import LinkDown, LinkUp, PeerMessage
from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.routing.messages import (
    AnswerNode,
    GetQueueStatus,
    LinkNodes,
    NodesGone,
    NotifyRequest,
    OwnersChanged,
    PoolAnswered,
    PoolsChanged,
    QueueStatus,
    ReportStatus,
    RouteEnqueue,
    RouteRelease,
    RouteWithdraw,
    SendToNode,
    SendToPool,
)
from oleanderhitch.process.routing.states import PoolRole
from oleanderhitch.process.scheduling.fallback import reduce_offers
from oleanderhitch.process.scheduling.messages import (
    EndpointsChanged,
    EnqueueRequest,
    GrantSlot,
    HoldSlot,
    NodeGone,
    RefuseRequest,
    ReleaseSlot,
    WithdrawRequest,
)
from oleanderhitch.request.ids import PermitId, RequestId
from oleanderhitch.request.messages import SlotGranted, SlotRefused
from oleanderhitch.version.ids import PoolId


@dataclass(frozen=True, slots=True)
class Queue:
    """Name the queue that a request waits in or that granted its slot."""

    node: NodeId
    role: PoolRole


@dataclass(slots=True)
class Waiting:
    """Hold a request of this host that waits for a slot."""

    enqueue: EnqueueRequest
    reply: Address
    queued_at: datetime
    queue: Queue


@dataclass(slots=True)
class Running:
    """Hold a slot that a request of this host uses."""

    hold: HoldSlot
    reply: Address
    granted_at: datetime
    queue: Queue


@dataclass(slots=True)
class RouterState:
    """Hold the queues of all pools as this host sees them."""

    node: NodeId
    owners: dict[PoolId, NodeId] = field(default_factory=dict)
    addresses: dict[NodeId, HostAddress] = field(default_factory=dict)
    unreachable: set[NodeId] = field(default_factory=set)
    replies: dict[NodeId, Address] = field(default_factory=dict)
    waiting: dict[RequestId, Waiting] = field(default_factory=dict)
    running: dict[PermitId, Running] = field(default_factory=dict)


def make_router_state(node: NodeId) -> RouterState:
    """Return a router without pools."""
    return RouterState(node)


@singledispatch
def handle(message: object, state: RouterState, now: datetime) -> list[object]:
    """Return the effects of a message."""
    raise TypeError(f"pool router has no message {type(message).__name__}")


@handle.register
def _(message: RouteEnqueue, state: RouterState, now: datetime) -> list[object]:
    queue = _choose_queue(state, message.enqueue.pool)
    waiting = Waiting(message.enqueue, message.reply, now, queue)
    state.waiting[message.enqueue.request] = waiting
    return [_send(state, queue, message.enqueue)]


@handle.register
def _(message: RouteWithdraw, state: RouterState, now: datetime) -> list[object]:
    waiting = state.waiting.pop(message.request, None)
    if waiting is None:
        return []
    withdraw = WithdrawRequest(message.pool, message.request)
    return [_send(state, waiting.queue, withdraw)]


@handle.register
def _(message: RouteRelease, state: RouterState, now: datetime) -> list[object]:
    running = state.running.pop(message.release.permit, None)
    if running is None:
        return []
    return [_send(state, running.queue, message.release)]


@handle.register
def _(message: PoolAnswered, state: RouterState, now: datetime) -> list[object]:
    if message.answer.node != state.node:
        reply = state.replies.get(message.answer.node)
        return [] if reply is None else [AnswerNode(reply, message.answer)]
    return _accept(message.answer, Queue(state.node, message.role), state, now)


@handle.register
def _(message: PeerMessage, state: RouterState, now: datetime) -> list[object]:
    if not isinstance(message.message, GrantSlot | RefuseRequest):
        state.replies[message.node] = message.reply
    return _handle_peer(message.message, message.node, state, now)


@singledispatch
def _handle_peer(
    message: object, node: NodeId, state: RouterState, now: datetime
) -> list[object]:
    raise TypeError(f"pool router has no peer message {type(message).__name__}")


@_handle_peer.register(EnqueueRequest)
@_handle_peer.register(WithdrawRequest)
@_handle_peer.register(ReleaseSlot)
@_handle_peer.register(HoldSlot)
def _(
    message: EnqueueRequest | WithdrawRequest | ReleaseSlot | HoldSlot,
    node: NodeId,
    state: RouterState,
    now: datetime,
) -> list[object]:
    return [SendToPool(message.pool, PoolRole.OWNER, message)]


@_handle_peer.register(NodeGone)
def _(
    message: NodeGone, node: NodeId, state: RouterState, now: datetime
) -> list[object]:
    if message.pool is None:
        return _tell_all_pools(state, message)
    return [SendToPool(message.pool, PoolRole.OWNER, message)]


@_handle_peer.register(GrantSlot)
@_handle_peer.register(RefuseRequest)
def _(
    message: GrantSlot | RefuseRequest,
    node: NodeId,
    state: RouterState,
    now: datetime,
) -> list[object]:
    return _accept(message, Queue(node, PoolRole.OWNER), state, now)


@handle.register
def _(message: PoolsChanged, state: RouterState, now: datetime) -> list[object]:
    effects: list[object] = []
    for pool, offers in message.offers.items():
        changed = EndpointsChanged(offers)
        reduced = reduce_offers(changed, message.n_entries)
        effects.append(SendToPool(pool, PoolRole.OWNER, changed))
        effects.append(SendToPool(pool, PoolRole.FALLBACK, reduced))
    return effects


@handle.register
def _(message: OwnersChanged, state: RouterState, now: datetime) -> list[object]:
    previous = state.owners
    state.owners = dict(message.owners)
    state.addresses = {
        node: address
        for node, address in message.addresses.items()
        if node != state.node
    }
    effects: list[object] = [LinkNodes(dict(state.addresses))]
    for pool, owner in state.owners.items():
        if previous.get(pool) != owner:
            effects += _move_pool(state, pool, now)
    return effects


@handle.register
def _(message: NodesGone, state: RouterState, now: datetime) -> list[object]:
    effects: list[object] = []
    for node in message.nodes:
        effects += _tell_all_pools(state, NodeGone(node))
    return effects


@handle.register
def _(message: LinkDown, state: RouterState, now: datetime) -> list[object]:
    node = _find_node(state, message.peer)
    if node is None:
        return []
    state.unreachable.add(node)
    effects: list[object] = []
    for pool, owner in state.owners.items():
        if owner == node:
            effects += _move_pool(state, pool, now)
    return effects


@handle.register
def _(message: LinkUp, state: RouterState, now: datetime) -> list[object]:
    node = _find_node(state, message.peer)
    if node is None:
        return []
    state.unreachable.discard(node)
    effects: list[object] = []
    for pool, owner in state.owners.items():
        if owner == node:
            effects += _move_pool(state, pool, now)
    return effects


@handle.register
def _(message: GetQueueStatus, state: RouterState, now: datetime) -> list[object]:
    n_waiting = dict.fromkeys(state.owners, 0)
    for waiting in state.waiting.values():
        pool = waiting.enqueue.pool
        n_waiting[pool] = n_waiting.get(pool, 0) + 1
    status = QueueStatus(n_waiting, len(state.running))
    return [ReportStatus(message.reply, status)]


def _choose_queue(state: RouterState, pool: PoolId) -> Queue:
    owner = state.owners.get(pool)
    if owner is None or owner in state.unreachable:
        return Queue(state.node, PoolRole.FALLBACK)
    return Queue(owner, PoolRole.OWNER)


def _send(state: RouterState, queue: Queue, message: object) -> object:
    if queue.node == state.node:
        pool = message.pool  # type: ignore[attr-defined]
        return SendToPool(pool, queue.role, message)
    return SendToNode(queue.node, message)


@singledispatch
def _accept(
    answer: object, queue: Queue, state: RouterState, now: datetime
) -> list[object]:
    raise TypeError(f"pool router has no answer {type(answer).__name__}")


@_accept.register
def _(
    answer: GrantSlot, queue: Queue, state: RouterState, now: datetime
) -> list[object]:
    waiting = state.waiting.get(answer.request)
    reply = None if waiting is None else waiting.reply
    if answer.is_hedge:
        reply = _find_running_reply(state, answer.request)
    if reply is None or (waiting is not None and waiting.queue != queue):
        return [_send(state, queue, _make_unused_release(answer))]
    if not answer.is_hedge:
        del state.waiting[answer.request]
    state.running[answer.permit] = Running(
        _make_hold(answer, state, waiting), reply, now, queue
    )
    granted = SlotGranted(
        answer.endpoint, answer.permit, answer.priority, answer.is_hedge
    )
    return [NotifyRequest(reply, granted)]


@_accept.register
def _(
    answer: RefuseRequest, queue: Queue, state: RouterState, now: datetime
) -> list[object]:
    waiting = state.waiting.get(answer.request)
    if waiting is None or waiting.queue != queue:
        return []
    del state.waiting[answer.request]
    return [
        NotifyRequest(waiting.reply, SlotRefused(answer.reason, answer.retry_after))
    ]


def _find_running_reply(state: RouterState, request: RequestId) -> Address | None:
    for running in state.running.values():
        if running.hold.request == request:
            return running.reply
    return None


def _make_hold(
    answer: GrantSlot, state: RouterState, waiting: Waiting | None
) -> HoldSlot:
    if waiting is not None:
        program, account = waiting.enqueue.program, waiting.enqueue.account
    else:
        known = next(
            r.hold for r in state.running.values() if r.hold.request == answer.request
        )
        program, account = known.program, known.account
    return HoldSlot(
        answer.pool,
        answer.permit,
        answer.request,
        program,
        account,
        state.node,
        answer.endpoint,
        timedelta(0),
    )


def _make_unused_release(held: GrantSlot | HoldSlot) -> ReleaseSlot:
    return ReleaseSlot(
        held.pool, held.permit, held.endpoint, True, 0, 0, None, timedelta(0)
    )


def _move_pool(state: RouterState, pool: PoolId, now: datetime) -> list[object]:
    """Tell the pool's queue all that this host holds, and leave the last one."""
    queue = _choose_queue(state, pool)
    effects: list[object] = []
    if queue.role is PoolRole.OWNER:
        # Grants may have been lost with the last connection, so the owner
        # forgets what it knew of this host before it is told again.
        effects.append(_send(state, queue, NodeGone(state.node, pool)))
    effects += _hold_running(state, pool, queue, now)
    for waiting in state.waiting.values():
        if waiting.enqueue.pool != pool:
            continue
        if waiting.queue != queue:
            withdraw = WithdrawRequest(pool, waiting.enqueue.request)
            effects.append(_send(state, waiting.queue, withdraw))
        elif queue.role is PoolRole.FALLBACK:
            continue
        waiting.queue = queue
        effects.append(_send(state, queue, _make_requeue(waiting, now)))
    return effects


def _hold_running(
    state: RouterState, pool: PoolId, queue: Queue, now: datetime
) -> Iterator[object]:
    for running in state.running.values():
        is_known = running.queue == queue and queue.role is PoolRole.FALLBACK
        if running.hold.pool != pool or is_known:
            continue
        if running.queue != queue:
            yield _send(state, running.queue, _make_unused_release(running.hold))
            running.queue = queue
        held = replace(running.hold, running_for=now - running.granted_at)
        yield _send(state, queue, held)


def _make_requeue(waiting: Waiting, now: datetime) -> EnqueueRequest:
    waited = now - waiting.queued_at
    return replace(
        waiting.enqueue,
        waited=waiting.enqueue.waited + waited,
        time_to_deadline=waiting.enqueue.time_to_deadline - waited,
    )


def _tell_all_pools(state: RouterState, message: object) -> list[object]:
    return [SendToPool(pool, PoolRole.OWNER, message) for pool in state.owners]


def _find_node(state: RouterState, peer: HostAddress) -> NodeId | None:
    for node, address in state.addresses.items():
        if address == peer:
            return node
    return None
