"""Prove to both ends of a stream that the other holds the shared key."""

import hmac
import secrets
from dataclasses import dataclass

from oleanderhitch.connection.exceptions import HandshakeError
from oleanderhitch.connection.peer.messages import (
    Challenge,
    ChallengeAccepted,
    ChallengeProof,
)
from oleanderhitch.process.ids import NodeId

NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Identity:
    """Hold a node's name and the key that all nodes share."""

    node: NodeId
    key: bytes


def make_challenge() -> Challenge:
    """Return a challenge that was never used before."""
    return Challenge(secrets.token_bytes(NONCE_BYTES))


def make_proof(identity: Identity, challenge: Challenge) -> ChallengeProof:
    """Return the connecting peer's proof with a challenge of its own."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    mac = _make_mac(identity, identity.node, b"connect", challenge.nonce, nonce)
    return ChallengeProof(identity.node, nonce, mac)


def accept_proof(
    identity: Identity, challenge: Challenge, proof: ChallengeProof
) -> ChallengeAccepted:
    """Return the accepting peer's proof; raise HandshakeError on a wrong key."""
    expected = _make_mac(identity, proof.node, b"connect", challenge.nonce, proof.nonce)
    if not hmac.compare_digest(expected, proof.mac):
        raise HandshakeError(
            f"peer that calls itself {proof.node!r} does not hold the shared key; "
            "check its key file"
        )
    mac = _make_mac(identity, identity.node, b"accept", proof.nonce, challenge.nonce)
    return ChallengeAccepted(identity.node, mac)


def check_acceptance(
    identity: Identity,
    challenge: Challenge,
    proof: ChallengeProof,
    accepted: ChallengeAccepted,
) -> None:
    """Raise HandshakeError unless the accepting peer holds the shared key."""
    expected = _make_mac(
        identity, accepted.node, b"accept", proof.nonce, challenge.nonce
    )
    if not hmac.compare_digest(expected, accepted.mac):
        raise HandshakeError(
            f"peer that calls itself {accepted.node!r} does not hold the shared key"
        )


def _make_mac(
    identity: Identity, node: NodeId, role: bytes, first: bytes, second: bytes
) -> bytes:
    text = b"|".join((role, first, second, node.encode()))
    return hmac.digest(identity.key, text, "sha256")
