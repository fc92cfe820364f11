"""Report what the callers of a process hold of its memory and connections."""

from collections.abc import Mapping

from oleanderhitch.connection.http.memory import TrafficMemory
from oleanderhitch.connection.http.server import HttpServer
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Gauge


def observe_servers(
    metrics: Metrics, memory: TrafficMemory, servers: Mapping[str, HttpServer]
) -> None:
    """Set the gauges of a memory budget and of servers at each snapshot."""
    metrics.observe_gauge(Gauge.HELD_BYTES, lambda: memory.n_bytes, "all")
    metrics.observe_gauge(
        Gauge.HELD_BYTES, lambda: memory.n_evictable_bytes, "arriving"
    )
    for name, server in servers.items():
        _observe_server(metrics, name, server)


def _observe_server(metrics: Metrics, name: str, server: HttpServer) -> None:
    metrics.observe_gauge(Gauge.CALLER_CONNECTIONS, lambda: server.n_connections, name)
