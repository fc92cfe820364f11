"""Measure the time of a scheduling decision and the memory of a program in the queue.

Both are measured for several numbers of endpoints and programs.
"""

import argparse
import gc
import json
import math
import time
import tracemalloc
from datetime import timedelta
from itertools import pairwise
from pathlib import Path
from random import Random

from bench.process.loop import ORIGIN
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.scheduling.core import Effect, handle, make_pool_state
from oleanderhitch.process.scheduling.messages import (
    EndpointOffer,
    EndpointsChanged,
    EnqueueRequest,
    GrantSlot,
    ReleaseSlot,
)
from oleanderhitch.process.scheduling.records import PoolState
from oleanderhitch.process.scheduling.settings import PoolSettings
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.ids import RequestId
from oleanderhitch.version.ids import EndpointId, PoolId

POOL = PoolId("measured")
ENDPOINT_COUNTS = (10, 100, 1_000)
PROGRAM_COUNTS = (100, 1_000, 42_000)
N_SLOTS = 16
N_DECISIONS = 20_000
# Two decisions per request and a tick every 50 ms give 430 at 4,300 requests/s.
N_DECISIONS_PER_TICK = 430
N_ACCOUNTS = 33_000
OUTPUT_PATH = Path("build/cost.json")


class PoolLoad:
    """Pool queue in which every program waits for a slot or uses one."""

    def __init__(self, n_endpoints: int, n_programs: int) -> None:
        self.state: PoolState = make_pool_state(POOL, PoolSettings(), Random(1))
        self._random_source = Random(2)
        self._now = ORIGIN
        self._n_requests = 0
        self._n_turns = [0] * n_programs
        self._endpoints_with_prefix: list[tuple[EndpointId, ...]] = [()] * n_programs
        self._running: list[GrantSlot] = []
        offers = [
            EndpointOffer(EndpointId(f"e{n}"), N_SLOTS, 450_000, False)
            for n in range(n_endpoints)
        ]
        self._record_grants(
            handle(EndpointsChanged(tuple(offers)), self.state, self._now)
        )
        for program in range(n_programs):
            self._record_grants(self._send(self._make_enqueue(program)))

    def run(self, n_decisions: int) -> float:
        """Handle messages and return the seconds spent in the core."""
        elapsed_s = 0.0
        for number in range(n_decisions):
            message: object
            if number % N_DECISIONS_PER_TICK == 0:
                message = Tick()
            elif number % 2:
                message = self._make_release()
            else:
                message = self._make_enqueue(self._idle_program)
            started_s = time.perf_counter()
            effects = self._send(message)
            elapsed_s += time.perf_counter() - started_s
            self._record_grants(effects)
        return elapsed_s

    def _send(self, message: object) -> list[Effect]:
        self._now += timedelta(microseconds=100)
        return handle(message, self.state, self._now)

    def _record_grants(self, effects: list[Effect]) -> None:
        self._running.extend(each for each in effects if isinstance(each, GrantSlot))

    def _make_release(self) -> ReleaseSlot:
        index = self._random_source.randrange(len(self._running))
        self._running[index], self._running[-1] = (
            self._running[-1],
            self._running[index],
        )
        grant = self._running.pop()
        self._idle_program = int(grant.request.split("/")[0])
        self._endpoints_with_prefix[self._idle_program] = (grant.endpoint,)
        return ReleaseSlot(
            POOL,
            grant.permit,
            grant.endpoint,
            True,
            self._random_source.randint(50, 200),
            500,
            timedelta(milliseconds=80),
            timedelta(seconds=self._random_source.uniform(1.0, 4.0)),
        )

    def _make_enqueue(self, program: int) -> EnqueueRequest:
        self._n_requests += 1
        self._n_turns[program] += 1
        return EnqueueRequest(
            POOL,
            RequestId(f"{program}/{self._n_requests}"),
            ProgramId(f"p{program}"),
            AccountId(f"a{program % N_ACCOUNTS}"),
            NodeId(f"n{program % 400}"),
            True,
            self._n_turns[program],
            2_000 * self._n_turns[program],
            2_000 * self._n_turns[program],
            4_096,
            self._endpoints_with_prefix[program],
            (),
            timedelta(seconds=600),
            timedelta(0),
        )


def measure(n_endpoints: int, n_programs: int) -> dict[str, float]:
    """Return the time of a decision and the memory of a program at one size."""
    load = PoolLoad(n_endpoints, n_programs)
    gc.collect()
    elapsed_s = load.run(N_DECISIONS)
    tracemalloc.start()
    # What stays allocated after a load has been freed is not counted.
    PoolLoad(n_endpoints, n_programs).run(N_DECISIONS // 10)
    gc.collect()
    baseline_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.reset_peak()
    retained_load = PoolLoad(n_endpoints, n_programs)
    gc.collect()
    retained_bytes = tracemalloc.get_traced_memory()[0] - baseline_bytes
    tracemalloc.stop()
    return {
        "n_endpoints": n_endpoints,
        "n_programs": n_programs,
        "n_waiting": len(retained_load.state.waiting),
        "us_per_decision": elapsed_s / N_DECISIONS * 1e6,
        "bytes_per_program": retained_bytes / n_programs,
    }


def main() -> None:
    """Measure all sizes, write build/cost.json and print a table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    rows = [measure(e, p) for e in ENDPOINT_COUNTS for p in PROGRAM_COUNTS]
    OUTPUT_PATH.parent.mkdir(exist_ok=True)
    OUTPUT_PATH.write_text(json.dumps(rows, indent=1))
    print("endpoints  programs   waiting  us/decision  bytes/program")
    for row in rows:
        print(
            f"{row['n_endpoints']:9.0f} {row['n_programs']:9.0f} "
            f"{row['n_waiting']:9.0f} {row['us_per_decision']:12.1f} "
            f"{row['bytes_per_program']:14.0f}"
        )
    for name in ("n_endpoints", "n_programs"):
        print(f"slope over {name}: {compute_slope(rows, name):.2f} us per tenfold")


def compute_slope(rows: list[dict[str, float]], size: str) -> float:
    """Return by how much a decision's time grows on average per tenfold of a size."""
    other_size = "n_programs" if size == "n_endpoints" else "n_endpoints"
    ordered = sorted(rows, key=lambda row: (row[other_size], row[size]))
    slopes = [
        (high["us_per_decision"] - low["us_per_decision"])
        / math.log10(high[size] / low[size])
        for low, high in pairwise(ordered)
        if low[other_size] == high[other_size]
    ]
    return sum(slopes) / len(slopes)


if __name__ == "__main__":
    main()
