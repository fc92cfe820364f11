"""Run the membership and configuration cores over a faulty transport.

The clock is scripted; messages may be lost, late, repeated and out of order.
After every step the world checks what must always hold.
"""

import heapq
import itertools
import random
from datetime import UTC, datetime, timedelta

from oleanderhitch.process.configuration.core import (
    apply,
    make_configuration_accepted,
    make_configuration_state,
)
from oleanderhitch.process.configuration.messages import Publish, Published
from oleanderhitch.process.membership import core as leader_core
from oleanderhitch.process.membership.core import find_in_force, make_membership_state
from oleanderhitch.process.membership.messages import (
    CompilePools,
    LeadershipConfirmed,
    LeadershipGained,
    LeadershipLost,
    PoolsDeclared,
    SendToNode,
)
from oleanderhitch.process.membership.node import core as node_core
from oleanderhitch.process.membership.node.core import (
    list_owned_pools,
    make_node_state,
    may_start_work,
)
from oleanderhitch.process.membership.node.messages import (
    InstallVersion,
    LeaveRequested,
    SendToStore,
    VersionInstalled,
)
from oleanderhitch.process.messages import Tick
from oleanderhitch.version.addresses import HostPort
from oleanderhitch.version.documents import DocumentDraft
from oleanderhitch.version.states import HostRole

START = datetime(2026, 1, 1, tzinfo=UTC)
TICK = timedelta(milliseconds=100)
LEADER_LEASE = timedelta(milliseconds=900)
LEASE_LIMIT = timedelta(seconds=3)
POOLS = tuple((f"pool-{number}", "coast") for number in range(4))
PLACES = (("east", "coast"),)


class World:
    """Hold three stores, some nodes and the messages between them."""

    def __init__(self, n_nodes=4, seed=0):
        self.now = START
        self.random = random.Random(seed)
        self.loss = self.lateness = self.repetition = 0.0
        self.queue = []
        self.order = itertools.count()
        self.group = make_configuration_state()
        self.accepted = {0: (START, {})}
        self.floor = 0
        self.incarnations = itertools.count(1)
        self.n_publishes = itertools.count(1)
        self.stores = [HostPort("127.0.0.1", 7201 + index) for index in range(3)]
        self.members = {store: make_membership_state() for store in self.stores}
        self.isolated = set()
        self.leader = None
        self.term = 0
        self.nodes = {}
        self.cut = set()
        self.failing = set()
        self.heard = {}
        self.highest = {}
        for number in range(1, n_nodes + 1):
            self.start_node(f"n{number}")
        for state in self.members.values():
            leader_core.handle(PoolsDeclared(POOLS, PLACES), state, self.now)

    # What scenarios and state machines do.

    def start_node(self, name):
        """Start the process of a node anew."""
        port = 7100 + int(name[1:])
        self.nodes[name] = make_node_state(
            name,
            f"i{next(self.incarnations)}",
            HostRole.ENTRY,
            "east",
            HostPort("127.0.0.1", port),
            self.stores,
        )
        self.highest[name] = 0
        self.heard[name] = self.now

    def stop_node(self, name):
        """Kill the process of a node."""
        self.nodes.pop(name, None)

    def leave(self, name):
        """Ask a node to leave."""
        if name in self.nodes:
            self.step_node(name, LeaveRequested())

    def elect(self, index):
        """Make a store the leader once no other store can lead."""
        store = self.stores[index]
        old = self.members[self.leader] if self.leader is not None else None
        if store in self.isolated or store == self.leader:
            return
        if old is not None and leader_core.is_leading(old, self.now):
            if self.leader not in self.isolated:
                # A planned transfer: the old leader stops before the new starts.
                leader_core.handle(LeadershipLost(store), old, self.now)
            else:
                self.advance(old.leads_until - self.now)
        for other, state in self.members.items():
            if other != store and other not in self.isolated:
                leader_core.handle(LeadershipLost(store), state, self.now)
        self.leader = store
        self.term += 1
        state = self.members[store]
        # A leader has applied its whole log before it says that it leads.
        self.tell_store(store)
        leader_core.handle(
            LeadershipGained(self.term, self.now + LEADER_LEASE), state, self.now
        )

    def isolate(self, index):
        """Cut a store off from the other stores; nodes still reach it."""
        self.isolated.add(self.stores[index])

    def join(self, index):
        """Let a store talk to the others again."""
        store = self.stores[index]
        self.isolated.discard(store)
        if store != self.leader:
            lost = LeadershipLost(self.leader)
            leader_core.handle(lost, self.members[store], self.now)

    def make_publish(self, base, name="rules", content=None, removed=()):
        """Return a publish with a new id."""
        number = next(self.n_publishes)
        drafts = (DocumentDraft(name, content or f"c{number}"),) if name else ()
        return Publish(f"p{number}", "split", base, drafts, removed, self.now)

    def publish(self, publish):
        """Have the leader's group apply a publish; None without a leader."""
        if not self.can_commit():
            return None
        before = self.group.version
        answer = apply(publish, self.group)
        if self.group.version != before:
            assert isinstance(answer, Published)
            contents = {doc.name: doc.content for doc in self.group.documents.values()}
            self.accepted[self.group.version] = (self.now, contents)
            self.tell_store(self.leader)
        self.check()
        return answer

    def can_commit(self):
        """Return whether the leader reaches a majority."""
        if self.leader is None or self.leader in self.isolated:
            return False
        return leader_core.is_leading(self.members[self.leader], self.now)

    def tell_store(self, store):
        """Bring a store the accepted documents."""
        state = self.members[store]
        self.perform(
            store,
            leader_core.handle(
                make_configuration_accepted(self.group), state, self.now
            ),
        )

    def advance(self, duration):
        """Let time pass with ticks and deliveries."""
        end = self.now + duration
        while self.now < end:
            next_tick = self.now + TICK - (self.now - START) % TICK
            until = min(end, next_tick)
            self.deliver(until)
            self.now = until
            if until == next_tick:
                self.tick()
            self.check()

    # What happens by itself.

    def tick(self):
        """Confirm the leadership and tick every task."""
        for store, state in self.members.items():
            if store == self.leader and store not in self.isolated:
                confirmed = LeadershipConfirmed(self.term, self.now + LEADER_LEASE)
                leader_core.handle(confirmed, state, self.now)
            elif store not in self.isolated and self.random.random() < 0.3:
                self.tell_store(store)
            self.perform(store, leader_core.handle(Tick(), state, self.now))
        for name in list(self.nodes):
            self.step_node(name, Tick())

    def deliver(self, until):
        """Deliver the messages that are due, in the order of arrival."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, receiver, message = heapq.heappop(self.queue)
            if receiver in self.members:
                state = self.members[receiver]
                self.perform(receiver, leader_core.handle(message, state, self.now))
            elif receiver in self.nodes:
                self.deliver_to_node(receiver, message)
            self.check()

    def deliver_to_node(self, name, message):
        """Deliver a message of a store, or the end of an installation."""
        if not isinstance(message, tuple):
            self.heard[name] = self.now
            self.step_node(name, message)
        elif message[0] == self.nodes[name].incarnation:
            self.step_node(name, message[1])

    def step_node(self, name, message):
        """Let a node handle a message."""
        state = self.nodes[name]
        for effect in node_core.handle(message, state, self.now):
            if isinstance(effect, SendToStore):
                self.send(name, effect.store, effect.message, name)
            elif isinstance(effect, InstallVersion):
                self.install(name, effect)

    def install(self, name, effect):
        """Install a version after a while, as the compiler takes its time."""
        contents = {document.name: document.content for document in effect.documents}
        assert contents == self.accepted[effect.version][1]
        if name not in self.failing:
            delay = timedelta(milliseconds=self.random.choice((1, 5, 40, 300)))
            incarnation = self.nodes[name].incarnation
            installed = VersionInstalled(effect.version)
            self.push(self.now + delay, name, (incarnation, installed))

    def perform(self, store, effects):
        """Perform the effects of a store."""
        for effect in effects:
            if isinstance(effect, SendToNode):
                self.send(store, effect.node, effect.message, effect.node)
            else:
                assert isinstance(effect, CompilePools)

    def send(self, sender, receiver, message, node):
        """Carry a message over the faulty transport."""
        if node in self.cut or self.random.random() < self.loss:
            return
        n_copies = 2 if self.random.random() < self.repetition else 1
        for _ in range(n_copies):
            delay_ms = self.random.uniform(0.5, 3)
            if self.random.random() < self.lateness:
                delay_ms = self.random.choice((60, 400, 1500, 2900, 5000))
            self.push(self.now + timedelta(milliseconds=delay_ms), receiver, message)

    def push(self, at, receiver, message):
        """Queue a delivery."""
        heapq.heappush(self.queue, (at, next(self.order), receiver, message))

    # What must always hold.

    def list_working(self):
        """Return the nodes that may start work."""
        return [
            name
            for name, state in self.nodes.items()
            if may_start_work(state, self.now)
        ]

    def get_reported(self):
        """Return the highest version that any store reports in force, or None."""
        reports = [find_in_force(state, self.now) for state in self.members.values()]
        return max((report for report in reports if report is not None), default=None)

    def check(self):
        """Check every invariant."""
        reported = self.get_reported()
        self.floor = max(self.floor, reported or 0)
        due = (
            max(
                version
                for version, (at, _) in self.accepted.items()
                if at + LEASE_LIMIT <= self.now
            )
            if self.now >= START + LEASE_LIMIT
            else 0
        )
        working = self.list_working()
        for name in working:
            installed = self.nodes[name].installed
            assert installed >= self.floor, (
                f"{name} works under {installed}; {self.floor} was reported in force"
            )
            assert installed >= due, (
                f"{name} works under {installed} a lease after {due} was accepted"
            )
            silent = self.now - self.heard[name]
            assert silent < LEASE_LIMIT, f"{name} works after {silent} of silence"
        for name, state in self.nodes.items():
            assert state.installed >= self.highest[name], f"{name} went back"
            self.highest[name] = state.installed
        for pool, _ in POOLS:
            owners = [
                name
                for name, state in self.nodes.items()
                if pool in list_owned_pools(state, self.now)
            ]
            assert len(owners) <= 1, f"{pool} is owned by {owners}"
