"""Guard against tunnels between hosts of this build and of one without confirmed ends.

Hosts are replaced one after the other, so that each build meets the other in each role.
"""

import io
import os
import signal
import subprocess
import sys
import tarfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import gevent
import pytest
from gevent import socket
from gevent import subprocess as gevent_subprocess

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.relay.exceptions import TunnelUnconfirmedError
from tests.connection.relay.test_tunnel import (
    FakeEndpoint,
    answer_in_parts,
    connect,
    connect_unconfirmed,
    connect_when_listening,
    read_all,
    run_relay_process,
)
from tests.process.site.harness import ROOT, get_free_address, wait_until

# The newest version that does not know tunnels with confirmed ends.
EARLIER_BUILD = "1fe5e16"
PREAMBLE = """
import sys
from oleanderhitch.process.runtime import select_event_loop
select_event_loop()
import gevent
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.relay.client import open_tunnel
from oleanderhitch.connection.relay.server import make_relay_server
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.site.peer_codec import make_site_peer_codec
codec, clock = make_site_peer_codec(), make_system_clock()
"""
RELAY_SCRIPT = (
    PREAMBLE
    + """
make_relay_server(sys.argv[1], codec, Identity("relay", b"key"), clock, 4).start()
gevent.sleep(60)
"""
)
# Prints how an answer without a length ends.
ASKER_SCRIPT = (
    PREAMBLE
    + """
tunnel = open_tunnel(*sys.argv[1:], codec, Identity("host", b"key"), clock)
tunnel.settimeout(10)
tunnel.sendall(b"request")
try:
    while tunnel.recv(65536):
        pass
    print("complete")
except OSError:
    print("broken")
"""
)


@pytest.fixture(scope="module")
def sources(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return a folder with the sources of the earlier build."""
    command = ["git", "archive", EARLIER_BUILD, "oleanderhitch"]
    archived = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
    if archived.returncode:
        pytest.skip("this checkout has no history with the earlier build")
    folder = tmp_path_factory.mktemp("earlier")
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return folder


@contextmanager
def run_script(
    folder: Path, script: str, *arguments: str
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a script with the sources in a folder."""
    process = gevent_subprocess.Popen(
        [sys.executable, "-c", script, *arguments],
        cwd=folder,
        stdout=subprocess.PIPE,
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def answer(accepted: socket.socket) -> None:
    """Answer with some bytes up to the end of the connection."""
    accepted.recv(100)
    accepted.sendall(b"answer")


def test_earlier_build_passes_answers_on_for_this_one(sources: Path) -> None:
    """Pass bytes on without a confirmed end, which is a broken answer."""
    relay = get_free_address()
    complete, endless = FakeEndpoint(answer), FakeEndpoint(answer_in_parts)
    with run_script(sources, RELAY_SCRIPT, relay) as process:
        tunnel = connect_when_listening(connect_unconfirmed, relay, complete.address)
        tunnel.sendall(b"request")
        assert tunnel.recv(6) == b"answer"
        with pytest.raises(ConnectionAbortedError):
            tunnel.recv(1)
        with pytest.raises(TunnelUnconfirmedError):
            connect(relay, endless.address)
        tunnel = connect_unconfirmed(relay, endless.address)
        tunnel.sendall(b"request")
        assert tunnel.recv(4) == b"part"
        os.kill(process.pid, signal.SIGKILL)
        with pytest.raises(ConnectionError):
            read_all(tunnel)


@pytest.mark.parametrize("is_killed", [False, True])
def test_this_build_passes_answers_on_for_an_earlier_one(
    sources: Path, is_killed: bool
) -> None:
    """Guard against cut answers that look complete, and complete ones that do not."""
    endpoint = FakeEndpoint(answer_in_parts if is_killed else answer)
    with run_relay_process() as (relay_id, relay):
        connect_when_listening(connect, relay, endpoint.address).close()
        with run_script(sources, ASKER_SCRIPT, relay, endpoint.address) as asker:
            wait_until(lambda: endpoint.n_accepted == 2, "the request of the process")
            if is_killed:
                gevent.sleep(0.3)
                os.kill(relay_id, signal.SIGKILL)
            output, _ = asker.communicate(timeout=10)
    assert output.decode().strip() == ("broken" if is_killed else "complete")


def test_cut_answer_looks_complete_between_hosts_of_the_earlier_build(
    sources: Path,
) -> None:
    """Guard against tests above that run another build than the earlier one."""
    endpoint = FakeEndpoint(answer_in_parts)
    relay = HostAddress(get_free_address())
    with run_script(sources, RELAY_SCRIPT, relay) as process:
        connect_when_listening(connect_unconfirmed, relay, endpoint.address).close()
        with run_script(sources, ASKER_SCRIPT, relay, endpoint.address) as asker:
            wait_until(lambda: endpoint.n_accepted == 2, "the request of the process")
            gevent.sleep(0.3)
            os.kill(process.pid, signal.SIGKILL)
            output, _ = asker.communicate(timeout=10)
    assert output.decode().strip() == "complete"
