"""Messages that peer streams exchange, and those that they send to tasks."""

from dataclasses import dataclass

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import NodeId


@dataclass(frozen=True, slots=True)
class Challenge:
    """Challenges the client that has connected to prove that it holds the key."""

    nonce: bytes


@dataclass(frozen=True, slots=True)
class ChallengeProof:
    """Proves that the client holds the shared key, and challenges the server."""

    node: NodeId
    nonce: bytes
    mac: bytes


@dataclass(frozen=True, slots=True)
class ChallengeAccepted:
    """Proves that the server holds the shared key."""

    node: NodeId
    mac: bytes


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Keeps an idle stream from timing out at the peer."""


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Delivers a received message with its sender and the address for replies."""

    node: NodeId
    message: object
    reply_address: Address


@dataclass(frozen=True, slots=True)
class LinkUp:
    """Reports that a link to a peer has been established."""

    peer: HostAddress


@dataclass(frozen=True, slots=True)
class LinkDown:
    """Reports that a link to a peer failed; messages sent over it may be lost."""

    peer: HostAddress
    reason: str


MESSAGES: tuple[type, ...] = (Challenge, ChallengeProof, ChallengeAccepted, Heartbeat)
