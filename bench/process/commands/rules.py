"""Disable each scheduling rule on its own and print which measures change."""

import argparse
import json
from pathlib import Path
from statistics import mean

from msgspec.structs import replace

from bench.process import measures
from bench.process.measures import compute_measures
from bench.process.scenarios import (
    DEPLOYMENTS,
    SCENARIOS,
    SHIPPED,
    Deployment,
    Scenario,
    make_policy_factories,
    run_scenario,
)
from oleanderhitch.process.scheduling.settings import PoolSettings

SEEDS = (1, 2, 3)
OUTPUT_PATH = Path("build/rules.json")
UNREACHABLE_FACTOR = 1e9

DEFAULT_SETTINGS = PoolSettings()
SETTINGS_BY_VARIANT: dict[str, PoolSettings] = {
    "all rules": DEFAULT_SETTINGS,
    "no fair share": replace(DEFAULT_SETTINGS, fair_share_limit_s=0.0),
    "no penalty for new": replace(DEFAULT_SETTINGS, new_program_penalty_s=0.0),
    "no bonus for cached": replace(DEFAULT_SETTINGS, cached_bonus_limit_s=0.0),
    "no wait for prefix": replace(DEFAULT_SETTINGS, affinity_wait_limit_s=0.0),
    "no memory weight": replace(DEFAULT_SETTINGS, cache_load_weight_s=0.0),
    "no prefill weight": replace(DEFAULT_SETTINGS, prefill_weight=0.0),
    "no engine priority": replace(DEFAULT_SETTINGS, priority_limit=0),
    "no probation": replace(DEFAULT_SETTINGS, slow_factor=UNREACHABLE_FACTOR),
    "no overflow": replace(DEFAULT_SETTINGS, overflow_factor=UNREACHABLE_FACTOR),
    "no hedges": replace(DEFAULT_SETTINGS, hedge_load_limit=0.0),
    "no early refusal": replace(DEFAULT_SETTINGS, refuses_early=False),
}
MEASURES = (
    measures.PROGRAM_MEAN,
    measures.PROGRAM_P95,
    measures.PROGRAM_P99,
    measures.RECOMPUTED,
    measures.SHORT_WAIT,
    measures.PEAK_IN_TIME,
    measures.OTHER_PROGRAMS_P95,
)
# Smaller relative changes are not printed.
RELATIVE_CHANGE_MIN = 0.02


def main() -> None:
    """Run all scenarios per variant and print the changes against all rules."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    rows: list[dict[str, object]] = []
    for deployment in DEPLOYMENTS:
        for scenario in SCENARIOS:
            baseline = _measure(deployment, scenario, DEFAULT_SETTINGS)
            for rule, settings in list(SETTINGS_BY_VARIANT.items())[1:]:
                changed = _measure(deployment, scenario, settings)
                changes = _describe_changes(baseline, changed)
                run_name = f"{deployment.name}/{scenario.name}"
                rows.append({"place": run_name, "rule": rule, "values": changed})
                if changes:
                    print(f"{run_name:32}{rule:22}{'; '.join(changes)}", flush=True)
    OUTPUT_PATH.parent.mkdir(exist_ok=True)
    OUTPUT_PATH.write_text(json.dumps(rows, indent=1))


def _measure(
    deployment: Deployment, scenario: Scenario, settings: PoolSettings
) -> dict[str, float]:
    make_policy = make_policy_factories(settings)[SHIPPED]
    values = [
        compute_measures(
            deployment, scenario, run_scenario(deployment, scenario, seed, make_policy)
        )
        for seed in SEEDS
    ]
    return {name: mean(each[name] for each in values) for name in values[0]}


def _describe_changes(
    baseline: dict[str, float], changed: dict[str, float]
) -> list[str]:
    return [
        f"{name} {baseline[name]:.2f} -> {changed[name]:.2f}"
        for name in MEASURES
        if name in baseline
        and abs(changed[name] - baseline[name]) > RELATIVE_CHANGE_MIN * baseline[name]
    ]


if __name__ == "__main__":
    main()
