"""Measure the processes of a deployment that scripts/bench_processes.sh started."""

import sys
import time
from pathlib import Path

import numpy as np
import urllib3

from bench.process.calls import (
    Timing,
    run_program,
    run_side_by_side,
    start_programs,
    time_call,
)
from bench.process.deployment import ENTRY, Processes, http, make_rates

STORES = ["store-1", "store-2", "store-3"]
ENTRIES = ["entry-1", "entry-2"]
ENGINE = "http://127.0.0.1:27301"
ENTRY_1 = f"{ENTRY}1"
IDLE_S = 10.0
N_CALLS = 150
N_TURNS = 10
PROGRAMS_STEP = 400


def main() -> None:
    """Run all measurements and print their tables."""
    processes = Processes(Path(sys.argv[1]))
    while not is_ready(ENTRY_1):
        time.sleep(0.1)
    print_idle(processes)
    print_added_time()
    print_throughput(processes)
    print_pieces(processes)
    print_programs(processes)
    print_nodes(processes)


def is_ready(address: str) -> bool:
    """Return whether an entry accepts calls."""
    try:
        return http.request("GET", f"{address}/readyz").status == 200
    except urllib3.exceptions.HTTPError:
        return False


def print_idle(processes: Processes) -> None:
    """Print what each role uses without work."""
    print("idle: process, processor %, resident MB, peer bytes/s")
    for name, rates in processes.get_rates(STORES + ENTRIES, IDLE_S).items():
        print(
            f"  {name:8} {rates.cpu_percent:6.2f} {rates.resident_mb:7.1f} "
            f"{rates.peer_bytes_per_s:9.0f}"
        )


def print_added_time() -> None:
    """Print the time of one call at a time, direct and through an entry."""
    direct = Timing()
    for _ in range(N_CALLS):
        time_call(ENGINE, {}, direct)
    through = Timing()
    for _ in range(N_CALLS // N_TURNS):
        run_program(ENTRY_1, N_TURNS, through)
    print("one call at a time: ms at 50 and 99 of 100, first piece and whole")
    for name, timing in (("direct", direct), ("through an entry", through)):
        print(f"  {name:18} {_describe(timing)}")
    for percentile in (50, 99):
        added = _get_ms(through.whole, percentile) - _get_ms(direct.whole, percentile)
        print(f"  added at {percentile} of 100: {added:.2f} ms")


def print_throughput(processes: Processes) -> None:
    """Print requests and streamed pieces a second through one entry."""
    print("programs side by side through one entry: requests/s, pieces/s, times,")
    print("  processor ms per request at the entry and at all stores")
    for n_programs in (4, 16, 32):
        before = {name: processes.get_usage(name) for name in STORES + ENTRIES}
        started = time.perf_counter()
        timing = run_side_by_side(ENTRY_1, n_programs, N_TURNS)
        elapsed = time.perf_counter() - started
        after = {name: processes.get_usage(name) for name in STORES + ENTRIES}
        n_calls = timing.whole.get_total_count()
        cpu_ms = {
            name: 1000 * (after[name].cpu_s - before[name].cpu_s) / n_calls
            for name in after
        }
        sent = sum(make_rates(before[n], after[n]).peer_bytes_per_s for n in after)
        print(
            f"  {n_programs:3} {n_calls / elapsed:7.1f} "
            f"{timing.n_chunks / elapsed:8.0f} {_describe(timing)} "
            f"entry {cpu_ms['entry-1']:.2f} stores "
            f"{sum(cpu_ms[name] for name in STORES):.2f} "
            f"peer bytes/request {sent * elapsed / n_calls:.0f} "
            f"failed {timing.n_failed}"
        )


def print_pieces(processes: Processes) -> None:
    """Print the entry's processor time against the pieces of an answer."""
    counts = [32, 128, 256]
    cpu_ms: list[float] = []
    for n_tokens in counts:
        before = processes.get_usage("entry-1")
        timing = run_side_by_side(ENTRY_1, 8, 8, n_tokens)
        after = processes.get_usage("entry-1")
        n_calls = timing.whole.get_total_count()
        cpu_ms.append(1000 * (after.cpu_s - before.cpu_s) / n_calls)
    slope, fit = _fit(counts, cpu_ms)
    start = cpu_ms[0] - slope * counts[0]
    print(
        f"pieces through an entry: {slope * 1000:.0f} us each, "
        f"{start:.1f} ms for the rest of a request, fit {fit:.3f}"
    )


def print_programs(processes: Processes) -> None:
    """Print the memory of a store against the programs that it holds."""
    counts = [0]
    resident = [processes.get_usage("store-1").resident_mb]
    for _ in range(4):
        start_programs(ENTRY_1, PROGRAMS_STEP)
        counts.append(counts[-1] + PROGRAMS_STEP)
        resident.append(processes.get_usage("store-1").resident_mb)
    slope, fit = _fit(counts, resident)
    print(f"programs held by a store: {slope * 1024:.2f} KB each, fit {fit:.3f}")


def print_nodes(processes: Processes) -> None:
    """Print what the stores use against the number of entries."""
    counts = [2]
    cpu: list[float] = []
    sent: list[float] = []
    for number in (0, 5, 9):
        for further in range(counts[-1] + 1, number + 1):
            processes.start(f"entry-{further}")
        if number:
            counts.append(number)
            time.sleep(3)
        rates = processes.get_rates(STORES, IDLE_S).values()
        cpu.append(sum(rate.cpu_percent for rate in rates))
        sent.append(sum(rate.peer_bytes_per_s for rate in rates))
    cpu_slope, cpu_fit = _fit(counts, cpu)
    byte_slope, byte_fit = _fit(counts, sent)
    print(
        f"entries: {cpu_slope:.3f} % of a core over all stores each, fit {cpu_fit:.3f};"
        f" {byte_slope:.0f} bytes/s from all stores each, fit {byte_fit:.3f}"
    )


def _describe(timing: Timing) -> str:
    return (
        f"first {_get_ms(timing.first, 50):.1f}/{_get_ms(timing.first, 99):.1f} "
        f"whole {_get_ms(timing.whole, 50):.1f}/{_get_ms(timing.whole, 99):.1f}"
    )


def _get_ms(histogram: object, percentile: float) -> float:
    value: float = histogram.get_value_at_percentile(percentile)  # type: ignore[attr-defined]
    return value / 1000


def _fit(x: list[int], y: list[float]) -> tuple[float, float]:
    """Return the slope of a line through points and its coefficient R squared."""
    slope, start = np.polyfit(x, y, 1)
    residual = np.array(y) - (slope * np.array(x) + start)
    spread = float(np.sum((np.array(y) - np.mean(y)) ** 2))
    fit = 1 - float(np.sum(residual**2)) / spread if spread else 1.0
    return float(slope), fit


if __name__ == "__main__":
    main()
