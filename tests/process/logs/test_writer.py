"""Guard against log lines that block the process or grow without bound."""

import json
import os
from collections.abc import Iterator

import gevent
import gevent.os
import logbook
import pytest

from oleanderhitch.process.logs.writer import (
    N_QUEUED_LIMIT,
    JsonLineHandler,
    start_json_log,
)

log = logbook.Logger("part")


@pytest.fixture
def pipe() -> Iterator[tuple[int, JsonLineHandler]]:
    """Return the reading end of a pipe that a handler writes to."""
    reading, writing = os.pipe()
    handler = start_json_log(writing, "info", {"host": "h"})
    yield reading, handler
    handler.stop()
    handler.pop_application()
    os.close(reading)
    os.close(writing)


def test_line_has_its_fields(pipe: tuple[int, JsonLineHandler]) -> None:
    """On-call engineers search lines by their fields."""
    reading, _ = pipe
    log.info("sent to endpoint", request="r1", waited_ms=6)
    gevent.sleep(0.05)
    line = json.loads(os.read(reading, 4096))
    assert line["part"] == "part"
    assert line["event"] == "sent to endpoint"
    assert (line["host"], line["request"], line["waited_ms"]) == ("h", "r1", 6)


def test_reader_that_stalls_blocks_nothing(pipe: tuple[int, JsonLineHandler]) -> None:
    """A full pipe must cost lines and not time, and the loss must be told."""
    reading, handler = pipe
    n_lines = 3 * N_QUEUED_LIMIT
    for number in range(n_lines):
        log.info("decision", number=number, text="x" * 100)
        if number % 500 == 0:
            gevent.sleep(0)
    assert handler.n_dropped > 0
    data = b""
    with gevent.Timeout(10, False):
        while b"lines dropped" not in data:
            data += gevent.os.tp_read(reading, 65536)
    assert b"lines dropped" in data
