"""Messages that peer streams exchange, and notices that they send to tasks."""

from dataclasses import dataclass

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import NodeId


@dataclass(frozen=True, slots=True)
class Challenge:
    """Challenge of the server to the client that has connected."""

    nonce: bytes


@dataclass(frozen=True, slots=True)
class ChallengeProof:
    """The client's proof of the shared key, and its challenge to the server."""

    node: NodeId
    nonce: bytes
    mac: bytes


@dataclass(frozen=True, slots=True)
class ChallengeAccepted:
    """The server's proof of the shared key."""

    node: NodeId
    mac: bytes


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent on an idle stream so that the peer doesn't time out."""


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A received message, its sender and the address for replies to the sender."""

    node: NodeId
    message: object
    reply: Address


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A link to a peer has been established."""

    peer: HostAddress


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A link to a peer failed; messages sent over it may be lost."""

    peer: HostAddress
    reason: str


MESSAGES: tuple[type, ...] = (Challenge, ChallengeProof, ChallengeAccepted, Heartbeat)
