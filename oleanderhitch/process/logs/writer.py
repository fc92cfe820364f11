"""Log handler whose own greenlet writes records as JSON lines to a file descriptor."""

import os
from collections import deque
from datetime import timedelta
from typing import Any

import gevent
import gevent.event
import logbook
import msgspec
from gevent import socket

# The queue holds a short burst of log lines. If a process logs faster than
# N_LINES_PER_S_LIMIT for longer, lines are dropped and their number is logged.
N_QUEUED_LINES_LIMIT = 2000
N_LINES_PER_S_LIMIT = 400
BATCH_LIMIT_BYTES = 32 * 1024
FLUSH_INTERVAL = timedelta(milliseconds=100)
STOP_TIMEOUT = timedelta(milliseconds=200)

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class JsonLineHandler(logbook.Handler):  # type: ignore[misc]
    """Queues records as lines and drops them while the queue is full."""

    def __init__(self, descriptor: int, level: str, fields: dict[str, str]) -> None:
        super().__init__(level.upper())
        self._descriptor = descriptor
        self._fields = fields
        self._lines: deque[bytes] = deque()
        self._n_dropped = 0
        self._unwritten = b""
        self._line_queued = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None

    @property
    def n_dropped(self) -> int:
        """The number of dropped lines that are not logged yet."""
        return self._n_dropped

    def emit(self, record: Any) -> None:
        """Queue the line of a record."""
        if len(self._lines) >= N_QUEUED_LINES_LIMIT:
            self._n_dropped += 1
            return
        self._lines.append(self._format(record))
        self._line_queued.set()

    def start(self) -> None:
        """Start the greenlet that writes the lines."""
        os.set_blocking(self._descriptor, False)
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Write the queued lines that the reader accepts within STOP_TIMEOUT."""
        if self._greenlet is None:
            return
        self._greenlet.kill()
        with gevent.Timeout(STOP_TIMEOUT.total_seconds(), False):
            while self._write_batch():
                pass

    def _format(self, record: Any) -> bytes:
        line = {
            "time": record.time.time().isoformat("milliseconds"),
            "level": record.level_name.lower(),
            "part": record.channel,
            "event": record.message,
            **self._fields,
            **record.kwargs,
        }
        return _ENCODER.encode(line) + b"\n"

    def _run(self) -> None:
        while True:
            self._line_queued.wait()
            self._line_queued.clear()
            n_lines = len(self._lines)
            while self._write_batch():
                pass
            pause = max(FLUSH_INTERVAL.total_seconds(), n_lines / N_LINES_PER_S_LIMIT)
            gevent.sleep(pause)

    def _write_batch(self) -> bool:
        """Write one batch and return whether more data is queued."""
        data = self._unwritten or self._take_batch()
        if not data:
            return False
        try:
            n_written = os.write(self._descriptor, data)
        except BlockingIOError:
            self._unwritten = data
            socket.wait_write(self._descriptor)
            return True
        self._unwritten = data[n_written:]
        return bool(self._unwritten or self._lines)

    def _take_batch(self) -> bytes:
        if self._n_dropped:
            report = {"part": "log", "event": "lines dropped", "n": self._n_dropped}
            self._lines.append(_ENCODER.encode(report) + b"\n")
            self._n_dropped = 0
        batch: list[bytes] = []
        n_bytes = 0
        while self._lines and n_bytes < BATCH_LIMIT_BYTES:
            batch.append(self._lines.popleft())
            n_bytes += len(batch[-1])
        return b"".join(batch)


def start_json_log(
    descriptor: int, level: str, fields: dict[str, str]
) -> JsonLineHandler:
    """Log all records of this process as JSON lines that share some fields."""
    handler = JsonLineHandler(descriptor, level, fields)
    handler.push_application()
    handler.start()
    return handler
