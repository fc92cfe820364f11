"""Guard against simulated servers, policies and measures that give false figures."""

import pytest

from bench.process.loop import EventLoop
from bench.process.measures import (
    PEAK_IN_TIME,
    PEAK_IN_TIME_BOUND,
    compute_measures,
    get_quantile,
)
from bench.process.report import Row, make_table_lines
from bench.process.scenarios import (
    DEPLOYMENTS,
    SCENARIOS,
    SHIPPED,
    make_policy_factories,
    run_scenario,
)
from bench.process.servers import Engine, EngineTiming, Service
from bench.request.calls import Attempt, Call, CallKind
from oleanderhitch.process.scheduling.settings import PoolSettings


class ServerHarness:
    """Sends attempts to one simulated server and records when they end."""

    def __init__(self, make_server):
        self.loop = EventLoop()
        self.server = make_server(self.loop)
        self.end_times_s = {}
        self.n_calls = 0

    def send(self, program="p", history=0, prompt=100, output=10, priority=0):
        """Send an attempt at the current time."""
        self.n_calls += 1
        call = Call(
            str(self.n_calls), program, "a", CallKind.MODEL, True, 0, 0, history,
            prompt, (), self.loop.now_s, None, output, 1.0, False,
        )  # fmt: skip
        attempt = Attempt(call, "e", priority, self.loop.now_s, self._end)
        self.server.send(attempt)
        return attempt

    def run(self):
        """Run all events."""
        self.loop.run(lambda: False, 1e6)

    def _end(self, attempt):
        self.end_times_s[attempt.call.request] = self.loop.now_s


def make_engine_harness(**timing):
    """Return a harness with one engine."""
    return ServerHarness(lambda loop: Engine(loop, "e", EngineTiming(**timing)))


def measure_single_attempt(**fields):
    """Return how many seconds an attempt takes at an idle engine."""
    harness = make_engine_harness()
    harness.send(**fields)
    harness.run()
    return harness.end_times_s["1"]


def test_batch_slows_every_request():
    """Guard against a full batch that is as fast as a single request."""
    harness = make_engine_harness()
    for number in range(16):
        harness.send(program=str(number), output=100)
    harness.run()
    assert harness.end_times_s["1"] > measure_single_attempt(output=100) * 1.2


def test_single_request_takes_prefill_and_steps():
    """Guard against a duration other than that of the prefill and the steps."""
    expected = 0.02 + 1_000 / 10_000 + 50 * 0.0124
    assert measure_single_attempt(prompt=1_000, output=50) == pytest.approx(expected)


def test_prefix_is_computed_again_only_after_its_eviction():
    """Guard against recomputing a cached prefix and against keeping an evicted one."""
    harness = make_engine_harness(cache_tokens=1_500)
    harness.send(program="p", prompt=1_000)
    harness.run()
    second = harness.send(program="p", history=1_010, prompt=1_100)
    harness.run()
    assert (second.computed_tokens, second.call.recomputed_tokens) == (90, 0)
    harness.send(program="q", prompt=1_000)
    harness.run()
    evicted = harness.send(program="p", history=1_110, prompt=1_200)
    harness.run()
    assert evicted.call.recomputed_tokens == 1_110


def test_urgent_prompt_goes_first_between_chunks_of_another():
    """Guard against an urgent prompt that waits for the end of a long one."""
    harness = make_engine_harness()
    harness.send(program="long", prompt=40_000, priority=5)
    short = harness.send(program="short", prompt=100, priority=0)
    harness.run()
    assert short.first_token_s < 0.5


def test_slow_engine_takes_longer_until_it_recovers():
    """Guard against a slowdown that skips running attempts or does not end."""
    harness = make_engine_harness()
    harness.send(output=100)
    harness.loop.call_at(0.0, lambda: harness.server.set_slowdown(4.0))
    harness.loop.call_at(1.0, lambda: harness.server.set_slowdown(1.0))
    harness.run()
    assert harness.end_times_s["1"] == pytest.approx(
        measure_single_attempt(output=100) + 0.75
    )


def test_cancelled_attempt_frees_its_slot():
    """Guard against a cancelled hedge that keeps its slot of the engine."""
    harness = make_engine_harness(n_slots=1)
    first = harness.send(output=10_000)
    harness.send(output=10)
    harness.loop.call_at(1.0, lambda: harness.server.cancel(first))
    harness.run()
    assert set(harness.end_times_s) == {"2"}
    assert harness.server.load == (0, 0)


def test_service_queues_beyond_its_slots():
    """Guard against a service that runs more calls than it has slots."""
    harness = ServerHarness(lambda loop: Service(loop, "s", 1))
    harness.send()
    harness.send()
    harness.run()
    assert harness.end_times_s == {"1": 1.0, "2": 2.0}


def test_same_seed_gives_the_same_measures():
    """Guard against runs that differ by noise although they have the same seed."""
    make_policy = make_policy_factories(PoolSettings())[SHIPPED]
    scenario = SCENARIOS[-1]
    first, second = (
        compute_measures(
            DEPLOYMENTS[0],
            scenario,
            run_scenario(DEPLOYMENTS[0], scenario, 3, make_policy),
        )
        for _ in range(2)
    )
    assert first == second
    assert 0.0 <= first[PEAK_IN_TIME] <= 1.0
    assert 0.0 <= first[PEAK_IN_TIME_BOUND] <= 1.0


def test_every_call_of_every_policy_ends():
    """Guard against a policy that looks fast because it loses calls."""
    for make_policy in make_policy_factories(PoolSettings()).values():
        measurements = run_scenario(DEPLOYMENTS[1], SCENARIOS[-1], 1, make_policy)
        assert all(call.ended_s is not None for call in measurements.calls)


def test_table_compares_with_the_best_baseline():
    """Guard against a comparison with a baseline other than the best one."""
    values = {"shipped": 3.0, "round-robin": 10.0, "affinity": 4.0}
    rows = [
        Row("d", "steady", 1, policy, "recomputed prefill", value, "tokens")
        for policy, value in values.items()
    ]
    (table_line,) = make_table_lines(rows)
    assert (table_line.best_baseline_policy, table_line.ratio) == ("affinity", 0.75)
    assert table_line.verdict == "falls short"


def test_quantile_index_is_within_the_values():
    """Guard against an index beyond the last value."""
    assert get_quantile([1.0, 2.0], 0.99) == 2.0
    assert get_quantile([], 0.5) == 0.0
