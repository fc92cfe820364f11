"""Manage the links to all stores, both configured in settings and declared."""

from collections.abc import Callable, Iterable

from msgspec import Struct, field

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.link import PeerLink
from oleanderhitch.process.ids import NodeId

MakeLink = Callable[[HostAddress], PeerLink]


class StoreLinks(Struct):
    """One link per store; a store whose address changes gets a new link."""

    own_node: NodeId
    make_link: MakeLink
    links: dict[NodeId, PeerLink] = field(default_factory=dict)
    has_started: bool = False

    def get_link(self, node: NodeId) -> PeerLink | None:
        """Return the link to a store, or None if there is none."""
        return self.links.get(node)

    def find_by_address(self, address: HostAddress) -> PeerLink | None:
        """Return the link to an address, or None if there is none."""
        for link in self.links.values():
            if link.peer == address:
                return link
        return None

    def list_addresses(self) -> dict[NodeId, HostAddress]:
        """Return the addresses of all linked stores by node id."""
        return {node: link.peer for node, link in self.links.items()}

    def add(self, node: NodeId, address: HostAddress) -> None:
        """Add a link to a store, unless it is this process or already linked."""
        current = self.links.get(node)
        if node == self.own_node or (current is not None and current.peer == address):
            return
        if current is not None:
            current.stop()
        self.links[node] = self.make_link(address)
        if self.has_started:
            self.links[node].start()

    def add_node(self, node: NodeId) -> None:
        """Add a link to a store whose node id is its address."""
        self.add(node, HostAddress(node))

    def update_stores(self, stores: Iterable[tuple[NodeId, HostAddress]]) -> None:
        """Add links to the declared stores.

        Stores that are no longer declared keep their link, since they may still hold
        replicas until these are replaced.
        """
        for node, address in stores:
            self.add(node, address)

    def start(self) -> None:
        """Start all links."""
        self.has_started = True
        for link in self.links.values():
            link.start()

    def stop(self) -> None:
        """Stop all links."""
        for link in self.links.values():
            link.stop()
