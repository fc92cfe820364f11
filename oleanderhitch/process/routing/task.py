"""Run the pool router task, its queue tasks and its links to other entry hosts."""

import random
from collections.abc import Callable
from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.link import PeerLink
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.routing.core import RouterState, handle, make_router_state
from oleanderhitch.process.routing.messages import (
    AskQueue,
    NotifyRequest,
    QueueDecided,
    ReplyToNode,
    SendReply,
    SendToNode,
    SendToQueue,
    SetPeerLinks,
)
from oleanderhitch.process.routing.states import QueueRole
from oleanderhitch.process.scheduling.core import make_pool_state
from oleanderhitch.process.scheduling.explaining import explain
from oleanderhitch.process.scheduling.explaining import handle as handle_queue_message
from oleanderhitch.process.scheduling.messages import (
    GrantSlot,
    RefuseRequest,
    SlotExplained,
)
from oleanderhitch.process.scheduling.records import PoolState
from oleanderhitch.process.scheduling.settings import PoolSettings
from oleanderhitch.process.task import NO_TICK, Task, make_task
from oleanderhitch.version.ids import PoolId

QUEUE_TICK_INTERVAL = timedelta(milliseconds=100)

MakeLink = Callable[[HostAddress], PeerLink]


class RouterResources(Struct):
    """Queue tasks and peer links, used by the router task only."""

    clock: Clock
    make_link: MakeLink
    settings: PoolSettings
    random_source: random.Random
    queues: dict[tuple[PoolId, QueueRole], Task[PoolState]] = field(
        default_factory=dict
    )
    links: dict[NodeId, PeerLink] = field(default_factory=dict)
    router: Task[RouterState] | None = None


def make_pool_router(
    node: NodeId,
    make_link: MakeLink,
    settings: PoolSettings,
    clock: Clock,
    random_source: random.Random,
) -> Task[RouterState]:
    """Return the router task, not started yet."""
    resources = RouterResources(clock, make_link, settings, random_source)

    def perform(effect: object) -> None:
        perform_effect(effect, resources)

    task = make_task("pool router", make_router_state(node), handle, perform, clock)
    resources.router = task
    return task


@singledispatch
def perform_effect(effect: object, resources: RouterResources) -> None:
    """Perform an effect of the router."""
    raise TypeError(f"pool router does not support effect type {type(effect).__name__}")


@perform_effect.register
def _(effect: SendToQueue, resources: RouterResources) -> None:
    key = (effect.pool, effect.role)
    queue = resources.queues.get(key)
    if queue is None:
        queue = _start_queue(effect.pool, effect.role, resources)
        resources.queues[key] = queue
    queue.send(effect.message)


@perform_effect.register
def _(effect: AskQueue, resources: RouterResources) -> None:
    question = effect.question
    pool = question.enqueue.pool
    queue = resources.queues.get((pool, effect.role))
    if queue is not None:
        queue.send(question)
        return
    # The first request would start the queue.
    empty = make_pool_state(pool, resources.settings, random.Random(0))
    explained = explain(question.enqueue, empty, resources.clock.now())
    question.reply_address.send(explained)


@perform_effect.register
def _(effect: SendToNode, resources: RouterResources) -> None:
    link = resources.links.get(effect.node)
    if link is not None:
        link.send(effect.message)


@perform_effect.register
def _(effect: ReplyToNode, resources: RouterResources) -> None:
    effect.reply_address.send(effect.decision)


@perform_effect.register
def _(effect: SetPeerLinks, resources: RouterResources) -> None:
    for node, link in list(resources.links.items()):
        if effect.addresses.get(node) != link.peer:
            link.stop()
            del resources.links[node]
    for node, address in effect.addresses.items():
        if node not in resources.links:
            link = resources.make_link(address)
            link.start()
            resources.links[node] = link


@perform_effect.register
def _(effect: NotifyRequest, resources: RouterResources) -> None:
    effect.reply_address.send(effect.message)


@perform_effect.register
def _(effect: SendReply, resources: RouterResources) -> None:
    effect.reply_address.send(effect.message)


def _find_next_tick(state: PoolState) -> datetime | None:
    """Return NO_TICK for an idle queue, else None for ticks at the interval."""
    return None if state.waiting or state.permits else NO_TICK


def _start_queue(
    pool: PoolId, role: QueueRole, resources: RouterResources
) -> Task[PoolState]:
    router = resources.router
    assert router is not None

    def perform(effect: object) -> None:
        if isinstance(effect, SlotExplained):
            effect.reply_address.send(effect.explanation)
            return
        assert isinstance(effect, GrantSlot | RefuseRequest)
        router.send(QueueDecided(role, effect))

    random_source = random.Random(resources.random_source.getrandbits(64))
    state = make_pool_state(pool, resources.settings, random_source)
    task = make_task(
        f"queue {pool} {role.value}",
        state,
        handle_queue_message,
        perform,
        resources.clock,
        QUEUE_TICK_INTERVAL,
        find_next_tick=_find_next_tick,
    )
    task.start()
    return task
