"""Guard against explanations that differ from what is then done, or change anything."""

from copy import deepcopy
from datetime import datetime, timedelta
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from oleanderhitch.process.explaining.states import (
    CostPart,
    Exclusion,
    ExplainVerdict,
)
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.core import handle
from oleanderhitch.process.placement.effects import AskLeader
from oleanderhitch.process.placement.explaining import copy_state, explain
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    AttemptResult,
    CrashesReported,
    EndpointGranted,
    EndpointLoad,
    EndpointRateLimited,
    EndpointRefused,
    EndpointsListed,
    EventLatencyObserved,
    ExhaustedEndpoint,
    PeerLoadsReported,
    ReleaseEndpoint,
    SendPermitReply,
)
from oleanderhitch.process.placement.records import PlacementState
from oleanderhitch.request.ids import RequestFingerprint
from oleanderhitch.version.ids import DataCentreName, EndpointId
from tests.process.placement.test_core import (
    HOME,
    NOW,
    SERVICE,
    acquire,
    make_endpoint,
    make_state,
    make_workload,
)

NAMES = ("e0", "e1", "e2")
Outcome = tuple[ExplainVerdict, EndpointId | None]


def make_request(number: int, now: datetime, draw: Any) -> AcquireEndpoint:
    """Return a request of any kind."""
    parts = draw(st.sampled_from([None, ("a", "b"), ("a", "c"), ("d",)]))
    request = acquire(
        f"r{number}",
        None if parts is None else make_workload(*parts),
        rank=draw(st.integers(0, 1)),
        tried=draw(st.sampled_from([(), (), ("e0",)])),
        content=draw(st.sampled_from(["x", "x", "y", "z", "bad"])),
        affinity_key=draw(st.sampled_from([None, "k"])),
    )
    wait = timedelta(milliseconds=draw(st.sampled_from([5000, 200, 2000, 0])))
    account = draw(st.sampled_from([None, "a", "b"]))
    return replace(request, account=account, deadline=now + wait)


def make_message(
    number: int, state: PlacementState, now: datetime, draw: Any
) -> object:
    """Return any message of the other tasks of an entry host."""
    kind = draw(st.integers(0, 9))
    name = EndpointId(draw(st.sampled_from(NAMES)))
    if kind == 0:
        loads = (EndpointLoad(name, draw(st.integers(0, 2)), 500),)
        return PeerLoadsReported(loads, draw(st.sampled_from([1, 30])))
    if kind == 1 and state.permit_requests:
        question = min(state.permit_requests)
        is_leader = draw(st.booleans())
        exhausted = draw(st.sampled_from([(), (ExhaustedEndpoint(name, 50),)]))
        endpoint = None if exhausted else name
        return SendPermitReply(question, is_leader, endpoint, exhausted)
    if kind > 5 or not state.permits:
        return Tick() if kind == 1 else make_request(number, now, draw)
    permit = draw(st.sampled_from(sorted(state.permits)))
    latency = timedelta(milliseconds=1 + 9 * (name == "e1"))
    limit = draw(st.sampled_from([100.0, 0.5, None]))
    messages = (
        ReleaseEndpoint(permit, draw(st.sampled_from(list(AttemptResult)))),
        ReleaseEndpoint(permit, AttemptResult.COMPLETED),
        EndpointRateLimited(permit, limit),
        EventLatencyObserved(permit, latency),
    )
    return draw(st.sampled_from(messages))


def freeze(state: Any) -> tuple[object, object]:
    """Return a copy that can be compared, and the state of the random source."""
    source = state.random_source
    return replace(deepcopy(state), random_source=None), source.getstate()


def observe(
    effects: list[object], request: AcquireEndpoint, state: PlacementState
) -> Outcome:
    """Return what was done with a request."""
    for effect in effects:
        asked = effect.request if isinstance(effect, AskLeader) else None
        if asked and state.permit_requests[asked.number].message is request:
            return ExplainVerdict.ASKS_LEADER, asked.limits[0].endpoint
        reply = getattr(effect, "message", None)
        if getattr(reply, "holder", None) != request.holder:
            continue
        if isinstance(reply, EndpointGranted):
            return ExplainVerdict.SENT, reply.endpoint.endpoint
        assert isinstance(reply, EndpointRefused)
        if reply.is_quarantined:
            return ExplainVerdict.QUARANTINED, None
        is_late = not reply.is_overloaded
        return [ExplainVerdict.OVERLOADED, ExplainVerdict.NO_ENDPOINT][is_late], None
    return ExplainVerdict.QUEUED, None


@given(data=st.data(), seed=st.integers(0, 9), is_ramp_up_enabled=st.booleans())
def test_explanation_is_what_is_then_done(
    data: st.DataObject, seed: int, is_ramp_up_enabled: bool
) -> None:
    """Guard against an explanation of another decision, and one with an effect."""
    away = replace(make_endpoint("e2"), data_centre=DataCentreName("away"))
    state = PlacementState(HOME, "entry", Random(seed))
    state.is_ramp_up_enabled = is_ramp_up_enabled
    handle(EndpointsListed((make_endpoint("e0"),)), state, NOW)
    leaving = replace(make_endpoint("e3"), is_leaving=True)
    listed = (make_endpoint("e0", 4), make_endpoint("e1"), away, leaving)
    handle(EndpointsListed(listed), state, NOW)
    bad = frozenset({RequestFingerprint("bad")})
    handle(CrashesReported(frozenset(), bad), state, NOW)
    now: datetime = NOW
    # Shorter sequences hardly reach a queue, a limit or an overload.
    for number in range(data.draw(st.integers(15, 40))):
        now += timedelta(milliseconds=data.draw(st.sampled_from([0, 5, 100, 400])))
        handle(make_message(number, state, now, data.draw), state, now)
    request = make_request(100, now, data.draw)
    before = freeze(state)
    explanation = explain(request, state, now)
    assert freeze(state) == before
    verdict, endpoint = observe(handle(request, state, now), request, state)
    assert explanation.verdict is verdict
    chosen = [item.endpoint for item in explanation.endpoints if item.is_chosen]
    assert chosen == ([] if endpoint is None else [endpoint])
    for item in explanation.endpoints:
        costs_ms = [cost.cost_ms for cost in item.costs]
        assert item.total_ms == (sum(costs_ms) if costs_ms else None)
        if item.is_chosen:
            assert item.exclusion in (None, Exclusion.RAMPING)


def test_explanation_names_costs_exclusions_and_the_wait() -> None:
    """Guard against endpoints without a reason, and requests without their place."""
    state = make_state(*(make_endpoint(name, 1) for name in NAMES))
    workload = make_workload("a", "b")
    handle(acquire("1", workload), state, NOW)
    handle(acquire("2", workload), state, NOW)
    full, also_full, chosen = sorted(
        explain(acquire("3", workload), state, NOW).endpoints,
        key=lambda item: item.is_chosen,
    )
    assert full.exclusion is also_full.exclusion is Exclusion.FULL
    assert full.total_ms is None and chosen.exclusion is None
    costs = {cost.part: cost.cost_ms for cost in chosen.costs}
    assert costs[CostPart.PREFILL] == pytest.approx(2 * 20_000 / 145)
    handle(acquire("3", workload), state, NOW)
    handle(acquire("4", workload), state, NOW)
    # The queue is behind for half a second in which one slot became free.
    drain = next(iter(state.queues.values())).drain
    drain.n_grants, drain.waiting_s, drain.observed_at = 1.0, 0.5, NOW
    queued = explain(acquire("5", workload), state, NOW)
    assert (queued.verdict, queued.n_ahead) == (ExplainVerdict.QUEUED, 1)
    assert queued.expected_wait == timedelta(seconds=1)


def test_copy_has_no_requests_that_run() -> None:
    """Guard against a host that stands still longer the more requests it runs."""
    state = make_state(make_endpoint("e0", 4))
    handle(acquire("1", make_workload("a")), state, NOW)
    copied = copy_state(SERVICE, state)
    assert copied.endpoints[EndpointId("e0")].permits == state.permits.keys() != set()
    assert not copied.permits and not copied.held_permits
