"""Choose the queue for each request and move requests when owners change.

Each pool has one owner, an entry host whose queue grants the slots of the pool's
endpoints to all entry hosts. While a host can't reach the owner, it uses its own
fallback queue, which has only a share of the slots.
"""

from collections.abc import Iterator
from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field
from msgspec.structs import replace

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.messages import LinkDown, LinkUp, PeerMessage
from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.routing.messages import (
    AskQueue,
    ExplainEnqueue,
    GetQueueStatus,
    NodesGone,
    NotifyRequest,
    OwnerElsewhere,
    OwnersChanged,
    PoolsChanged,
    QueueDecided,
    QueueStatus,
    ReplyToNode,
    RouteEnqueue,
    RouteRelease,
    RouteWithdraw,
    SendReply,
    SendToNode,
    SendToQueue,
    SetPeerLinks,
)
from oleanderhitch.process.routing.states import QueueRole
from oleanderhitch.process.scheduling.fallback import reduce_offers
from oleanderhitch.process.scheduling.messages import (
    EndpointsChanged,
    EnqueueRequest,
    ExplainSlot,
    GrantSlot,
    HoldSlot,
    NodeGone,
    RefuseRequest,
    ReleaseSlot,
    WithdrawRequest,
)
from oleanderhitch.request.ids import PermitId, RequestId
from oleanderhitch.request.messages import SlotGranted, SlotRefused
from oleanderhitch.values import Value
from oleanderhitch.version.ids import PoolId


class QueueRef(Value, frozen=True):
    """Reference to the queue that a request waits in or that granted its slot."""

    node: NodeId
    role: QueueRole


class WaitingRequest(Struct):
    """Request of this host that waits for a slot."""

    enqueue: EnqueueRequest
    reply_address: Address
    queued_at: datetime
    queue: QueueRef


class RunningAttempt(Struct):
    """Attempt of a request of this host.

    `hold` is the message that registers the attempt with a queue.
    """

    hold: HoldSlot
    reply_address: Address
    granted_at: datetime
    queue: QueueRef


class RouterState(Struct):
    """Pool owners known to this host, and its waiting requests and attempts.

    `addresses` are those where peers listen; `reply_addresses` has, for each other
    entry host, the connection that its last request came in on.
    """

    node: NodeId
    owners: dict[PoolId, NodeId] = field(default_factory=dict)
    addresses: dict[NodeId, HostAddress] = field(default_factory=dict)
    unreachable_nodes: set[NodeId] = field(default_factory=set)
    reply_addresses: dict[NodeId, Address] = field(default_factory=dict)
    waiting: dict[RequestId, WaitingRequest] = field(default_factory=dict)
    running: dict[PermitId, RunningAttempt] = field(default_factory=dict)


def make_router_state(node: NodeId) -> RouterState:
    """Return the state of a router that has no pools yet."""
    return RouterState(node)


@singledispatch
def handle(message: object, state: RouterState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(
        f"pool router does not support message type {type(message).__name__}"
    )


@handle.register
def _(message: RouteEnqueue, state: RouterState, now: datetime) -> list[object]:
    queue = _choose_queue(state, message.enqueue.pool)
    waiting = WaitingRequest(message.enqueue, message.reply_address, now, queue)
    state.waiting[message.enqueue.request] = waiting
    return [_make_send_effect(state, queue, message.enqueue)]


@handle.register
def _(message: RouteWithdraw, state: RouterState, now: datetime) -> list[object]:
    waiting = state.waiting.pop(message.request, None)
    if waiting is None:
        return []
    withdraw = WithdrawRequest(message.pool, message.request)
    return [_make_send_effect(state, waiting.queue, withdraw)]


@handle.register
def _(message: RouteRelease, state: RouterState, now: datetime) -> list[object]:
    running = state.running.pop(message.release.permit, None)
    if running is None:
        return []
    return [_make_send_effect(state, running.queue, message.release)]


@handle.register
def _(message: QueueDecided, state: RouterState, now: datetime) -> list[object]:
    if message.decision.node != state.node:
        reply_address = state.reply_addresses.get(message.decision.node)
        return (
            []
            if reply_address is None
            else [ReplyToNode(reply_address, message.decision)]
        )
    return _apply_decision(
        message.decision, QueueRef(state.node, message.role), state, now
    )


@handle.register
def _(message: PeerMessage, state: RouterState, now: datetime) -> list[object]:
    # Grants and refusals are for requests of this host; anything else is sent to a
    # queue of this host, which may reply to the sender.
    if not isinstance(message.message, GrantSlot | RefuseRequest):
        state.reply_addresses[message.node] = message.reply_address
    return _handle_peer_message(message.message, message.node, state, now)


@singledispatch
def _handle_peer_message(
    message: object, node: NodeId, state: RouterState, now: datetime
) -> list[object]:
    raise TypeError(
        f"pool router does not support peer message type {type(message).__name__}"
    )


@_handle_peer_message.register(EnqueueRequest)
@_handle_peer_message.register(WithdrawRequest)
@_handle_peer_message.register(ReleaseSlot)
@_handle_peer_message.register(HoldSlot)
def _(
    message: EnqueueRequest | WithdrawRequest | ReleaseSlot | HoldSlot,
    node: NodeId,
    state: RouterState,
    now: datetime,
) -> list[object]:
    return [SendToQueue(message.pool, QueueRole.OWNER, message)]


@_handle_peer_message.register(NodeGone)
def _(
    message: NodeGone, node: NodeId, state: RouterState, now: datetime
) -> list[object]:
    if message.pool is None:
        return _send_to_all_owner_queues(state, message)
    return [SendToQueue(message.pool, QueueRole.OWNER, message)]


@_handle_peer_message.register(GrantSlot)
@_handle_peer_message.register(RefuseRequest)
def _(
    message: GrantSlot | RefuseRequest,
    node: NodeId,
    state: RouterState,
    now: datetime,
) -> list[object]:
    return _apply_decision(message, QueueRef(node, QueueRole.OWNER), state, now)


@handle.register
def _(message: PoolsChanged, state: RouterState, now: datetime) -> list[object]:
    effects: list[object] = []
    for pool, offers in message.offers.items():
        changed = EndpointsChanged(offers)
        reduced = reduce_offers(changed, message.n_entry_hosts)
        effects.append(SendToQueue(pool, QueueRole.OWNER, changed))
        effects.append(SendToQueue(pool, QueueRole.FALLBACK, reduced))
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
    effects: list[object] = [SetPeerLinks(dict(state.addresses))]
    for pool, owner in state.owners.items():
        if previous.get(pool) != owner:
            effects += _register_with_queue(state, pool, now)
    return effects


@handle.register
def _(message: NodesGone, state: RouterState, now: datetime) -> list[object]:
    effects: list[object] = []
    for node in message.nodes:
        effects += _send_to_all_owner_queues(state, NodeGone(node))
    return effects


@handle.register
def _(message: LinkDown, state: RouterState, now: datetime) -> list[object]:
    node = _find_node_by_address(state, message.peer)
    if node is None:
        return []
    state.unreachable_nodes.add(node)
    effects: list[object] = []
    for pool, owner in state.owners.items():
        if owner == node:
            effects += _register_with_queue(state, pool, now)
    return effects


@handle.register
def _(message: LinkUp, state: RouterState, now: datetime) -> list[object]:
    node = _find_node_by_address(state, message.peer)
    if node is None:
        return []
    state.unreachable_nodes.discard(node)
    effects: list[object] = []
    for pool, owner in state.owners.items():
        if owner == node:
            effects += _register_with_queue(state, pool, now)
    return effects


@handle.register
def _(message: ExplainEnqueue, state: RouterState, now: datetime) -> list[object]:
    queue = _choose_queue(state, message.enqueue.pool)
    if queue.node != state.node:
        elsewhere = OwnerElsewhere(queue.node, state.addresses.get(queue.node))
        return [SendReply(message.reply_address, elsewhere)]
    return [AskQueue(queue.role, ExplainSlot(message.enqueue, message.reply_address))]


@handle.register
def _(message: GetQueueStatus, state: RouterState, now: datetime) -> list[object]:
    n_waiting = dict.fromkeys(state.owners, 0)
    for waiting in state.waiting.values():
        pool = waiting.enqueue.pool
        n_waiting[pool] = n_waiting.get(pool, 0) + 1
    status = QueueStatus(n_waiting, len(state.running))
    return [SendReply(message.reply_address, status)]


def _choose_queue(state: RouterState, pool: PoolId) -> QueueRef:
    owner = state.owners.get(pool)
    if owner is None or owner in state.unreachable_nodes:
        return QueueRef(state.node, QueueRole.FALLBACK)
    return QueueRef(owner, QueueRole.OWNER)


def _make_send_effect(state: RouterState, queue: QueueRef, message: object) -> object:
    if queue.node == state.node:
        pool = message.pool  # type: ignore[attr-defined]
        return SendToQueue(pool, queue.role, message)
    return SendToNode(queue.node, message)


@singledispatch
def _apply_decision(
    decision: object, queue: QueueRef, state: RouterState, now: datetime
) -> list[object]:
    raise TypeError(
        f"pool router does not support decision type {type(decision).__name__}"
    )


@_apply_decision.register
def _(
    decision: GrantSlot, queue: QueueRef, state: RouterState, now: datetime
) -> list[object]:
    waiting = state.waiting.get(decision.request)
    reply_address = None if waiting is None else waiting.reply_address
    if decision.is_hedge:
        # A hedge is a second slot for a request that has a running attempt.
        reply_address = _find_reply_address(state, decision.request)
    if reply_address is None or (waiting is not None and waiting.queue != queue):
        return [_make_send_effect(state, queue, _make_unmeasured_release(decision))]
    if not decision.is_hedge:
        del state.waiting[decision.request]
    state.running[decision.permit] = RunningAttempt(
        _make_hold(decision, state, waiting), reply_address, now, queue
    )
    granted = SlotGranted(
        decision.endpoint, decision.permit, decision.priority, decision.is_hedge
    )
    return [NotifyRequest(reply_address, granted)]


@_apply_decision.register
def _(
    decision: RefuseRequest, queue: QueueRef, state: RouterState, now: datetime
) -> list[object]:
    waiting = state.waiting.get(decision.request)
    if waiting is None or waiting.queue != queue:
        return []
    del state.waiting[decision.request]
    return [
        NotifyRequest(
            waiting.reply_address, SlotRefused(decision.reason, decision.retry_after)
        )
    ]


def _find_reply_address(state: RouterState, request: RequestId) -> Address | None:
    for running in state.running.values():
        if running.hold.request == request:
            return running.reply_address
    return None


def _make_hold(
    grant: GrantSlot, state: RouterState, waiting: WaitingRequest | None
) -> HoldSlot:
    if waiting is not None:
        program, account = waiting.enqueue.program, waiting.enqueue.account
    else:
        running_hold = next(
            r.hold for r in state.running.values() if r.hold.request == grant.request
        )
        program, account = running_hold.program, running_hold.account
    return HoldSlot(
        grant.pool,
        grant.permit,
        grant.request,
        program,
        account,
        state.node,
        grant.endpoint,
        timedelta(0),
    )


def _make_unmeasured_release(held: GrantSlot | HoldSlot) -> ReleaseSlot:
    """Return the release of a slot without measurements of its attempt.

    It reports a success without tokens and without duration.
    """
    return ReleaseSlot(
        held.pool, held.permit, held.endpoint, True, 0, 0, None, timedelta(0)
    )


def _register_with_queue(
    state: RouterState, pool: PoolId, now: datetime
) -> list[object]:
    """Move this host's requests and attempts to the pool's current queue.

    All running attempts and waiting requests are sent to the queue. If another queue
    has them, its slots are released and its requests withdrawn.
    """
    queue = _choose_queue(state, pool)
    effects: list[object] = []
    if queue.role is QueueRole.OWNER:
        # Grants may have been lost with the previous connection. NodeGone makes the
        # owner discard its records of this host before they are sent again.
        effects.append(_make_send_effect(state, queue, NodeGone(state.node, pool)))
    effects += _register_attempts(state, pool, queue, now)
    for waiting in state.waiting.values():
        if waiting.enqueue.pool != pool:
            continue
        if waiting.queue != queue:
            withdraw = WithdrawRequest(pool, waiting.enqueue.request)
            effects.append(_make_send_effect(state, waiting.queue, withdraw))
        elif queue.role is QueueRole.FALLBACK:
            # The fallback queue of this host has the request already.
            continue
        waiting.queue = queue
        effects.append(
            _make_send_effect(state, queue, _make_updated_enqueue(waiting, now))
        )
    return effects


def _register_attempts(
    state: RouterState, pool: PoolId, queue: QueueRef, now: datetime
) -> Iterator[object]:
    for running in state.running.values():
        is_registered = running.queue == queue and queue.role is QueueRole.FALLBACK
        if running.hold.pool != pool or is_registered:
            continue
        # An owner has just discarded its records of this host, so it is sent all
        # attempts again; the fallback queue keeps its records.
        if running.queue != queue:
            yield _make_send_effect(
                state, running.queue, _make_unmeasured_release(running.hold)
            )
            running.queue = queue
        hold = replace(running.hold, running_for=now - running.granted_at)
        yield _make_send_effect(state, queue, hold)


def _make_updated_enqueue(waiting: WaitingRequest, now: datetime) -> EnqueueRequest:
    """Return the enqueue message with the time waited so far taken into account."""
    waited = now - waiting.queued_at
    return replace(
        waiting.enqueue,
        waited=waiting.enqueue.waited + waited,
        time_to_deadline=waiting.enqueue.time_to_deadline - waited,
    )


def _send_to_all_owner_queues(state: RouterState, message: object) -> list[object]:
    return [SendToQueue(pool, QueueRole.OWNER, message) for pool in state.owners]


def _find_node_by_address(state: RouterState, peer: HostAddress) -> NodeId | None:
    for node, address in state.addresses.items():
        if address == peer:
            return node
    return None
