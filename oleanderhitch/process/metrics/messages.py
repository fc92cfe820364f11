"""Define the messages of a process's metrics."""

from dataclasses import dataclass

from oleanderhitch.process.mailbox import Address


@dataclass(frozen=True, slots=True)
class LatencySample:
    """Hold a latency's window and its totals since the start of the process."""

    name: str
    n_values: int
    sum_seconds: float
    histogram: bytes


@dataclass(frozen=True, slots=True)
class ValueSample:
    """Hold one counter or gauge with the value of its label."""

    name: str
    label: str
    value: float


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """Hold the metrics of one process, or of several merged."""

    latencies: tuple[LatencySample, ...]
    counters: tuple[ValueSample, ...]
    gauges: tuple[ValueSample, ...]


@dataclass(frozen=True, slots=True)
class GetMetrics:
    """Ask for a snapshot."""

    reply: Address


@dataclass(frozen=True, slots=True)
class SendMetrics:
    """Send a snapshot to whoever asked."""

    reply: Address
    snapshot: MetricsSnapshot


MESSAGES: tuple[type, ...] = (MetricsSnapshot,)
