"""Generate programs whose structure no policy sees."""

import math
from dataclasses import dataclass, field
from random import Random

from oleanderhitch.program.ids import AccountId


@dataclass(frozen=True, slots=True)
class ModelStep:
    """Call the model with new tokens and get an answer."""

    new_tokens: int
    output_tokens: int
    is_straggler: bool


@dataclass(frozen=True, slots=True)
class ServiceStep:
    """Call a service."""

    seconds: float
    is_idempotent: bool


@dataclass(frozen=True, slots=True)
class PauseStep:
    """Wait for a tool or a person."""

    seconds: float


@dataclass(frozen=True, slots=True)
class SubAgentStep:
    """Run programs side by side and wait for all of them."""

    programs: tuple["ProgramPlan", ...]


Step = ModelStep | ServiceStep | PauseStep | SubAgentStep


@dataclass(frozen=True, slots=True)
class ProgramPlan:
    """Hold when a program starts and what it does."""

    starts_s: float
    account: AccountId
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class Shape:
    """Hold the distribution of a deployment's programs."""

    n_accounts: int
    programs_per_s: float
    arrivals_s: float
    n_turns: tuple[int, int]
    first_tokens: tuple[int, int]
    new_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    pause_s: tuple[float, float]
    service_share: float
    sub_agent_share: float
    n_batch: int
    # The crest of the tour bus scenario: start, end, base rate.
    crest_s: tuple[float, float] = (12.0, 30.0)
    crest_base_per_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Demand:
    """Say how a scenario changes the programs."""

    has_crest: bool = False
    has_batch: bool = False
    has_stragglers: bool = False


STRAGGLER_SHARE = 0.02
STRAGGLER_FACTOR = 30
RAMP_S = 5.0
CREST_FACTOR = 10.0
BATCH_AT_S = 10.0
BATCH_ACCOUNT = AccountId("shipyard")


@dataclass(slots=True)
class _Source:
    """Draw the steps of programs."""

    shape: Shape
    demand: Demand
    random: Random
    plans: list[ProgramPlan] = field(default_factory=list)


def make_plans(shape: Shape, demand: Demand, random: Random) -> list[ProgramPlan]:
    """Return the programs of one run."""
    source = _Source(shape, demand, random)
    peak = shape.programs_per_s
    if demand.has_crest:
        peak = shape.crest_base_per_s * CREST_FACTOR
    starts_s = 0.0
    while True:
        starts_s += random.expovariate(peak)
        if starts_s >= shape.arrivals_s:
            break
        if random.random() < _get_rate(shape, demand, starts_s) / peak:
            account = f"account-{random.randrange(shape.n_accounts)}"
            source.plans.append(_make_plan(source, starts_s, AccountId(account)))
    if demand.has_batch:
        for _ in range(shape.n_batch):
            source.plans.append(_make_plan(source, BATCH_AT_S, BATCH_ACCOUNT))
    return source.plans


def _get_rate(shape: Shape, demand: Demand, at_s: float) -> float:
    if not demand.has_crest:
        return shape.programs_per_s
    start_s, end_s = shape.crest_s
    if not start_s <= at_s < end_s:
        return shape.crest_base_per_s
    ramp = min(1.0, (at_s - start_s) / RAMP_S)
    return shape.crest_base_per_s * (1.0 + (CREST_FACTOR - 1.0) * ramp)


def _make_plan(source: _Source, starts_s: float, account: AccountId) -> ProgramPlan:
    steps: list[Step] = []
    shape, random = source.shape, source.random
    for turn in range(random.randint(*shape.n_turns)):
        steps.append(_make_model_step(source, turn))
        if random.random() < shape.service_share:
            steps.append(
                ServiceStep(random.expovariate(1 / 0.15), random.random() < 0.7)
            )
        if random.random() < shape.sub_agent_share:
            n_agents = random.randint(1, 3)
            steps.append(
                SubAgentStep(
                    tuple(_make_sub_agent(source, account) for _ in range(n_agents))
                )
            )
        steps.append(PauseStep(random.uniform(*shape.pause_s)))
    return ProgramPlan(starts_s, account, tuple(steps[:-1]))


def _make_sub_agent(source: _Source, account: AccountId) -> ProgramPlan:
    n_turns = source.random.randint(1, 3)
    steps = [_make_model_step(source, turn) for turn in range(n_turns)]
    return ProgramPlan(0.0, account, tuple(steps))


def _make_model_step(source: _Source, turn: int) -> ModelStep:
    shape, random = source.shape, source.random
    new_tokens = random.randint(*shape.new_tokens)
    if turn == 0:
        new_tokens += _draw_log_uniform(random, *shape.first_tokens)
    output_tokens = random.randint(*shape.output_tokens)
    is_straggler = source.demand.has_stragglers and random.random() < STRAGGLER_SHARE
    if is_straggler:
        output_tokens *= STRAGGLER_FACTOR
    return ModelStep(new_tokens, output_tokens, is_straggler)


def _draw_log_uniform(random: Random, low: int, high: int) -> int:
    return int(math.exp(random.uniform(math.log(low), math.log(high))))
