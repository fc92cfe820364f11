"""Snapshots of metrics, and the messages and effects of the metrics task."""

from dataclasses import dataclass

from oleanderhitch.process.mailbox import Address


@dataclass(frozen=True, slots=True)
class LatencySample:
    """A latency: the encoded histogram of its last two windows, and its totals.

    Totals are counted from the start of the process.
    """

    name: str
    n_values: int
    sum_seconds: float
    histogram: bytes


@dataclass(frozen=True, slots=True)
class ValueSample:
    """Value of a counter or gauge for one value of its label."""

    name: str
    label: str
    value: float


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """Reports the metrics of one process, or of several merged ones."""

    latencies: tuple[LatencySample, ...]
    counters: tuple[ValueSample, ...]
    gauges: tuple[ValueSample, ...]


@dataclass(frozen=True, slots=True)
class GetMetrics:
    """Requests a snapshot."""

    reply_address: Address


@dataclass(frozen=True, slots=True)
class SendReply:
    """Sends a message to a reply address."""

    reply_address: Address
    message: MetricsSnapshot


MESSAGES: tuple[type, ...] = (MetricsSnapshot,)
