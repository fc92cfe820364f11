"""Guard against lost orders, results and notifications of the engine tasks."""

from datetime import timedelta

import gevent
import pytest

from oleanderhitch.connection.endpoint.transport import make_pool_manager
from oleanderhitch.process.engines.client import make_engine_client
from oleanderhitch.process.engines.messages import (
    CacheReleased,
    CallEngine,
    EngineCallFailed,
    EngineDescription,
    EnginesChanged,
    OrderAccepted,
    OrderRefused,
    ReadLoad,
    ReleaseCache,
    SendOrder,
)
from oleanderhitch.process.engines.orders.messages import (
    DemandReported,
    ModelDemand,
    NewerLeaderDetected,
    OrdersLeadershipGained,
)
from oleanderhitch.process.engines.orders.task import make_orders_task
from oleanderhitch.process.engines.polling.messages import (
    CachedProgramChanged,
    CachedProgramsListed,
)
from oleanderhitch.process.engines.polling.task import make_polling_task
from oleanderhitch.process.engines.releases.messages import (
    ListOpenReleases,
    RecordConfirmation,
    ReleasesListed,
)
from oleanderhitch.process.engines.releases.task import make_releases_task
from oleanderhitch.process.engines.states import OrderKind
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.metrics.core import make_metrics
from oleanderhitch.process.metrics.text import format_metrics
from oleanderhitch.process.scheduling.messages import LoadReported
from oleanderhitch.program.messages import Release
from tests.connection.endpoint.calls import Attempt, request_json
from tests.connection.endpoint.test_model import find_free_address
from tests.standins.serving import CLOCK, serve_engine

NO_LAG = {"load_lag": timedelta(0), "event_lag": timedelta(0)}
SECOND = timedelta(seconds=1)


def make_engines_changed(address, models=("standin", "other")):
    """Return an EnginesChanged with one engine."""
    return EnginesChanged((EngineDescription("e0", address, models, True),))


def receive(mailbox, *kinds):
    """Return the next message of each kind, in any order."""
    received = {}
    until = CLOCK.now() + timedelta(seconds=5)
    while len(received) < len(kinds):
        message = mailbox.receive(until - CLOCK.now())
        assert message is not None, f"no {kinds} within 5 s, but {received}"
        if isinstance(message, kinds):
            received.setdefault(type(message), message)
    return [received[kind] for kind in kinds]


def call_engine(address, request):
    """Return the result of a call to an engine."""
    results = make_mailbox("results")
    client = make_engine_client(results, make_pool_manager(), CLOCK)
    client.start()
    client.send(CallEngine(address, request))
    return results.receive(timedelta(seconds=5))


def make_order(term, time_left=SECOND * 5):
    """Return an order to load another model."""
    return SendOrder("e0", term, OrderKind.LOAD_MODEL, "other", CLOCK.now() + time_left)


def test_orders_are_accepted_verified_and_fenced():
    """Guard against lost orders, accepted outdated ones and a missed newer leader."""
    with serve_engine(load_time=timedelta(milliseconds=50)) as address:
        subscriber = make_mailbox("subscriber")
        metrics = make_metrics()
        task = make_orders_task(subscriber, 1e9, make_pool_manager(), CLOCK, metrics)
        task.start()
        task.send(make_engines_changed(address))
        now = CLOCK.now()
        task.send(OrdersLeadershipGained(7, now, now + SECOND * 60))
        task.send(DemandReported((ModelDemand("other", 1.0, 1000),)))
        until = now + SECOND * 5
        while request_json("GET", address, "/v1/orders")["model"] != "other":
            assert CLOCK.now() < until
        assert request_json("GET", address, "/v1/orders")["fencing_number"] == 7
        assert isinstance(call_engine(address, make_order(6)), OrderRefused)
        assert isinstance(call_engine(address, make_order(9)), OrderAccepted)
        assert receive(subscriber, NewerLeaderDetected) == [NewerLeaderDetected(9)]
        text = format_metrics(metrics.make_snapshot())
        assert 'oleanderhitch_orders_total{result="taken"} 1' in text
        task.stop()


def test_late_order_is_not_sent():
    """Guard against an order that waited in a mailbox and is sent after its lease."""
    with serve_engine() as address:
        order = make_order(5, SECOND / 2)
        result = call_engine(address, order)
        assert isinstance(result, EngineCallFailed)
        assert not result.was_sent
        assert request_json("GET", address, "/v1/orders")["n_applied"] == 0


@pytest.mark.parametrize("request_type", [ReadLoad, lambda name: make_order(1)])
def test_call_to_unreachable_engine_counts_as_not_sent(request_type):
    """Guard against an order that stays outstanding after a refused connection."""
    result = call_engine(find_free_address(), request_type("e0"))
    assert isinstance(result, EngineCallFailed)
    assert not result.was_sent


def test_release_is_confirmed_to_the_shard():
    """Guard against a release whose confirmation does not reach the shard."""
    with serve_engine(**NO_LAG) as address:
        Attempt(address).finish()
        shard_client = make_mailbox("shard client")
        task = make_releases_task(
            shard_client, make_pool_manager(), CLOCK, make_metrics()
        )
        task.start()
        task.send(make_engines_changed(address))
        receive(shard_client, ListOpenReleases)
        task.send(ReleasesListed("g", (Release("p1", "e0", 1),)))
        assert receive(shard_client, RecordConfirmation) == [
            RecordConfirmation("p1", "e0", 1)
        ]
        assert request_json("GET", address, "/v1/cache/programs") == {"programs": []}
        repeated = call_engine(address, ReleaseCache("e0", "p1"))
        assert repeated == CacheReleased("e0", "p1", True)
        task.stop()


def test_polling_reports_load_and_cached_programs():
    """Guard against subscribers without the load or cache changes of an engine."""
    with serve_engine(**NO_LAG, n_events_per_gap=0) as address:
        subscriber = make_mailbox("subscriber")
        task = make_polling_task(
            (subscriber,), make_pool_manager(), CLOCK, make_metrics()
        )
        task.start()
        task.send(make_engines_changed(address))
        [load] = receive(subscriber, LoadReported)
        assert load == LoadReported("e0", 0, 0, timedelta(0))
        gevent.sleep(0.4)
        while subscriber.n_waiting:
            message = subscriber.receive()
            if isinstance(message, CachedProgramsListed):
                assert message == CachedProgramsListed("e0", frozenset())
        Attempt(address).finish()
        [change] = receive(subscriber, CachedProgramChanged)
        assert change == CachedProgramChanged("e0", "p1", True)
        task.stop()
