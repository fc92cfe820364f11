"""Guard against an entry host that ends for what its callers send to the platform."""

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import count
from pathlib import Path

import pytest

from oleanderhitch.connection.ids import HostAddress
from tests.connection.http.crowds import (
    CROWDS,
    MEMORY_LIMIT_BYTES,
    N_DESCRIPTORS_LIMIT,
    Measured,
    Target,
    has_answer,
    run_crowd,
)
from tests.process.site.harness import SiteHarness, get_free_address, wait_until

ORDINARY = (
    "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q{number}\r\n"
    "X-Deadline-Ms: 4000\r\nX-Program-Id: p{number}\r\nX-Token-Budget: 1000\r\n"
    "X-Token-Usage: 100,50\r\nContent-Length: 1\r\n\r\nx"
)
PATHS = ("served", "unserved", "readiness")


@dataclass(frozen=True)
class Entry:
    """An entry host in a process of its own."""

    process: "subprocess.Popen[bytes]"
    targets: dict[str, Target]


@pytest.fixture
def entry(tmp_path: Path) -> Iterator[Entry]:
    """Start a store in the test's process and an entry host in another one."""
    harness = SiteHarness(tmp_path, 1)
    harness.engine.start()
    harness.start_store(0, may_bootstrap=True)
    harness.wait_for_leader()
    harness.publish(1)
    front, ready = get_free_address(), get_free_address()
    store = harness.get_peer_address(0)
    settings = {
        "node": "entry",
        "zone": "a",
        "ip": "127.0.0.2",
        "listen": {"front": front, "ready_addr": ready},
        "port_range": [int(store.rpartition(":")[2])],
        "seeds": [store],
        "bootstrap": False,
        "tolerate": {"machines": 1},
        "bounds": {"grace_s": 8.0},
        "cloud_api": {"addr": get_free_address()},
        "limits": {
            "memory_mb": MEMORY_LIMIT_BYTES / 1_000_000,
            "max_fds": N_DESCRIPTORS_LIMIT,
        },
    }
    (tmp_path / "settings.json").write_text(json.dumps(settings))
    process = subprocess.Popen(
        [sys.executable, "-m", "oleanderhitch.platform.commands.entry"],
        env={
            **os.environ,
            "OLEANDERHITCH_CONFIG": str(tmp_path / "settings.json"),
            "OLEANDERHITCH_PEER_KEY": "key",
        },
        stdout=(tmp_path / "log").open("wb"),
    )
    targets = {
        "served": Target(HostAddress(front), "/p/x"),
        "unserved": Target(HostAddress(front), "/none"),
        "readiness": Target(HostAddress(ready), "/"),
    }
    yield Entry(process, targets)
    process.kill()
    process.wait()
    harness.close()


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("kind", CROWDS)
def test_a_crowd_does_not_end_an_entry_host(entry: Entry, kind: str, path: str) -> None:
    """Guard against memory and descriptors that untrusted clients use up."""
    numbers = count()

    def is_answered() -> bool:
        assert entry.process.poll() is None, "the process has ended"
        ordinary = ORDINARY.format(number=next(numbers)).encode()
        readiness = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        return has_answer(entry.targets["served"], ordinary) and has_answer(
            entry.targets["readiness"], readiness
        )

    wait_until(is_answered, "an entry host that serves")
    measured = Measured(entry.process.pid)
    run_crowd(kind, entry.targets[path], measured, is_answered)
    assert entry.process.poll() is None
