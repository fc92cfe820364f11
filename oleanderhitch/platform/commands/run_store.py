"""Assembly of a store from the platform's settings and dialects."""

import os
import sys

from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.platform.listing import make_list_reader
from oleanderhitch.platform.operators import make_platform_operator_dialect
from oleanderhitch.platform.process import (
    EXIT_FAILED,
    Lifetime,
    run,
    start_stdout_logging,
)
from oleanderhitch.platform.routing import parse_route_table
from oleanderhitch.platform.settings import (
    get_endpoint_list_address,
    make_store_settings,
    read_settings_file,
)
from oleanderhitch.process.clock import make_boot_clock, make_system_clock
from oleanderhitch.process.metrics.core import make_metrics
from oleanderhitch.process.site.settings import SiteStoreSettings
from oleanderhitch.process.site.store import StoreDependencies, make_store


def run_store() -> int:
    """Run a store until it terminates; return EXIT_FAILED if it can't start.

    A store that has started exits the process instead of returning.
    """
    try:
        file = read_settings_file()
        settings = make_store_settings(file)
    except OleanderhitchError as error:
        sys.stderr.write(f"store: {error}\n")
        return EXIT_FAILED
    start_stdout_logging(settings.site.host)
    clock = make_system_clock()
    metrics = make_metrics()
    lifetime = Lifetime()
    dependencies = StoreDependencies(
        make_platform_operator_dialect(settings.n_losses_tolerated),
        make_list_reader(get_endpoint_list_address(file)),
        parse_route_table,
    )
    store = make_store(
        settings, dependencies, clock, make_boot_clock(), metrics, lifetime.fail
    )
    address = settings.site.metrics_address
    run(store, _read_settings, lifetime, metrics, address, clock)
    # A normal exit would wait for threads that a stalled disk may block.
    sys.stdout.flush()
    os._exit(lifetime.exit_code)


def _read_settings() -> SiteStoreSettings:
    return make_store_settings(read_settings_file())
