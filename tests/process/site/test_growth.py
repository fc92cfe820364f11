"""Guard against a site that gives way under the content of all programs."""

import tracemalloc
from pathlib import Path

from tests.process.site.harness import SiteHarness, wait_until

MIB = 1024 * 1024
N_TURNS = 48


# Guards against stores that pass their memory limit in each restart, so that service
# does not come back after a loss of power.
def test_restart_does_not_hold_the_content_of_all_turns(tmp_path: Path) -> None:
    """Hold less than one copy of the content in three stores that start together."""
    site = SiteHarness(tmp_path, 3)
    site.start()
    site.publish(1)
    site.wait_for_service("first")
    try:
        for number in range(N_TURNS):
            status, _ = site.send_turn(f"t{number}", b"x" * MIB, budget=100_000)
            assert status == 200
        for number in list(site.stores):
            site.stop_store(number)
        site.engine.bodies.clear()
        tracemalloc.start()
        for number in range(3):
            site.start_store(number)
        site.wait_for_service("again")
        _, peak_bytes = tracemalloc.get_traced_memory()
        assert peak_bytes < N_TURNS * MIB
        assert site.send_turn("next", b"in", "t0", budget=100_000)[0] == 200
        assert site.engine.bodies[-1].startswith(b"x" * MIB)
    finally:
        tracemalloc.stop()
        site.close()


# Guards against stores that pass their memory limit when they have lost their disks or
# are added, at each start again, since they receive the contents of all turns.
def test_store_without_its_disk_does_not_hold_the_content_it_receives(
    tmp_path: Path,
) -> None:
    """Hold less than half of the content in a store that gets all of it."""
    site = SiteHarness(tmp_path, 3)
    site.start()
    site.publish(1)
    site.wait_for_service("first")
    try:
        for number in range(N_TURNS):
            status, _ = site.send_turn(f"t{number}", b"x" * MIB, budget=100_000)
            assert status == 200
        site.engine.bodies.clear()
        empty = next(n for n in site.stores if n != site.find_leader())
        site.stop_store(empty)
        tracemalloc.start()
        site.start_store(empty, disk=1)
        wait_until(
            lambda: site.count_turns(empty) >= N_TURNS, "all turns at the empty store"
        )
        _, peak_bytes = tracemalloc.get_traced_memory()
        assert peak_bytes < N_TURNS * MIB / 2
    finally:
        tracemalloc.stop()
        site.close()


# Guards against one store that carries the turns of all programs, whose overload takes
# away the acknowledgement of configuration and the service of all programs.
def test_several_stores_lead_the_turns_of_programs(tmp_path: Path) -> None:
    """Spread the leadership over the stores, soon after they have formed the site."""
    site = SiteHarness(tmp_path, 4)
    site.start()
    try:
        site.publish(1)
        wait_until(
            lambda: sum(n > 0 for n in site.count_led_groups().values()) >= 3,
            "three stores that lead a group",
        )
    finally:
        site.close()
