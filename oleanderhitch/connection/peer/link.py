"""Keep one outgoing stream to a peer, connecting again when it breaks."""

import random
from collections.abc import Callable
from datetime import timedelta

import gevent
import logbook
from gevent import socket

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.addresses import parse_address
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.messages import LinkDown, LinkUp
from oleanderhitch.connection.peer.stream import (
    CountBytes,
    Deliver,
    PeerStream,
    StreamTiming,
    ignore_bytes,
)
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.mailbox import make_mailbox

SEND_QUEUE_LIMIT_MESSAGES = 4096
# A peer that restarts is back within a second or two, so a longer pause would
# only delay the group that waits for it.
RECONNECT_LIMIT = timedelta(milliseconds=500)
RECONNECT_START = timedelta(milliseconds=20)

log = logbook.Logger("peer")


class PeerLink:
    """Own the send queue and the current stream to one peer."""

    def __init__(
        self,
        peer: HostAddress,
        codec: Codec,
        identity: Identity,
        deliver: Deliver,
        notify: Callable[[object], None],
        timing: StreamTiming,
        count_bytes: CountBytes,
    ) -> None:
        self._peer = peer
        self._codec = codec
        self._identity = identity
        self._deliver = deliver
        self._notify = notify
        self._timing = timing
        self._count_bytes = count_bytes
        self._outgoing = make_mailbox(f"link {peer}", SEND_QUEUE_LIMIT_MESSAGES)
        self._greenlet: gevent.Greenlet | None = None

    @property
    def peer(self) -> HostAddress:
        """Return the peer's address."""
        return self._peer

    def send(self, message: object) -> None:
        """Queue a message; raise MailboxFullError when the peer is too slow."""
        self._outgoing.send(message)

    def start(self) -> None:
        """Connect and stay connected."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Close the stream and connect no more."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        pause = RECONNECT_START
        while True:
            try:
                stream = self._open()
            except (OleanderhitchError, OSError) as error:
                # Senders retry by themselves; keeping their messages would
                # deliver stale ones first once the peer is back.
                self._drop_waiting()
                self._notify(LinkDown(self._peer, str(error)))
                gevent.sleep(pause.total_seconds() * random.uniform(0.5, 1.0))
                pause = min(pause * 2, RECONNECT_LIMIT)
                continue
            pause = RECONNECT_START
            self._carry(stream)

    def _carry(self, stream: PeerStream) -> None:
        try:
            node = stream.connect()
            self._notify(LinkUp(self._peer))
            stream.run(node, self._outgoing, self._deliver)
        except OleanderhitchError as error:
            log.info("link to {} ended: {}", self._peer, error)
            self._drop_waiting()
            self._notify(LinkDown(self._peer, str(error)))
            gevent.sleep(RECONNECT_START.total_seconds())
        finally:
            stream.close()

    def _open(self) -> PeerStream:
        connected = socket.create_connection(
            parse_address(self._peer), self._timing.connect_timeout.total_seconds()
        )
        return PeerStream(
            connected, self._codec, self._identity, self._timing, self._count_bytes
        )

    def _drop_waiting(self) -> None:
        while self._outgoing.n_waiting:
            self._outgoing.receive()


def make_peer_link(
    peer: HostAddress,
    codec: Codec,
    identity: Identity,
    deliver: Deliver,
    notify: Callable[[object], None],
    timing: StreamTiming | None = None,
    count_bytes: CountBytes = ignore_bytes,
) -> PeerLink:
    """Return a link that is not started yet."""
    timing = timing or StreamTiming()
    return PeerLink(peer, codec, identity, deliver, notify, timing, count_bytes)
