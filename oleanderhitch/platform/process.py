"""Life cycle of a process: signals, metrics over HTTP and settings reload."""

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

from oleanderhitch.connection.http.budget import (
    N_STATUS_CONNECTIONS,
    STATUS_BUDGET_BYTES,
    STATUS_LIMITS,
    ServerBudget,
)
from oleanderhitch.connection.http.caller import ResponseWriter
from oleanderhitch.connection.http.memory import make_traffic_memory
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
DEFAULT_LOG_LEVEL = "info"
# The platform may change the settings file without sending SIGHUP.
SETTINGS_CHECK_INTERVAL = timedelta(seconds=1)

Settings = TypeVar("Settings")
AcceptedSettings = TypeVar("AcceptedSettings", contravariant=True)

log = logbook.Logger("process")


class Runnable(Protocol[AcceptedSettings]):
    """All tasks of a process, such as those of an entry host or of a store."""

    def start(self) -> None:
        """Start all tasks."""

    def apply_settings(self, settings: AcceptedSettings) -> None:
        """Connect to the seeds of changed settings."""

    def stop(self) -> None:
        """Stop gracefully."""


class Lifetime:
    """Waits until the process is to terminate and keeps its exit code."""

    def __init__(self) -> None:
        self._termination = gevent.event.Event()
        self._exit_code = 0

    @property
    def exit_code(self) -> int:
        """The exit code of the process."""
        return self._exit_code

    def fail(self, reason: str) -> None:
        """Request the termination of a process that can't continue."""
        log.error("terminating after a fatal error", reason=reason)
        self._exit_code = EXIT_FAILED
        self._termination.set()

    def request_stop(self) -> None:
        """Request a graceful stop."""
        log.info("stop requested")
        self._termination.set()

    def wait(self) -> None:
        """Wait until a stop is requested or the process fails."""
        self._termination.wait()


def start_stdout_logging(host: str) -> None:
    """Write log records as JSON lines to standard output."""
    level = os.environ.get(LOG_LEVEL_VARIABLE, DEFAULT_LOG_LEVEL)
    start_json_log(sys.stdout.fileno(), level, {"host": host})


def run(
    runnable: Runnable[Settings],
    read_settings: Callable[[], Settings],
    lifetime: Lifetime,
    metrics: Metrics,
    metrics_address: HostAddress | None,
    clock: Clock,
) -> None:
    """Run until a signal or a fatal error terminates the process."""
    gevent.signal_handler(signal.SIGTERM, lifetime.request_stop)
    gevent.signal_handler(signal.SIGINT, lifetime.request_stop)
    reload_requested = gevent.event.Event()
    gevent.signal_handler(signal.SIGHUP, reload_requested.set)
    metrics_task = make_metrics_task(metrics, clock)
    metrics_task.start()
    runnable.start()
    if metrics_address is not None:
        make_http_server(
            metrics_address,
            _make_metrics_service(metrics),
            clock,
            lambda: STATUS_LIMITS,
            ServerBudget(
                make_traffic_memory(STATUS_BUDGET_BYTES), N_STATUS_CONNECTIONS
            ),
        ).start()
    gevent.spawn(_watch_settings, runnable, read_settings, reload_requested)
    log.info("started")
    lifetime.wait()
    if lifetime.exit_code == 0:
        runnable.stop()
    log.info("ended", exit_code=lifetime.exit_code)


def _watch_settings(
    runnable: Runnable[Settings],
    read_settings: Callable[[], Settings],
    reload_requested: gevent.event.Event,
) -> None:
    path = Path(os.environ[SETTINGS_VARIABLE])
    last_content = path.read_bytes()
    while True:
        is_signalled = reload_requested.wait(SETTINGS_CHECK_INTERVAL.total_seconds())
        reload_requested.clear()
        try:
            content = path.read_bytes()
            if content == last_content and not is_signalled:
                continue
            runnable.apply_settings(read_settings())
            last_content = content
            log.info("settings reloaded", is_signalled=is_signalled)
        except (OSError, OleanderhitchError) as error:
            log.error("settings not reloaded", reason=str(error))
        except Exception as error:
            # Later settings are to be read in any case.
            log.error("unexpected error; settings not reloaded", error=repr(error))


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
