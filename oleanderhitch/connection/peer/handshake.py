"""Mutual challenge-response authentication with a shared key (HMAC-SHA256)."""

import hmac
import secrets

from oleanderhitch.connection.exceptions import HandshakeError
from oleanderhitch.connection.peer.messages import (
    Challenge,
    ChallengeAccepted,
    ChallengeProof,
)
from oleanderhitch.process.ids import NodeId
from oleanderhitch.values import Value

NONCE_BYTES = 16


class Identity(Value, frozen=True):
    """A node's id and the key that all nodes share."""

    node: NodeId
    key: bytes


def make_challenge() -> Challenge:
    """Return a challenge with a random nonce."""
    return Challenge(secrets.token_bytes(NONCE_BYTES))


def make_challenge_proof(identity: Identity, challenge: Challenge) -> ChallengeProof:
    """Return the client's proof, with a nonce that challenges the server."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    mac = _make_mac(identity, identity.node, b"connect", challenge.nonce, nonce)
    return ChallengeProof(identity.node, nonce, mac)


def verify_proof(
    identity: Identity, challenge: Challenge, proof: ChallengeProof
) -> ChallengeAccepted:
    """Return the server's proof; raise HandshakeError if the client's is wrong."""
    expected = _make_mac(identity, proof.node, b"connect", challenge.nonce, proof.nonce)
    if not hmac.compare_digest(expected, proof.mac):
        raise HandshakeError(
            f"peer that claims to be {proof.node!r} does not hold the shared key; "
            "check its key file"
        )
    mac = _make_mac(identity, identity.node, b"accept", proof.nonce, challenge.nonce)
    return ChallengeAccepted(identity.node, mac)


def verify_acceptance(
    identity: Identity,
    challenge: Challenge,
    proof: ChallengeProof,
    accepted: ChallengeAccepted,
) -> None:
    """Raise HandshakeError unless the server's proof is correct."""
    expected = _make_mac(
        identity, accepted.node, b"accept", proof.nonce, challenge.nonce
    )
    if not hmac.compare_digest(expected, accepted.mac):
        raise HandshakeError(
            f"peer that claims to be {accepted.node!r} does not hold the shared key"
        )


def _make_mac(
    identity: Identity,
    node: NodeId,
    role: bytes,
    first_nonce: bytes,
    second_nonce: bytes,
) -> bytes:
    # The role keeps a proof from being reflected to its sender.
    text = b"|".join((role, first_nonce, second_nonce, node.encode()))
    return hmac.digest(identity.key, text, "sha256")
