"""Pick the stores among the hosts that an inventory declares."""

from collections.abc import Iterable, Iterator

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.ids import NodeId
from oleanderhitch.version.inventory import Host
from oleanderhitch.version.states import HostRole


def list_stores(hosts: Iterable[Host]) -> Iterator[tuple[NodeId, HostAddress]]:
    """Return node and address of each declared store."""
    for host in hosts:
        if host.role is HostRole.STORE:
            yield NodeId(host.name), HostAddress(str(host.address))
