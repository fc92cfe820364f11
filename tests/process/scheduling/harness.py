"""Drive a pool's queue and check its effects against a model of the entry hosts."""

from datetime import timedelta

from oleanderhitch.process.messages import Tick
from oleanderhitch.process.scheduling.core import handle
from oleanderhitch.process.scheduling.messages import (
    GrantSlot,
    NodeGone,
    WithdrawRequest,
)
from tests.process.scheduling.builders import at, hold, offers, pool, release


class PoolHarness:
    """Sends messages to the decision code and checks every grant and refusal."""

    def __init__(self, **settings):
        self.settings = settings
        self.now_s = 0.0
        self.state = pool(**settings)
        self.n_owners = 1
        self.slots = {}
        self.leaving = set()
        self.sent = {}
        self.waiting = {}
        self.permits = {}
        self.n_hedges = 0
        self.n_successes = 0
        self.ended = {}

    def offer(self, leaving=(), **slots):
        """Replace the set of endpoints."""
        self.slots, self.leaving = slots, set(leaving)
        self.handle(offers(leaving=leaving, **slots))

    def enqueue(self, message):
        """Request a slot."""
        self.sent[message.request] = message
        self.waiting[message.request] = message
        return self.handle(message)

    def withdraw(self, request):
        """Withdraw a request."""
        if self.waiting.pop(request, None) is not None:
            self.ended[request] = "withdrawn"
        return self.handle(WithdrawRequest("pool", request))

    def release(self, permit, **changes):
        """Release a slot."""
        grant = self.permits.pop(permit)
        self.n_successes += changes.get("is_success", True)
        return self.handle(release(grant, **changes))

    def lose_node(self, node):
        """Lose a node with its requests and attempts."""
        for request, message in list(self.waiting.items()):
            if message.node == node:
                del self.waiting[request]
                self.ended[request] = "withdrawn"
        for permit, grant in list(self.permits.items()):
            if grant.node == node:
                del self.permits[permit]
        return self.handle(NodeGone(node))

    def wait(self, seconds):
        """Advance the clock and send a tick."""
        self.now_s += seconds
        return self.handle(Tick())

    def replace_owner(self):
        """Build the state of a new owner from the requests and permits of the nodes."""
        self.n_owners += 1
        self.state = pool(seed=self.n_owners, **self.settings)
        for grant in self.permits.values():
            held = hold(grant, self.sent[grant.request], timedelta(seconds=1))
            assert handle(held, self.state, at(self.now_s)) == []
        offered = offers(leaving=self.leaving, **self.slots)
        self._perform(handle(offered, self.state, at(self.now_s)))
        for message in list(self.waiting.values()):
            self._perform(handle(message, self.state, at(self.now_s)))
        self._check_state()

    def handle(self, message):
        """Handle a message and check its effects."""
        effects = handle(message, self.state, at(self.now_s))
        self._perform(effects)
        self._check_state()
        return effects

    def _perform(self, effects):
        for effect in effects:
            if isinstance(effect, GrantSlot):
                self._check_grant(effect)
            else:
                assert self.waiting.pop(effect.request).node == effect.node
                assert effect.retry_after > timedelta(0)
                self.ended[effect.request] = "refused"

    def count_in_flight(self, endpoint):
        """Return how many slots of an endpoint are in use."""
        return sum(grant.endpoint == endpoint for grant in self.permits.values())

    def _check_grant(self, grant):
        sent = self.sent[grant.request]
        assert grant.permit not in self.permits
        assert grant.endpoint not in self.leaving, "grant of a leaving endpoint"
        assert grant.endpoint not in sent.excluded
        assert self.count_in_flight(grant.endpoint) < self.slots[grant.endpoint]
        if grant.is_hedge:
            assert sent.is_idempotent, "hedge of a request that is not idempotent"
            (first,) = [g for g in self.permits.values() if g.request == grant.request]
            assert first.endpoint != grant.endpoint
            self.n_hedges += 1
        else:
            del self.waiting[grant.request]
            self.ended[grant.request] = "granted"
        self.permits[grant.permit] = grant

    def _check_state(self):
        state = self.state
        assert set(state.permits) == set(self.permits), "permits leak"
        assert set(state.waiting) == set(self.waiting)
        assert len(state.waiting) <= state.settings.n_waiting_limit
        # The retry budget starts with 8 attempts; each success adds 0.1.
        assert self.n_hedges <= 8 + 0.1 * self.n_successes + 1
        # A heap with more items is compacted.
        bound = 64 + 2 * state.settings.n_waiting_limit
        assert len(state.general_queue) <= bound
        assert len(state.deadline_timers) <= bound
        assert len(state.affinity_timers) <= bound
        for name, endpoint in state.endpoints.items():
            assert endpoint.n_in_flight == self.count_in_flight(name)
