"""Measure what programs cost: python scripts/bench_history.py.

Prints memory per program with both history stores, and the time of the
commands of one turn. A turn has 4,286 bytes: 150,000 tokens of 4 bytes in 140
turns.
"""

import gc
import tempfile
import time
import tracemalloc
from datetime import UTC, datetime, timedelta
from pathlib import Path

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.program import messages as m
from oleanderhitch.program.application import make_program_application
from oleanderhitch.program.history import make_memory_history
from oleanderhitch.program.history_file import make_file_history
from oleanderhitch.request.states import Outcome

NOW = datetime(2026, 1, 1, tzinfo=UTC)
CODEC = make_codec(m.MESSAGES)
HALF_TURN_BYTES = 150_000 * 4 // 140 // 2


def make_turn(program, number):
    """Return the encoded commands of one turn."""
    request, run = f"{program}-request-{number}", f"node-{number % 9}-{number}"
    content = f"{program} {number} ".encode().ljust(HALF_TURN_BYTES, b"c")
    answer = f"{program} {number} ".encode().ljust(HALF_TURN_BYTES, b"a")
    endpoint = f"runner-{number % 3}"
    commands = (
        m.BeginRequest(
            *(program, request, number, f"node-{number % 9}", True, 2000),
            *(content, "0123456789abcdef", NOW, run),
        ),
        m.RecordAttempt(program, request, 1, endpoint, 2000, True, NOW, run),
        m.FinishRequest(program, request, Outcome.COMPLETED, answer, 1100, NOW, run, 1),
    )
    return [CODEC.encode(command) for command in commands]


def fill(application, n_programs, n_turns, prefix="program"):
    """Run programs and return the seconds that each kind of command took."""
    seconds = [0.0, 0.0, 0.0]
    for index in range(n_programs):
        program = f"{prefix}-{index:08d}"
        start = m.StartProgram(
            program, f"account-{index}", None, 10**9, 200, timedelta(minutes=5), NOW
        )
        application.apply(CODEC.encode(start))
        for number in range(1, n_turns + 1):
            for kind, command in enumerate(make_turn(program, number)):
                begun = time.perf_counter()
                application.apply(command)
                seconds[kind] += time.perf_counter() - begun
    return [value / (n_programs * n_turns) for value in seconds]


class Replayer:
    """Apply commands as a follower does."""

    def __init__(self, store):
        self.apply = make_program_application(CODEC, store).replay


def measure(name, make_store, n_programs, n_turns):
    """Print memory per program and, from a second run, time per command."""
    tracemalloc.start()
    application = make_program_application(CODEC, make_store())
    # What a shard takes without programs is left out.
    fill(application, 1, 2, prefix="first")
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    fill(application, n_programs, n_turns)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    begun = time.perf_counter()
    snapshot = application.take_snapshot()
    elapsed = time.perf_counter() - begun
    seconds = fill(make_program_application(CODEC, make_store()), 10, n_turns)
    times = ", ".join(f"{value * 1e6:.0f}" for value in seconds)
    replay = sum(fill(Replayer(make_store()), 10, n_turns)) * 1e6
    print(
        f"{name:6} {n_turns:3} turns: {used / n_programs:9,.0f} bytes/program; "
        f"begin, attempt, finish {times} us, "
        f"all replayed {replay:.0f} us; "
        f"snapshot {len(snapshot) / n_programs:9,.0f} bytes/program, "
        f"{elapsed / n_programs * 1e3:.2f} ms/program"
    )


def main():
    """Measure both stores with short, middle and long programs."""
    with tempfile.TemporaryDirectory() as directory:
        for number, n_turns in enumerate((10, 70, 140)):
            path = Path(directory)
            # The first line of each size would pay for caches of the codec.
            fill(make_program_application(CODEC), 2, 2)
            measure("memory", make_memory_history, 20, n_turns)
            measure(
                "file",
                lambda path=path / str(number): make_file_history(path),
                20,
                n_turns,
            )


if __name__ == "__main__":
    main()
