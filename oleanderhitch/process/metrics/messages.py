"""Snapshots of metrics, and the messages and effects of the metrics task."""

from oleanderhitch.process.mailbox import Address
from oleanderhitch.values import Value


class LatencySample(Value, frozen=True):
    """A latency: the encoded histogram of its last two windows, and its totals.

    Totals are counted from the start of the process.
    """

    name: str
    n_values: int
    sum_seconds: float
    histogram: bytes


class ValueSample(Value, frozen=True):
    """Value of a counter or gauge for one value of its label."""

    name: str
    label: str
    value: float


class MetricsSnapshot(Value, frozen=True):
    """Reports the metrics of one process, or of several merged ones."""

    latencies: tuple[LatencySample, ...]
    counters: tuple[ValueSample, ...]
    gauges: tuple[ValueSample, ...]


class GetMetrics(Value, frozen=True):
    """Requests a snapshot."""

    reply_address: Address


class SendReply(Value, frozen=True):
    """Sends a message to a reply address."""

    reply_address: Address
    message: MetricsSnapshot


MESSAGES: tuple[type, ...] = (MetricsSnapshot,)
