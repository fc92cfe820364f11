"""Messages that peer streams exchange, and those that they send to tasks."""

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import NodeId
from oleanderhitch.values import Value


class Challenge(Value, frozen=True):
    """Challenges the client that has connected to prove that it holds the key."""

    nonce: bytes


class ChallengeProof(Value, frozen=True):
    """Proves that the client holds the shared key, and challenges the server."""

    node: NodeId
    nonce: bytes
    mac: bytes


class ChallengeAccepted(Value, frozen=True):
    """Proves that the server holds the shared key."""

    node: NodeId
    mac: bytes


class Heartbeat(Value, frozen=True):
    """Keeps an idle stream from timing out at the peer."""


class PeerMessage(Value, frozen=True):
    """Delivers a received message with its sender and the address for replies."""

    node: NodeId
    message: object
    reply_address: Address


class LinkUp(Value, frozen=True):
    """Reports that a link to a peer has been established."""

    peer: HostAddress


class LinkDown(Value, frozen=True):
    """Reports that a link to a peer failed; messages sent over it may be lost."""

    peer: HostAddress
    reason: str


MESSAGES: tuple[type, ...] = (Challenge, ChallengeProof, ChallengeAccepted, Heartbeat)
