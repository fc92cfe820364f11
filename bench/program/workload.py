"""Random generation of programs; policies receive only the calls, not the plans."""

import math
from dataclasses import dataclass, field
from random import Random

from oleanderhitch.program.ids import AccountId


@dataclass(frozen=True, slots=True)
class ModelStep:
    """Calls the model with new prompt tokens after the program's history."""

    new_tokens: int
    output_tokens: int
    is_straggler: bool


@dataclass(frozen=True, slots=True)
class ServiceStep:
    """Calls a service."""

    seconds: float
    is_idempotent: bool


@dataclass(frozen=True, slots=True)
class PauseStep:
    """Waits for a local tool or a person."""

    seconds: float


@dataclass(frozen=True, slots=True)
class SubAgentStep:
    """Runs sub-agents concurrently and waits for all of them."""

    programs: tuple["ProgramPlan", ...]


Step = ModelStep | ServiceStep | PauseStep | SubAgentStep


@dataclass(frozen=True, slots=True)
class ProgramPlan:
    """Start time, account and steps of a program."""

    start_s: float
    account: AccountId
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class WorkloadParameters:
    """Distributions from which the programs of a deployment are drawn.

    Pairs are the bounds of uniform distributions, log-uniform for `first_turn_tokens`,
    which come on top of `new_tokens` in the first turn. `service_share` and
    `sub_agent_share` are probabilities per turn.
    """

    n_accounts: int
    programs_per_s: float
    arrival_window_s: float
    n_turns: tuple[int, int]
    first_turn_tokens: tuple[int, int]
    new_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    pause_s: tuple[float, float]
    service_share: float
    sub_agent_share: float
    n_batch_programs: int
    # With LoadPattern.has_peak: start and end of the peak, and the rate outside of it.
    peak_window_s: tuple[float, float] = (12.0, 30.0)
    base_programs_per_s: float = 1.0


@dataclass(frozen=True, slots=True)
class LoadPattern:
    """How the load of a scenario differs from a steady one.

    `has_peak` raises the arrival rate within `peak_window_s` to PEAK_FACTOR times the
    base rate, linearly over PEAK_RAMP_S. `has_batch` starts many programs of one
    account at once, `has_stragglers` makes a share of the answers, STRAGGLER_SHARE,
    longer by STRAGGLER_FACTOR.
    """

    has_peak: bool = False
    has_batch: bool = False
    has_stragglers: bool = False


STRAGGLER_SHARE = 0.02
STRAGGLER_FACTOR = 30
PEAK_RAMP_S = 5.0
PEAK_FACTOR = 10.0
BATCH_AT_S = 10.0
BATCH_ACCOUNT = AccountId("shipyard")


@dataclass(slots=True)
class _PlanGenerator:
    """Parameters, random source and results of `make_plans`."""

    workload: WorkloadParameters
    load_pattern: LoadPattern
    random_source: Random
    plans: list[ProgramPlan] = field(default_factory=list)


def make_plans(
    workload: WorkloadParameters, load_pattern: LoadPattern, random_source: Random
) -> list[ProgramPlan]:
    """Return the programs of one run."""
    generator = _PlanGenerator(workload, load_pattern, random_source)
    peak_programs_per_s = workload.programs_per_s
    if load_pattern.has_peak:
        peak_programs_per_s = workload.base_programs_per_s * PEAK_FACTOR
    # Draws arrivals at the peak rate and keeps each with the probability current rate /
    # peak rate (thinning of a Poisson process).
    start_s = 0.0
    while True:
        start_s += random_source.expovariate(peak_programs_per_s)
        if start_s >= workload.arrival_window_s:
            break
        if (
            random_source.random()
            < _get_rate(workload, load_pattern, start_s) / peak_programs_per_s
        ):
            account = f"account-{random_source.randrange(workload.n_accounts)}"
            generator.plans.append(_make_plan(generator, start_s, AccountId(account)))
    if load_pattern.has_batch:
        for _ in range(workload.n_batch_programs):
            generator.plans.append(_make_plan(generator, BATCH_AT_S, BATCH_ACCOUNT))
    return generator.plans


def _get_rate(
    workload: WorkloadParameters, load_pattern: LoadPattern, at_s: float
) -> float:
    if not load_pattern.has_peak:
        return workload.programs_per_s
    start_s, end_s = workload.peak_window_s
    if not start_s <= at_s < end_s:
        return workload.base_programs_per_s
    ramp_progress = min(1.0, (at_s - start_s) / PEAK_RAMP_S)
    return workload.base_programs_per_s * (1.0 + (PEAK_FACTOR - 1.0) * ramp_progress)


def _make_plan(
    generator: _PlanGenerator, start_s: float, account: AccountId
) -> ProgramPlan:
    steps: list[Step] = []
    workload, random_source = generator.workload, generator.random_source
    for turn in range(random_source.randint(*workload.n_turns)):
        steps.append(_make_model_step(generator, turn))
        if random_source.random() < workload.service_share:
            # Operations take 0.15 s on average; 70% are idempotent.
            steps.append(
                ServiceStep(
                    random_source.expovariate(1 / 0.15), random_source.random() < 0.7
                )
            )
        if random_source.random() < workload.sub_agent_share:
            n_agents = random_source.randint(1, 3)
            steps.append(
                SubAgentStep(
                    tuple(_make_sub_agent(generator, account) for _ in range(n_agents))
                )
            )
        steps.append(PauseStep(random_source.uniform(*workload.pause_s)))
    return ProgramPlan(start_s, account, tuple(steps[:-1]))


def _make_sub_agent(generator: _PlanGenerator, account: AccountId) -> ProgramPlan:
    n_turns = generator.random_source.randint(1, 3)
    steps = [_make_model_step(generator, turn) for turn in range(n_turns)]
    return ProgramPlan(0.0, account, tuple(steps))


def _make_model_step(generator: _PlanGenerator, turn: int) -> ModelStep:
    workload, random_source = generator.workload, generator.random_source
    new_tokens = random_source.randint(*workload.new_tokens)
    if turn == 0:
        new_tokens += _draw_log_uniform(random_source, *workload.first_turn_tokens)
    output_tokens = random_source.randint(*workload.output_tokens)
    is_straggler = (
        generator.load_pattern.has_stragglers
        and random_source.random() < STRAGGLER_SHARE
    )
    if is_straggler:
        output_tokens *= STRAGGLER_FACTOR
    return ModelStep(new_tokens, output_tokens, is_straggler)


def _draw_log_uniform(random_source: Random, low: int, high: int) -> int:
    return int(math.exp(random_source.uniform(math.log(low), math.log(high))))
