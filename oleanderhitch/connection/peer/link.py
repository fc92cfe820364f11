"""Outgoing stream to a peer, which reconnects after a failure."""

import random
from collections.abc import Callable
from datetime import timedelta

import gevent
import logbook
from gevent import socket

from oleanderhitch.connection.addresses import parse_address
from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.ids import HostAddress
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
from oleanderhitch.process.clock import Clock, make_system_clock
from oleanderhitch.process.mailbox import make_mailbox

SEND_QUEUE_CAPACITY_MESSAGES = 4096
# A peer restarts within a second or two; a longer delay would only hold up the groups
# that wait for it.
RECONNECT_DELAY_MAX = timedelta(milliseconds=500)
INITIAL_RECONNECT_DELAY = timedelta(milliseconds=20)

log = logbook.Logger("peer")


class PeerLink:
    """Owner of the send queue and the current stream to one peer."""

    def __init__(
        self,
        peer: HostAddress,
        codec: Codec,
        identity: Identity,
        deliver: Deliver,
        on_link_event: Callable[[object], None],
        timing: StreamTiming,
        count_bytes: CountBytes,
        clock: Clock,
        is_on_demand: bool,
    ) -> None:
        self._peer = peer
        self._codec = codec
        self._identity = identity
        self._deliver = deliver
        self._on_link_event = on_link_event
        self._timing = timing
        self._count_bytes = count_bytes
        self._clock = clock
        self._is_on_demand = is_on_demand
        self._has_stopped = False
        self._outgoing = make_mailbox(f"link {peer}", SEND_QUEUE_CAPACITY_MESSAGES)
        self._greenlet: gevent.Greenlet | None = None

    @property
    def peer(self) -> HostAddress:
        """The peer's address."""
        return self._peer

    @property
    def n_waiting(self) -> int:
        """The number of messages that wait to be sent."""
        return self._outgoing.n_waiting

    def send(self, message: object) -> None:
        """Queue a message; raise MailboxFullError if the queue is full."""
        self._outgoing.send(message)
        self._start_if_needed()

    def start(self) -> None:
        """Connect, and reconnect whenever the stream ends, unless it is on demand."""
        if not self._is_on_demand:
            self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Close the stream and stop reconnecting."""
        self._has_stopped = True
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run_once(self) -> None:
        """Connect and run one stream; the next message connects again."""
        try:
            self._run_stream(self._connect())
        except Exception as error:
            self._end_stream(error)
        finally:
            self._greenlet = None
            # Messages may have come since the stream ended.
            if self._outgoing.n_waiting:
                self._start_if_needed()

    def _start_if_needed(self) -> None:
        if self._is_on_demand and not self._has_stopped and self._greenlet is None:
            self._greenlet = gevent.spawn(self._run_once)

    def _run(self) -> None:
        delay = INITIAL_RECONNECT_DELAY
        while True:
            try:
                stream = self._connect()
            except (OleanderhitchError, OSError) as error:
                self._end_stream(error)
                gevent.sleep(delay.total_seconds() * random.uniform(0.5, 1.0))
                delay = min(delay * 2, RECONNECT_DELAY_MAX)
                continue
            delay = INITIAL_RECONNECT_DELAY
            self._run_stream(stream)

    def _run_stream(self, stream: PeerStream) -> None:
        try:
            node = stream.authenticate_as_client()
            self._on_link_event(LinkUp(self._peer))
            stream.run_as_client(node, self._outgoing, self._deliver)
        except Exception as error:
            self._end_stream(error)
            gevent.sleep(INITIAL_RECONNECT_DELAY.total_seconds())
        finally:
            stream.close()

    def _end_stream(self, error: Exception) -> None:
        if isinstance(error, OleanderhitchError | OSError):
            log.info("link to {} ended: {}", self._peer, error)
        else:
            log.error("unexpected error on link to {}: {!r}", self._peer, error)
        # Senders retry on their own. Keeping the queue would deliver stale messages
        # first after a reconnect.
        self._discard_queued()
        self._on_link_event(LinkDown(self._peer, str(error)))

    def _connect(self) -> PeerStream:
        connected = socket.create_connection(
            parse_address(self._peer), self._timing.connect_timeout.total_seconds()
        )
        return PeerStream(
            connected,
            self._codec,
            self._identity,
            self._timing,
            self._clock,
            self._count_bytes,
        )

    def _discard_queued(self) -> None:
        while self._outgoing.n_waiting:
            self._outgoing.receive()


def make_peer_link(
    peer: HostAddress,
    codec: Codec,
    identity: Identity,
    deliver: Deliver,
    on_link_event: Callable[[object], None],
    timing: StreamTiming | None = None,
    count_bytes: CountBytes = ignore_bytes,
    clock: Clock | None = None,
    is_on_demand: bool = False,
) -> PeerLink:
    """Return a link that has not been started.

    A link on demand connects when a message is sent, and only then.
    """
    timing = timing or StreamTiming()
    clock = clock or make_system_clock()
    return PeerLink(
        peer,
        codec,
        identity,
        deliver,
        on_link_event,
        timing,
        count_bytes,
        clock,
        is_on_demand,
    )
