"""Guard the fakes that the measurement relies on."""

import pytest

from bench.process.engine import Engine, EngineTiming, Service
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
    make_policies,
    run_scenario,
)
from bench.request.calls import Attempt, Call, CallKind
from oleanderhitch.process.scheduling.settings import PoolSettings


class ServerHarness:
    """Send attempts to one server and note when they end."""

    def __init__(self, make_server):
        self.loop = EventLoop()
        self.server = make_server(self.loop)
        self.end_times_s = {}
        self.n_calls = 0

    def send(self, program="p", history=0, prompt=100, output=10, priority=0):
        """Send an attempt now."""
        self.n_calls += 1
        call = Call(
            str(self.n_calls), program, "a", CallKind.MODEL, True, 0, 0, history,
            prompt, (), self.loop.now_s, None, output, 1.0, False,
        )  # fmt: skip
        attempt = Attempt(call, "e", priority, self.loop.now_s, self._end)
        self.server.send(attempt)
        return attempt

    def run(self):
        """Run to the end."""
        self.loop.run(lambda: False, 1e6)

    def _end(self, attempt):
        self.end_times_s[attempt.call.request] = self.loop.now_s


def make_engine_harness(**timing):
    """Return a bench with one engine."""
    return ServerHarness(lambda loop: Engine(loop, "e", EngineTiming(**timing)))


def measure_single_attempt(**fields):
    """Return how long one attempt takes at an idle engine."""
    bench = make_engine_harness()
    bench.send(**fields)
    bench.run()
    return bench.end_times_s["1"]


def test_batch_slows_every_request():
    """A full batch must not be as fast as a single request."""
    bench = make_engine_harness()
    for number in range(16):
        bench.send(program=str(number), output=100)
    bench.run()
    assert bench.end_times_s["1"] > measure_single_attempt(output=100) * 1.2


def test_single_request_takes_prefill_and_steps():
    """The time of an undisturbed request follows from the timing."""
    expected = 0.02 + 1_000 / 10_000 + 50 * 0.0124
    assert measure_single_attempt(prompt=1_000, output=50) == pytest.approx(expected)


def test_cached_prefix_is_not_computed_again():
    """A prefix in memory must save prefill, an evicted one must not."""
    bench = make_engine_harness(cache_tokens=1_500)
    bench.send(program="p", prompt=1_000)
    bench.run()
    again = bench.send(program="p", history=1_010, prompt=1_100)
    bench.run()
    assert (again.computed_tokens, again.call.recomputed_tokens) == (90, 0)
    bench.send(program="q", prompt=1_000)
    bench.run()
    evicted = bench.send(program="p", history=1_110, prompt=1_200)
    bench.run()
    assert evicted.call.recomputed_tokens == 1_110


def test_low_priority_prompt_yields_between_chunks():
    """A short prompt of higher priority must not wait for a whole long one."""
    bench = make_engine_harness()
    bench.send(program="long", prompt=40_000, priority=5)
    short = bench.send(program="short", prompt=100, priority=0)
    bench.run()
    assert short.first_token_s < 0.5


def test_slow_engine_takes_longer_until_it_recovers():
    """A slowdown must apply to running work and must end."""
    bench = make_engine_harness()
    bench.send(output=100)
    bench.loop.call_at(0.0, lambda: bench.server.set_slowdown(4.0))
    bench.loop.call_at(1.0, lambda: bench.server.set_slowdown(1.0))
    bench.run()
    assert bench.end_times_s["1"] == pytest.approx(
        measure_single_attempt(output=100) + 0.75
    )


def test_cancelled_attempt_frees_its_slot():
    """A cancelled hedge must not keep a slot of the engine."""
    bench = make_engine_harness(n_slots=1)
    first = bench.send(output=10_000)
    bench.send(output=10)
    bench.loop.call_at(1.0, lambda: bench.server.cancel(first))
    bench.run()
    assert set(bench.end_times_s) == {"2"}
    assert bench.server.load == (0, 0)


def test_service_queues_beyond_its_slots():
    """A service must not run more calls than it has slots."""
    bench = ServerHarness(lambda loop: Service(loop, "s", 1))
    bench.send()
    bench.send()
    bench.run()
    assert bench.end_times_s == {"1": 1.0, "2": 2.0}


def test_same_seed_gives_the_same_figures():
    """Two runs of one seed must not differ, or ratios would be noise."""
    policy = make_policies(PoolSettings())[SHIPPED]
    scenario = SCENARIOS[-1]
    first, second = (
        compute_measures(
            DEPLOYMENTS[0], scenario, run_scenario(DEPLOYMENTS[0], scenario, 3, policy)
        )
        for _ in range(2)
    )
    assert first == second
    assert 0.0 <= first[PEAK_IN_TIME] <= 1.0
    assert 0.0 <= first[PEAK_IN_TIME_BOUND] <= 1.0


def test_every_call_of_every_policy_ends():
    """A policy that loses calls must not look fast."""
    for make_policy in make_policies(PoolSettings()).values():
        measured = run_scenario(DEPLOYMENTS[1], SCENARIOS[-1], 1, make_policy)
        assert all(call.ended_s is not None for call in measured.calls)


def test_table_compares_with_the_best_baseline():
    """A row must not be compared with a weak baseline."""
    values = {"shipped": 3.0, "round-robin": 10.0, "affinity": 4.0}
    rows = [
        Row("d", "steady", 1, policy, "recomputed prefill", value, "tokens")
        for policy, value in values.items()
    ]
    (line,) = make_table_lines(rows)
    assert (line.best_policy, line.ratio) == ("affinity", 0.75)
    assert line.verdict == "falls short"


def test_quantile_of_few_values():
    """A quantile must not run past the last value."""
    assert get_quantile([1.0, 2.0], 0.99) == 2.0
    assert get_quantile([], 0.5) == 0.0
