"""Guard against peer streams that lose messages, hang or accept unknown peers."""

from datetime import timedelta

import gevent
import pytest
from gevent import socket

from oleanderhitch.connection.exceptions import ConnectionLostError
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.link import make_peer_link
from oleanderhitch.connection.peer.messages import LinkDown, LinkUp
from oleanderhitch.connection.peer.server import make_peer_server
from oleanderhitch.connection.peer.stream import PeerStream, StreamTiming
from oleanderhitch.connection.peer_codec import make_project_codec
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.groups.messages import GroupAnswer, GroupCall
from oleanderhitch.process.mailbox import make_mailbox

FAST = StreamTiming(
    timedelta(milliseconds=500), timedelta(milliseconds=50), timedelta(milliseconds=300)
)
# Heartbeats far apart, as on the links of entry hosts.
RARE_HEARTBEATS = StreamTiming(
    timedelta(milliseconds=500), timedelta(seconds=60), timedelta(milliseconds=300)
)
CLOCK = make_system_clock()
KEY = b"0123456789abcdef"


def find_port():
    """Return a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class PeerPair:
    """A server that echoes calls and a link to it, optionally through a relay."""

    def __init__(self, server_key=KEY, link_to=None, timing=FAST, deliver=None):
        self.port = find_port()
        self.received = make_mailbox("received")
        self.link_events = make_mailbox("link events")
        self.n_sends = 0
        codec = make_project_codec()
        self.server = make_peer_server(
            f"127.0.0.1:{self.port}",
            codec,
            Identity("server", server_key),
            self.reply_to_call,
            FAST,
        )
        self.server.start()
        self.link = make_peer_link(
            f"127.0.0.1:{link_to or self.port}",
            codec,
            Identity("client", KEY),
            deliver or self.received.send,
            self.link_events.send,
            timing,
            self.count_sent_bytes,
        )
        self.link.start()

    def count_sent_bytes(self, n_bytes):
        """Count the sends of the link."""
        self.n_sends += 1

    def reply_to_call(self, delivery):
        """Reply to a call with the call's body."""
        call = delivery.message
        delivery.reply_address.send(GroupAnswer(call.call, call.body))

    def send_call(self, number, body=b"x"):
        """Send a call; return the reply, or None if none arrives in time."""
        self.link.send(GroupCall(number, "g", body, False))
        delivery = self.received.receive(timedelta(seconds=2))
        return None if delivery is None else delivery.message

    def stop(self):
        """Stop both ends."""
        self.link.stop()
        self.server.stop()


@pytest.fixture
def pair():
    """Return a pair whose link is up."""
    peers = PeerPair()
    assert isinstance(peers.link_events.receive(timedelta(seconds=2)), LinkUp)
    yield peers
    peers.stop()


def test_messages_arrive_in_both_directions(pair):
    """Guard against lost or changed messages of any size."""
    for number in range(50):
        assert (
            pair.send_call(number, b"x" * number * 10_000).body
            == b"x" * number * 10_000
        )


def test_heartbeats_keep_an_idle_stream_open(pair):
    """Guard against a stream that times out because there are no messages."""
    gevent.sleep(0.8)
    assert pair.link_events.n_waiting == 0
    assert pair.send_call(1).call == 1


def test_peer_without_the_shared_key_is_rejected():
    """Guard against a link to a peer that doesn't hold the shared key."""
    peers = PeerPair(server_key=b"another key of 16")
    assert isinstance(peers.link_events.receive(timedelta(seconds=2)), LinkDown)
    peers.stop()


def test_peer_that_authenticates_slowly_is_given_up():
    """Guard against unknown peers that hold the few streams of a server for hours."""
    address = "127.0.0.1", find_port()
    server = make_peer_server(
        "{}:{}".format(*address), make_project_codec(), Identity("s", KEY), print, FAST
    )
    server.start()
    with socket.create_connection(address) as peer:
        assert peer.recv(1000)
        # The start of a frame of 100 bytes; each byte is faster than a timeout.
        started_at = CLOCK.now()
        with pytest.raises(OSError):
            for byte in b"\xc6\0\0\0\x64" + bytes(16):
                peer.send(bytes([byte]))
                gevent.sleep(0.1)
    assert CLOCK.now() - started_at < 4 * FAST.receive_timeout
    server.stop()


def test_link_replaces_a_hung_connection():
    """Guard against a host that counts as lost because one connection hangs."""
    relay = SilentRelay()
    peers = PeerPair(link_to=relay.port)
    relay.target = peers.port
    while not isinstance(peers.link_events.receive(timedelta(seconds=2)), LinkUp):
        pass
    assert peers.send_call(1).call == 1
    relay.is_silent = True
    relay.n_silenced = relay.n_accepted
    assert isinstance(peers.link_events.receive(timedelta(seconds=2)), LinkDown)
    assert isinstance(peers.link_events.receive(timedelta(seconds=2)), LinkUp)
    assert peers.send_call(2).call == 2
    peers.stop()
    relay.server.stop()


def test_an_idle_link_with_rare_heartbeats_sends_nothing():
    """Guard against heartbeats that grow with entry hosts times stores."""
    peers = PeerPair(timing=RARE_HEARTBEATS)
    assert isinstance(peers.link_events.receive(timedelta(seconds=2)), LinkUp)
    assert peers.send_call(1).call == 1
    gevent.sleep(0.8)
    assert peers.n_sends == 1
    assert peers.link_events.n_waiting == 0
    peers.stop()


def test_a_hung_connection_shows_at_the_next_message():
    """Guard against a silent connection that rare heartbeats find late."""
    relay = SilentRelay()
    peers = PeerPair(link_to=relay.port, timing=RARE_HEARTBEATS)
    relay.target = peers.port
    while not isinstance(peers.link_events.receive(timedelta(seconds=2)), LinkUp):
        pass
    relay.is_silent = True
    relay.n_silenced = relay.n_accepted
    peers.link.send(GroupCall(1, "g", b"x", False))
    assert isinstance(peers.link_events.receive(timedelta(seconds=2)), LinkDown)
    assert isinstance(peers.link_events.receive(timedelta(seconds=2)), LinkUp)
    assert peers.send_call(2).call == 2
    peers.stop()
    relay.server.stop()


def test_an_unexpected_error_ends_the_stream_only():
    """Guard against a link that never connects again after one message."""
    delivered = make_mailbox("delivered")

    def fail_once(delivery):
        delivered.send(delivery)
        if delivery.message.call == 1:
            raise AttributeError("no such field")

    peers = PeerPair(deliver=fail_once)
    assert isinstance(peers.link_events.receive(timedelta(seconds=2)), LinkUp)
    peers.link.send(GroupCall(1, "g", b"x", False))
    assert isinstance(peers.link_events.receive(timedelta(seconds=2)), LinkDown)
    assert isinstance(peers.link_events.receive(timedelta(seconds=2)), LinkUp)
    peers.link.send(GroupCall(2, "g", b"x", False))
    calls = [delivered.receive(timedelta(seconds=2)).message.call for _ in range(2)]
    assert calls == [1, 2]
    peers.stop()


def test_a_link_on_demand_sends_what_came_while_it_ended():
    """Guard against a message that waits for the next one to open the link."""
    peers = PeerPair()
    link = make_peer_link(
        f"127.0.0.1:{peers.port}",
        make_project_codec(),
        Identity("client-2", KEY),
        peers.received.send,
        peers.link_events.send,
        FAST,
        is_on_demand=True,
    )
    link.send(GroupCall(1, "g", b"x", False))
    assert peers.received.receive(timedelta(seconds=2)).message.call == 1
    peers.server._server.pool.kill(block=False)
    while not isinstance(peers.link_events.receive(timedelta(seconds=2)), LinkDown):
        pass
    link.send(GroupCall(2, "g", b"x", False))
    delivery = peers.received.receive(timedelta(seconds=2))
    assert delivery is not None
    assert delivery.message.call == 2
    link.stop()
    peers.stop()


def test_a_server_ends_a_stream_whose_client_is_gone():
    """Guard against streams of lost hosts that a server keeps for ever."""
    ended = make_mailbox("ended")
    timing = StreamTiming(silence_limit=timedelta(milliseconds=200))
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()

    def serve():
        stream = PeerStream(
            accepted, make_project_codec(), Identity("s", KEY), timing, CLOCK
        )
        try:
            stream.run_as_server("c", make_mailbox("outgoing"), ended.send)
        except ConnectionLostError as error:
            ended.send(str(error))

    gevent.spawn(serve)
    assert "no data" in ended.receive(timedelta(seconds=2))
    client.close()


def test_replies_of_a_server_start_no_timers(monkeypatch):
    """Guard against a timer for the replies to each entry host."""
    checks = []
    check = PeerStream._check_as_server
    monkeypatch.setattr(
        PeerStream,
        "_check_as_server",
        lambda self, now: (checks.append(now), check(self, now))[1],
    )
    peers = PeerPair(timing=RARE_HEARTBEATS)
    for number in range(8):
        assert peers.send_call(number).call == number
        gevent.sleep(0.1)
    assert len(checks) == 1
    peers.stop()


class SilentRelay:
    """Relay that drops the bytes of its first `n_silenced` connections."""

    def __init__(self):
        self.port = find_port()
        self.target = None
        self.is_silent = False
        self.n_accepted = 0
        self.n_silenced = 0
        self.server = gevent.server.StreamServer(("127.0.0.1", self.port), self.serve)
        self.server.start()

    def serve(self, accepted, address):
        """Relay one connection."""
        self.n_accepted += 1
        number = self.n_accepted
        upstream = socket.create_connection(("127.0.0.1", self.target))
        client_to_server = gevent.spawn(self.forward, accepted, upstream, number)
        self.forward(upstream, accepted, number)
        client_to_server.join()

    def forward(self, source, sink, number):
        """Forward bytes until either end closes."""
        try:
            while data := source.recv(4096):
                if number > self.n_silenced:
                    sink.sendall(data)
        except OSError:
            pass
        finally:
            sink.close()


def test_invalid_bytes_do_not_stop_the_server(pair):
    """Guard against invalid bytes of an unauthenticated client."""
    with socket.create_connection(("127.0.0.1", pair.port)) as client:
        client.sendall(b"GET / HTTP/1.1\r\n\r\n")
        client.settimeout(2)
        while client.recv(1024):
            pass
    assert pair.send_call(1).call == 1
