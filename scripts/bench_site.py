"""Measure what idle entry hosts and stores of a site cost.

All stores run in this process and all entry hosts in a child process, on loopback.
Prints processor time, messages and bytes per host and second. Run with:
python scripts/bench_site.py --stores 8 --entries 20
"""

import argparse
import multiprocessing
import socket
import tempfile
import time
from datetime import timedelta
from pathlib import Path

from oleanderhitch.process.runtime import select_event_loop

HOST = "127.0.0.1"
KEY = b"bench"
SETTLE_S = 6.0
GRACE_PERIOD = timedelta(seconds=8)


def main():
    """Run the stores here and the entry hosts in a child process."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--stores", type=int, default=8)
    parser.add_argument("--entries", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    peers = reserve_addresses(arguments.stores)
    child = multiprocessing.get_context("fork").Process(
        target=run_entries, args=(arguments.entries, peers, arguments.seconds)
    )
    child.start()
    run_stores(peers, arguments.entries, arguments.seconds)
    child.join()


def reserve_addresses(count):
    """Return free loopback addresses."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((HOST, 0))
    addresses = [f"{HOST}:{opened.getsockname()[1]}" for opened in sockets]
    for opened in sockets:
        opened.close()
    return addresses


def make_settings(name, node, peers):
    """Return the settings that an entry host and a store share."""
    from oleanderhitch.process.site.settings import SiteSettings

    seeds = tuple(peers[:3])
    return SiteSettings(name, "dc-1", node, seeds, KEY, GRACE_PERIOD, None)


def run_stores(peers, n_entries, seconds):
    """Run all stores and print what they cost."""
    select_event_loop()
    from oleanderhitch.platform.operators import make_platform_operator_dialect
    from oleanderhitch.process.clock import make_boot_clock, make_system_clock
    from oleanderhitch.process.metrics.core import make_metrics
    from oleanderhitch.process.site.settings import SiteStoreSettings
    from oleanderhitch.process.site.store import StoreDependencies, make_store

    clock = make_system_clock()
    all_metrics = []
    with tempfile.TemporaryDirectory() as folder:
        for number, peer in enumerate(peers):
            metrics = make_metrics()
            all_metrics.append(metrics)
            make_store(
                SiteStoreSettings(
                    make_settings(f"store-{number}", peer, peers),
                    reserve_addresses(1)[0],
                    Path(folder) / str(number),
                    True,
                    1,
                ),
                StoreDependencies(make_platform_operator_dialect(1), lambda: ()),
                clock,
                make_boot_clock(),
                metrics,
                print,
            ).start()
        measure("store", len(peers), all_metrics, seconds)


def run_entries(count, peers, seconds):
    """Run all entry hosts and print what they cost."""
    select_event_loop()
    from oleanderhitch.platform.caches import make_platform_cache_dialect
    from oleanderhitch.platform.requests import make_platform_dialect
    from oleanderhitch.platform.routing import parse_route_table
    from oleanderhitch.process.clock import make_boot_clock
    from oleanderhitch.process.metrics.core import make_metrics
    from oleanderhitch.process.site.entry import EntryDependencies, make_entry_host
    from oleanderhitch.process.site.settings import SiteEntrySettings

    clock = make_boot_clock()
    dependencies = EntryDependencies(
        make_platform_dialect(),
        make_platform_cache_dialect(),
        parse_route_table,
        lambda: (),
    )
    all_metrics = []
    for number, address in enumerate(reserve_addresses(count)):
        caller, readiness = reserve_addresses(2)
        settings = make_settings(f"entry-{number}", address, peers)
        metrics = make_metrics()
        all_metrics.append(metrics)
        make_entry_host(
            SiteEntrySettings(settings, caller, readiness),
            dependencies,
            clock,
            metrics,
        ).start()
    measure("entry host", count, all_metrics, seconds)


def measure(role, n_hosts, all_metrics, seconds):
    """Print processor time and bytes to peers per host and second."""
    import gevent

    gevent.sleep(SETTLE_S)
    started_s, sent = time.process_time(), count_bytes(all_metrics)
    gevent.sleep(seconds)
    used_s = time.process_time() - started_s
    n_bytes = count_bytes(all_metrics) - sent
    per_host = n_hosts * seconds
    print(
        f"{role}: {1000 * used_s / per_host:.2f} ms/s processor, "
        f"{n_bytes / per_host:.0f} bytes/s to peers (n={n_hosts})"
    )


def count_bytes(all_metrics):
    """Return the bytes that all hosts have sent to peers."""
    return sum(
        sample.value
        for metrics in all_metrics
        for sample in metrics.make_snapshot().counters
        if sample.name == "peer_bytes_total" or "peer" in sample.name
    )


if __name__ == "__main__":
    main()
