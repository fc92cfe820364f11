"""Measure the processes of a deployment started by scripts/bench_processes.sh."""

import sys
import time
from pathlib import Path

import numpy as np
import urllib3

from bench.process.client import (
    CallTimings,
    run_concurrent_programs,
    run_program,
    start_programs,
    time_call,
)
from bench.process.resource_usage import (
    ENTRY_URL_PREFIX,
    POOL_MANAGER,
    Processes,
    compute_rates,
)

STORES = ["store-1", "store-2", "store-3"]
ENTRY_HOSTS = ["entry-1", "entry-2"]
ENGINE_URL = "http://127.0.0.1:27301"
ENTRY_1_URL = f"{ENTRY_URL_PREFIX}1"
RATE_INTERVAL_S = 10.0
N_CALLS = 150
N_TURNS = 10
N_PROGRAMS_PER_STEP = 400


def main() -> None:
    """Run all measurements and print their results."""
    processes = Processes(Path(sys.argv[1]))
    while not is_ready(ENTRY_1_URL):
        time.sleep(0.1)
    print_idle_usage(processes)
    print_added_latency()
    print_throughput(processes)
    print_cost_per_chunk(processes)
    print_memory_per_program(processes)
    print_cost_per_entry_host(processes)


def is_ready(base_url: str) -> bool:
    """Return whether an entry host accepts calls."""
    try:
        return POOL_MANAGER.request("GET", f"{base_url}/readyz").status == 200
    except urllib3.exceptions.HTTPError:
        return False


def print_idle_usage(processes: Processes) -> None:
    """Print the resource usage of idle stores and entry hosts."""
    print("idle: process, processor %, resident MB, peer bytes/s")
    for name, rates in processes.get_rates(
        STORES + ENTRY_HOSTS, RATE_INTERVAL_S
    ).items():
        print(
            f"  {name:8} {rates.cpu_percent:6.2f} {rates.resident_mb:7.1f} "
            f"{rates.peer_bytes_per_s:9.0f}"
        )


def print_added_latency() -> None:
    """Print the latency of sequential calls to an engine and through an entry host."""
    direct = CallTimings()
    for _ in range(N_CALLS):
        time_call(ENGINE_URL, {}, direct)
    proxied = CallTimings()
    for _ in range(N_CALLS // N_TURNS):
        run_program(ENTRY_1_URL, N_TURNS, proxied)
    print("one call at a time: ms at 50 and 99 of 100, first piece and whole")
    for name, timings in (("direct", direct), ("through an entry", proxied)):
        print(f"  {name:18} {_format_timings(timings)}")
    for percentile in (50, 99):
        added = _get_percentile_ms(proxied.total, percentile) - _get_percentile_ms(
            direct.total, percentile
        )
        print(f"  added at {percentile} of 100: {added:.2f} ms")


def print_throughput(processes: Processes) -> None:
    """Print requests and chunks per second through one entry host."""
    print("programs side by side through one entry: requests/s, pieces/s, times,")
    print("  processor ms per request at the entry and at all stores")
    for n_programs in (4, 16, 32):
        before = {name: processes.get_usage(name) for name in STORES + ENTRY_HOSTS}
        started_s = time.perf_counter()
        timings = run_concurrent_programs(ENTRY_1_URL, n_programs, N_TURNS)
        elapsed_s = time.perf_counter() - started_s
        after = {name: processes.get_usage(name) for name in STORES + ENTRY_HOSTS}
        n_calls = timings.total.get_total_count()
        cpu_ms = {
            name: 1000 * (after[name].cpu_s - before[name].cpu_s) / n_calls
            for name in after
        }
        peer_bytes_per_s = sum(
            compute_rates(before[n], after[n]).peer_bytes_per_s for n in after
        )
        print(
            f"  {n_programs:3} {n_calls / elapsed_s:7.1f} "
            f"{timings.n_chunks / elapsed_s:8.0f} {_format_timings(timings)} "
            f"entry {cpu_ms['entry-1']:.2f} stores "
            f"{sum(cpu_ms[name] for name in STORES):.2f} "
            f"peer bytes/request {peer_bytes_per_s * elapsed_s / n_calls:.0f} "
            f"failed {timings.n_failed}"
        )


def print_cost_per_chunk(processes: Processes) -> None:
    """Print the entry host's CPU time per chunk of an answer."""
    token_counts = [32, 128, 256]
    cpu_ms: list[float] = []
    for n_tokens in token_counts:
        before = processes.get_usage("entry-1")
        timings = run_concurrent_programs(ENTRY_1_URL, 8, 8, n_tokens)
        after = processes.get_usage("entry-1")
        n_calls = timings.total.get_total_count()
        cpu_ms.append(1000 * (after.cpu_s - before.cpu_s) / n_calls)
    slope, r_squared = _fit_line(token_counts, cpu_ms)
    intercept = cpu_ms[0] - slope * token_counts[0]
    print(
        f"pieces through an entry: {slope * 1000:.0f} us each, "
        f"{intercept:.1f} ms for the rest of a request, fit {r_squared:.3f}"
    )


def print_memory_per_program(processes: Processes) -> None:
    """Print the memory that a store uses per program."""
    program_counts = [0]
    resident_mb = [processes.get_usage("store-1").resident_mb]
    for _ in range(4):
        start_programs(ENTRY_1_URL, N_PROGRAMS_PER_STEP)
        program_counts.append(program_counts[-1] + N_PROGRAMS_PER_STEP)
        resident_mb.append(processes.get_usage("store-1").resident_mb)
    slope, r_squared = _fit_line(program_counts, resident_mb)
    print(f"programs held by a store: {slope * 1024:.2f} KB each, fit {r_squared:.3f}")


def print_cost_per_entry_host(processes: Processes) -> None:
    """Print the CPU time and the traffic of the stores per entry host."""
    entry_host_counts = [2]
    cpu_percent: list[float] = []
    peer_bytes_per_s: list[float] = []
    # 0 stands for the two entry hosts that are running already.
    for n_entry_hosts in (0, 5, 9):
        for added in range(entry_host_counts[-1] + 1, n_entry_hosts + 1):
            processes.start(f"entry-{added}")
        if n_entry_hosts:
            entry_host_counts.append(n_entry_hosts)
            # The load of starting the hosts is not part of the measurement.
            time.sleep(3)
        rates = processes.get_rates(STORES, RATE_INTERVAL_S).values()
        cpu_percent.append(sum(rate.cpu_percent for rate in rates))
        peer_bytes_per_s.append(sum(rate.peer_bytes_per_s for rate in rates))
    cpu_slope, cpu_r_squared = _fit_line(entry_host_counts, cpu_percent)
    byte_slope, byte_r_squared = _fit_line(entry_host_counts, peer_bytes_per_s)
    print(
        f"entries: {cpu_slope:.3f} % of a core over all stores each, "
        f"fit {cpu_r_squared:.3f}; "
        f"{byte_slope:.0f} bytes/s from all stores each, fit {byte_r_squared:.3f}"
    )


def _format_timings(timings: CallTimings) -> str:
    return (
        f"first {_get_percentile_ms(timings.time_to_first_chunk, 50):.1f}/"
        f"{_get_percentile_ms(timings.time_to_first_chunk, 99):.1f} "
        f"whole {_get_percentile_ms(timings.total, 50):.1f}/"
        f"{_get_percentile_ms(timings.total, 99):.1f}"
    )


def _get_percentile_ms(histogram: object, percentile: float) -> float:
    value: float = histogram.get_value_at_percentile(percentile)  # type: ignore[attr-defined]
    return value / 1000


def _fit_line(x: list[int], y: list[float]) -> tuple[float, float]:
    """Return the slope of the least-squares line through points and its R squared."""
    slope, intercept = np.polyfit(x, y, 1)
    residual = np.array(y) - (slope * np.array(x) + intercept)
    total_variation = float(np.sum((np.array(y) - np.mean(y)) ** 2))
    r_squared = (
        1 - float(np.sum(residual**2)) / total_variation if total_variation else 1.0
    )
    return float(slope), r_squared


if __name__ == "__main__":
    main()
