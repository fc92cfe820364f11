"""Deployments and scenarios, and the simulation of a policy in one of them."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bench.process.baselines import make_affinity, make_least_load, make_round_robin
from bench.process.loop import EventLoop
from bench.process.servers import Engine, EngineTiming, Server, Service
from bench.process.shipped import Policy, ShippedPolicy
from bench.program.run import Measurements, ProgramRun
from bench.program.workload import (
    LoadPattern,
    ProgramPlan,
    WorkloadParameters,
    make_plans,
)
from bench.request.calls import Call, CallKind
from oleanderhitch.process.scheduling.settings import PoolSettings
from oleanderhitch.version.ids import EndpointId

# Factory that is called for each pool with its servers.
MakePolicy = Callable[[EventLoop, list[Server], Random], Policy]

STEADY_LOAD = LoadPattern()
# Name of the policy that runs the decision code of oleanderhitch.
SHIPPED = "shipped"
SIMULATION_LIMIT_S = 3_600.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Servers and workload of a deployment."""

    name: str
    n_engines: int
    n_services: int
    n_service_slots: int
    timing: EngineTiming
    workload: WorkloadParameters


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load pattern and faults of a run."""

    name: str
    load_pattern: LoadPattern = STEADY_LOAD
    has_slow_servers: bool = False
    has_leaving_server: bool = False
    loses_owner: bool = False


DEPLOYMENTS = (
    Deployment(
        "waiver-office",
        n_engines=6,
        n_services=4,
        n_service_slots=4,
        timing=EngineTiming(cache_tokens=60_000),
        workload=WorkloadParameters(
            n_accounts=12,
            programs_per_s=10.0,
            arrival_window_s=36.0,
            n_turns=(3, 8),
            first_turn_tokens=(300, 800),
            new_tokens=(30, 150),
            output_tokens=(20, 100),
            pause_s=(0.3, 2.0),
            service_share=0.4,
            sub_agent_share=0.05,
            n_batch_programs=60,
            base_programs_per_s=1.2,
        ),
    ),
    Deployment(
        "forgeplan",
        n_engines=6,
        n_services=3,
        n_service_slots=4,
        timing=EngineTiming(cache_tokens=450_000),
        workload=WorkloadParameters(
            n_accounts=6,
            programs_per_s=1.6,
            arrival_window_s=50.0,
            n_turns=(6, 18),
            first_turn_tokens=(4_000, 40_000),
            new_tokens=(100, 1_200),
            output_tokens=(40, 200),
            pause_s=(0.5, 2.5),
            service_share=0.5,
            sub_agent_share=0.06,
            n_batch_programs=40,
            base_programs_per_s=0.3,
        ),
    ),
)

SCENARIOS = (
    Scenario("steady"),
    Scenario("tour-bus", LoadPattern(has_peak=True)),
    Scenario("shipyard-batch", LoadPattern(has_batch=True)),
    Scenario("stragglers", LoadPattern(has_stragglers=True)),
    Scenario("slowed-third", has_slow_servers=True),
    Scenario("endpoint-leaving", has_leaving_server=True),
    Scenario("owner-lost", loses_owner=True),
    Scenario(
        "all-together",
        LoadPattern(has_peak=True, has_batch=True, has_stragglers=True),
        has_slow_servers=True,
        has_leaving_server=True,
        loses_owner=True,
    ),
)

SLOWDOWN_AT_S = 14.0
SLOWDOWN_DURATION_S = 20.0
SLOWDOWN_FACTOR = 4.0
SERVER_LEAVES_AT_S = 16.0
OWNER_LOST_AT_S = 18.0


def make_policy_factories(settings: PoolSettings) -> dict[str, MakePolicy]:
    """Return the factories of the shipped policy and the baselines by name."""
    return {
        SHIPPED: lambda loop, servers, random_source: ShippedPolicy(
            loop, servers, random_source, settings
        ),
        "round-robin": make_round_robin,
        "least-load": make_least_load,
        "affinity": make_affinity,
    }


def run_scenario(
    deployment: Deployment, scenario: Scenario, seed: int, make_policy: MakePolicy
) -> Measurements:
    """Run the programs of a scenario to their end and return the measurements."""
    loop = EventLoop()
    servers: dict[CallKind, list[Server]] = {
        CallKind.MODEL: [
            Engine(loop, EndpointId(f"model-{n}"), deployment.timing)
            for n in range(deployment.n_engines)
        ],
        CallKind.SERVICE: [
            Service(loop, EndpointId(f"service-{n}"), deployment.n_service_slots)
            for n in range(deployment.n_services)
        ],
    }
    policies = {
        kind: make_policy(loop, servers[kind], Random(f"{seed}-{kind.value}"))
        for kind in CallKind
    }
    measurements = Measurements()
    _schedule_programs(
        loop, deployment, scenario, seed, servers, policies, measurements
    )
    _schedule_faults(loop, scenario, servers, policies)
    loop.run(lambda: measurements.n_running == 0, SIMULATION_LIMIT_S)
    return measurements


def _schedule_programs(
    loop: EventLoop,
    deployment: Deployment,
    scenario: Scenario,
    seed: int,
    servers: dict[CallKind, list[Server]],
    policies: dict[CallKind, Policy],
    measurements: Measurements,
) -> None:
    # The random numbers don't depend on the policy, so that all policies run the same
    # programs.
    random_source = Random(f"{deployment.name}-{seed}")
    by_name = {server.name: server for each in servers.values() for server in each}

    def submit(call: Call) -> None:
        policies[call.kind].submit(call)

    for number, plan in enumerate(
        make_plans(deployment.workload, scenario.load_pattern, random_source)
    ):
        measurements.n_running += 1
        measurements.plans.append(plan)

        def record_end(plan: ProgramPlan = plan) -> None:
            measurements.n_running -= 1
            measurements.programs.append((plan.account, loop.now_s - plan.start_s))

        program = ProgramRun(
            loop, f"p{number}", plan, submit, by_name, measurements, record_end
        )
        loop.call_at(plan.start_s, program.advance)


def _schedule_faults(
    loop: EventLoop,
    scenario: Scenario,
    servers: dict[CallKind, list[Server]],
    policies: dict[CallKind, Policy],
) -> None:
    for kind, all_servers in servers.items():
        slow_servers = all_servers[: len(all_servers) // 3]
        if scenario.has_slow_servers:
            _schedule_slowdown(loop, slow_servers)
        if scenario.has_leaving_server:
            _schedule_leaving(loop, policies[kind], all_servers[-1].name)
        if scenario.loses_owner:
            loop.call_at(OWNER_LOST_AT_S, policies[kind].lose_owner)


def _schedule_slowdown(loop: EventLoop, servers: list[Server]) -> None:
    def set_slowdown(factor: float) -> None:
        for server in servers:
            server.set_slowdown(factor)

    loop.call_at(SLOWDOWN_AT_S, lambda: set_slowdown(SLOWDOWN_FACTOR))
    loop.call_at(SLOWDOWN_AT_S + SLOWDOWN_DURATION_S, lambda: set_slowdown(1.0))


def _schedule_leaving(loop: EventLoop, policy: Policy, name: EndpointId) -> None:
    loop.call_at(SERVER_LEAVES_AT_S, lambda: policy.mark_leaving(name))
