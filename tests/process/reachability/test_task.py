"""Guard against connections to endpoints by a way that is worse than another."""

from collections.abc import Iterator

import pytest
from gevent import socket

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.http.sockets import EndpointSocket
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.reachability.messages import (
    AttemptEnded,
    EndpointAddressesListed,
    RelaysFound,
)
from oleanderhitch.process.reachability.states import AttemptOutcome, Reach
from oleanderhitch.process.reachability.task import (
    ConnectorDependencies,
    Direct,
    connect_to_endpoint,
    make_reachability_task,
)
from tests.connection.relay.test_tunnel import (
    CLOCK,
    CODEC,
    EARLIER_CODEC,
    KEY,
    FakeEndpoint,
    make_relay,
)
from tests.process.site.harness import get_free_address, wait_until


def answer(accepted: socket.socket) -> None:
    """Answer with some bytes up to the end of the connection."""
    accepted.recv(100)
    accepted.sendall(b"answer")


class Connector:
    """Host without links to its endpoints, beside hosts that know some messages."""

    def __init__(self, *codecs: Codec) -> None:
        self.endpoint = FakeEndpoint(answer)
        self.relays = [make_relay(get_free_address(), codec) for codec in codecs]
        for relay in self.relays:
            relay.start()
        self._task = make_reachability_task(lambda report: None, CLOCK)
        self._task.start()
        # It listens nowhere, so that the links stay lost.
        lost = get_free_address()
        self._task.send(EndpointAddressesListed((lost,)))
        self._task.send(AttemptEnded(Direct(), lost, AttemptOutcome.REFUSED))
        self._task.send(RelaysFound(tuple(relay._listen for relay in self.relays)))
        reach = self._task._state
        wait_until(lambda: reach.reach is Reach.ISOLATED, "links that are lost")

    def open(self) -> EndpointSocket:
        """Return a connection to the endpoint."""
        identity = Identity(NodeId("host"), KEY)
        dependencies = ConnectorDependencies(self._task, CODEC, identity, CLOCK)
        return connect_to_endpoint(self.endpoint.address, dependencies)

    def stop(self) -> None:
        """Stop the hosts and the task."""
        self._task.stop()
        for relay in self.relays:
            relay.stop()


def read_answer(opened: EndpointSocket) -> bytes:
    """Return the whole answer; raise OSError if its end is not confirmed."""
    opened.connected.settimeout(5)
    opened.connected.sendall(b"request")
    data = b""
    while piece := opened.receive(100):
        data += piece
    opened.connected.close()
    return data


@pytest.fixture
def mixed() -> Iterator[Connector]:
    """Run a host between one of an earlier build and one of this build."""
    connector = Connector(EARLIER_CODEC, CODEC)
    yield connector
    connector.stop()


@pytest.fixture
def earlier() -> Iterator[Connector]:
    """Run a host beside hosts of an earlier build."""
    connector = Connector(EARLIER_CODEC, EARLIER_CODEC)
    yield connector
    connector.stop()


def test_answers_pass_through_the_host_that_confirms_their_end(
    mixed: Connector,
) -> None:
    """Guard against broken answers while hosts are replaced one after the other."""
    assert [read_answer(mixed.open()) for _ in range(6)] == [b"answer"] * 6


def test_hosts_of_an_earlier_build_are_used_if_there_are_no_others(
    earlier: Connector,
) -> None:
    """Guard against callers that are refused, though their answers have a length."""
    for _ in range(4):
        opened = earlier.open()
        opened.connected.sendall(b"request")
        assert opened.receive(100) == b"answer"
        with pytest.raises(ConnectionAbortedError):
            opened.receive(100)
        opened.connected.close()
    assert earlier.endpoint.n_accepted == 4
