"""Guard against pool routers that lose or duplicate requests and slots.

Routers of several entry hosts run together with real pool queues. The clock is
simulated. Links lose the messages in transit when they break, and pool owners change at
any time.
"""

import random
from datetime import UTC, datetime, timedelta
from functools import singledispatch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from oleanderhitch.connection.peer.messages import LinkDown, LinkUp, PeerMessage
from oleanderhitch.process.routing.core import handle, make_router_state
from oleanderhitch.process.routing.messages import (
    NotifyRequest,
    OwnersChanged,
    PoolsChanged,
    QueueDecided,
    ReplyToNode,
    RouteEnqueue,
    RouteRelease,
    SendToNode,
    SendToQueue,
    SetPeerLinks,
)
from oleanderhitch.process.routing.states import QueueRole
from oleanderhitch.process.scheduling.core import handle as handle_queue_message
from oleanderhitch.process.scheduling.core import make_pool_state
from oleanderhitch.process.scheduling.messages import (
    EndpointOffer,
    EnqueueRequest,
    ReleaseSlot,
)
from oleanderhitch.process.scheduling.settings import PoolSettings
from oleanderhitch.request.messages import SlotGranted

START = datetime(2026, 1, 1, tzinfo=UTC)
POOL = "m@r"
NODES = ("a", "b", "c")
OFFERS = (EndpointOffer("e1", 3, 0, False), EndpointOffer("e2", 3, 0, False))
ADDRESSES = {node: f"{node}:1" for node in NODES}


class RecordingReplyAddress:
    """Records the messages sent to a request."""

    def __init__(self, request):
        self.request = request
        self.messages = []

    def send(self, message):
        """Record a message."""
        self.messages.append(message)


class OneWayConnection:
    """Sends messages in one direction over a connection that one node opened."""

    def __init__(self, cluster, link):
        self.cluster = cluster
        self.link = link

    def send(self, message):
        """Queue a message unless the connection is broken."""
        if self.link[:2] not in self.cluster.broken:
            self.cluster.links.setdefault(self.link, []).append(message)


class Cluster:
    """Runs routers and queues; links deliver messages in order until they break.

    A link is the node that opened the connection, the other node, and whether it
    carries replies back to the opener.
    """

    def __init__(self):
        self.now = START
        self.routers = {node: make_router_state(node) for node in NODES}
        self.queues = {}
        self.links = {}
        self.broken = set()

    def handle(self, node, message):
        """Handle a message at a router and perform the effects."""
        for effect in handle(message, self.routers[node], self.now):
            perform(effect, node, self)

    def send_to_queue(self, node, role, message):
        """Handle a message at a queue and pass its decisions to the router."""
        key = (node, role)
        if key not in self.queues:
            source = random.Random(f"{node}{role}")
            self.queues[key] = make_pool_state(POOL, PoolSettings(), source)
        for effect in handle_queue_message(message, self.queues[key], self.now):
            self.handle(node, QueueDecided(role, effect))

    def deliver(self, link):
        """Deliver the oldest message of a link."""
        opener, other, is_reply = link
        sender, receiver = (other, opener) if is_reply else (opener, other)
        message = self.links[link].pop(0)
        reply_address = OneWayConnection(self, (opener, other, not is_reply))
        self.handle(receiver, PeerMessage(sender, message, reply_address))

    def deliver_all(self):
        """Deliver until no message is in transit."""
        while any(self.links.values()):
            for link in [link for link, waiting in self.links.items() if waiting]:
                self.deliver(link)


@singledispatch
def perform(effect, node, cluster):
    """Perform an effect of a router."""
    assert isinstance(effect, SetPeerLinks), type(effect)


@perform.register
def _(effect: SendToQueue, node, cluster):
    cluster.send_to_queue(node, effect.role, effect.message)


@perform.register
def _(effect: SendToNode, node, cluster):
    OneWayConnection(cluster, (node, effect.node, False)).send(effect.message)


@perform.register
def _(effect: ReplyToNode, node, cluster):
    effect.reply_address.send(effect.decision)


@perform.register
def _(effect: NotifyRequest, node, cluster):
    effect.reply_address.send(effect.message)


class RouterMachine(RuleBasedStateMachine):
    """Enqueues, releases, breaks links and changes owners in any order."""

    def __init__(self):
        super().__init__()
        self.cluster = Cluster()
        self.reply_addresses = {}
        self.n_requests = 0

    @initialize()
    def start(self):
        """Send the pool and its first owner to all routers."""
        for node in NODES:
            self.cluster.handle(node, PoolsChanged({POOL: OFFERS}, len(NODES)))
        self.set_owner("a")

    @rule(owner=st.sampled_from(NODES))
    def set_owner(self, owner):
        """Set the pool's owner at every router."""
        for node in NODES:
            self.cluster.handle(node, OwnersChanged({POOL: owner}, ADDRESSES))

    @rule(node=st.sampled_from(NODES))
    def enqueue(self, node):
        """Enqueue a request of a node."""
        self.n_requests += 1
        request = f"r{self.n_requests}"
        reply_address = RecordingReplyAddress(request)
        self.reply_addresses[request] = (node, reply_address)
        enqueue = EnqueueRequest(
            POOL,
            request,
            f"p{request}",
            "account",
            node,
            True,
            0,
            0,
            10,
            10,
            (),
            (),
            timedelta(hours=1),
            timedelta(0),
        )
        self.cluster.handle(node, RouteEnqueue(enqueue, reply_address))

    @rule(data=st.data())
    def deliver(self, data):
        """Deliver all messages that wait on one link."""
        waiting = [link for link, messages in self.cluster.links.items() if messages]
        if waiting:
            link = data.draw(st.sampled_from(sorted(waiting)))
            while self.cluster.links.get(link):
                self.cluster.deliver(link)

    @rule(data=st.data())
    def release(self, data):
        """End one running request."""
        running = [
            request for request in self.reply_addresses if self.find_last_grant(request)
        ]
        if running:
            self.end(data.draw(st.sampled_from(running)))

    @rule(opener=st.sampled_from(NODES), other=st.sampled_from(NODES))
    def break_connection(self, opener, other):
        """Break the connection that one node opened; only its router gets LinkDown."""
        if opener != other and (opener, other) not in self.cluster.broken:
            self.cluster.broken.add((opener, other))
            for is_reply in (False, True):
                self.cluster.links.pop((opener, other, is_reply), None)
            self.cluster.handle(opener, LinkDown(ADDRESSES[other], "broken"))

    @rule()
    def restore_connections(self):
        """Reopen all broken connections."""
        for opener, other in sorted(self.cluster.broken):
            self.cluster.broken.discard((opener, other))
            self.cluster.handle(opener, LinkUp(ADDRESSES[other]))

    def find_last_grant(self, request):
        """Return the last grant of a request, or None if it has none."""
        grants = [
            message
            for message in self.reply_addresses[request][1].messages
            if isinstance(message, SlotGranted)
        ]
        return grants[-1] if grants else None

    def end(self, request):
        """End a request and release its slots."""
        node, reply_address = self.reply_addresses.pop(request)
        for message in reply_address.messages:
            if isinstance(message, SlotGranted):
                release = ReleaseSlot(
                    POOL,
                    message.permit,
                    message.endpoint,
                    True,
                    1,
                    1,
                    None,
                    timedelta(seconds=1),
                )
                self.cluster.handle(node, RouteRelease(release))

    @invariant()
    def no_request_runs_twice(self):
        """Guard against two non-hedge grants for one request."""
        for _, reply_address in self.reply_addresses.values():
            first = [
                m
                for m in reply_address.messages
                if isinstance(m, SlotGranted) and not m.is_hedge
            ]
            assert len(first) <= 1, f"{reply_address.request} was granted two slots"

    def teardown(self):
        """Guard against requests and slots that are lost after all links are up."""
        self.restore_connections()
        self.cluster.deliver_all()
        for _ in range(2 * self.n_requests + 5):
            self.cluster.now += timedelta(seconds=1)
            for request in [r for r in self.reply_addresses if self.find_last_grant(r)]:
                self.end(request)
            self.cluster.deliver_all()
        assert not self.reply_addresses, (
            f"never granted: {sorted(self.reply_addresses)}"
        )
        owner = self.cluster.routers["a"].owners.get(POOL)
        queue = self.cluster.queues.get((owner, QueueRole.OWNER))
        if queue is not None:
            assert not queue.permits, "the owner counts slots that no request uses"


TestRouterMachine = RouterMachine.TestCase
TestRouterMachine.settings = settings(max_examples=400, stateful_step_count=30)
