"""Send an operator's requests to the stores of a deployment."""

from collections.abc import Sequence
from datetime import timedelta

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.link import PeerLink, make_peer_link
from oleanderhitch.connection.peer.messages import LinkDown, LinkUp, PeerMessage
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.client.core import ClientState
from oleanderhitch.process.groups.client.messages import GroupResult, SubmitToGroup
from oleanderhitch.process.groups.client.task import make_group_client
from oleanderhitch.process.groups.messages import (
    GroupAnswer,
    GroupRedirect,
    GroupUncertain,
)
from oleanderhitch.process.groups.placement import Store
from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.operators.exceptions import DeploymentUnreachableError
from oleanderhitch.process.task import Task

# Allows for a leader election during the call, which takes about a second.
GROUP_CALL_TIMEOUT = timedelta(seconds=5)
STORE_REQUEST_TIMEOUT = timedelta(seconds=1)


class OperatorClient:
    """Links to the stores, for calls to groups and requests to single stores."""

    def __init__(
        self, stores: Sequence[Store], codec: Codec, identity: Identity, clock: Clock
    ) -> None:
        self._stores = tuple(stores)
        self._codec = codec
        self._store_replies = make_mailbox("operator")
        self._links: dict[HostAddress, PeerLink] = {
            store.address: make_peer_link(
                store.address,
                codec,
                identity,
                self._dispatch_message,
                self._forward_link_event,
            )
            for store in stores
        }
        self._group_client: Task[ClientState] = make_group_client(
            {store.node: store.address for store in stores}, self._send_to, clock
        )

    @property
    def stores(self) -> tuple[Store, ...]:
        """The stores of the deployment."""
        return self._stores

    def start(self) -> None:
        """Connect to the stores."""
        self._group_client.start()
        for link in self._links.values():
            link.start()

    def stop(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.stop()
        self._group_client.stop()

    def submit(self, group: GroupId, message: object, is_read: bool) -> object:
        """Send a command or read to a group and return its result.

        Raise DeploymentUnreachableError when the group does not reply in time.
        """
        reply_mailbox = make_mailbox("answer")
        body = self._codec.encode(message)
        self._group_client.send(
            SubmitToGroup(
                group, body, is_read, GROUP_CALL_TIMEOUT, "operator", reply_mailbox
            )
        )
        # Waits longer than the group client, whose GroupTimedOut comes first.
        reply = reply_mailbox.receive(GROUP_CALL_TIMEOUT * 2)
        if isinstance(reply, GroupResult):
            return self._codec.decode(reply.body)
        raise DeploymentUnreachableError(
            f"group {group} did not answer within "
            f"{GROUP_CALL_TIMEOUT.total_seconds()} s; check the stores and the key file"
        )

    def send_request(
        self, store: Store, message: object, timeout: timedelta = STORE_REQUEST_TIMEOUT
    ) -> object | None:
        """Send a message to a store and return its reply, or None at the timeout."""
        # Discards late replies to requests that timed out.
        while self._store_replies.n_waiting:
            self._store_replies.receive()
        self._links[store.address].send(message)
        return self._store_replies.receive(timeout)

    def _send_to(self, store: HostAddress, message: object) -> None:
        self._links[store].send(message)

    def _dispatch_message(self, delivery: PeerMessage) -> None:
        if isinstance(delivery.message, GroupAnswer | GroupRedirect | GroupUncertain):
            self._group_client.send(delivery.message)
        else:
            self._store_replies.send(delivery.message)

    def _forward_link_event(self, message: object) -> None:
        if isinstance(message, LinkDown | LinkUp):
            self._group_client.send(message)


def make_operator_client(
    stores: Sequence[Store], codec: Codec, identity: Identity, clock: Clock
) -> OperatorClient:
    """Return a client that connects when it is started."""
    return OperatorClient(stores, codec, identity, clock)
