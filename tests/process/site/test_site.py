"""Guard against a site that loses turns, budgets or routing with its stores."""

from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest

from oleanderhitch.process.repair.damage import LED_WITHOUT_REPLICA_MIN
from oleanderhitch.process.site.group import (
    SITE_GROUP,
    SITE_GROUPS,
    get_turn_group,
)
from oleanderhitch.program.ids import ProgramId
from tests.process.site.harness import SiteHarness, wait_until

ENGINE_OUTPUT = b"out0\nout1\nout2\n"


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteHarness]:
    """Return a site of three stores and an entry host that serves turns."""
    harness = SiteHarness(tmp_path, 3)
    harness.start()
    harness.publish(1)
    harness.wait_for_service("first")
    yield harness
    harness.close()


def test_turn_includes_the_history_of_the_previous_turn(site: SiteHarness) -> None:
    """Guard against an endpoint that gets an incomplete or unordered history."""
    assert site.send_turn("t1", b"in1\n")[0] == 200
    assert site.send_turn("t2", b"in2\n", "t1")[0] == 200
    assert site.send_turn("t3", b"in3\n", "t2")[0] == 200
    expected = b"in1\n" + ENGINE_OUTPUT + b"in2\n" + ENGINE_OUTPUT + b"in3\n"
    assert site.engine.bodies[-1] == expected


def test_unknown_turn_and_spent_budget_reach_no_endpoint(site: SiteHarness) -> None:
    """Guard against running a request whose response guarantees that it did not run."""
    n_bodies = len(site.engine.bodies)
    assert site.send_turn("t1", b"in", "missing")[0] == 404
    assert site.send_turn("t2", b"in", budget=10)[0] == 402
    assert len(site.engine.bodies) == n_bodies


def test_turns_survive_the_loss_of_the_leader(site: SiteHarness) -> None:
    """Guard against losing acknowledged turns or routing with the leader."""
    site.send_turn("t1", b"in1\n")
    site.stop_store(site.wait_for_leader())
    site.wait_for_service("again")
    assert site.send_turn("t2", b"in2\n", "t1")[0] == 200
    assert site.engine.bodies[-1] == b"in1\n" + ENGINE_OUTPUT + b"in2\n"
    assert site.call_store(min(site.stores), "GET", "/-/config")[1]["version"] == 1


def test_store_with_an_empty_disk_is_repaired_before_a_second_loss(
    site: SiteHarness,
) -> None:
    """Guard against a repair after which the site can't lose another store."""
    site.send_turn("t1", b"in1\n")
    leader = site.wait_for_leader()
    first, second = sorted(set(site.stores) - {leader})
    site.stop_store(first)
    site.start_store(first, disk=1)

    def is_repaired() -> bool:
        for group in SITE_GROUPS:
            voters = site.stores[leader].list_voters(group)
            replica = site.stores[first].find_replica_id(group)
            if replica not in voters or len(voters) != 3:
                return False
        return True

    wait_until(is_repaired, "three voters, one with a new disk")
    site.stop_store(second)
    site.wait_for_service("again")
    assert site.send_turn("t2", b"in2\n", "t1")[0] == 200
    assert site.engine.bodies[-1] == b"in1\n" + ENGINE_OUTPUT + b"in2\n"


def test_acknowledged_state_survives_a_restart_of_all_stores(site: SiteHarness) -> None:
    """Guard against losing acknowledged state when all stores stop together."""
    site.send_turn("t1", b"in1\n")
    site.publish(2)
    for number in list(site.stores):
        site.stop_store(number)
    for number in range(3):
        site.start_store(number)
    site.wait_for_service("again")
    assert site.send_turn("t2", b"in2\n", "t1")[0] == 200
    assert site.call_store(1, "GET", "/-/config")[1]["version"] == 2


def test_store_without_a_majority_serves_no_read(site: SiteHarness) -> None:
    """Guard against returning a configuration that may be outdated."""
    leader = site.wait_for_leader()
    followers = sorted(set(site.stores) - {leader})
    for number in followers:
        site.stop_store(number)
    wait_until(
        lambda: site.call_store(leader, "GET", "/-/config")[0] == 503,
        "a refusal without a majority",
    )


def test_retirement_needs_enough_other_stores(tmp_path: Path) -> None:
    """Guard against retiring too many stores, or a store that still has a replica."""
    site = SiteHarness(tmp_path, 4)
    site.start()
    site.publish(1)

    def request_retirement(host: str) -> int:
        path = f"/-/retire/{host}"
        return site.call_store(0, "POST", path, {"over_s": 10})[0]

    try:
        # Requests get status 404 until the store has registered.
        wait_until(
            lambda: request_retirement("store-1") == 200, "an accepted retirement"
        )
        path = "/-/retire/store-1"
        wait_until(
            lambda: site.call_store(0, "GET", path)[1] == {"state": "completed"},
            "a completed retirement",
        )
        assert request_retirement("store-9") == 404
        assert request_retirement("store-2") == 409
        leader = site.stores[site.wait_for_leader()]
        assert site.stores[1].replica_id not in leader.list_voters()
    finally:
        site.close()


def test_replaced_store_restarts_empty_in_its_process(tmp_path: Path) -> None:
    """Guard against a returning store that keeps its removed replica.

    It must become a spare with a new replica id, without ending its process.
    """
    site = SiteHarness(tmp_path, 4)
    site.start()
    site.publish(1)
    site.wait_for_service("first")
    try:
        leader = site.wait_for_leader()
        replaced = next(number for number in range(3) if number != leader)
        old_replica_id = site.stores[replaced].replica_id
        site.stop_store(replaced)
        spare = site.stores[3]
        wait_until(
            lambda: (
                spare.replica_id in site.stores[site.wait_for_leader()].list_voters()
            ),
            "the spare as a voter",
        )
        site.start_store(replaced)
        wait_until(
            lambda: site.stores[replaced].replica_id != old_replica_id,
            "a new replica id",
        )
        assert site.end_reasons == []
        site.wait_for_service("again")
    finally:
        site.close()


def test_stores_restart_from_their_snapshots(site: SiteHarness) -> None:
    """Guard against a store that cannot start from a snapshot.

    The turns are large enough to replace the start of the log by snapshots.
    """
    content = b"x" * 3_900_000
    for number in range(6):
        assert site.send_turn(f"t{number}", content)[0] == 200
    for number in list(site.stores):
        site.stop_store(number)
    for number in range(3):
        site.start_store(number)
    site.wait_for_service("again")
    assert site.send_turn("next", b"in", "t0")[0] == 200
    assert site.engine.bodies[-1] == content + ENGINE_OUTPUT + b"in"


def test_turn_continues_one_of_a_program_in_another_group(site: SiteHarness) -> None:
    """Guard against programs that can't continue the turns of other programs."""
    names = [f"p{number}" for number in range(20)]
    groups = {get_turn_group(ProgramId(name)) for name in names}
    assert len(groups) > 3
    assert site.send_turn("t1", b"in1\n", program="p0")[0] == 200
    assert site.send_turn("t2", b"in2\n", "t1", program="p0")[0] == 200
    history = b"in1\n" + ENGINE_OUTPUT + b"in2\n" + ENGINE_OUTPUT
    for name in names:
        request = f"t3-{name}"
        assert site.send_turn(request, b"in3\n", "t2", program=name)[0] == 200
        assert site.engine.bodies[-1] == history + b"in3\n"
        assert site.send_turn(f"t4-{name}", b"in4\n", request, program=name)[0] == 200
        expected = history + b"in3\n" + ENGINE_OUTPUT + b"in4\n"
        assert site.engine.bodies[-1] == expected


def test_turn_continues_a_long_chain_of_a_program_in_another_group(
    site: SiteHarness,
) -> None:
    """Guard against status 503 for each try to continue it."""
    names = iter(f"p{number}" for number in range(20))
    other = next(
        name
        for name in names
        if get_turn_group(ProgramId(name)) != get_turn_group(ProgramId("p"))
    )
    content = b"x" * 2_500_000
    history = b""
    for number in range(2):
        previous = f"t{number - 1}" if number else None
        assert site.send_turn(f"t{number}", content, previous)[0] == 200
        history += content + ENGINE_OUTPUT
    assert site.send_turn("next", b"in\n", "t1", program=other)[0] == 200
    assert site.engine.bodies[-1] == history + b"in\n"
    assert site.send_turn("last", b"in\n", "next", program=other)[0] == 200
    assert site.engine.bodies[-1] == history + b"in\n" + ENGINE_OUTPUT + b"in\n"


def test_data_of_an_earlier_release_is_not_passed_over(tmp_path: Path) -> None:
    """Guard against a store that starts empty beside state that it does not read."""
    site = SiteHarness(tmp_path, 3)
    directory = tmp_path / "store-0-0"
    directory.mkdir()
    (directory / "identity.json").write_text("{}")
    site.start_store(0, may_bootstrap=True)
    try:
        wait_until(lambda: site.end_reasons != [], "a store that ends")
        assert "earlier release" in site.end_reasons[0]
        assert site.stores[0].replica_id is None
    finally:
        site.close()


def make_gap(directory: Path) -> Path:
    """Make the log in a directory miss a segment; return its last segment."""
    path = directory / "log-000000009999.wal"
    path.touch()
    return path


def test_store_with_a_gap_in_a_log_is_repaired_by_its_peers(
    site: SiteHarness, tmp_path: Path
) -> None:
    """Guard against a store that ends at each start, or votes again under its old id.

    As long as no other store leads the group, the log may be needed and is kept.
    """
    site.send_turn("t1", b"in1\n")
    leader = site.wait_for_leader()
    damaged, other = sorted(set(site.stores) - {leader})
    old_replica = site.stores[damaged].replica_id
    for number in range(3):
        site.stop_store(number)
    segment = make_gap(tmp_path / f"store-{damaged}-0" / SITE_GROUP)
    site.start_store(damaged)
    gevent.sleep(2 * LED_WITHOUT_REPLICA_MIN.total_seconds())
    assert segment.exists()
    site.start_store(leader)
    site.start_store(other)

    def is_repaired() -> bool:
        voters = site.stores[leader].list_voters()
        replica = site.stores[damaged].replica_id
        return replica in voters and len(voters) == 3 and old_replica not in voters

    wait_until(is_repaired, "three voters, one with a new id")
    assert (tmp_path / f"store-{damaged}-0" / "site.damaged" / segment.name).exists()
    site.stop_store(other)
    site.wait_for_service("again")
    assert site.send_turn("t2", b"in2\n", "t1")[0] == 200
    assert site.end_reasons == []


def test_only_store_keeps_a_log_with_a_gap(tmp_path: Path) -> None:
    """Guard against a store that drops the only copy of its state."""
    site = SiteHarness(tmp_path, 1)
    site.start()
    site.publish(1)
    site.stop_store(0)
    directory = tmp_path / "store-0-0" / SITE_GROUP
    make_gap(directory)
    before = {path.name: path.read_bytes() for path in directory.glob("*.*")}
    site.start_store(0)
    try:
        wait_until(lambda: site.end_reasons != [], "a store that ends")
        assert "missing" in site.end_reasons[0]
        assert {path.name: path.read_bytes() for path in directory.glob("*.*")} == (
            before
        )
    finally:
        site.close()
