"""Compare the policies: rows of values, a table of ratios, and plots."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from statistics import mean

import matplotlib

from bench.process import measures
from bench.process.measures import UNITS
from bench.process.scenarios import SHIPPED

matplotlib.use("Agg")

from matplotlib import pyplot

# Upper bounds of the ratio to the best baseline, by measure.
RATIO_TARGETS = {measures.PROGRAM_P95: 0.8, measures.RECOMPUTED: 0.5}
SHORT_WAIT_RATIO_TARGET = 0.25
PEAK_IN_TIME_SHARE_TARGET = 0.95
SLOWED_P99_RATIO_TARGET = 1.5
STRAGGLER_SCENARIOS = ("stragglers", "all-together")
# Printed with the target of another measure, or written to the rows only.
HIDDEN_MEASURES = (
    measures.PROGRAM_P95_FLOOR,
    measures.PEAK_IN_TIME_BOUND,
    measures.REFUSALS,
)
PLOTTED_MEASURES = (measures.PROGRAM_P95, measures.RECOMPUTED, measures.SHORT_WAIT)

# Deployment, scenario and measure.
Key = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class Row:
    """Value of a measure in one run."""

    deployment: str
    scenario: str
    seed: int
    policy: str
    measure: str
    value: float
    unit: str


@dataclass(frozen=True, slots=True)
class TableLine:
    """Line of the table: the shipped policy compared with the best baseline."""

    key: Key
    shipped: float
    best_baseline: float
    best_baseline_policy: str
    target: str
    verdict: str

    @property
    def ratio(self) -> float | None:
        """The ratio to the best baseline, None if that is 0."""
        return self.shipped / self.best_baseline if self.best_baseline else None


def make_slowdown_ratios(rows: list[Row]) -> list[Row]:
    """Return the p99 of each run with slow servers relative to the steady run."""
    p99 = {
        (row.deployment, row.scenario, row.seed, row.policy): row.value
        for row in rows
        if row.measure == measures.PROGRAM_P99
    }
    return [
        Row(
            deployment,
            scenario,
            seed,
            policy,
            measures.SLOWED_P99,
            value / p99[deployment, "steady", seed, policy],
            UNITS[measures.SLOWED_P99],
        )
        for (deployment, scenario, seed, policy), value in p99.items()
        if scenario == "slowed-third" and (deployment, "steady", seed, policy) in p99
    ]


def make_table_lines(rows: Iterable[Row]) -> list[TableLine]:
    """Return the lines of the table, which compare means over the seeds."""
    values: dict[Key, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for row in rows:
        key = (row.deployment, row.scenario, row.measure)
        values[key][row.policy].append(row.value)
    means = {
        key: {policy: mean(each) for policy, each in by_policy.items()}
        for key, by_policy in values.items()
    }
    return [_make_table_line(key, by_policy, means) for key, by_policy in means.items()]


def print_table(lines: Iterable[TableLine]) -> None:
    """Print a line per deployment, scenario and measure."""
    print(
        f"{'deployment':14}{'scenario':18}{'measure':33}{'shipped':>11}"
        f"{'best':>11}  {'baseline':12}{'ratio':>7}  {'target':28}verdict"
    )
    for line in lines:
        deployment, scenario, measure = line.key
        if measure in HIDDEN_MEASURES:
            continue
        ratio = "-" if line.ratio is None else f"{line.ratio:.2f}"
        print(
            f"{deployment:14}{scenario:18}{measure:33}{line.shipped:11.2f}"
            f"{line.best_baseline:11.2f}  {line.best_baseline_policy:12}{ratio:>7}  "
            f"{line.target:28}{line.verdict}"
        )


def plot(rows: Iterable[Row], directory: Path) -> None:
    """Write a PNG file per scenario."""
    values: dict[str, dict[tuple[str, str], dict[str, list[float]]]] = {}
    for row in rows:
        if row.measure in PLOTTED_MEASURES:
            by_panel = values.setdefault(row.scenario, {})
            by_policy = by_panel.setdefault((row.deployment, row.measure), {})
            by_policy.setdefault(row.policy, []).append(row.value)
    for scenario, by_panel in values.items():
        _plot_scenario(scenario, by_panel, directory)


def _plot_scenario(
    scenario: str,
    by_panel: dict[tuple[str, str], dict[str, list[float]]],
    directory: Path,
) -> None:
    n_columns = len(PLOTTED_MEASURES)
    n_rows = max(1, len(by_panel) // n_columns)
    figure, axes = pyplot.subplots(
        n_rows, n_columns, figsize=(4 * n_columns, 3 * n_rows), squeeze=False
    )
    for axis, ((deployment, measure), by_policy) in zip(
        axes.flat, by_panel.items(), strict=False
    ):
        axis.bar(list(by_policy), [mean(each) for each in by_policy.values()])
        axis.set_title(f"{deployment}: {measure}", fontsize=8)
        axis.set_ylabel(UNITS[measure], fontsize=8)
        axis.tick_params(labelsize=7)
    figure.suptitle(scenario)
    figure.tight_layout()
    figure.savefig(directory / f"bench-{scenario}.png", dpi=80)
    pyplot.close(figure)


def _make_table_line(
    key: Key, by_policy: dict[str, float], means: dict[Key, dict[str, float]]
) -> TableLine:
    shipped = by_policy[SHIPPED]
    baselines = {name: each for name, each in by_policy.items() if name != SHIPPED}
    select_best = (
        max if key[2] in (measures.PEAK_IN_TIME, measures.PEAK_IN_TIME_BOUND) else min
    )
    best_policy = select_best(baselines, key=lambda name: baselines[name])
    target, is_met = _evaluate_target(key, shipped, baselines[best_policy], means)
    verdict = {None: "", True: "met", False: "falls short"}[is_met]
    return TableLine(key, shipped, baselines[best_policy], best_policy, target, verdict)


def _evaluate_target(
    key: Key, shipped: float, best: float, means: dict[Key, dict[str, float]]
) -> tuple[str, bool | None]:
    """Return the text of the target and whether it is met, None without a target."""
    deployment, scenario, measure = key
    if measure in RATIO_TARGETS:
        target = RATIO_TARGETS[measure]
        note = ""
        if measure == measures.PROGRAM_P95:
            floor = means[deployment, scenario, measures.PROGRAM_P95_FLOOR][SHIPPED]
            note = f" (floor {floor / best:.2f})"
        return f"ratio <= {target}{note}", shipped <= target * best
    if measure == measures.SHORT_WAIT and scenario in STRAGGLER_SCENARIOS:
        target_text = f"ratio <= {SHORT_WAIT_RATIO_TARGET}"
        return target_text, shipped <= SHORT_WAIT_RATIO_TARGET * best
    if measure == measures.SLOWED_P99:
        return f"<= {SLOWED_P99_RATIO_TARGET}", shipped <= SLOWED_P99_RATIO_TARGET
    if measure == measures.PEAK_IN_TIME:
        bound = means[deployment, scenario, measures.PEAK_IN_TIME_BOUND][SHIPPED]
        if bound < PEAK_IN_TIME_SHARE_TARGET:
            return f"(bound {bound:.2f})", None
        return (
            f">= {PEAK_IN_TIME_SHARE_TARGET} (bound {bound:.2f})",
            shipped >= PEAK_IN_TIME_SHARE_TARGET,
        )
    return "", None
