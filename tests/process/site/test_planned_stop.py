"""Guard against requests that a planned stop cuts without an answer."""

from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import gevent
import pytest

from tests.process.site.harness import CLOCK, SiteHarness, wait_until

# The harness's requests have 4 s, which is more than this.
GRACE_PERIOD = timedelta(seconds=3)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteHarness]:
    """Return a site whose engine takes longer than a planned stop may last."""
    harness = SiteHarness(tmp_path, 1, GRACE_PERIOD)
    harness.start()
    harness.publish(1)
    harness.wait_for_service("first")
    harness.engine.work_duration = 2 * GRACE_PERIOD
    yield harness
    harness.close()


def test_request_that_the_stop_would_cut_is_refused_at_once(site: SiteHarness) -> None:
    """Guard against requests that are passed on late in the grace and then cut (LOST).

    The caller can come back to another host, also with what must not be repeated.
    """
    assert site.entry is not None
    n_bodies = len(site.engine.bodies)
    stopping = gevent.spawn(site.entry.stop)
    gevent.sleep(0.1)
    asked_at = CLOCK.now()
    status, _ = site.send_turn("late", b"in")
    assert status == 503
    assert CLOCK.now() - asked_at < timedelta(seconds=1)
    assert len(site.engine.bodies) == n_bodies
    stopping.join(timeout=2 * GRACE_PERIOD.total_seconds())


def test_request_under_way_gets_an_answer_before_the_process_ends(
    site: SiteHarness,
) -> None:
    """Guard against a connection that closes on a request without any answer."""
    assert site.entry is not None
    n_bodies = len(site.engine.bodies)
    under_way = gevent.spawn(site.send_turn, "under-way", b"in")
    # Before it is routed, the stop refuses it, since it has more time than the grace.
    wait_until(lambda: len(site.engine.bodies) > n_bodies, "the request at the engine")
    started_at = CLOCK.now()
    site.entry.stop()
    assert CLOCK.now() - started_at < GRACE_PERIOD
    status, _ = under_way.get(timeout=1)
    assert status == 504
