"""Guard against sites that lose turns, budgets or routing with their stores."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.process.site.harness import Site, wait_until

OUTPUT = b"out0\nout1\nout2\n"


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    """Return a site of three stores and an entry that serves turns."""
    found = Site(tmp_path, 3)
    found.start()
    found.publish(1)
    found.wait_for_service("first")
    yield found
    found.close()


def test_turn_continues_the_one_it_names(site: Site) -> None:
    """The endpoint must get the whole chain, oldest first."""
    assert site.ask("t1", b"in1\n")[0] == 200
    assert site.ask("t2", b"in2\n", "t1")[0] == 200
    assert site.ask("t3", b"in3\n", "t2")[0] == 200
    expected = b"in1\n" + OUTPUT + b"in2\n" + OUTPUT + b"in3\n"
    assert site.endpoints.bodies[-1] == expected


def test_unknown_turn_and_spent_budget_reach_no_endpoint(site: Site) -> None:
    """These answers promise that nothing ran."""
    n_bodies = len(site.endpoints.bodies)
    assert site.ask("t1", b"in", "missing")[0] == 404
    assert site.ask("t2", b"in", budget=10)[0] == 402
    assert len(site.endpoints.bodies) == n_bodies


def test_turns_survive_the_loss_of_the_leader(site: Site) -> None:
    """A store that dies must take nothing acknowledged with it."""
    site.ask("t1", b"in1\n")
    site.stop_store(site.wait_for_leader())
    site.wait_for_service("again")
    assert site.ask("t2", b"in2\n", "t1")[0] == 200
    assert site.endpoints.bodies[-1] == b"in1\n" + OUTPUT + b"in2\n"
    assert site.call(min(site.stores), "GET", "/-/config")[1]["version"] == 1


def test_store_with_an_empty_disk_is_repaired_before_a_second_loss(
    site: Site,
) -> None:
    """A second loss right after a repair must be borne."""
    site.ask("t1", b"in1\n")
    leader = site.wait_for_leader()
    first, second = sorted(set(site.stores) - {leader})
    site.stop_store(first)
    site.start_store(first, disk=1)

    def is_repaired() -> bool:
        found = site.stores[site.wait_for_leader()].list_voters()
        return site.stores[first].replica_id in found and len(found) == 3

    wait_until(is_repaired, "three voters, one with a new disk")
    site.stop_store(second)
    site.wait_for_service("again")
    assert site.ask("t2", b"in2\n", "t1")[0] == 200
    assert site.endpoints.bodies[-1] == b"in1\n" + OUTPUT + b"in2\n"


def test_all_stores_come_back_with_what_was_acknowledged(site: Site) -> None:
    """All processes may be killed at once."""
    site.ask("t1", b"in1\n")
    site.publish(2)
    for number in list(site.stores):
        site.stop_store(number)
    for number in range(3):
        site.start_store(number)
    site.wait_for_service("again")
    assert site.ask("t2", b"in2\n", "t1")[0] == 200
    assert site.call(1, "GET", "/-/config")[1]["version"] == 2


def test_minority_answers_no_read(site: Site) -> None:
    """A store that can't be sure must not tell a configuration."""
    leader = site.wait_for_leader()
    others = sorted(set(site.stores) - {leader})
    for number in others:
        site.stop_store(number)
    wait_until(
        lambda: site.call(leader, "GET", "/-/config")[0] == 503,
        "a refusal without a majority",
    )


def test_retirement_needs_enough_other_stores(tmp_path: Path) -> None:
    """A store is emptied only if enough others are left, and then completely."""
    site = Site(tmp_path, 4)
    site.start()
    site.publish(1)

    def find_status(host: str) -> int:
        path = f"/-/retire/{host}"
        return site.call(0, "POST", path, {"over_s": 10})[0]

    try:
        # Orders to a store that is not registered yet are told as unknown.
        wait_until(lambda: find_status("store-1") == 200, "an accepted order")
        path = "/-/retire/store-1"
        wait_until(
            lambda: site.call(0, "GET", path)[1] == {"state": "completed"},
            "a completed retirement",
        )
        assert find_status("store-9") == 404
        assert find_status("store-2") == 409
        leader = site.stores[site.wait_for_leader()]
        assert site.stores[1].replica_id not in leader.list_voters()
    finally:
        site.close()


def test_replaced_store_begins_anew_in_its_process(tmp_path: Path) -> None:
    """A store that was away for long must become a spare without a restart."""
    site = Site(tmp_path, 4)
    site.start()
    site.publish(1)
    site.wait_for_service("first")
    try:
        leader = site.wait_for_leader()
        away = next(number for number in range(3) if number != leader)
        old = site.stores[away].replica_id
        site.stop_store(away)
        spare = site.stores[3]
        wait_until(
            lambda: (
                spare.replica_id in site.stores[site.wait_for_leader()].list_voters()
            ),
            "the spare as a voter",
        )
        site.start_store(away)
        wait_until(lambda: site.stores[away].replica_id != old, "a new replica id")
        assert site.ended == []
        site.wait_for_service("again")
    finally:
        site.close()


def test_stores_restart_from_their_snapshots(site: Site) -> None:
    """A store whose log was replaced by a snapshot must start again."""
    content = b"x" * 3_900_000
    for number in range(6):
        assert site.ask(f"t{number}", content)[0] == 200
    for number in list(site.stores):
        site.stop_store(number)
    for number in range(3):
        site.start_store(number)
    site.wait_for_service("again")
    assert site.ask("next", b"in", "t0")[0] == 200
    assert site.endpoints.bodies[-1] == content + OUTPUT + b"in"
