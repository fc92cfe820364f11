"""Authenticated message stream over a connected socket."""

from collections.abc import Callable, Iterator
from datetime import datetime, timedelta
from functools import partial
from typing import TypeVar

import gevent
import logbook
from gevent import socket

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.exceptions import (
    ConnectionLostError,
    HandshakeError,
    MalformedFrameError,
    PeerClosedError,
)
from oleanderhitch.connection.peer.handshake import (
    Identity,
    make_challenge,
    make_challenge_proof,
    verify_acceptance,
    verify_proof,
)
from oleanderhitch.connection.peer.messages import (
    Challenge,
    ChallengeAccepted,
    ChallengeProof,
    Heartbeat,
    PeerMessage,
)
from oleanderhitch.process.alarm import Alarm, make_alarm
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.mailbox import Mailbox
from oleanderhitch.process.messages import StopTask
from oleanderhitch.values import Value

RECEIVE_BYTES = 64 * 1024
WRITE_BATCH_LIMIT_BYTES = 256 * 1024

Expected = TypeVar("Expected")

log = logbook.Logger("peer")

Deliver = Callable[[PeerMessage], None]
CountBytes = Callable[[int], None]


class StreamTiming(Value, frozen=True):
    """Timeouts of a peer stream.

    The client sends a heartbeat after `heartbeat_interval` without a message, and the
    server answers it. If nothing has arrived `receive_timeout` after the first message
    without an answer, the client gives the connection up; it sends a heartbeat at half
    of that time, since not every message gets an answer. The server gives a connection
    up after `silence_limit`, which must exceed the heartbeat interval of every client.
    """

    connect_timeout: timedelta = timedelta(seconds=1)
    heartbeat_interval: timedelta = timedelta(seconds=1)
    receive_timeout: timedelta = timedelta(seconds=3)
    silence_limit: timedelta = timedelta(seconds=15)


def ignore_bytes(n_bytes: int) -> None:
    """Ignore the number of sent bytes, for streams without metrics."""


class PeerStream:
    """Owner of one connected socket, until the connection fails or times out."""

    def __init__(
        self,
        connected: socket.socket,
        codec: Codec,
        identity: Identity,
        timing: StreamTiming,
        clock: Clock,
        count_bytes: CountBytes = ignore_bytes,
    ) -> None:
        self._socket = connected
        self._codec = codec
        self._identity = identity
        self._timing = timing
        self._clock = clock
        self._count_bytes = count_bytes
        self._received = self._receive_messages()
        self._last_received_at = self._last_sent_at = clock.now()
        self._unanswered_since: datetime | None = None
        self._has_probed = False
        self._failure: str | None = None
        # Set on a client only; a server expects no answers.
        self._probe_alarm: Alarm | None = None
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connected.settimeout(timing.receive_timeout.total_seconds())

    def authenticate_as_client(self) -> NodeId:
        """Authenticate with the server and return its node id.

        Raise HandshakeError, or ConnectionLostError if the connection fails.
        """
        challenge = self._receive_expected(Challenge)
        proof = make_challenge_proof(self._identity, challenge)
        self._send(proof)
        accepted = self._receive_expected(ChallengeAccepted)
        verify_acceptance(self._identity, challenge, proof, accepted)
        return accepted.node

    def authenticate_as_server(self) -> NodeId:
        """Authenticate the client and return its node id.

        Raise HandshakeError, or ConnectionLostError if the connection fails or the
        client does not answer within `receive_timeout`.
        """
        challenge = make_challenge()
        self._send(challenge)
        # The timeout of the socket starts again with each byte.
        timeout = self._timing.receive_timeout
        fail = partial(self._fail, f"peer did not authenticate within {timeout}")
        alarm = make_alarm(fail, self._clock)
        alarm.set(self._clock.now() + timeout)
        try:
            proof = self._receive_expected(ChallengeProof)
        finally:
            alarm.close()
        self._send(verify_proof(self._identity, challenge, proof))
        return proof.node

    def run_as_client(self, peer: NodeId, outgoing: Mailbox, deliver: Deliver) -> None:
        """Send and deliver messages, with heartbeats, until the connection ends.

        Always raise ConnectionLostError, or MalformedFrameError on a malformed frame.
        """
        check = partial(self._check_as_client, outgoing)
        alarm = self._probe_alarm = self._make_alarm(check)
        for message in self._run(outgoing, alarm):
            if not isinstance(message, Heartbeat):
                deliver(PeerMessage(peer, message, outgoing))

    def run_as_server(self, peer: NodeId, outgoing: Mailbox, deliver: Deliver) -> None:
        """Send and deliver messages and answer heartbeats until the connection ends.

        Always raise ConnectionLostError, or MalformedFrameError on a malformed frame.
        """
        alarm = self._make_alarm(self._check_as_server)
        for message in self._run(outgoing, alarm):
            if isinstance(message, Heartbeat):
                outgoing.send(message)
            else:
                deliver(PeerMessage(peer, message, outgoing))

    def send_message(self, message: object) -> None:
        """Send a message before the stream runs; raise ConnectionLostError."""
        self._send(message)

    def receive_message(self) -> object:
        """Return the next message before the stream runs.

        Raise ConnectionLostError, or MalformedFrameError on a malformed frame.
        """
        return next(self._received)

    def detach(self) -> socket.socket:
        """Return the socket, whose bytes are no messages from now on.

        The peer must not have sent any of them with its last message.
        """
        return self._socket

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _make_alarm(self, check: Callable[[datetime], datetime]) -> Alarm:
        """Return an alarm that rings at each time that the check returns."""

        def check_again() -> None:
            alarm.set(check(self._clock.now()))

        alarm = make_alarm(check_again, self._clock)
        check_again()
        return alarm

    def _run(self, outgoing: Mailbox, alarm: Alarm) -> Iterator[object]:
        # A socket timeout would cost a timer for each received message.
        self._socket.settimeout(None)
        writer = gevent.spawn(self._write, outgoing)
        try:
            yield from self._received
        finally:
            alarm.close()
            writer.kill()
            self._socket.close()

    def _check_as_client(self, outgoing: Mailbox, now: datetime) -> datetime:
        """Fail, or send a heartbeat, if it is due; return the time of the next check.

        Runs in the event loop.
        """
        timing = self._timing
        probe_delay = timing.receive_timeout / 2
        since = self._unanswered_since
        if since is not None and now - since >= timing.receive_timeout:
            self._fail(f"peer sent no data for {timing.receive_timeout}")
        if since is not None and self._has_probed:
            return since + timing.receive_timeout
        probe_at = self._last_sent_at + timing.heartbeat_interval
        if since is not None:
            probe_at = min(probe_at, since + probe_delay)
        if now < probe_at:
            return probe_at
        self._has_probed = True
        outgoing.send(Heartbeat())
        return now + probe_delay

    def _check_as_server(self, now: datetime) -> datetime:
        """Fail if the client is silent; return the time of the next check.

        Runs in the event loop.
        """
        limit = self._timing.silence_limit
        if now - self._last_received_at >= limit:
            self._fail(f"peer sent no data for {limit}")
        return self._last_received_at + limit

    def _fail(self, reason: str) -> None:
        # The closed socket makes the reader end the stream.
        self._failure = reason
        self._socket.close()

    def _write(self, outgoing: Mailbox) -> None:
        while True:
            message = outgoing.receive()
            if isinstance(message, StopTask):
                break
            data: bytes | bytearray = self._encode(message)
            if outgoing.n_waiting and len(data) < WRITE_BATCH_LIMIT_BYTES:
                data = self._add_waiting(data, outgoing)
            self._note_sent()
            try:
                self._send_all(data)
            except OSError:
                break
            self._count_bytes(len(data))
        # The closed socket makes the reader end the stream.
        self._socket.close()

    def _add_waiting(self, first: bytes | bytearray, outgoing: Mailbox) -> bytearray:
        data = bytearray(first)
        while outgoing.n_waiting and len(data) < WRITE_BATCH_LIMIT_BYTES:
            following = outgoing.receive()
            if isinstance(following, StopTask):
                outgoing.send(following)
                break
            data += self._encode(following)
        return data

    def _note_sent(self) -> None:
        self._last_sent_at = self._clock.now()
        if self._probe_alarm is not None and self._unanswered_since is None:
            self._unanswered_since = self._last_sent_at
            probe_at = self._last_sent_at + self._timing.receive_timeout / 2
            self._probe_alarm.advance(probe_at)

    def _send_all(self, data: bytes | bytearray) -> None:
        # Creates a timer only if the peer does not read.
        timeout_s = self._timing.receive_timeout.total_seconds()
        rest = memoryview(data)
        while rest:
            rest = rest[self._socket.send(rest, 0, timeout_s) :]

    def _encode(self, message: object) -> bytes:
        try:
            return self._codec.encode(message)
        except MalformedFrameError as error:
            # A message that is too large must not end the stream for the others.
            log.error("dropped a message: {}", error)
            return b""

    def _send(self, message: object) -> None:
        try:
            self._socket.sendall(self._codec.encode(message))
        except OSError as error:
            raise ConnectionLostError(f"could not send: {error}") from None

    def _receive_expected(self, message_type: type[Expected]) -> Expected:
        message = next(self._received)
        if not isinstance(message, message_type):
            raise HandshakeError(
                f"expected {message_type.__name__}, got {type(message).__name__}"
            )
        return message

    def _receive_messages(self) -> Iterator[object]:
        decoder = self._codec.make_decoder()
        while True:
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except TimeoutError:
                raise ConnectionLostError(
                    f"peer sent no data for {self._timing.receive_timeout}"
                ) from None
            except OSError as error:
                reason = self._failure or f"could not receive: {error}"
                raise ConnectionLostError(reason) from None
            if not data:
                raise PeerClosedError("peer closed the connection")
            self._last_received_at = self._clock.now()
            self._unanswered_since = None
            self._has_probed = False
            yield from decoder.feed(data)
