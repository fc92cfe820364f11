"""Keep links to all disk hosts: those of the settings and declared ones."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.link import PeerLink
from oleanderhitch.process.ids import NodeId

MakeLink = Callable[[HostAddress], PeerLink]


@dataclass(slots=True)
class StoreLinks:
    """Hold one link per store; a declared store that moved gets a new one."""

    own_node: NodeId
    make_link: MakeLink
    links: dict[NodeId, PeerLink] = field(default_factory=dict)
    has_started: bool = False

    def get_link(self, node: NodeId) -> PeerLink | None:
        """Return the link to a store, or None for an unknown one."""
        return self.links.get(node)

    def find_by_address(self, address: HostAddress) -> PeerLink | None:
        """Return the link to an address, if there is one."""
        for link in self.links.values():
            if link.peer == address:
                return link
        return None

    def list_addresses(self) -> dict[NodeId, HostAddress]:
        """Return the addresses of all stores by their node."""
        return {node: link.peer for node, link in self.links.items()}

    def add(self, node: NodeId, address: HostAddress) -> None:
        """Link to a store, unless it is this process itself."""
        known = self.links.get(node)
        if node == self.own_node or (known is not None and known.peer == address):
            return
        if known is not None:
            known.stop()
        self.links[node] = self.make_link(address)
        if self.has_started:
            self.links[node].start()

    def add_node(self, node: NodeId) -> None:
        """Link to a store whose node id is its address."""
        self.add(node, HostAddress(node))

    def follow(self, stores: Iterable[tuple[NodeId, HostAddress]]) -> None:
        """Link to declared stores.

        Stores that cease to be declared keep their link, since they may still
        hold replicas until these are replaced.
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
