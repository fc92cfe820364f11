"""Writer of finished spans, a greenlet that owns the trace file."""

from datetime import timedelta
from pathlib import Path

import gevent
import logbook
from gevent.event import Event

from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.process.mailbox import Mailbox, make_mailbox
from oleanderhitch.process.messages import StopTask
from oleanderhitch.process.tracing.records import SpanRecord, format_record
from oleanderhitch.process.tracing.settings import TracingSettings

BATCH_LIMIT_RECORDS = 1000
STOP_POLL_INTERVAL = timedelta(milliseconds=10)
log = logbook.Logger("tracing")


class SpanWriter:
    """Appends spans to a file in batches and drops them when the queue is full."""

    def __init__(self, path: Path, mailbox: Mailbox, settings: TracingSettings) -> None:
        self._path = path
        self._mailbox = mailbox
        self._flush_interval = timedelta(milliseconds=settings.flush_interval_ms)
        self._file_limit_bytes = settings.file_limit_bytes
        self._n_queued_limit = settings.n_queued_limit
        self._n_dropped = 0
        self._stop_requested = Event()
        self._greenlet: gevent.Greenlet | None = None

    @property
    def path(self) -> Path:
        """The path of the file."""
        return self._path

    @property
    def n_dropped(self) -> int:
        """The number of spans dropped by a full queue or a failed write."""
        return self._n_dropped

    def add(self, record: SpanRecord) -> None:
        """Queue a span, or drop it if the queue is full."""
        try:
            self._mailbox.send(record)
        except UnavailableError:
            self._n_dropped += 1

    def start(self) -> None:
        """Start the greenlet that writes the spans."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Write the queued spans and end the greenlet."""
        if self._greenlet is None:
            return
        self._stop_requested.set()
        # The greenlet no longer waits between batches, so it soon makes room for
        # StopTask in a full mailbox.
        while self._mailbox.n_waiting >= self._n_queued_limit:
            gevent.sleep(STOP_POLL_INTERVAL.total_seconds())
        self._mailbox.send(StopTask())
        self._greenlet.join()

    def _run(self) -> None:
        while True:
            message = self._mailbox.receive()
            # This wait lets a batch collect more spans; a stop interrupts it.
            self._stop_requested.wait(self._flush_interval.total_seconds())
            batch = [message]
            while self._mailbox.n_waiting and len(batch) < BATCH_LIMIT_RECORDS:
                batch.append(self._mailbox.receive())
            records = [item for item in batch if isinstance(item, SpanRecord)]
            if records:
                # A write may block on the disk, which must not block gevent's hub.
                gevent.get_hub().threadpool.apply(self._write, (records,))
            if len(records) < len(batch):
                return

    def _write(self, batch: list[SpanRecord]) -> None:
        data = "".join(format_record(record) for record in batch)
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            with self._path.open("a", encoding="utf-8") as file:
                file.write(data)
                size = file.tell()
            if size > self._file_limit_bytes:
                self._path.replace(self._path.with_suffix(".old.jsonl"))
        except OSError as error:
            self._n_dropped += len(batch)
            log.warning("could not write {} spans: {}", len(batch), error)


def make_span_writer(path: Path, settings: TracingSettings) -> SpanWriter:
    """Return a writer that is not started yet."""
    return SpanWriter(path, make_mailbox("tracing", settings.n_queued_limit), settings)
