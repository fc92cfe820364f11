"""Guard against keys that are of use after their removal, on any entry host."""

import os
import signal
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import gevent
import logbook
import pytest
import urllib3

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.site.subscribers import ENTRY_CONTACT_TIMEOUT
from tests.process.site.harness import CLOCK, REVOCATION_LIMIT, SiteHarness, wait_until

KEPT_KEY, REMOVED_KEY = "kept-8c1d", "removed-41fe"


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteHarness]:
    """Return a site with two entry hosts that need leases."""
    harness = SiteHarness(tmp_path, 3, revocation_limit=REVOCATION_LIMIT)
    with logbook.TestHandler().applicationbound() as handler:
        harness.start()
        harness.start_second_entry()
        harness.publish(1, {"desk": [KEPT_KEY, REMOVED_KEY]})
        for address in (harness.caller_address, harness.second_caller_address):
            wait_until(partial(is_served, harness, address), f"a response of {address}")
        yield harness
        harness.close()
    # No key is in any line of any process.
    lines = [f"{record.message} {record.kwargs}" for record in handler.records]
    assert any("request routed" in line for line in lines)
    assert not [line for line in lines if KEPT_KEY in line or REMOVED_KEY in line]


def is_served(site: SiteHarness, address: HostAddress) -> bool:
    """Return whether an entry host serves the key that is removed later."""
    return site.send_with_key(REMOVED_KEY, address)[0] == 200


def count_runs(site: SiteHarness) -> int:
    """Return how many requests have run; entry hosts also read the engine's cache."""
    return site.engine.bodies.count(b"x")


def test_removed_key_is_of_no_use_on_a_host_that_is_cut_off(site: SiteHarness) -> None:
    """Guard against a host that does not learn of the removal and serves on."""
    second = site.second_caller_address
    site.cut_off_second_entry()
    assert is_served(site, second)
    site.publish(2, {"desk": [KEPT_KEY]})
    removed_at = CLOCK.now()
    gevent.sleep((removed_at + REVOCATION_LIMIT - CLOCK.now()).total_seconds())
    n_bodies = count_runs(site)
    for key in (REMOVED_KEY, KEPT_KEY):
        status, body = site.send_with_key(key, second)
        assert (status, body[:11]) == (503, b"not_current")
    assert site.send_with_key(REMOVED_KEY, site.caller_address)[0] == 401
    assert count_runs(site) == n_bodies
    assert site.send_with_key(KEPT_KEY, site.caller_address)[0] == 200


def test_removed_key_is_of_no_use_on_a_host_that_was_frozen(site: SiteHarness) -> None:
    """Guard against a process that goes on where it stood, with requests it has read.

    It is out of contact when the key is removed, so that it thaws without a status that
    tells it, and with the request in its socket.
    """
    with site.run_entry_process() as (process, address):
        wait_until(partial(is_served_by_process, site, address), "an entry process")
        n_bodies = count_runs(site)
        os.kill(process, signal.SIGSTOP)
        try:
            gevent.sleep(2 * ENTRY_CONTACT_TIMEOUT.total_seconds())
            site.publish(2, {"desk": [KEPT_KEY]})
            gevent.sleep(REVOCATION_LIMIT.total_seconds())
            late = gevent.spawn(site.send_with_key, REMOVED_KEY, address)
            gevent.sleep(0.2)
        finally:
            os.kill(process, signal.SIGCONT)
        assert late.get(timeout=5)[0] in (401, 503)
        wait_until(
            lambda: site.send_with_key(KEPT_KEY, address)[0] == 200, "the other key"
        )
        assert site.send_with_key(REMOVED_KEY, address)[0] == 401
        # Only the other key's request ran.
        assert count_runs(site) == n_bodies + 1


def is_served_by_process(site: SiteHarness, address: HostAddress) -> bool:
    """Return whether a process that may not listen yet serves the key."""
    try:
        return is_served(site, address)
    except urllib3.exceptions.HTTPError:
        return False
