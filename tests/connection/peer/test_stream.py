"""Test peer streams over real sockets on loopback."""

from datetime import timedelta

import gevent
import pytest
from gevent import socket

from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.link import make_peer_link
from oleanderhitch.connection.peer.messages import LinkDown, LinkUp
from oleanderhitch.connection.peer.server import make_peer_server
from oleanderhitch.connection.peer.stream import StreamTiming
from oleanderhitch.connection.registry import make_project_codec
from oleanderhitch.process.groups.messages import GroupAnswer, GroupCall
from oleanderhitch.process.mailbox import make_mailbox

FAST = StreamTiming(
    timedelta(milliseconds=500), timedelta(milliseconds=50), timedelta(milliseconds=300)
)
KEY = b"0123456789abcdef"


def find_port():
    """Return a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Pair:
    """Run a server that answers calls and a link to it, maybe over a relay."""

    def __init__(self, server_key=KEY, link_to=None):
        self.port = find_port()
        self.received = make_mailbox("received")
        self.notices = make_mailbox("notices")
        codec = make_project_codec()
        self.server = make_peer_server(
            f"127.0.0.1:{self.port}",
            codec,
            Identity("server", server_key),
            self.answer,
            FAST,
        )
        self.server.start()
        self.link = make_peer_link(
            f"127.0.0.1:{link_to or self.port}",
            codec,
            Identity("client", KEY),
            self.received.send,
            self.notices.send,
            FAST,
        )
        self.link.start()

    def answer(self, delivery):
        """Answer a call with its own body."""
        call = delivery.message
        delivery.reply.send(GroupAnswer(call.call, call.body))

    def ask(self, number, body=b"x"):
        """Return the answer to one call."""
        self.link.send(GroupCall(number, "g", body, False))
        delivery = self.received.receive(timedelta(seconds=2))
        return None if delivery is None else delivery.message

    def stop(self):
        """Stop both ends."""
        self.link.stop()
        self.server.stop()


@pytest.fixture
def pair():
    """Return a connected pair."""
    made = Pair()
    assert isinstance(made.notices.receive(timedelta(seconds=2)), LinkUp)
    yield made
    made.stop()


def test_carries_messages_both_ways(pair):
    """Guard against lost or changed messages, also large ones."""
    for number in range(50):
        assert pair.ask(number, b"x" * number * 10_000).body == b"x" * number * 10_000


def test_heartbeats_keep_an_idle_stream(pair):
    """Guard against a stream that breaks because nobody has anything to say."""
    gevent.sleep(0.8)
    assert pair.notices.n_waiting == 0
    assert pair.ask(1).call == 1


def test_a_stranger_is_refused():
    """Guard against a peer without the shared key."""
    made = Pair(server_key=b"another key of 16")
    assert isinstance(made.notices.receive(timedelta(seconds=2)), LinkDown)
    made.stop()


def test_replaces_a_connection_that_went_silent():
    """Guard against a host that is condemned because one connection is silent."""
    relay = SilentRelay()
    made = Pair(link_to=relay.port)
    relay.target = made.port
    while not isinstance(made.notices.receive(timedelta(seconds=2)), LinkUp):
        pass
    assert made.ask(1).call == 1
    relay.is_silent = True
    relay.n_silent = relay.n_accepted
    assert isinstance(made.notices.receive(timedelta(seconds=2)), LinkDown)
    assert isinstance(made.notices.receive(timedelta(seconds=2)), LinkUp)
    assert made.ask(2).call == 2
    made.stop()
    relay.server.stop()


class SilentRelay:
    """Pass bytes on, but drop those of connections opened before the silence."""

    def __init__(self):
        self.port = find_port()
        self.target = None
        self.is_silent = False
        self.n_accepted = 0
        self.n_silent = 0
        self.server = gevent.server.StreamServer(("127.0.0.1", self.port), self.serve)
        self.server.start()

    def serve(self, accepted, address):
        """Relay one connection."""
        self.n_accepted += 1
        number = self.n_accepted
        onward = socket.create_connection(("127.0.0.1", self.target))
        there = gevent.spawn(self.pump, accepted, onward, number)
        self.pump(onward, accepted, number)
        there.join()

    def pump(self, source, sink, number):
        """Pass bytes on until either end closes."""
        try:
            while data := source.recv(4096):
                if number > self.n_silent:
                    sink.sendall(data)
        except OSError:
            pass
        finally:
            sink.close()


def test_refuses_a_peer_that_sends_garbage(pair):
    """Guard against bytes of a stranger that stop the server."""
    with socket.create_connection(("127.0.0.1", pair.port)) as stranger:
        stranger.sendall(b"GET / HTTP/1.1\r\n\r\n")
        stranger.settimeout(2)
        while stranger.recv(1024):
            pass
    assert pair.ask(1).call == 1
