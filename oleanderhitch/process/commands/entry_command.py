"""Define the command line of an entry host."""

import logbook
from cleo.commands.command import Command

from oleanderhitch.connection.peer_codec import make_project_codec
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.commands.options import (
    make_options,
    run_single_command,
    run_with_settings,
)
from oleanderhitch.process.metrics.core import make_metrics
from oleanderhitch.process.metrics.task import make_metrics_task
from oleanderhitch.process.roles.entry import make_entry_components
from oleanderhitch.process.roles.store_access import make_store_access
from oleanderhitch.process.runtime import make_stop_event, start_logging
from oleanderhitch.process.settings import EntrySettings
from oleanderhitch.process.tracing.tracer import make_tracer

EXIT_START_FAILED = 2
EXIT_NOT_DRAINED = 3

log = logbook.Logger("entry")


class EntryCommand(Command):
    """Runs an entry host."""

    name = "entry"
    description = "Run an entry host: callers, admission, queues and dispatch."
    options = make_options(EntrySettings)

    def handle(self) -> int:
        """Run the entry host with the settings of options and environment."""
        return run_with_settings(self, EntrySettings, serve)


def serve(settings: EntrySettings) -> int:
    """Run an entry host until SIGTERM or SIGINT and return the exit code."""
    start_logging(settings.log_level)
    stop_event = make_stop_event()
    codec = make_project_codec()
    clock = make_system_clock()
    try:
        metrics = make_metrics()
        tracer = make_tracer(settings.make_tracing_settings())
        store_access = make_store_access(settings, codec, clock, metrics, tracer)
        components = make_entry_components(
            settings, store_access, codec, clock, metrics, tracer
        )
    except OleanderhitchError as error:
        log.error("{}", error)
        return EXIT_START_FAILED
    metrics_task = make_metrics_task(metrics, clock)
    metrics_task.start()
    store_access.start()
    components.start()
    log.info("listening for callers on {}", settings.listen)
    stop_event.wait()
    log.info("draining: rejecting new requests, waiting for running requests")
    is_drained = components.drain(settings.get_drain_timeout())
    components.stop()
    store_access.stop()
    tracer.stop()
    metrics_task.stop()
    if not is_drained:
        log.error(
            "drain timed out: requests were still running after {} s",
            settings.drain_timeout_s,
        )
        return EXIT_NOT_DRAINED
    log.info("stopped; all requests had ended")
    return 0


def run() -> int:
    """Run the command line and return the exit code."""
    return run_single_command("oleanderhitch-entry", EntryCommand())
