"""Guard against accounts that see or spend what belongs to another one."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.process.site.harness import SiteHarness, wait_until

DESK_KEY, SHOP_KEY = "desk-key-1", "shop-key-1"


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteHarness]:
    """Return a site with two accounts."""
    harness = SiteHarness(tmp_path, 1)
    harness.start()
    harness.publish(1, {"desk": [DESK_KEY], "shop": [SHOP_KEY]})
    numbers = iter(range(1000))

    def is_served() -> bool:
        response = harness.send_turn(
            f"first-{next(numbers)}", b"x", program="first", key=DESK_KEY
        )
        return response[0] == 200

    wait_until(is_served, "a served turn")
    yield harness
    harness.close()


def test_accounts_share_neither_turns_nor_budgets(site: SiteHarness) -> None:
    """Guard against ids of one account that mean the turns of another."""
    n_runs = len(site.engine.bodies)
    assert site.send_turn("a", b"of desk", budget=60, key=DESK_KEY)[0] == 200
    # The program of desk has no budget left; the one of shop has the same id.
    assert site.send_turn("a2", b"x", budget=60, key=DESK_KEY)[0] == 402
    assert site.send_turn("b", b"x", "a", key=SHOP_KEY)[0] == 404
    assert site.send_turn("a", b"of shop", budget=60, key=SHOP_KEY)[0] == 200
    assert site.send_turn("c", b"+", "a", 1000, "other", SHOP_KEY)[0] == 200
    assert [body for body in site.engine.bodies[n_runs:] if body] == [
        b"of desk",
        b"of shop",
        b"of shop" + b"".join(b"out%d\n" % number for number in range(3)) + b"+",
    ]


def test_endpoint_gets_the_account_and_no_key(site: SiteHarness) -> None:
    """Guard against keys that leave this system, and runs without a known one."""
    n_runs = len(site.engine.bodies)
    for key in (None, "unknown"):
        assert site.send_turn("u", b"x", key=key)[0] == 401
    assert site.send_turn("k", b"x", key=SHOP_KEY)[0] == 200
    (headers,) = [
        headers
        for body, headers in zip(site.engine.bodies, site.engine.headers, strict=True)
        if body
    ][-1:]
    assert site.engine.bodies[n_runs:].count(b"x") == 1
    assert ("x-tenant", "shop") in headers
    assert SHOP_KEY not in str(headers)
