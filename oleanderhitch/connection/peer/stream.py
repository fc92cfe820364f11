"""Run one authenticated message stream over a connected socket."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
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
    accept_proof,
    check_acceptance,
    make_challenge,
    make_proof,
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

RECEIVE_BYTES = 64 * 1024
BATCH_LIMIT_BYTES = 256 * 1024

Expected = TypeVar("Expected")

log = logbook.Logger("peer")

Deliver = Callable[[PeerMessage], None]
CountBytes = Callable[[int], None]


@dataclass(frozen=True, slots=True)
class StreamTiming:
    """Hold the time limits of a peer stream."""

    connect_timeout: timedelta = timedelta(seconds=1)
    heartbeat_interval: timedelta = timedelta(seconds=1)
    receive_timeout: timedelta = timedelta(seconds=3)


def ignore_bytes(n_bytes: int) -> None:
    """Count no bytes."""


class PeerStream:
    """Own one connected socket until it breaks or goes silent."""

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

    def connect(self) -> NodeId:
        """Return the accepting peer's name; raise HandshakeError."""
        challenge = self._expect(Challenge)
        proof = make_proof(self._identity, challenge)
        self._send(proof)
        accepted = self._expect(ChallengeAccepted)
        check_acceptance(self._identity, challenge, proof, accepted)
        return accepted.node

    def accept(self) -> NodeId:
        """Return the connecting peer's name; raise HandshakeError."""
        challenge = make_challenge()
        self._send(challenge)
        proof = self._expect(ChallengeProof)
        self._send(accept_proof(self._identity, challenge, proof))
        return proof.node

    def run(self, peer: NodeId, outgoing: Mailbox, deliver: Deliver) -> None:
        """Carry messages both ways; raise ConnectionLostError at the end."""
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
            while outgoing.n_waiting and len(data) < BATCH_LIMIT_BYTES:
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
        # The reader notices the closed socket and ends the stream.
        self._socket.close()

    def _encode(self, message: object) -> bytes:
        try:
            return self._codec.encode(message)
        except MalformedFrameError as error:
            # One message that is too large must not end the stream for all.
            log.error("dropped a message: {}", error)
            return b""

    def _send(self, message: object) -> None:
        try:
            self._socket.sendall(self._codec.encode(message))
        except OSError as error:
            raise ConnectionLostError(f"could not send: {error}") from None

    def _expect(self, message_type: type[Expected]) -> Expected:
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
                    f"peer was silent for {self._timing.receive_timeout}"
                ) from None
            except OSError as error:
                raise ConnectionLostError(f"could not receive: {error}") from None
            if not data:
                raise ConnectionLostError("peer closed the connection")
            yield from decoder.feed(data)
