"""Publish what is installed to the connections of an entry."""

from dataclasses import dataclass, field
from datetime import timedelta

from gevent.event import Event

from oleanderhitch.version.routes.configuration import RouteTable


@dataclass(slots=True)
class InstalledState:
    """Publish the immutable values that connections read at each request.

    The follower's task alone writes them.
    """

    table: RouteTable | None = None
    has_endpoints: bool = False
    table_installed: Event = field(default_factory=Event)

    def install(self, table: RouteTable) -> None:
        """Publish a newer table and wake the requests that wait for one."""
        self.table = table
        self.table_installed.set()

    def await_table(self, timeout: timedelta) -> RouteTable | None:
        """Return the table, after a wait of at most the limit for the first one."""
        if self.table is None:
            self.table_installed.wait(timeout.total_seconds())
        return self.table
