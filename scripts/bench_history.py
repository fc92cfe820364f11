"""Measure the memory of programs and the time of their commands.

Prints, for both history stores, the memory per program and the time of the commands
of a turn. A turn has 4,284 bytes; 140 turns have about 150,000 tokens of 4 bytes.
Run with: python scripts/bench_history.py
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


def encode_turn(program, turn):
    """Return the encoded commands of a turn."""
    request, run = f"{program}-request-{turn}", f"node-{turn % 9}-{turn}"
    content = f"{program} {turn} ".encode().ljust(HALF_TURN_BYTES, b"c")
    answer = f"{program} {turn} ".encode().ljust(HALF_TURN_BYTES, b"a")
    endpoint = f"runner-{turn % 3}"
    commands = (
        m.BeginRequest(
            *(program, request, turn, f"node-{turn % 9}", True, 2000),
            *(content, "0123456789abcdef", NOW, run),
        ),
        m.RecordAttempt(program, request, 1, endpoint, 2000, True, NOW, run),
        m.FinishRequest(program, request, Outcome.COMPLETED, answer, 1100, NOW, run, 1),
    )
    return [CODEC.encode(command) for command in commands]


def run_programs(application, n_programs, n_turns, prefix="program"):
    """Run programs and return the mean time of each type of command, in seconds."""
    seconds_by_command = [0.0, 0.0, 0.0]
    for program_index in range(n_programs):
        program = f"{prefix}-{program_index:08d}"
        start = m.StartProgram(
            program,
            f"account-{program_index}",
            None,
            10**9,
            200,
            timedelta(minutes=5),
            NOW,
        )
        application.apply(CODEC.encode(start))
        for turn in range(1, n_turns + 1):
            for index_in_turn, command in enumerate(encode_turn(program, turn)):
                started_s = time.perf_counter()
                application.apply(command)
                seconds_by_command[index_in_turn] += time.perf_counter() - started_s
    return [value / (n_programs * n_turns) for value in seconds_by_command]


class FollowerReplica:
    """Apply commands the way a follower does."""

    def __init__(self, store):
        self.apply = make_program_application(CODEC, store).replay


def measure(name, make_store, n_programs, n_turns):
    """Print the memory per program and, from another run, the time per command."""
    tracemalloc.start()
    application = make_program_application(CODEC, make_store())
    # The first program allocates the fixed memory of a shard, which is not counted.
    run_programs(application, 1, 2, prefix="first")
    gc.collect()
    n_bytes_before = tracemalloc.get_traced_memory()[0]
    run_programs(application, n_programs, n_turns)
    gc.collect()
    n_bytes = tracemalloc.get_traced_memory()[0] - n_bytes_before
    tracemalloc.stop()
    started_s = time.perf_counter()
    snapshot = application.take_snapshot()
    snapshot_s = time.perf_counter() - started_s
    seconds_by_command = run_programs(
        make_program_application(CODEC, make_store()), 10, n_turns
    )
    times = ", ".join(f"{value * 1e6:.0f}" for value in seconds_by_command)
    replay_us = sum(run_programs(FollowerReplica(make_store()), 10, n_turns)) * 1e6
    print(
        f"{name:6} {n_turns:3} turns: {n_bytes / n_programs:9,.0f} bytes/program; "
        f"begin, attempt, finish {times} us, "
        f"all replayed {replay_us:.0f} us; "
        f"snapshot {len(snapshot) / n_programs:9,.0f} bytes/program, "
        f"{snapshot_s / n_programs * 1e3:.2f} ms/program"
    )


def main():
    """Measure both stores with short, medium and long programs."""
    with tempfile.TemporaryDirectory() as directory:
        for run_index, n_turns in enumerate((10, 70, 140)):
            path = Path(directory)
            # Fills the codec's caches, which would count for the first measurement.
            run_programs(make_program_application(CODEC), 2, 2)
            measure("memory", make_memory_history, 20, n_turns)
            measure(
                "file",
                lambda path=path / str(run_index): make_file_history(path),
                20,
                n_turns,
            )


if __name__ == "__main__":
    main()
