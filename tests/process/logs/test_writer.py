"""Guard against logging that blocks the process or queues without bound."""

import json
import os
from collections.abc import Iterator

import gevent
import gevent.os
import logbook
import pytest

from oleanderhitch.process.logs.writer import (
    N_QUEUED_LINES_LIMIT,
    JsonLineHandler,
    start_json_log,
)

log = logbook.Logger("part")


@pytest.fixture
def pipe() -> Iterator[tuple[int, JsonLineHandler]]:
    """Return the read end of a pipe and the handler that writes to it."""
    read_end, write_end = os.pipe()
    handler = start_json_log(write_end, "info", {"host": "h"})
    yield read_end, handler
    handler.stop()
    handler.pop_application()
    os.close(read_end)
    os.close(write_end)


def test_line_has_common_and_record_fields(pipe: tuple[int, JsonLineHandler]) -> None:
    """Guard against lines without the fields that on-call engineers search by."""
    read_end, _ = pipe
    log.info("sent to endpoint", request="r1", waited_ms=6)
    gevent.sleep(0.05)
    line = json.loads(os.read(read_end, 4096))
    assert line["part"] == "part"
    assert line["event"] == "sent to endpoint"
    assert (line["host"], line["request"], line["waited_ms"]) == ("h", "r1", 6)


def test_lines_are_dropped_while_the_reader_is_stalled(
    pipe: tuple[int, JsonLineHandler],
) -> None:
    """Guard against a process that blocks while its log output is not read.

    Lines are dropped while the pipe is full, and their number is logged afterwards.
    """
    read_end, handler = pipe
    n_lines = 3 * N_QUEUED_LINES_LIMIT
    for number in range(n_lines):
        log.info("decision", number=number, text="x" * 100)
        if number % 500 == 0:
            gevent.sleep(0)
    assert handler.n_dropped > 0
    data = b""
    with gevent.Timeout(10, False):
        while b"lines dropped" not in data:
            data += gevent.os.tp_read(read_end, 65536)
    assert b"lines dropped" in data
