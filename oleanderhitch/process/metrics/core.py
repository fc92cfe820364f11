"""Metrics of a process and their snapshots.

Tasks record by a plain call instead of a message, since a message costs several times
as much as the record itself; docs/notes/engines.md has the figures.
"""

from collections import defaultdict
from collections.abc import Callable
from datetime import datetime, timedelta
from functools import singledispatch

from hdrh.histogram import HdrHistogram

from oleanderhitch.process.messages import Tick
from oleanderhitch.process.metrics.messages import (
    GetMetrics,
    LatencySample,
    MetricsSnapshot,
    SendReply,
    ValueSample,
)
from oleanderhitch.process.metrics.states import Counter, Gauge, Latency

# Programs may run for an hour. With two significant digits, a histogram of this range
# takes 26 KB.
LATENCY_MIN_US = 1
LATENCY_MAX_US = 3_600_000_000
N_SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
# Quantiles cover the current window and the previous one.
WINDOW_DURATION = timedelta(seconds=60)


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(LATENCY_MIN_US, LATENCY_MAX_US, N_SIGNIFICANT_DIGITS)


class _LatencyRecord:
    """The last two windows of a latency and its totals since the process started."""

    __slots__ = ("current", "n_values", "previous", "sum_us")

    def __init__(self) -> None:
        self.current = make_histogram()
        self.previous = make_histogram()
        self.n_values = 0
        self.sum_us = 0


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._latencies = {name: _LatencyRecord() for name in Latency}
        self._counters: defaultdict[tuple[Counter, str], float] = defaultdict(float)
        self._gauges: dict[tuple[Gauge, str], float] = {}
        self._sources: dict[tuple[Gauge, str], Callable[[], float]] = {}

    def record(self, metric: Latency, duration: timedelta) -> None:
        """Record a latency; one above an hour is recorded as an hour."""
        value_us = int(duration.total_seconds() * US_PER_S)
        value_us = min(max(value_us, 0), LATENCY_MAX_US)
        latency = self._latencies[metric]
        latency.current.record_value(value_us)
        latency.n_values += 1
        latency.sum_us += value_us

    def count(self, metric: Counter, label: str = "", n: float = 1) -> None:
        """Increase a counter."""
        self._counters[metric, label] += n

    def set_gauge(self, metric: Gauge, value: float, label: str = "") -> None:
        """Set a gauge."""
        self._gauges[metric, label] = value

    def observe_gauge(
        self, metric: Gauge, get_value: Callable[[], float], label: str = ""
    ) -> None:
        """Set a gauge at each snapshot: its value changes too often to record."""
        self._sources[metric, label] = get_value

    def rotate_windows(self) -> None:
        """Start a new window and drop the oldest one."""
        for latency in self._latencies.values():
            latency.previous, latency.current = latency.current, latency.previous
            latency.current.reset()

    def make_snapshot(self) -> MetricsSnapshot:
        """Return the metrics as a message that can be sent to other processes."""
        for gauge, get_value in self._sources.items():
            self._gauges[gauge] = get_value()
        return MetricsSnapshot(
            tuple(
                _make_latency_sample(name, latency)
                for name, latency in self._latencies.items()
            ),
            tuple(
                ValueSample(name.value.name, label, value)
                for (name, label), value in self._counters.items()
            ),
            tuple(
                ValueSample(name.value.name, label, value)
                for (name, label), value in self._gauges.items()
            ),
        )


def make_metrics() -> Metrics:
    """Return metrics that nothing is recorded in yet."""
    return Metrics()


def make_counter(metrics: Metrics, metric: Counter) -> Callable[[int], None]:
    """Return a function that increases one counter without a label."""

    def count(n: int) -> None:
        metrics.count(metric, n=n)

    return count


def make_label_counter(metrics: Metrics, metric: Counter) -> Callable[[str], None]:
    """Return a function that increases one counter by 1 for a label."""

    def count(label: str) -> None:
        metrics.count(metric, label)

    return count


@singledispatch
def handle(message: object, metrics: Metrics, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(
        f"metrics task does not support message type {type(message).__name__}"
    )


@handle.register
def _(message: Tick, metrics: Metrics, now: datetime) -> list[object]:
    metrics.rotate_windows()
    return []


@handle.register
def _(message: GetMetrics, metrics: Metrics, now: datetime) -> list[object]:
    return [SendReply(message.reply_address, metrics.make_snapshot())]


def merge_snapshots(snapshots: list[MetricsSnapshot]) -> MetricsSnapshot:
    """Return the snapshot of several processes, with counters and gauges summed."""
    latencies: dict[str, list[LatencySample]] = {}
    for snapshot in snapshots:
        for sample in snapshot.latencies:
            latencies.setdefault(sample.name, []).append(sample)
    return MetricsSnapshot(
        tuple(_merge_latencies(samples) for samples in latencies.values()),
        _merge_values([value for source in snapshots for value in source.counters]),
        _merge_values([value for source in snapshots for value in source.gauges]),
    )


def decode_histogram(payload: bytes) -> HdrHistogram:
    """Decode the histogram of a LatencySample."""
    histogram = make_histogram()
    histogram.decode_and_add(payload)
    return histogram


def _make_latency_sample(metric: Latency, latency: _LatencyRecord) -> LatencySample:
    window = make_histogram()
    window.add(latency.previous)
    window.add(latency.current)
    return LatencySample(
        metric.value.name, latency.n_values, latency.sum_us / US_PER_S, window.encode()
    )


def _merge_latencies(samples: list[LatencySample]) -> LatencySample:
    merged = make_histogram()
    for sample in samples:
        merged.decode_and_add(sample.histogram)
    return LatencySample(
        samples[0].name,
        sum(sample.n_values for sample in samples),
        sum(sample.sum_seconds for sample in samples),
        merged.encode(),
    )


def _merge_values(samples: list[ValueSample]) -> tuple[ValueSample, ...]:
    totals: defaultdict[tuple[str, str], float] = defaultdict(float)
    for sample in samples:
        totals[sample.name, sample.label] += sample.value
    return tuple(
        ValueSample(name, label, value) for (name, label), value in totals.items()
    )
