"""Guard against entry hosts that each let an account send its whole quota."""

from datetime import timedelta
from functools import partial
from pathlib import Path
from time import monotonic

import gevent
from gevent.pool import Pool

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.quotas.messages import QuotaBounds
from tests.process.site.harness import SiteHarness, wait_until

BOUNDS = QuotaBounds(timedelta(seconds=2), 0.1, 8)
RATE_PER_S, BURST = 20, 5
# (rate x window + burst) x (1 + over) + slack
ALLOWED = (RATE_PER_S * 2 + BURST) * 1.1 + 8
TENANTS = [
    {"name": "flood", "api_keys": ["k1"], "rate_per_s": RATE_PER_S, "burst": BURST},
    {"name": "calm", "api_keys": ["k2"], "rate_per_s": 5, "burst": 5},
    {"name": "free", "api_keys": ["k3"]},
]


class _Callers:
    """Sends requests of an account to entry hosts and records the answers."""

    def __init__(self, site: SiteHarness) -> None:
        self._site = site
        self.n_sent = 0
        self.statuses: list[int] = []
        self.served_at: list[float] = []
        self.retry_times: list[str | None] = []

    def send(self, address: HostAddress, key: str) -> int:
        """Send a request and return the status of its answer."""
        self.n_sent += 1
        headers = {
            "Host": "h",
            "X-Request-Id": f"{key}-{self.n_sent}",
            "X-Deadline-Ms": "2000",
            "Authorization": f"Token {key}",
        }
        url = f"http://{address}/p/x"
        response = self._site.http.request("POST", url, body=b"x", headers=headers)
        self.statuses.append(response.status)
        if response.status == 200:
            self.served_at.append(monotonic())
        if response.status == 429:
            self.retry_times.append(response.headers.get("retry-after"))
        return response.status


def test_quota_holds_when_the_leader_is_lost(tmp_path: Path) -> None:
    """Guard against a new leader that lends what the old one has lent already."""
    site = SiteHarness(tmp_path, 3, quota_bounds=BOUNDS)
    try:
        site.start()
        addresses = (site.caller_address, site.add_entry())
        site.publish(1, tenants=TENANTS)
        flood = _Callers(site)
        for address in addresses:
            wait_until(partial(_is_served, flood, address), "a request served")
        pool = Pool(60)
        for number in range(500):
            if number == 100:
                site.stop_store(site.wait_for_leader())
                lost_at = monotonic()
            pool.spawn(flood.send, addresses[number % 2], "k1")
            gevent.sleep(0.01)
        pool.join()
    finally:
        site.close()
    served = flood.served_at
    assert max(sum(at <= t < at + 2 for t in served) for at in served) <= ALLOWED
    assert any(at > lost_at + 1 for at in served), "nothing is served by a new leader"
    assert set(flood.statuses) <= {200, 429, 503}


def _is_served(callers: _Callers, address: HostAddress) -> bool:
    return callers.send(address, "k1") == 200


def test_flood_at_two_entry_hosts_keeps_to_one_quota(tmp_path: Path) -> None:
    """Guard against hosts that don't share a limit, and floods that others pay for."""
    site = SiteHarness(tmp_path, 3, quota_bounds=BOUNDS)
    try:
        site.start()
        addresses = (site.caller_address, site.add_entry())
        site.publish(1, tenants=TENANTS)
        flood, calm, free = (_Callers(site) for _ in range(3))
        for address in addresses:
            wait_until(partial(_is_served, flood, address), "a request served")
        pool = Pool(40)
        for number in range(300):
            pool.spawn(flood.send, addresses[number % 2], "k1")
            if number % 30 == 0:
                pool.spawn(calm.send, addresses[number // 30 % 2], "k2")
                pool.spawn(free.send, addresses[number // 30 % 2], "k3")
            gevent.sleep(0.01)
        pool.join()
    finally:
        site.close()
    served = flood.served_at
    assert max(sum(at <= t < at + 2 for t in served) for at in served) <= ALLOWED
    assert flood.statuses.count(429) > 100
    assert all(flood.retry_times)
    # Most of the limit is used, and the others notice nothing.
    assert flood.statuses.count(200) > 0.8 * 3 * RATE_PER_S
    assert set(calm.statuses) == set(free.statuses) == {200}


def test_planned_transfer_refuses_nothing_below_the_limit(tmp_path: Path) -> None:
    """Guard against 503 and 429 each time the leadership is moved or a store stops."""
    site = SiteHarness(tmp_path, 3, quota_bounds=BOUNDS)
    try:
        site.start()
        addresses = (site.caller_address, site.add_entry())
        site.publish(1, tenants=TENANTS)
        calm = _Callers(site)
        for address in addresses:
            wait_until(partial(_is_served, calm, address), "a request served")
        calm.statuses.clear()
        # The bucket fills, as that of an account below its limit does.
        gevent.sleep(0.5)
        pool = Pool(10)
        for number in range(30):
            if number == 5:
                leader = site.wait_for_leader()
                moving = gevent.spawn(site.stores[leader].stop)
            pool.spawn(calm.send, addresses[number % 2], "k1")
            gevent.sleep(0.1)
        pool.join()
        moving.join()
        assert site.find_leader() != leader
    finally:
        site.close()
    assert calm.statuses == [200] * 30
