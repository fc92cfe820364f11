"""Send calls to entry hosts or engines and measure their latencies."""

import json
import threading
import time
import uuid
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from bench.process.resource_usage import POOL_MANAGER

ACCOUNT_HEADERS = {"X-Account": "rental-desk"}
LATENCY_MAX_US = 3_600_000_000
DEFAULT_ANSWER_TOKENS = 32


def make_histogram() -> HdrHistogram:
    """Return an empty histogram in microseconds with 3 significant digits."""
    return HdrHistogram(1, LATENCY_MAX_US, 3)


@dataclass(slots=True)
class CallTimings:
    """Latencies of calls, and numbers of chunks received and of failed calls.

    `n_chunks` counts all events of the streams, such as the final [DONE].
    """

    total: HdrHistogram = field(default_factory=make_histogram)
    time_to_first_chunk: HdrHistogram = field(default_factory=make_histogram)
    n_chunks: int = 0
    n_failed: int = 0


def make_request_body(n_tokens: int) -> bytes:
    """Return the body of a chat completion request."""
    # The text is unique: a program that repeats the same turn is ended as looping.
    text = f"how many kayaks are free at noon? {uuid.uuid4().hex}"
    message = {"role": "user", "content": text}
    # Only an engine reads `stream_id` and `program`; an entry host reads X-Program.
    return json.dumps(
        {
            "model": "veslo-llm",
            "messages": [message],
            "max_tokens": n_tokens,
            "stream": True,
            "stream_id": uuid.uuid4().hex,
            "program": "direct",
        }
    ).encode()


def time_call(
    base_url: str,
    headers: dict[str, str],
    timings: CallTimings,
    n_tokens: int = DEFAULT_ANSWER_TOKENS,
) -> None:
    """Stream one answer and record its latencies."""
    started_s = time.perf_counter()
    response = POOL_MANAGER.request(
        "POST",
        f"{base_url}/v1/chat/completions",
        body=make_request_body(n_tokens),
        headers={"Content-Type": "application/json", **headers},
        preload_content=False,
    )
    is_first = True
    for data in response.stream(4096):
        if is_first:
            timings.time_to_first_chunk.record_value(_get_elapsed_us(started_s))
            is_first = False
        timings.n_chunks += data.count(b"data: ")
    timings.total.record_value(_get_elapsed_us(started_s))
    timings.n_failed += response.status != 200


def start_program(base_url: str) -> str:
    """Return the id of a new program."""
    response = POOL_MANAGER.request(
        "POST", f"{base_url}/v1/programs", body=b"{}", headers=ACCOUNT_HEADERS
    )
    return str(response.json()["program"])


def start_programs(base_url: str, n_programs: int) -> None:
    """Start `n_programs`, a multiple of 8, from 8 threads."""
    threads = [
        threading.Thread(
            target=lambda: [start_program(base_url) for _ in range(n_programs // 8)]
        )
        for _ in range(8)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def run_program(
    base_url: str,
    n_calls: int,
    timings: CallTimings,
    n_tokens: int = DEFAULT_ANSWER_TOKENS,
) -> None:
    """Run a program whose calls follow one another."""
    program = start_program(base_url)
    for sequence in range(1, n_calls + 1):
        headers = {**ACCOUNT_HEADERS, "X-Program": program, "X-Sequence": str(sequence)}
        time_call(base_url, headers, timings, n_tokens)


def run_concurrent_programs(
    base_url: str, n_programs: int, n_calls: int, n_tokens: int = DEFAULT_ANSWER_TOKENS
) -> CallTimings:
    """Run programs concurrently and return the timings of all calls."""
    timings = CallTimings()
    threads = [
        threading.Thread(
            target=run_program, args=(base_url, n_calls, timings, n_tokens)
        )
        for _ in range(n_programs)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return timings


def _get_elapsed_us(started_s: float) -> int:
    return max(1, int((time.perf_counter() - started_s) * 1_000_000))
