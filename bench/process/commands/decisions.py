"""Compare the shipped scheduler with the baseline policies in simulations."""

import argparse
import json
import time
from dataclasses import asdict
from pathlib import Path

from bench.process.measures import UNITS, compute_measures
from bench.process.report import (
    Row,
    make_slowdown_ratios,
    make_table_lines,
    plot,
    print_table,
)
from bench.process.scenarios import (
    DEPLOYMENTS,
    SCENARIOS,
    Deployment,
    Scenario,
    make_policy_factories,
    run_scenario,
)
from oleanderhitch.process.scheduling.settings import PoolSettings

SEEDS = (1, 2, 3, 4, 5)
OUTPUT_DIRECTORY = Path("build")


def main() -> None:
    """Run all scenarios, write build/bench.json and the plots, print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="run one seed only")
    options = parser.parse_args()
    started_s = time.monotonic()
    rows = measure_all(SEEDS[:1] if options.quick else SEEDS)
    OUTPUT_DIRECTORY.mkdir(exist_ok=True)
    path = OUTPUT_DIRECTORY / "bench.json"
    path.write_text(json.dumps([asdict(row) for row in rows], indent=1))
    plot(rows, OUTPUT_DIRECTORY)
    lines = make_table_lines(rows)
    print_table(lines)
    n_met = sum(line.verdict == "met" for line in lines)
    n_short = sum(line.verdict == "falls short" for line in lines)
    print(f"{n_met} targets met, {n_short} fall short")
    print(f"{time.monotonic() - started_s:.0f} s; rows in {path}")


def measure_all(seeds: tuple[int, ...]) -> list[Row]:
    """Return the rows of all deployments, scenarios, seeds and policies."""
    rows: list[Row] = []
    for deployment in DEPLOYMENTS:
        for scenario in SCENARIOS:
            for seed in seeds:
                rows.extend(_measure(deployment, scenario, seed))
    return rows + make_slowdown_ratios(rows)


def _measure(deployment: Deployment, scenario: Scenario, seed: int) -> list[Row]:
    rows: list[Row] = []
    for policy, make_policy in make_policy_factories(PoolSettings()).items():
        measurements = run_scenario(deployment, scenario, seed, make_policy)
        values = compute_measures(deployment, scenario, measurements)
        rows.extend(
            Row(deployment.name, scenario.name, seed, policy, name, value, UNITS[name])
            for name, value in values.items()
        )
    return rows


if __name__ == "__main__":
    main()
