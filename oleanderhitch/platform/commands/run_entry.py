"""Assembly of an entry host from the platform's settings and dialects."""

import sys

from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.platform.caches import make_platform_cache_dialect
from oleanderhitch.platform.listing import make_list_reader
from oleanderhitch.platform.process import (
    EXIT_FAILED,
    Lifetime,
    run,
    start_stdout_logging,
)
from oleanderhitch.platform.requests import make_platform_dialect
from oleanderhitch.platform.routing import parse_route_table
from oleanderhitch.platform.settings import (
    get_endpoint_list_address,
    make_entry_settings,
    read_settings_file,
)
from oleanderhitch.process.clock import make_boot_clock
from oleanderhitch.process.metrics.core import make_metrics
from oleanderhitch.process.site.entry import EntryDependencies, make_entry_host
from oleanderhitch.process.site.settings import SiteEntrySettings


def run_entry() -> int:
    """Run an entry host until it terminates and return the exit code."""
    try:
        file = read_settings_file()
        settings = make_entry_settings(file)
    except OleanderhitchError as error:
        sys.stderr.write(f"entry: {error}\n")
        return EXIT_FAILED
    start_stdout_logging(settings.site.host)
    clock = make_boot_clock()
    metrics = make_metrics()
    lifetime = Lifetime()
    dependencies = EntryDependencies(
        make_platform_dialect(),
        make_platform_cache_dialect(),
        parse_route_table,
        make_list_reader(get_endpoint_list_address(file)),
    )
    entry = make_entry_host(settings, dependencies, clock, metrics)
    address = settings.site.metrics_address
    run(entry, _read_settings, lifetime, metrics, address, clock)
    return lifetime.exit_code


def _read_settings() -> SiteEntrySettings:
    return make_entry_settings(read_settings_file())
