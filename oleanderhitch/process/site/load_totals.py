"""Add up the loads that all entry hosts cause, at a cost that does not grow with them.

Answers bursts at many entry hosts: each host needs the loads that the others cause, as
often as its own change, so that a sum over all hosts for each report would grow with
the square of their number.
"""

from datetime import datetime, timedelta

from msgspec import Struct, field

from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.placement.messages import EndpointLoad
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId

# Loads that were reported more than two hello intervals ago are outdated.
LOAD_TTL = timedelta(milliseconds=1300)
# How often outdated reports are looked for, which takes a look at each.
EXPIRY_INTERVAL = timedelta(milliseconds=650)


class _Report(Value, frozen=True):
    loads: tuple[EndpointLoad, ...]
    reported_at: datetime


class _Total(Struct):
    n_running: int = 0
    n_reading_tokens: int = 0


class LoadTotals(Struct):
    """The last report of each entry host and the totals of each endpoint."""

    reports: dict[NodeId, _Report] = field(default_factory=dict)
    totals: dict[EndpointId, _Total] = field(default_factory=dict)
    expired_at: datetime | None = None

    def report(
        self, node: NodeId, loads: tuple[EndpointLoad, ...], now: datetime
    ) -> None:
        """Replace the report of an entry host."""
        self._add(self.reports.pop(node, None), -1)
        if loads:
            report = self.reports[node] = _Report(loads, now)
            self._add(report, 1)

    def list_others(self, node: NodeId, now: datetime) -> tuple[EndpointLoad, ...]:
        """Return the loads that all entry hosts except one cause."""
        self._expire(now)
        own = self.reports.get(node)
        own_loads = {} if own is None else {load.endpoint: load for load in own.loads}
        others = []
        for endpoint, total in self.totals.items():
            n_running, n_tokens = total.n_running, total.n_reading_tokens
            own_load = own_loads.get(endpoint)
            if own_load is not None:
                n_running -= own_load.n_running
                n_tokens -= own_load.n_reading_tokens
            if n_running:
                others.append(EndpointLoad(endpoint, n_running, n_tokens))
        return tuple(others)

    def _expire(self, now: datetime) -> None:
        if self.expired_at is not None and now - self.expired_at < EXPIRY_INTERVAL:
            return
        self.expired_at = now
        for node, report in list(self.reports.items()):
            if now - report.reported_at > LOAD_TTL:
                self._add(self.reports.pop(node), -1)

    def _add(self, report: _Report | None, sign: int) -> None:
        for load in () if report is None else report.loads:
            total = self.totals.setdefault(load.endpoint, _Total())
            total.n_running += sign * load.n_running
            total.n_reading_tokens += sign * load.n_reading_tokens
            if not total.n_running and not total.n_reading_tokens:
                del self.totals[load.endpoint]
