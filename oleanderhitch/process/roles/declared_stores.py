"""Find the stores among the hosts of an inventory."""

from collections.abc import Iterable, Iterator

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.ids import NodeId
from oleanderhitch.version.inventory import Host
from oleanderhitch.version.states import HostRole


def list_declared_stores(hosts: Iterable[Host]) -> Iterator[tuple[NodeId, HostAddress]]:
    """Yield the node id and the address of each declared store."""
    for host in hosts:
        if host.role is HostRole.STORE:
            yield NodeId(host.name), HostAddress(str(host.address))
