"""Ask an entry host for an explanation."""

from datetime import timedelta
from pathlib import Path

from oleanderhitch.connection.addresses import parse_address
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.link import make_peer_link
from oleanderhitch.connection.peer.messages import LinkDown, PeerMessage
from oleanderhitch.process.explaining.messages import ExplainRequest, Explanation
from oleanderhitch.process.explaining.service import make_explain_codec
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.operators.exceptions import DeploymentUnreachableError
from oleanderhitch.process.operators.network import OPERATOR_NODE, read_key

# Two tasks of the host may take a second each.
ANSWER_TIMEOUT = timedelta(seconds=4)


def send_explain_request(
    host: HostAddress, key_file: Path | None, request: ExplainRequest
) -> Explanation:
    """Return the answer of the entry host that listens for peers at an address.

    Raise InvalidInputError without a valid address or a key, and
    DeploymentUnreachableError if the host does not answer.
    """
    parse_address(host)
    identity = Identity(OPERATOR_NODE, read_key(key_file))
    events = make_mailbox("explanation")
    link = make_peer_link(
        host, make_explain_codec(), identity, events.send, events.send
    )
    link.send(request)
    link.start()
    try:
        while True:
            event = events.receive(ANSWER_TIMEOUT)
            if isinstance(event, LinkDown):
                raise DeploymentUnreachableError(
                    f"entry host {host} can't be reached: {event.reason}; check that "
                    "it is the address for other nodes, that it answers operators, "
                    "and the key file"
                )
            if event is None:
                raise DeploymentUnreachableError(
                    f"entry host {host} did not answer within "
                    f"{ANSWER_TIMEOUT.total_seconds()} s"
                )
            if isinstance(event, PeerMessage) and isinstance(
                event.message, Explanation
            ):
                return event.message
    finally:
        link.stop()
