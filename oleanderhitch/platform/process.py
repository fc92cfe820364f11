"""Run a process of the platform from its settings to its end."""

import os
import signal
import sys
from collections.abc import Callable
from datetime import datetime, timedelta
from pathlib import Path
from typing import Protocol, TypeVar

import gevent
import gevent.event
import logbook

from oleanderhitch.connection.http.caller import ResponseWriter
from oleanderhitch.connection.http.messages import HttpRequest, HttpResponse
from oleanderhitch.connection.http.server import make_http_server
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.platform.settings import SETTINGS_VARIABLE
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.logs.writer import start_json_log
from oleanderhitch.process.mailbox import Mailbox
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.task import make_metrics_task
from oleanderhitch.process.metrics.text import CONTENT_TYPE, format_metrics

EXIT_FAILED = 2
LOG_LEVEL_VARIABLE = "OLEANDERHITCH_LOG_LEVEL"
LOG_LEVEL = "info"
# The settings file may change without a signal.
SETTINGS_CHECK_INTERVAL = timedelta(seconds=1)

Settings = TypeVar("Settings")
AcceptedSettings = TypeVar("AcceptedSettings", contravariant=True)

log = logbook.Logger("process")


class Runnable(Protocol[AcceptedSettings]):
    """Start, follow changed settings, stop."""

    def start(self) -> None:
        """Start all tasks."""

    def add_seeds(self, settings: AcceptedSettings) -> None:
        """Take account of changed settings."""

    def stop(self) -> None:
        """Stop gracefully."""


class Lifetime:
    """Wait for the end of the process and remember why it came."""

    def __init__(self) -> None:
        self._ending = gevent.event.Event()
        self._exit_code = 0

    @property
    def exit_code(self) -> int:
        """Return the code that the process ends with."""
        return self._exit_code

    def end(self, reason: str) -> None:
        """Ask for the end of a process that can't go on."""
        log.error("process ends", reason=reason)
        self._exit_code = EXIT_FAILED
        self._ending.set()

    def stop(self) -> None:
        """Ask for a graceful stop."""
        log.info("stop requested")
        self._ending.set()

    def wait(self) -> None:
        """Wait until the process is to end."""
        self._ending.wait()


def start_log(host: str) -> None:
    """Write structured lines to standard output."""
    level = os.environ.get(LOG_LEVEL_VARIABLE, LOG_LEVEL)
    start_json_log(sys.stdout.fileno(), level, {"host": host})


def run(
    runnable: Runnable[Settings],
    read_settings: Callable[[], Settings],
    lifetime: Lifetime,
    metrics: Metrics,
    metrics_address: HostAddress | None,
    clock: Clock,
) -> None:
    """Run until a signal or a fault ends the process."""
    gevent.signal_handler(signal.SIGTERM, lifetime.stop)
    gevent.signal_handler(signal.SIGINT, lifetime.stop)
    changed = gevent.event.Event()
    gevent.signal_handler(signal.SIGHUP, changed.set)
    windows = make_metrics_task(metrics, clock)
    windows.start()
    runnable.start()
    if metrics_address is not None:
        make_http_server(metrics_address, _make_metrics_service(metrics), clock).start()
    gevent.spawn(_follow_settings, runnable, read_settings, changed)
    log.info("started")
    lifetime.wait()
    if lifetime.exit_code == 0:
        runnable.stop()
    log.info("ended", exit_code=lifetime.exit_code)


def _follow_settings(
    runnable: Runnable[Settings],
    read_settings: Callable[[], Settings],
    changed: gevent.event.Event,
) -> None:
    path = Path(os.environ[SETTINGS_VARIABLE])
    known = path.read_bytes()
    while True:
        is_signalled = changed.wait(SETTINGS_CHECK_INTERVAL.total_seconds())
        changed.clear()
        try:
            content = path.read_bytes()
            if content == known and not is_signalled:
                continue
            runnable.add_seeds(read_settings())
            known = content
            log.info("settings reloaded", is_signalled=is_signalled)
        except (OSError, OleanderhitchError) as error:
            log.error("settings not reloaded", reason=str(error))


def _make_metrics_service(
    metrics: Metrics,
) -> Callable[[HttpRequest, ResponseWriter, Mailbox, datetime], None]:
    def serve(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        text = format_metrics(metrics.make_snapshot())
        headers = (("content-type", CONTENT_TYPE),)
        writer.respond(HttpResponse(200, text.encode(), headers))

    return serve
