"""Guard against engines that load something else than the latest leader ordered."""

from datetime import UTC, datetime, timedelta
from itertools import pairwise
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.process.engines.messages import (
    EngineCallFailed,
    EngineDescription,
    EnginesChanged,
    LoadedModelRead,
    OrderAccepted,
    OrderRefused,
    ReadLoadedModel,
    SendOrder,
)
from oleanderhitch.process.engines.orders.core import (
    IDLE_READ_INTERVAL,
    ORDER_SEND_TIMEOUT,
    handle,
    make_orders_state,
)
from oleanderhitch.process.engines.orders.messages import (
    DemandReported,
    ModelDemand,
    NewerLeaderDetected,
    OrdersLeadershipConfirmed,
    OrdersLeadershipGained,
)
from oleanderhitch.process.engines.orders.plan import AssignedEngine, find_reassignment
from oleanderhitch.process.messages import Tick
from standins.process.engine.orders import (
    LoadedModel,
    apply_order,
    describe_loaded_model,
)
from standins.request.messages import ApplyOrder
from standins.request.states import OrderKind

START = datetime(2026, 1, 1, tzinfo=UTC)
STEP = timedelta(milliseconds=200)
LEASE_DURATION = timedelta(seconds=4)
MODELS = ("m0", "m1", "m2")
N_ENGINES = 3
WEIGHT_STORE_BYTES_PER_S = 1_000_000.0


class OrdersHarness:
    """Runs leaders against engines over a network that delays and loses messages.

    `get_delay` returns the delay of a request and whether its response arrives.
    """

    def __init__(self, checks_fencing, get_delay):
        self.now = START
        self.checks_fencing = checks_fencing
        self.get_delay = get_delay
        self.engines = {
            f"e{n}": LoadedModel("m0", checks_fencing, timedelta(milliseconds=500))
            for n in range(N_ENGINES)
        }
        self.applied = {name: [] for name in self.engines}
        self.leaders = {}
        self.leases = {}
        self.in_flight = []
        self.n_orders = 0

    def elect(self, term, previous_lease_until):
        """Start a leader with a lease that begins now."""
        self.leaders[term] = make_orders_state(WEIGHT_STORE_BYTES_PER_S)
        self.leases[term] = self.now + LEASE_DURATION
        engines = [
            EngineDescription(name, f"{name}:1", MODELS, self.checks_fencing)
            for name in self.engines
        ]
        self.send(term, EnginesChanged(tuple(engines)))
        self.send(
            term, OrdersLeadershipGained(term, previous_lease_until, self.leases[term])
        )

    def renew(self, term):
        """Extend a leader's lease."""
        self.leases[term] = self.now + LEASE_DURATION
        self.send(term, OrdersLeadershipConfirmed(term, self.leases[term]))

    def demand(self, term, model):
        """Report to a leader that the demand for one model would use all engines."""
        demands = [
            ModelDemand(name, float(N_ENGINES) if name == model else 0.0, 100_000)
            for name in MODELS
        ]
        self.send(term, DemandReported(tuple(demands)))

    def send(self, term, message):
        """Deliver a message to a leader and put its calls on the network."""
        for effect in handle(message, self.leaders[term], self.now):
            if isinstance(effect, NewerLeaderDetected):
                continue
            request = effect.request
            if isinstance(request, SendOrder):
                self.n_orders += 1
                # A new leader's wait for the previous lease relies on both conditions.
                assert self.now + ORDER_SEND_TIMEOUT <= self.leases[term]
                assert not self.is_outstanding(term, request.endpoint)
            delay, has_response = self.get_delay(request)
            self.in_flight.append((self.now + delay, term, request, has_response))

    def is_outstanding(self, term, endpoint):
        """Return whether an order of a leader to an engine is still in transit."""
        return any(
            isinstance(request, SendOrder)
            and (sender, request.endpoint) == (term, endpoint)
            and request.send_before > self.now
            for _, sender, request, _ in self.in_flight
        )

    def advance(self, step=STEP):
        """Advance the clock, deliver what is due and send the leaders a tick."""
        self.now += step
        due = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [item for item in self.in_flight if item[0] > self.now]
        for _, term, request, has_response in sorted(due, key=lambda item: item[:2]):
            result = self.deliver(request)
            if not has_response:
                result = EngineCallFailed(request, True, "answer lost")
            self.send(term, result)
        for term in list(self.leaders):
            self.send(term, Tick())

    def deliver(self, request):
        """Deliver a request to an engine and return its result."""
        loaded = self.engines[request.endpoint]
        if isinstance(request, ReadLoadedModel):
            body = describe_loaded_model(loaded, self.now)
            return LoadedModelRead(
                request.endpoint,
                request.requested_at,
                body["model"],
                body["loading"] or None,
                body["fencing_number"],
            )
        order = ApplyOrder(
            request.fencing_number, OrderKind(request.kind.value), request.name, None
        )
        status, body = apply_order(loaded, order, self.now)
        if status == 409:
            return OrderRefused(request, body["fencing_number"])
        self.applied[request.endpoint].append(request.fencing_number)
        return OrderAccepted(request)

    def check_latest_order_is_last(self):
        """Check that no engine applied an earlier leader's order after a later one."""
        for name, terms in self.applied.items():
            assert terms == sorted(terms), f"{name} applied orders of terms {terms}"


def run_two_leaders(harness, random, wait):
    """Elect a second leader during the first one's lease, with varying demand.

    With `wait`, the second leader waits until that lease has expired.
    """
    harness.elect(1, START)
    harness.demand(1, random.choice(MODELS))
    for number in range(random.randint(1, 40)):
        if number % 5 == 4:
            harness.renew(1)
        harness.advance()
        if random.random() < 0.2:
            harness.demand(1, random.choice(MODELS))
    harness.elect(2, harness.leases[1] if wait else harness.now)
    harness.demand(2, random.choice(MODELS))
    for number in range(40):
        if number % 5 == 4:
            harness.renew(2)
        harness.advance()
        if random.random() < 0.1:
            harness.demand(random.choice((1, 2)), random.choice(MODELS))
    harness.check_latest_order_is_last()


def check_demand_is_met(harness):
    """Check that the second leader gets all engines to load the model in demand."""
    harness.get_delay = lambda request: (timedelta(milliseconds=50), True)
    harness.demand(2, "m1")
    # A late order may change a model after the leader's first read. The periodic read
    # corrects that, so the time covers more than one periodic read.
    until = harness.now + IDLE_READ_INTERVAL + timedelta(seconds=60)
    while harness.now < until:
        harness.renew(2)
        harness.advance(timedelta(seconds=1))
    harness.check_latest_order_is_last()
    assert [loaded.model for loaded in harness.engines.values()] == ["m1"] * N_ENGINES


def make_delays(random, limit):
    """Return a `get_delay` with random delays of orders and lost responses."""
    fast = timedelta(milliseconds=50)

    def get_delay(request):
        has_response = random.random() < 0.8
        if isinstance(request, ReadLoadedModel) or random.random() < 0.5:
            return fast, has_response
        return limit * random.random(), has_response

    return get_delay


@given(st.integers(0, 2**32))
def test_engine_checking_fencing_numbers_keeps_the_latest_order(seed):
    """Guard against a late order of an earlier leader that overrides a newer one."""
    random = Random(seed)
    harness = OrdersHarness(True, make_delays(random, timedelta(seconds=60)))
    run_two_leaders(harness, random, wait=False)
    check_demand_is_met(harness)


@given(st.integers(0, 2**32))
def test_lease_protects_engine_that_ignores_fencing_numbers(seed):
    """Guard against an order of an earlier leader that arrives after a newer one."""
    random = Random(seed)
    harness = OrdersHarness(False, make_delays(random, ORDER_SEND_TIMEOUT))
    run_two_leaders(harness, random, wait=True)
    check_demand_is_met(harness)


def test_leader_steps_down_at_a_newer_fencing_number():
    """Guard against a replaced leader that continues to send orders."""
    harness = OrdersHarness(True, lambda request: (timedelta(milliseconds=50), True))
    for loaded in harness.engines.values():
        loaded.fencing_number = 9
    harness.elect(1, START)
    harness.demand(1, "m2")
    for _ in range(15):
        harness.advance()
    assert harness.leaders[1].leadership is None
    assert harness.n_orders == 0


def test_leader_with_expired_lease_sends_nothing():
    """Guard against orders of an isolated leader that has been replaced."""
    harness = OrdersHarness(False, lambda request: (timedelta(milliseconds=50), True))
    harness.elect(1, START)
    harness.now += LEASE_DURATION
    harness.demand(1, "m2")
    for _ in range(20):
        harness.advance()
    assert harness.n_orders == 0


def test_loads_stay_within_the_rate_of_the_weight_store():
    """Guard against a change of demand that overloads the weight store."""
    harness = OrdersHarness(True, lambda request: (timedelta(milliseconds=50), True))
    harness.elect(1, START)
    demand = ModelDemand("m1", 3.0, 5_000_000)
    harness.send(1, DemandReported((demand,)))
    ordered_at = []
    for _ in range(100):
        harness.renew(1)
        harness.advance()
        if harness.n_orders > len(ordered_at):
            ordered_at.append(harness.now)
    assert len(ordered_at) == N_ENGINES
    gaps = [b - a for a, b in pairwise(ordered_at)]
    assert min(gaps) >= timedelta(seconds=5)


def test_order_that_was_not_sent_is_retried():
    """Guard against an engine that gets no order after a refused connection."""
    harness = OrdersHarness(True, lambda request: (timedelta(milliseconds=50), True))
    harness.elect(1, START)
    harness.demand(1, "m2")
    for _ in range(20):
        harness.advance()
        if harness.n_orders:
            break
    [item] = [item for item in harness.in_flight if isinstance(item[2], SendOrder)]
    harness.in_flight.remove(item)
    harness.send(1, EngineCallFailed(item[2], False, "refused"))
    harness.renew(1)
    for _ in range(5):
        harness.advance()
    assert harness.n_orders >= 2


def test_order_without_result_stays_outstanding_despite_a_matching_read():
    """Guard against a second order while the first is still in transit."""
    harness = OrdersHarness(True, lambda request: (timedelta(milliseconds=50), True))
    harness.elect(1, START)
    harness.demand(1, "m2")
    for _ in range(10):
        harness.advance()
        orders = [item for item in harness.in_flight if isinstance(item[2], SendOrder)]
        if orders:
            break
    [(_, _, order, _)] = orders
    harness.in_flight.remove(orders[0])
    # An earlier order arrives late and sets the same model.
    harness.engines[order.endpoint].model = "m2"
    harness.demand(1, "m1")
    for _ in range(ORDER_SEND_TIMEOUT // STEP - 1):
        harness.renew(1)
        harness.advance()
        assert harness.leaders[1].engines[order.endpoint].order == order


def test_failed_read_is_retried_soon():
    """Guard against an engine that gets no order after a failed read."""
    harness = OrdersHarness(True, lambda request: (timedelta(milliseconds=50), False))
    harness.elect(1, START)
    harness.demand(1, "m2")
    harness.advance()
    harness.get_delay = lambda request: (timedelta(milliseconds=50), True)
    for _ in range(60):
        harness.renew(1)
        harness.advance()
    assert [loaded.model for loaded in harness.engines.values()] == ["m2"] * N_ENGINES


def plan_reassignment(models, demand):
    """Return the reassignment among engines that may load every model."""
    engines = [
        AssignedEngine(f"e{n}", ("a", "b"), model, True)
        for n, model in enumerate(models)
    ]
    return find_reassignment(engines, demand)


@pytest.mark.parametrize(
    ("models", "demand", "expected"),
    [
        ("aaaa", {"a": 1.0, "b": 2.0}, ("e0", "b")),
        ("aaab", {"a": 2.0, "b": 0.5}, None),
        ("aab", {"a": 3.0, "b": 3.0}, None),
        ("aaab", {"a": 0.0, "b": 9.0}, ("e0", "b")),
        ("ab", {"a": 1.0, "b": 5.0}, None),
        ("aaaa", {"c": 9.0}, None),
    ],
)
def test_reassignment_helps_the_model_with_the_highest_load(models, demand, expected):
    """Guard against a reassignment that is useless or starves another model."""
    assert plan_reassignment(models, demand) == expected


@given(
    st.lists(st.sampled_from("ab"), min_size=1, max_size=8),
    st.floats(0, 20),
    st.floats(0, 20),
)
def test_reassignments_end_under_constant_demand(models, demand_a, demand_b):
    """Guard against engines that exchange their models endlessly."""
    models = list(models)
    demand = {"a": demand_a, "b": demand_b}
    for _ in range(len(models) + 1):
        reassignment = plan_reassignment(models, demand)
        if reassignment is None:
            return
        models[int(reassignment[0][1:])] = reassignment[1]
    raise AssertionError(f"reassignments don't end: {models}")
