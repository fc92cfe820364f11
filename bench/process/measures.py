"""Measures of a simulation run."""

from functools import singledispatch
from statistics import mean

from bench.process.scenarios import SLOWDOWN_FACTOR, Deployment, Scenario
from bench.process.servers import EngineTiming
from bench.program.run import Measurements
from bench.program.workload import (
    BATCH_ACCOUNT,
    PEAK_RAMP_S,
    ModelStep,
    PauseStep,
    ProgramPlan,
    ServiceStep,
    Step,
    SubAgentStep,
)
from bench.request.calls import Call, CallKind

FIRST_TOKEN_TARGET_S = 0.61

# Names in the rows and in the table. There, "crest" is the peak of the load pattern,
# "floor" the latency on otherwise idle servers and "short work" the model calls that
# are not stragglers.
PROGRAM_P95 = "program latency p95"
PROGRAM_MEAN = "program latency mean"
PROGRAM_P99 = "program latency p99"
RECOMPUTED = "recomputed prefill"
PEAK_IN_TIME = "first token in 0.61 s at crest"
PEAK_IN_TIME_BOUND = "bound of capacity at crest"
SHORT_WAIT = "wait of short work p99"
REFUSALS = "refusals"
PROGRAM_P95_FLOOR = "floor of program latency p95"
OTHER_PROGRAMS_P95 = "program p95 beside the batch"
SLOWED_P99 = "program p99, slowed to unslowed"

UNITS = {
    PROGRAM_P95: "s",
    PROGRAM_MEAN: "s",
    PROGRAM_P99: "s",
    RECOMPUTED: "tokens",
    PEAK_IN_TIME: "share",
    PEAK_IN_TIME_BOUND: "share",
    SHORT_WAIT: "s",
    REFUSALS: "count",
    PROGRAM_P95_FLOOR: "s",
    OTHER_PROGRAMS_P95: "s",
    SLOWED_P99: "ratio",
}


def get_quantile(values: list[float], quantile: float) -> float:
    """Return a quantile of the values, 0 if there are none."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(quantile * len(values)))]


def compute_measures(
    deployment: Deployment, scenario: Scenario, measurements: Measurements
) -> dict[str, float]:
    """Return the measures of a run by name."""
    latencies = [latency_s for _, latency_s in measurements.programs]
    calls = [call for call in measurements.calls if call.kind is CallKind.MODEL]
    waits = [
        call.started_s - call.submitted_s
        for call in calls
        if not call.is_straggler and call.started_s is not None
    ]
    values = {
        PROGRAM_P95: get_quantile(latencies, 0.95),
        PROGRAM_MEAN: mean(latencies) if latencies else 0.0,
        PROGRAM_P99: get_quantile(latencies, 0.99),
        RECOMPUTED: float(sum(call.recomputed_tokens for call in calls)),
        SHORT_WAIT: get_quantile(waits, 0.99),
        PROGRAM_P95_FLOOR: get_quantile(_list_floors(deployment, measurements), 0.95),
        REFUSALS: float(sum(call.n_refusals for call in measurements.calls)),
    }
    if scenario.load_pattern.has_batch:
        others = [
            latency_s
            for account, latency_s in measurements.programs
            if account != BATCH_ACCOUNT
        ]
        values[OTHER_PROGRAMS_P95] = get_quantile(others, 0.95)
    if scenario.load_pattern.has_peak:
        start_s, end_s = deployment.workload.peak_window_s
        peak_calls = [
            c for c in calls if start_s + PEAK_RAMP_S <= c.submitted_s < end_s
        ]
        values[PEAK_IN_TIME] = _compute_share_in_time(peak_calls)
        values[PEAK_IN_TIME_BOUND] = _compute_bound(
            deployment, scenario, peak_calls, end_s - start_s - PEAK_RAMP_S
        )
    return values


def _compute_share_in_time(calls: list[Call]) -> float:
    n_in_time = sum(
        call.first_token_s is not None
        and call.first_token_s - call.submitted_s <= FIRST_TOKEN_TARGET_S
        for call in calls
    )
    return n_in_time / max(1, len(calls))


def _compute_bound(
    deployment: Deployment, scenario: Scenario, peak_calls: list[Call], window_s: float
) -> float:
    """Return an upper bound of the share of calls with their first token in time.

    It holds for every policy: a prompt whose prefill alone exceeds the target is late
    even if its history is cached, and the slots and the prefill rate of the remaining
    engines limit how many calls they can serve in the window. Work left over from
    before the window is not counted, so that the true bound is lower.
    """
    timing = deployment.timing
    in_time = [
        c for c in peak_calls if _get_prefill_s(timing, c) <= FIRST_TOKEN_TARGET_S
    ]
    step_s = timing.get_step_s(timing.n_slots)
    slot_times_s = sorted(
        _get_prefill_s(timing, call) + call.output_tokens * step_s for call in in_time
    )
    available_prefill_s = _count_equivalent_engines(deployment, scenario) * (
        window_s + FIRST_TOKEN_TARGET_S
    )
    available_slot_s = available_prefill_s * timing.n_slots
    n_by_slots = _count_fitting(slot_times_s, available_slot_s)
    n_by_prefill = _count_fitting(
        sorted(_get_prefill_s(timing, call) for call in in_time), available_prefill_s
    )
    return min(n_by_slots, n_by_prefill) / max(1, len(peak_calls))


def _count_equivalent_engines(deployment: Deployment, scenario: Scenario) -> float:
    """Return the capacity at the peak as a number of engines at full speed."""
    n_engines = float(deployment.n_engines)
    if scenario.has_leaving_server:
        n_engines -= 1
    if scenario.has_slow_servers:
        n_slow_engines = deployment.n_engines // 3
        n_engines -= n_slow_engines * (1.0 - 1.0 / SLOWDOWN_FACTOR)
    return n_engines


def _get_prefill_s(timing: EngineTiming, call: Call) -> float:
    new_tokens = call.prompt_tokens - call.history_tokens
    return timing.prefill_base_s + new_tokens / timing.prefill_tokens_per_s


def _count_fitting(costs_s: list[float], available_s: float) -> int:
    n_fitting = 0
    for cost_s in costs_s:
        available_s -= cost_s
        if available_s < 0.0:
            break
        n_fitting += 1
    return n_fitting


def _list_floors(deployment: Deployment, measurements: Measurements) -> list[float]:
    """Return the latency of each program on otherwise idle servers, in seconds."""
    return [_get_floor_s(deployment.timing, plan) for plan in measurements.plans]


def _get_floor_s(timing: EngineTiming, plan: ProgramPlan) -> float:
    return sum(_get_step_floor_s(step, timing) for step in plan.steps)


@singledispatch
def _get_step_floor_s(step: Step, timing: EngineTiming) -> float:
    raise TypeError(f"latency floor does not support step type {type(step).__name__}")


@_get_step_floor_s.register
def _(step: PauseStep, timing: EngineTiming) -> float:
    return step.seconds


@_get_step_floor_s.register
def _(step: ServiceStep, timing: EngineTiming) -> float:
    return step.seconds


@_get_step_floor_s.register
def _(step: ModelStep, timing: EngineTiming) -> float:
    prefill_s = timing.prefill_base_s + step.new_tokens / timing.prefill_tokens_per_s
    return prefill_s + step.output_tokens * timing.get_step_s(1)


@_get_step_floor_s.register
def _(step: SubAgentStep, timing: EngineTiming) -> float:
    return max(_get_floor_s(timing, plan) for plan in step.programs)
