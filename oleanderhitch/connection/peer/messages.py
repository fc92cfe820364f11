"""Define the messages that keep a peer stream alive and trusted."""

from dataclasses import dataclass

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import NodeId


@dataclass(frozen=True, slots=True)
class Challenge:
    """Ask the connecting peer to prove that it holds the shared key."""

    nonce: bytes


@dataclass(frozen=True, slots=True)
class ChallengeProof:
    """Prove the connecting peer's key and challenge the accepting peer."""

    node: NodeId
    nonce: bytes
    mac: bytes


@dataclass(frozen=True, slots=True)
class ChallengeAccepted:
    """Prove the accepting peer's key."""

    node: NodeId
    mac: bytes


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Show that a stream without other traffic still works."""


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Hand a received message to its receiver with the address for answers."""

    node: NodeId
    message: object
    reply: Address


@dataclass(frozen=True, slots=True)
class LinkUp:
    """Say that a link to a peer works."""

    peer: HostAddress


@dataclass(frozen=True, slots=True)
class LinkDown:
    """Say that a link to a peer broke; what it carried may be lost."""

    peer: HostAddress
    reason: str


MESSAGES: tuple[type, ...] = (Challenge, ChallengeProof, ChallengeAccepted, Heartbeat)
