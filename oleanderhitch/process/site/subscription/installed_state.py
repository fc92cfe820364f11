"""State that an entry host has installed, shared with its connections."""

from datetime import timedelta

from gevent.event import Event
from msgspec import Struct, field

from oleanderhitch.version.routes.configuration import RouteTable


class InstalledState(Struct):
    """The installed route table and whether a list of endpoints is installed.

    Connections read it at each request; only the subscription task writes it. A route
    table is immutable and is replaced as a whole.
    """

    table: RouteTable | None = None
    has_endpoints: bool = False
    table_installed: Event = field(default_factory=Event)

    def install(self, table: RouteTable) -> None:
        """Install a newer table and wake the requests that wait for the first one."""
        self.table = table
        self.table_installed.set()

    def await_table(self, timeout: timedelta) -> RouteTable | None:
        """Return the table; wait for the first one until the timeout."""
        if self.table is None:
            self.table_installed.wait(timeout.total_seconds())
        return self.table
