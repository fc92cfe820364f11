"""Guard against keys that are of use after their removal, on any entry host."""

from collections.abc import Iterator
from datetime import timedelta
from functools import partial
from pathlib import Path

import gevent
import logbook
import pytest

from oleanderhitch.connection.ids import HostAddress
from tests.process.site.harness import CLOCK, SiteHarness, wait_until

REVOCATION_LIMIT = timedelta(seconds=2)
KEPT_KEY, REMOVED_KEY = "kept-8c1d", "removed-41fe"


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteHarness]:
    """Return a site with two entry hosts that need leases."""
    harness = SiteHarness(tmp_path, 3, revocation_limit=REVOCATION_LIMIT)
    with logbook.TestHandler().applicationbound() as handler:
        harness.start()
        harness.start_second_entry()
        harness.publish(1, [KEPT_KEY, REMOVED_KEY])
        for address in (harness.caller_address, harness.second_caller_address):
            wait_until(partial(is_served, harness, address), f"a response of {address}")
        yield harness
        harness.close()
    # No key is in any line of any process.
    lines = [f"{record.message} {record.kwargs}" for record in handler.records]
    assert any("request ended with verdict" in line for line in lines)
    assert not [line for line in lines if KEPT_KEY in line or REMOVED_KEY in line]


def is_served(site: SiteHarness, address: HostAddress) -> bool:
    """Return whether an entry host serves the key that is removed later."""
    return site.send_with_key(REMOVED_KEY, address)[0] == 200


def test_removed_key_is_of_no_use_on_a_host_that_is_cut_off(site: SiteHarness) -> None:
    """Guard against a host that does not learn of the removal and serves on."""
    second = site.second_caller_address
    site.cut_off_second_entry()
    assert is_served(site, second)
    site.publish(2, [KEPT_KEY])
    removed_at = CLOCK.now()
    gevent.sleep((removed_at + REVOCATION_LIMIT - CLOCK.now()).total_seconds())
    n_bodies = len(site.engine.bodies)
    for key in (REMOVED_KEY, KEPT_KEY):
        status, body = site.send_with_key(key, second)
        assert (status, body[:11]) == (503, b"not_current")
    assert site.send_with_key(REMOVED_KEY, site.caller_address)[0] == 401
    assert len(site.engine.bodies) == n_bodies
    assert site.send_with_key(KEPT_KEY, site.caller_address)[0] == 200
