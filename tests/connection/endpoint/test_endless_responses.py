"""Guard against endpoints of the product's interface that send bytes without end."""

import subprocess
import sys
from collections.abc import Callable, Iterator
from datetime import timedelta

import gevent
import pytest

from oleanderhitch.connection.endpoint.transport import (
    make_pool_manager,
    open_response,
    read_chunk,
    read_whole,
    release_connection,
)
from oleanderhitch.connection.exceptions import ConnectionLostError
from oleanderhitch.connection.http.memory import make_traffic_memory
from oleanderhitch.process.clock import make_system_clock

CLOCK = make_system_clock()
TIMEOUT = timedelta(milliseconds=300)
# The timeouts above are kept with this tolerance.
END_TIMEOUT = timedelta(seconds=2)
LIMIT_BYTES = 4 * 1024 * 1024

Flood = Callable[[str], str]


@pytest.fixture
def flood() -> Iterator[Flood]:
    """Start processes that send one part of a response without end."""
    processes: list[subprocess.Popen[bytes]] = []

    def start(part: str) -> str:
        command = [sys.executable, "-m", "tests.connection.http.flood", part]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        processes.append(process)
        assert process.stdout is not None
        return f"http://127.0.0.1:{int(process.stdout.readline())}/"

    yield start
    for process in processes:
        process.kill()
        process.wait()


def read(url: str) -> None:
    """Read a whole response."""
    response = open_response(make_pool_manager(), "GET", url, TIMEOUT, TIMEOUT)
    share = make_traffic_memory().make_share()
    read_whole(response, TIMEOUT, LIMIT_BYTES, share)


@pytest.mark.parametrize(
    "part",
    ["continue", "header", "headers", "trailers", "trailer", "extension", "body"],
)
def test_endless_response_ends_in_time(part: str, flood: Flood) -> None:
    """Guard against a process that stands still since there is always more to read."""
    url = flood(part)
    started_at = CLOCK.now()
    reader = gevent.spawn(read, url)
    reader.join(END_TIMEOUT.total_seconds())
    assert CLOCK.now() - started_at < END_TIMEOUT
    assert isinstance(reader.exception, ConnectionLostError)


def test_rest_of_a_body_is_not_read_without_end(flood: Flood) -> None:
    """Guard against an engine that goes on sending after its last event."""
    response = open_response(
        make_pool_manager(), "GET", flood("body"), TIMEOUT, TIMEOUT
    )
    read_chunk(response, TIMEOUT)
    started_at = CLOCK.now()
    release_connection(response)
    assert CLOCK.now() - started_at < END_TIMEOUT


def test_answers_share_the_memory_of_the_process(flood: Flood) -> None:
    """Guard against answers that fit one by one and not all at once."""
    memory = make_traffic_memory(LIMIT_BYTES)
    url = flood("body")
    for _ in range(10):
        response = open_response(make_pool_manager(), "GET", url, TIMEOUT, TIMEOUT)
        with pytest.raises(ConnectionLostError, match="memory"):
            read_whole(response, TIMEOUT, LIMIT_BYTES, memory.make_share())
    assert memory.n_bytes <= LIMIT_BYTES
