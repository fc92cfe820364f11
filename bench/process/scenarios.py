"""Define deployments and scenarios, and run one policy through one of them."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bench.process.baselines import make_affinity, make_least_load, make_round_robin
from bench.process.engine import Engine, EngineTiming, Server, Service
from bench.process.loop import Loop
from bench.process.shipped import Policy, Shipped
from bench.program.run import Measured, ProgramRun
from bench.program.workload import Demand, ProgramPlan, Shape, make_plans
from bench.request.calls import Call, Kind
from oleanderhitch.process.scheduling.settings import PoolSettings
from oleanderhitch.version.ids import EndpointId

MakePolicy = Callable[[Loop, list[Server], Random], Policy]

STEADY_DEMAND = Demand()
SHIPPED = "shipped"
LIMIT_S = 3_600.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Hold the servers and the programs of one deployment."""

    name: str
    n_engines: int
    n_services: int
    n_service_slots: int
    timing: EngineTiming
    shape: Shape


@dataclass(frozen=True, slots=True)
class Scenario:
    """Say what happens in a run besides steady demand."""

    name: str
    demand: Demand = STEADY_DEMAND
    slows: bool = False
    leaves: bool = False
    loses_owner: bool = False


DEPLOYMENTS = (
    Deployment(
        "waiver-office",
        n_engines=6,
        n_services=4,
        n_service_slots=4,
        timing=EngineTiming(cache_tokens=60_000),
        shape=Shape(
            n_accounts=12,
            programs_per_s=10.0,
            arrivals_s=36.0,
            n_turns=(3, 8),
            first_tokens=(300, 800),
            new_tokens=(30, 150),
            output_tokens=(20, 100),
            pause_s=(0.3, 2.0),
            service_share=0.4,
            sub_agent_share=0.05,
            n_batch=60,
            crest_base_per_s=1.2,
        ),
    ),
    Deployment(
        "forgeplan",
        n_engines=6,
        n_services=3,
        n_service_slots=4,
        timing=EngineTiming(cache_tokens=450_000),
        shape=Shape(
            n_accounts=6,
            programs_per_s=1.6,
            arrivals_s=50.0,
            n_turns=(6, 18),
            first_tokens=(4_000, 40_000),
            new_tokens=(100, 1_200),
            output_tokens=(40, 200),
            pause_s=(0.5, 2.5),
            service_share=0.5,
            sub_agent_share=0.06,
            n_batch=40,
            crest_base_per_s=0.3,
        ),
    ),
)

SCENARIOS = (
    Scenario("steady"),
    Scenario("tour-bus", Demand(has_crest=True)),
    Scenario("shipyard-batch", Demand(has_batch=True)),
    Scenario("stragglers", Demand(has_stragglers=True)),
    Scenario("slowed-third", slows=True),
    Scenario("endpoint-leaving", leaves=True),
    Scenario("owner-lost", loses_owner=True),
    Scenario(
        "all-together",
        Demand(has_crest=True, has_batch=True, has_stragglers=True),
        slows=True,
        leaves=True,
        loses_owner=True,
    ),
)

SLOW_AT_S = 14.0
SLOW_FOR_S = 20.0
SLOW_FACTOR = 4.0
LEAVES_AT_S = 16.0
OWNER_LOST_AT_S = 18.0


def make_policies(settings: PoolSettings) -> dict[str, MakePolicy]:
    """Return the shipped policy and the baselines by name."""
    return {
        SHIPPED: lambda loop, servers, random: Shipped(loop, servers, random, settings),
        "round-robin": make_round_robin,
        "least-load": make_least_load,
        "affinity": make_affinity,
    }


def run(
    deployment: Deployment, scenario: Scenario, seed: int, make_policy: MakePolicy
) -> Measured:
    """Run the programs of a scenario to their end and return what was measured."""
    loop = Loop()
    servers: dict[Kind, list[Server]] = {
        Kind.MODEL: [
            Engine(loop, EndpointId(f"model-{n}"), deployment.timing)
            for n in range(deployment.n_engines)
        ],
        Kind.SERVICE: [
            Service(loop, EndpointId(f"service-{n}"), deployment.n_service_slots)
            for n in range(deployment.n_services)
        ],
    }
    policies = {
        kind: make_policy(loop, servers[kind], Random(f"{seed}-{kind.value}"))
        for kind in Kind
    }
    measured = Measured()
    _schedule_programs(loop, deployment, scenario, seed, servers, policies, measured)
    _schedule_faults(loop, scenario, servers, policies)
    loop.run(lambda: measured.n_running == 0, LIMIT_S)
    return measured


def _schedule_programs(
    loop: Loop,
    deployment: Deployment,
    scenario: Scenario,
    seed: int,
    servers: dict[Kind, list[Server]],
    policies: dict[Kind, Policy],
    measured: Measured,
) -> None:
    # The programs of a seed are the same for each policy.
    random = Random(f"{deployment.name}-{seed}")
    by_name = {server.name: server for each in servers.values() for server in each}

    def submit(call: Call) -> None:
        policies[call.kind].submit(call)

    for number, plan in enumerate(
        make_plans(deployment.shape, scenario.demand, random)
    ):
        measured.n_running += 1
        measured.plans.append(plan)

        def end(plan: ProgramPlan = plan) -> None:
            measured.n_running -= 1
            measured.programs.append((plan.account, loop.now_s - plan.starts_s))

        program = ProgramRun(loop, f"p{number}", plan, submit, by_name, measured, end)
        loop.call_at(plan.starts_s, program.advance)


def _schedule_faults(
    loop: Loop,
    scenario: Scenario,
    servers: dict[Kind, list[Server]],
    policies: dict[Kind, Policy],
) -> None:
    for kind, all_servers in servers.items():
        slowed = all_servers[: len(all_servers) // 3]
        if scenario.slows:
            _schedule_slow(loop, slowed)
        if scenario.leaves:
            _schedule_leave(loop, policies[kind], all_servers[-1].name)
        if scenario.loses_owner:
            loop.call_at(OWNER_LOST_AT_S, policies[kind].lose_owner)


def _schedule_slow(loop: Loop, servers: list[Server]) -> None:
    def set_slow(factor: float) -> None:
        for server in servers:
            server.set_slow(factor)

    loop.call_at(SLOW_AT_S, lambda: set_slow(SLOW_FACTOR))
    loop.call_at(SLOW_AT_S + SLOW_FOR_S, lambda: set_slow(1.0))


def _schedule_leave(loop: Loop, policy: Policy, name: EndpointId) -> None:
    loop.call_at(LEAVES_AT_S, lambda: policy.leave(name))
