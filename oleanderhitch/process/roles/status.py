"""Serve health checks and metrics."""

from datetime import timedelta

import bottle

from oleanderhitch.connection.caller.server import CallerServer, make_caller_server
from oleanderhitch.connection.http.budget import (
    N_STATUS_CONNECTIONS,
    STATUS_BUDGET_BYTES,
    ServerBudget,
)
from oleanderhitch.connection.http.memory import make_traffic_memory
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.intake.messages import GetReadiness, Readiness
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter, Gauge
from oleanderhitch.process.metrics.text import CONTENT_TYPE, format_metrics
from oleanderhitch.process.routing.messages import GetQueueStatus, QueueStatus
from oleanderhitch.process.tracing.tracer import Tracer

QUERY_TIMEOUT = timedelta(seconds=1)


class StatusApi:
    """Readiness and metrics of an entry host, collected at each scrape."""

    def __init__(
        self, metrics: Metrics, tracer: Tracer, intake: Address, router: Address
    ) -> None:
        self._metrics = metrics
        self._tracer = tracer
        self._intake = intake
        self._router = router
        self._n_reported_dropped_spans = 0

    def get_readiness(self) -> Readiness | None:
        """Return the readiness of this host, or None after a timeout."""
        mailbox = make_mailbox("readiness")
        self._intake.send(GetReadiness(mailbox))
        reply = mailbox.receive(QUERY_TIMEOUT)
        return reply if isinstance(reply, Readiness) else None

    def get_metrics_text(self) -> str:
        """Return the metrics in the Prometheus text format."""
        readiness = self.get_readiness()
        if readiness is not None:
            self._metrics.set_gauge(Gauge.REQUESTS_IN_PROGRESS, readiness.n_requests)
            self._metrics.set_gauge(Gauge.CONFIGURATION_VERSION, readiness.version)
        mailbox = make_mailbox("queues")
        self._router.send(GetQueueStatus(mailbox))
        status = mailbox.receive(QUERY_TIMEOUT)
        if isinstance(status, QueueStatus):
            for pool, n_waiting in status.n_waiting.items():
                self._metrics.set_gauge(Gauge.QUEUE_LENGTH, n_waiting, pool)
        n_newly_dropped = self._tracer.n_dropped - self._n_reported_dropped_spans
        self._metrics.count(Counter.DROPPED_SPANS, n=n_newly_dropped)
        self._n_reported_dropped_spans += n_newly_dropped
        return format_metrics(self._metrics.make_snapshot())


def make_status_server(
    listen: HostAddress, metrics: Metrics, tracer: Tracer
) -> CallerServer:
    """Return the status server of a store, not started yet."""
    app = bottle.Bottle()

    @app.get("/healthz")
    def get_health() -> dict[str, str]:
        return {"status": "ok"}

    @app.get("/readyz")
    def get_readiness() -> dict[str, str]:
        return {"status": "ok"}

    @app.get("/metrics")
    def get_metrics() -> str:
        bottle.response.content_type = CONTENT_TYPE
        return format_metrics(metrics.make_snapshot())

    budget = ServerBudget(
        make_traffic_memory(STATUS_BUDGET_BYTES), N_STATUS_CONNECTIONS
    )
    return make_caller_server(listen, app, budget)
