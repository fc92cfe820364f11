"""Write finished spans to a file in a greenlet that owns it."""

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

N_RECORDS_PER_WRITE = 1000
STOP_PAUSE = timedelta(milliseconds=10)
_LOG = logbook.Logger("tracing")


class SpanWriter:
    """Append spans in batches; drop them when too many wait."""

    def __init__(self, path: Path, mailbox: Mailbox, settings: TracingSettings) -> None:
        self._path = path
        self._mailbox = mailbox
        self._interval = timedelta(milliseconds=settings.flush_interval_ms)
        self._limit_bytes = settings.file_limit_bytes
        self._n_queued_limit = settings.n_queued_limit
        self._n_dropped = 0
        self._stopping = Event()
        self._greenlet: gevent.Greenlet | None = None

    @property
    def path(self) -> Path:
        """Return the file that the spans go to."""
        return self._path

    @property
    def n_dropped(self) -> int:
        """Return the number of spans that found no room or could not be written."""
        return self._n_dropped

    def add(self, record: SpanRecord) -> None:
        """Queue a span, or drop it when there is no room."""
        try:
            self._mailbox.send(record)
        except UnavailableError:
            self._n_dropped += 1

    def start(self) -> None:
        """Start writing."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Write what waits and end."""
        if self._greenlet is None:
            return
        self._stopping.set()
        # The writer empties a full mailbox now that it no longer waits.
        while self._mailbox.n_waiting >= self._n_queued_limit:
            gevent.sleep(STOP_PAUSE.total_seconds())
        self._mailbox.send(StopTask())
        self._greenlet.join()

    def _run(self) -> None:
        while True:
            message = self._mailbox.receive()
            # Waiting here collects a batch; a stop ends the wait.
            self._stopping.wait(self._interval.total_seconds())
            batch = [message]
            while self._mailbox.n_waiting and len(batch) < N_RECORDS_PER_WRITE:
                batch.append(self._mailbox.receive())
            records = [item for item in batch if isinstance(item, SpanRecord)]
            if records:
                # A write may wait for the disk, which must not stop the hub.
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
            if size > self._limit_bytes:
                self._path.replace(self._path.with_suffix(".old.jsonl"))
        except OSError as error:
            self._n_dropped += len(batch)
            _LOG.warning("could not write {} spans: {}", len(batch), error)


def make_span_writer(path: Path, settings: TracingSettings) -> SpanWriter:
    """Return a writer that is not started yet."""
    return SpanWriter(path, make_mailbox("tracing", settings.n_queued_limit), settings)
