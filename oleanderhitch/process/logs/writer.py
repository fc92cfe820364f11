"""Write log records as JSON lines to standard output in a greenlet of its own."""

import json
import os
from collections import deque
from datetime import timedelta
from typing import Any

import gevent
import gevent.event
import logbook
from gevent import socket

# A burst of decisions fits; a process that logs faster for longer loses lines,
# and says how many.
N_QUEUED_LIMIT = 2000
N_LINES_PER_S = 400
WRITE_LIMIT_BYTES = 32 * 1024
FLUSH_INTERVAL = timedelta(milliseconds=100)
STOP_LIMIT = timedelta(milliseconds=200)


class JsonLineHandler(logbook.Handler):  # type: ignore[misc]
    """Queue records as lines; drop them while the queue is full."""

    def __init__(self, descriptor: int, level: str, fields: dict[str, str]) -> None:
        super().__init__(level.upper())
        self._descriptor = descriptor
        self._fields = fields
        self._lines: deque[bytes] = deque()
        self._n_dropped = 0
        self._rest = b""
        self._wake = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None

    @property
    def n_dropped(self) -> int:
        """Return the number of lines dropped since the last report."""
        return self._n_dropped

    def emit(self, record: Any) -> None:
        """Queue the line of a record."""
        if len(self._lines) >= N_QUEUED_LIMIT:
            self._n_dropped += 1
            return
        self._lines.append(self._format(record))
        self._wake.set()

    def start(self) -> None:
        """Start writing."""
        os.set_blocking(self._descriptor, False)
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Write what waits, as far as the reader takes it within a moment."""
        if self._greenlet is None:
            return
        self._greenlet.kill()
        with gevent.Timeout(STOP_LIMIT.total_seconds(), False):
            while self._write_some():
                pass

    def _format(self, record: Any) -> bytes:
        line = {
            "time": record.time.strftime("%H:%M:%S.%f")[:-3],
            "level": record.level_name.lower(),
            "part": record.channel,
            "event": record.message,
            **self._fields,
            **record.kwargs,
        }
        return json.dumps(line, default=str, separators=(",", ":")).encode() + b"\n"

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            n_written = len(self._lines)
            while self._write_some():
                pass
            pause = max(FLUSH_INTERVAL.total_seconds(), n_written / N_LINES_PER_S)
            gevent.sleep(pause)

    def _write_some(self) -> bool:
        """Write one batch and tell whether more waits."""
        data = self._rest or self._take_batch()
        if not data:
            return False
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self._rest = data
            socket.wait_write(self._descriptor)
            return True
        self._rest = data[written:]
        return bool(self._rest or self._lines)

    def _take_batch(self) -> bytes:
        if self._n_dropped:
            report = {"part": "log", "event": "lines dropped", "n": self._n_dropped}
            self._lines.append(json.dumps(report).encode() + b"\n")
            self._n_dropped = 0
        batch: list[bytes] = []
        n_bytes = 0
        while self._lines and n_bytes < WRITE_LIMIT_BYTES:
            batch.append(self._lines.popleft())
            n_bytes += len(batch[-1])
        return b"".join(batch)


def start_json_log(
    descriptor: int, level: str, fields: dict[str, str]
) -> JsonLineHandler:
    """Write all records of this process as lines with some common fields."""
    handler = JsonLineHandler(descriptor, level, fields)
    handler.push_application()
    handler.start()
    return handler
