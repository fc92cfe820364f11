"""State that an entry host has installed, shared with its connections."""

from datetime import datetime, timedelta

from gevent.event import Event
from msgspec import Struct, field

from oleanderhitch.process.clock import Clock
from oleanderhitch.process.site.subscription.lease import (
    Lease,
    LeaseState,
    LeaseTerms,
    judge_lease,
)
from oleanderhitch.version.routes.configuration import RouteTable


class InstalledState(Struct):
    """The installed route table, the lease on it, and whether endpoints are listed.

    Connections read it at each request; only the subscription task writes it. A route
    table is immutable and is replaced as a whole. Without `terms` no lease is needed;
    `boot_clock` measures leases.
    """

    boot_clock: Clock
    terms: LeaseTerms | None = None
    table: RouteTable | None = None
    installed_at: datetime | None = None
    lease: Lease | None = None
    has_endpoints: bool = False
    changed: Event = field(default_factory=Event)

    @property
    def lease_state(self) -> LeaseState:
        """What the lease says of the installed table now."""
        if self.terms is None:
            return LeaseState.FRESH
        if self.table is None:
            return LeaseState.LAPSED
        now = self.boot_clock.now()
        return judge_lease(self.lease, self.table.version, self.terms, now)

    @property
    def is_serving(self) -> bool:
        """Whether there is a table, and a lease was granted if the table needs one."""
        if self.table is None:
            return False
        needs_lease = self.terms is not None and self.table.has_accounts
        return self.lease is not None or not needs_lease

    def install(self, table: RouteTable) -> None:
        """Install a newer table and wake the requests that wait for it."""
        self.table, self.installed_at = table, self.boot_clock.now()
        self._notify()

    def renew_lease(self, lease: Lease) -> None:
        """Take a newer lease and wake the requests that wait for it."""
        self.lease = lease
        self._notify()

    def await_change(self, timeout: timedelta) -> None:
        """Return once a table or a lease has been installed, or after the timeout."""
        self.changed.wait(timeout.total_seconds())

    def _notify(self) -> None:
        changed, self.changed = self.changed, Event()
        changed.set()
