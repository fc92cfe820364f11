"""Guard against an entry host that ends for what callers send to its own interface."""

import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from oleanderhitch.connection.caller.parsing import BODY_LIMIT_BYTES
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
from tests.process.site.harness import get_free_address, wait_until

# A replicated group reads this program, which is not known.
GET_PROGRAM = b"GET /v1/programs/x HTTP/1.1\r\nHost: h\r\nX-Account: a\r\n\r\n"
PATHS = ("/v1/chat/completions", "/none", "/readyz")


@pytest.fixture
def entry(tmp_path: Path) -> Iterator[tuple["subprocess.Popen[bytes]", HostAddress]]:
    """Start an entry host with a store of its own in another process."""
    address = get_free_address()
    (tmp_path / "key").write_text("k" * 32)
    process = subprocess.Popen(
        [
            *(sys.executable, "-m", "oleanderhitch.process.commands.entry"),
            *("--node", "entry", "--data-centre", "a"),
            *("--key-file", str(tmp_path / "key")),
            *("--data-dir", str(tmp_path / "data")),
            *("--listen", address, "--peer-listen", get_free_address()),
        ],
        env={
            **os.environ,
            "OLEANDERHITCH_MEMORY_LIMIT_MB": str(MEMORY_LIMIT_BYTES / 1_000_000),
            "OLEANDERHITCH_N_DESCRIPTORS_LIMIT": str(N_DESCRIPTORS_LIMIT),
        },
        stdout=(tmp_path / "log").open("wb"),
        stderr=subprocess.STDOUT,
    )
    yield process, address
    process.kill()
    process.wait()


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("kind", CROWDS)
def test_a_crowd_does_not_end_an_entry_host(
    entry: tuple["subprocess.Popen[bytes]", HostAddress], kind: str, path: str
) -> None:
    """Guard against memory and descriptors that untrusted clients use up."""
    process, address = entry
    target = Target(address, path, BODY_LIMIT_BYTES)

    def is_answered() -> bool:
        assert process.poll() is None, "the process has ended"
        return has_answer(target, GET_PROGRAM, b"404")

    wait_until(is_answered, "an entry host that serves")
    run_crowd(kind, target, Measured(process.pid), is_answered)
    assert process.poll() is None
