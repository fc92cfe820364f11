"""Run the membership and configuration cores over a faulty transport.

The clock is simulated. Messages may be lost, delayed, duplicated and reordered. The
harness checks the invariants after every step.
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
from oleanderhitch.process.membership.core import (
    find_version_in_force,
    make_membership_state,
)
from oleanderhitch.process.membership.messages import (
    CompileConfiguration,
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
LEADER_LEASE_DURATION = timedelta(milliseconds=900)
LEASE_DURATION = timedelta(seconds=3)
POOLS = tuple((f"pool-{number}", "coast") for number in range(4))
DATA_CENTRES = (("east", "coast"),)


class MembershipHarness:
    """Three stores, some nodes and the messages in transit between them."""

    def __init__(self, n_nodes=4, seed=0):
        self.now = START
        self.random = random.Random(seed)
        self.loss_rate = self.delay_rate = self.duplication_rate = 0.0
        self.deliveries = []
        self.delivery_numbers = itertools.count()
        self.configuration = make_configuration_state()
        self.accepted = {0: (START, {})}
        self.highest_in_force = 0
        self.incarnations = itertools.count(1)
        self.publish_numbers = itertools.count(1)
        self.stores = [HostPort("127.0.0.1", 7201 + index) for index in range(3)]
        self.store_states = {store: make_membership_state() for store in self.stores}
        self.isolated_stores = set()
        self.leader = None
        self.term = 0
        self.nodes = {}
        self.disconnected_nodes = set()
        self.failing_nodes = set()
        self.last_contact_at = {}
        self.highest_installed = {}
        for number in range(1, n_nodes + 1):
            self.start_node(f"n{number}")
        for state in self.store_states.values():
            leader_core.handle(PoolsDeclared(POOLS, DATA_CENTRES), state, self.now)

    # Actions of scenarios and of the state machine.

    def start_node(self, name):
        """Start or restart the process of a node."""
        port = 7100 + int(name[1:])
        self.nodes[name] = make_node_state(
            name,
            f"i{next(self.incarnations)}",
            HostRole.ENTRY,
            "east",
            HostPort("127.0.0.1", port),
            self.stores,
        )
        self.highest_installed[name] = 0
        self.last_contact_at[name] = self.now

    def stop_node(self, name):
        """Stop the process of a node without a leave request."""
        self.nodes.pop(name, None)

    def request_leave(self, name):
        """Make a node leave."""
        if name in self.nodes:
            self.handle_in_node(name, LeaveRequested())

    def elect_store(self, index):
        """Make a store the leader once no other store can lead."""
        store = self.stores[index]
        old_leader = self.store_states[self.leader] if self.leader is not None else None
        if store in self.isolated_stores or store == self.leader:
            return
        if old_leader is not None and leader_core.is_leading(old_leader, self.now):
            if self.leader not in self.isolated_stores:
                # In a planned transfer the old leader stops before the new one starts.
                leader_core.handle(LeadershipLost(store), old_leader, self.now)
            else:
                self.advance(old_leader.leads_until - self.now)
        for other_store, state in self.store_states.items():
            if other_store != store and other_store not in self.isolated_stores:
                leader_core.handle(LeadershipLost(store), state, self.now)
        self.leader = store
        self.term += 1
        state = self.store_states[store]
        # A leader applies its whole log before it reports that it leads.
        self.update_store(store)
        leader_core.handle(
            LeadershipGained(self.term, self.now + LEADER_LEASE_DURATION),
            state,
            self.now,
        )

    def isolate_store(self, index):
        """Isolate a store from the other stores; nodes still reach it."""
        self.isolated_stores.add(self.stores[index])

    def reconnect_store(self, index):
        """End the isolation of a store."""
        store = self.stores[index]
        self.isolated_stores.discard(store)
        if store != self.leader:
            lost = LeadershipLost(self.leader)
            leader_core.handle(lost, self.store_states[store], self.now)

    def make_publish(self, base, name="rules", content=None, removed=()):
        """Return a publish command with a new id."""
        number = next(self.publish_numbers)
        drafts = (DocumentDraft(name, content or f"c{number}"),) if name else ()
        return Publish(f"p{number}", "operator-a", base, drafts, removed, self.now)

    def publish(self, publish):
        """Apply a publish command; return None if no leader can commit it."""
        if not self.can_commit():
            return None
        before = self.configuration.version
        result = apply(publish, self.configuration)
        if self.configuration.version != before:
            assert isinstance(result, Published)
            contents = {
                doc.name: doc.content for doc in self.configuration.documents.values()
            }
            self.accepted[self.configuration.version] = (self.now, contents)
            self.update_store(self.leader)
        self.check_invariants()
        return result

    def can_commit(self):
        """Return whether the leader reaches a majority."""
        if self.leader is None or self.leader in self.isolated_stores:
            return False
        return leader_core.is_leading(self.store_states[self.leader], self.now)

    def update_store(self, store):
        """Pass the accepted documents to a store."""
        state = self.store_states[store]
        self.perform_effects(
            store,
            leader_core.handle(
                make_configuration_accepted(self.configuration), state, self.now
            ),
        )

    def advance(self, duration):
        """Advance the clock, with the ticks and deliveries that fall due."""
        end = self.now + duration
        while self.now < end:
            next_tick = self.now + TICK - (self.now - START) % TICK
            until = min(end, next_tick)
            self.deliver(until)
            self.now = until
            if until == next_tick:
                self.tick_tasks()
            self.check_invariants()

    # Events that no action triggers.

    def tick_tasks(self):
        """Confirm the leadership and send a Tick to every task."""
        for store, state in self.store_states.items():
            if store == self.leader and store not in self.isolated_stores:
                confirmed = LeadershipConfirmed(
                    self.term, self.now + LEADER_LEASE_DURATION
                )
                leader_core.handle(confirmed, state, self.now)
            elif store not in self.isolated_stores and self.random.random() < 0.3:
                self.update_store(store)
            self.perform_effects(store, leader_core.handle(Tick(), state, self.now))
        for name in list(self.nodes):
            self.handle_in_node(name, Tick())

    def deliver(self, until):
        """Deliver the messages that arrive up to a time, in order of arrival."""
        while self.deliveries and self.deliveries[0][0] <= until:
            self.now, _, receiver, message = heapq.heappop(self.deliveries)
            if receiver in self.store_states:
                state = self.store_states[receiver]
                self.perform_effects(
                    receiver, leader_core.handle(message, state, self.now)
                )
            elif receiver in self.nodes:
                self.deliver_to_node(receiver, message)
            self.check_invariants()

    def deliver_to_node(self, name, message):
        """Deliver a message from a store, or the result of an installation."""
        if not isinstance(message, tuple):
            self.last_contact_at[name] = self.now
            self.handle_in_node(name, message)
        elif message[0] == self.nodes[name].incarnation:
            self.handle_in_node(name, message[1])

    def handle_in_node(self, name, message):
        """Handle a message in a node and perform its effects."""
        state = self.nodes[name]
        for effect in node_core.handle(message, state, self.now):
            if isinstance(effect, SendToStore):
                self.send(name, effect.store, effect.message, name)
            elif isinstance(effect, InstallVersion):
                self.install_version(name, effect)

    def install_version(self, name, effect):
        """Report a version as installed after a random compile time."""
        contents = {document.name: document.content for document in effect.documents}
        assert contents == self.accepted[effect.version][1]
        if name not in self.failing_nodes:
            delay = timedelta(milliseconds=self.random.choice((1, 5, 40, 300)))
            incarnation = self.nodes[name].incarnation
            installed = VersionInstalled(effect.version)
            self.schedule_delivery(self.now + delay, name, (incarnation, installed))

    def perform_effects(self, store, effects):
        """Perform the effects of a store's membership core."""
        for effect in effects:
            if isinstance(effect, SendToNode):
                self.send(store, effect.node, effect.message, effect.node)
            else:
                assert isinstance(effect, CompileConfiguration)

    def send(self, sender, receiver, message, node):
        """Send a message over the faulty transport."""
        if node in self.disconnected_nodes or self.random.random() < self.loss_rate:
            return
        n_copies = 2 if self.random.random() < self.duplication_rate else 1
        for _ in range(n_copies):
            delay_ms = self.random.uniform(0.5, 3)
            if self.random.random() < self.delay_rate:
                delay_ms = self.random.choice((60, 400, 1500, 2900, 5000))
            self.schedule_delivery(
                self.now + timedelta(milliseconds=delay_ms), receiver, message
            )

    def schedule_delivery(self, at, receiver, message):
        """Queue a message for delivery at a time."""
        heapq.heappush(
            self.deliveries, (at, next(self.delivery_numbers), receiver, message)
        )

    # Invariants.

    def list_working_nodes(self):
        """Return the nodes that may start work."""
        return [
            name
            for name, state in self.nodes.items()
            if may_start_work(state, self.now)
        ]

    def find_reported_version(self):
        """Return the highest version that any store reports as in force, or None."""
        reports = [
            find_version_in_force(state, self.now)
            for state in self.store_states.values()
        ]
        return max((report for report in reports if report is not None), default=None)

    def check_invariants(self):
        """Check every invariant."""
        reported = self.find_reported_version()
        self.highest_in_force = max(self.highest_in_force, reported or 0)
        required_version = (
            max(
                version
                for version, (at, _) in self.accepted.items()
                if at + LEASE_DURATION <= self.now
            )
            if self.now >= START + LEASE_DURATION
            else 0
        )
        working_nodes = self.list_working_nodes()
        for name in working_nodes:
            installed = self.nodes[name].installed_version
            assert installed >= self.highest_in_force, (
                f"{name} runs {installed}, but {self.highest_in_force} is in force"
            )
            assert installed >= required_version, (
                f"{name} runs {installed} a lease after {required_version} was accepted"
            )
            time_without_contact = self.now - self.last_contact_at[name]
            assert time_without_contact < LEASE_DURATION, (
                f"{name} may start work {time_without_contact} after its last contact"
            )
        for name, state in self.nodes.items():
            assert state.installed_version >= self.highest_installed[name], (
                f"{name} reverted to an older version"
            )
            self.highest_installed[name] = state.installed_version
        for pool, _ in POOLS:
            owners = [
                name
                for name, state in self.nodes.items()
                if pool in list_owned_pools(state, self.now)
            ]
            assert len(owners) <= 1, f"{pool} is owned by {owners}"
