"""Authenticated message stream over a connected socket."""

from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import TypeVar

import gevent
import logbook
from gevent import socket

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.exceptions import (
    ConnectionLostError,
    HandshakeError,
    MalformedFrameError,
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

    `receive_timeout` must exceed `heartbeat_interval`, since heartbeats are what an
    idle peer sends.
    """

    connect_timeout: timedelta = timedelta(seconds=1)
    heartbeat_interval: timedelta = timedelta(seconds=1)
    receive_timeout: timedelta = timedelta(seconds=3)


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
        count_bytes: CountBytes = ignore_bytes,
    ) -> None:
        self._socket = connected
        self._codec = codec
        self._identity = identity
        self._timing = timing
        self._count_bytes = count_bytes
        self._received = self._receive_messages()
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

        Raise HandshakeError, or ConnectionLostError if the connection fails.
        """
        challenge = make_challenge()
        self._send(challenge)
        proof = self._receive_expected(ChallengeProof)
        self._send(verify_proof(self._identity, challenge, proof))
        return proof.node

    def run(self, peer: NodeId, outgoing: Mailbox, deliver: Deliver) -> None:
        """Send and deliver messages until the connection ends.

        Always raise ConnectionLostError, or MalformedFrameError on a malformed frame.
        """
        writer = gevent.spawn(self._write, outgoing)
        try:
            for message in self._received:
                if not isinstance(message, Heartbeat):
                    deliver(PeerMessage(peer, message, outgoing))
        finally:
            writer.kill()
            self._socket.close()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _write(self, outgoing: Mailbox) -> None:
        while True:
            message = outgoing.receive(self._timing.heartbeat_interval)
            if isinstance(message, StopTask):
                break
            data = bytearray(self._encode(message or Heartbeat()))
            while outgoing.n_waiting and len(data) < WRITE_BATCH_LIMIT_BYTES:
                following = outgoing.receive()
                if isinstance(following, StopTask):
                    outgoing.send(following)
                    break
                data += self._encode(following)
            try:
                self._socket.sendall(data)
            except OSError:
                break
            self._count_bytes(len(data))
        # The closed socket makes the reader end the stream.
        self._socket.close()

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
                raise ConnectionLostError(f"could not receive: {error}") from None
            if not data:
                raise ConnectionLostError("peer closed the connection")
            yield from decoder.feed(data)
