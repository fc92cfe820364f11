"""Turn each rule of the queue off by itself and print what changes."""

import argparse
import json
from dataclasses import replace
from pathlib import Path
from statistics import mean

from bench.process import measures
from bench.process.measures import compute
from bench.process.scenarios import (
    DEPLOYMENTS,
    SCENARIOS,
    SHIPPED,
    Deployment,
    Scenario,
    make_policies,
    run,
)
from oleanderhitch.process.scheduling.settings import PoolSettings

SEEDS = (1, 2, 3)
PATH = Path("build/rules.json")
NEVER = 1e9

BASE = PoolSettings()
RULES: dict[str, PoolSettings] = {
    "all rules": BASE,
    "no fair share": replace(BASE, fair_share_limit_s=0.0),
    "no penalty for new": replace(BASE, new_program_penalty_s=0.0),
    "no bonus for cached": replace(BASE, cached_bonus_limit_s=0.0),
    "no wait for prefix": replace(BASE, affinity_wait_limit_s=0.0),
    "no memory weight": replace(BASE, cache_load_weight_s=0.0),
    "no prefill weight": replace(BASE, prefill_weight=0.0),
    "no engine priority": replace(BASE, priority_limit=0),
    "no probation": replace(BASE, slow_factor=NEVER),
    "no overflow": replace(BASE, overflow_factor=NEVER),
    "no hedges": replace(BASE, hedge_load_limit=0.0),
    "no early refusal": replace(BASE, refuses_early=False),
}
MEASURES = (
    measures.PROGRAM_MEAN,
    measures.PROGRAM_P95,
    measures.PROGRAM_P99,
    measures.RECOMPUTED,
    measures.SHORT_WAIT,
    measures.CREST,
    measures.OTHERS_P95,
)
# A change below this part of the value is not printed.
MIN_CHANGE = 0.02


def main() -> None:
    """Run all scenarios per rule; print each change against all rules."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    rows: list[dict[str, object]] = []
    for deployment in DEPLOYMENTS:
        for scenario in SCENARIOS:
            base = _measure(deployment, scenario, BASE)
            for rule, settings in list(RULES.items())[1:]:
                changed = _measure(deployment, scenario, settings)
                changes = _compare(base, changed)
                place = f"{deployment.name}/{scenario.name}"
                rows.append({"place": place, "rule": rule, "values": changed})
                if changes:
                    print(f"{place:32}{rule:22}{'; '.join(changes)}", flush=True)
    PATH.parent.mkdir(exist_ok=True)
    PATH.write_text(json.dumps(rows, indent=1))


def _measure(
    deployment: Deployment, scenario: Scenario, settings: PoolSettings
) -> dict[str, float]:
    make_policy = make_policies(settings)[SHIPPED]
    values = [
        compute(deployment, scenario, run(deployment, scenario, seed, make_policy))
        for seed in SEEDS
    ]
    return {name: mean(each[name] for each in values) for name in values[0]}


def _compare(base: dict[str, float], changed: dict[str, float]) -> list[str]:
    return [
        f"{name} {base[name]:.2f} -> {changed[name]:.2f}"
        for name in MEASURES
        if name in base and abs(changed[name] - base[name]) > MIN_CHANGE * base[name]
    ]


if __name__ == "__main__":
    main()
