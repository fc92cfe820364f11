"""Guard against explanations of a pool that differ from what is done, or change it."""

from copy import deepcopy
from datetime import timedelta

import pytest
from hypothesis import given

from oleanderhitch.process.explaining.states import Exclusion, ExplainVerdict
from oleanderhitch.process.scheduling.core import handle
from oleanderhitch.process.scheduling.explaining import explain
from oleanderhitch.process.scheduling.messages import RefuseRequest
from tests.process.scheduling.builders import at, enqueue, offers, pool
from tests.process.scheduling.harness import PoolHarness
from tests.process.scheduling.test_properties import many_operations, requests, run


@given(many_operations, requests)
def test_explanation_is_what_is_then_done(steps, request):
    """Guard against an explanation of another decision, and one with an effect."""
    harness = PoolHarness(n_waiting_limit=8, n_slow_observations=1)
    harness.offer(e1=2, e2=2, e3=2)
    run(harness, steps)
    state, now = harness.state, at(harness.now_s)
    message = enqueue("explained", **request)
    before = deepcopy(state)
    explanation = explain(message, state, now)
    assert state == before
    effects = [
        item for item in handle(message, state, now) if item.request == "explained"
    ]
    chosen = [item.endpoint for item in explanation.endpoints if item.is_chosen]
    if not effects:
        assert explanation.verdict is ExplainVerdict.QUEUED
        assert "explained" in state.waiting
    elif isinstance(effects[0], RefuseRequest):
        assert explanation.verdict is ExplainVerdict.OVERLOADED
        assert explanation.detail == effects[0].reason
        assert explanation.expected_wait == effects[0].retry_after
    else:
        assert explanation.verdict is ExplainVerdict.SENT
        assert chosen == [effects[0].endpoint]
    assert bool(chosen) is (explanation.verdict is ExplainVerdict.SENT)
    for item in explanation.endpoints:
        if item.costs:
            assert item.total_ms == sum(cost.cost_ms for cost in item.costs)


def test_explanation_names_exclusions_and_the_wait():
    """Guard against endpoints without a reason, and requests without their place."""
    state = pool()
    handle(offers(e1=1, e2=1, leaving=["e2"]), state, at(0))
    handle(enqueue("1"), state, at(0))
    handle(enqueue("2"), state, at(1))
    explanation = explain(enqueue("3"), state, at(2))
    assert (explanation.verdict, explanation.n_ahead) == (ExplainVerdict.QUEUED, 1)
    assert explanation.expected_wait == timedelta(seconds=2)
    exclusions = {item.endpoint: item.exclusion for item in explanation.endpoints}
    assert exclusions == {"e1": Exclusion.FULL, "e2": Exclusion.LEAVING}
    assert explanation.share.n_running == explanation.share.n_waiting == 1
    assert explanation.share.n_equal == pytest.approx(1)
