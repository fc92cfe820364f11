"""Run an entry with the platform's settings."""

import sys

from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.platform.caches import make_platform_caches
from oleanderhitch.platform.listing import make_list_reader
from oleanderhitch.platform.process import EXIT_FAILED, Lifetime, run, start_log
from oleanderhitch.platform.requests import make_platform_dialect
from oleanderhitch.platform.routing import read_route_table
from oleanderhitch.platform.settings import (
    get_list_address,
    make_entry_settings,
    read_settings_file,
)
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.metrics.core import make_metrics
from oleanderhitch.process.site.entry import EntryDependencies, make_entry_host
from oleanderhitch.process.site.settings import EntrySettings


def run_entry() -> int:
    """Run until the process ends and return its exit code."""
    try:
        file = read_settings_file()
        settings = make_entry_settings(file)
    except OleanderhitchError as error:
        sys.stderr.write(f"entry: {error}\n")
        return EXIT_FAILED
    start_log(settings.site.host)
    clock = make_system_clock()
    metrics = make_metrics()
    lifetime = Lifetime()
    translation = EntryDependencies(
        make_platform_dialect(),
        make_platform_caches(),
        read_route_table,
        make_list_reader(get_list_address(file)),
    )
    entry = make_entry_host(settings, translation, clock, metrics)
    address = settings.site.metrics_address
    run(entry, _read_settings, lifetime, metrics, address, clock)
    return lifetime.exit_code


def _read_settings() -> EntrySettings:
    return make_entry_settings(read_settings_file())
