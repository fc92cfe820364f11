"""Keep the metrics of a process and make snapshots of them.

Recording is a plain call on the owner instead of a message, since a message per
record costs several times the record; docs/notes/engines.md has the figures.
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
    SendMetrics,
    ValueSample,
)
from oleanderhitch.process.metrics.states import Counter, Gauge, Latency

# Programs may run for an hour; two digits keep a histogram at 26 KB.
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
N_DIGITS = 2
US_PER_S = 1_000_000
# Quantiles cover the current window and the one before it.
WINDOW = timedelta(seconds=60)


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, N_DIGITS)


class _LatencyRecord:
    """Hold two windows of one latency and its totals."""

    __slots__ = ("current", "n_values", "previous", "sum_us")

    def __init__(self) -> None:
        self.current = make_histogram()
        self.previous = make_histogram()
        self.n_values = 0
        self.sum_us = 0


class Metrics:
    """Own the metrics of a process."""

    def __init__(self) -> None:
        self._latencies = {name: _LatencyRecord() for name in Latency}
        self._counters: defaultdict[tuple[Counter, str], float] = defaultdict(float)
        self._gauges: dict[tuple[Gauge, str], float] = {}

    def record(self, name: Latency, duration: timedelta) -> None:
        """Record a latency; longer ones than an hour count as an hour."""
        value_us = int(duration.total_seconds() * US_PER_S)
        value_us = min(max(value_us, 0), HIGHEST_US)
        latency = self._latencies[name]
        latency.current.record_value(value_us)
        latency.n_values += 1
        latency.sum_us += value_us

    def count(self, name: Counter, label: str = "", n: float = 1) -> None:
        """Add to a counter."""
        self._counters[name, label] += n

    def set_gauge(self, name: Gauge, value: float, label: str = "") -> None:
        """Set a gauge."""
        self._gauges[name, label] = value

    def rotate_windows(self) -> None:
        """Start a new window and drop the one before the last."""
        for latency in self._latencies.values():
            latency.previous, latency.current = latency.current, latency.previous
            latency.current.reset()

    def make_snapshot(self) -> MetricsSnapshot:
        """Return the metrics in a form that crosses processes."""
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
    """Return metrics without records."""
    return Metrics()


def make_counter(metrics: Metrics, name: Counter) -> Callable[[int], None]:
    """Return a function that adds to one counter."""

    def count(n: int) -> None:
        metrics.count(name, n=n)

    return count


@singledispatch
def handle(message: object, metrics: Metrics, now: datetime) -> list[object]:
    """Handle one message and return the effects."""
    raise TypeError(f"metrics have no message {type(message).__name__}")


@handle.register
def _(message: Tick, metrics: Metrics, now: datetime) -> list[object]:
    metrics.rotate_windows()
    return []


@handle.register
def _(message: GetMetrics, metrics: Metrics, now: datetime) -> list[object]:
    return [SendMetrics(message.reply, metrics.make_snapshot())]


def merge_snapshots(snapshots: list[MetricsSnapshot]) -> MetricsSnapshot:
    """Return one snapshot of several processes; counters and gauges add up."""
    latencies: dict[str, list[LatencySample]] = {}
    for snapshot in snapshots:
        for sample in snapshot.latencies:
            latencies.setdefault(sample.name, []).append(sample)
    return MetricsSnapshot(
        tuple(_merge_latencies(samples) for samples in latencies.values()),
        _merge_values([value for one in snapshots for value in one.counters]),
        _merge_values([value for one in snapshots for value in one.gauges]),
    )


def decode_histogram(payload: bytes) -> HdrHistogram:
    """Return the histogram of an encoded payload."""
    histogram = make_histogram()
    histogram.decode_and_add(payload)
    return histogram


def _make_latency_sample(name: Latency, latency: _LatencyRecord) -> LatencySample:
    window = make_histogram()
    window.add(latency.previous)
    window.add(latency.current)
    return LatencySample(
        name.value.name, latency.n_values, latency.sum_us / US_PER_S, window.encode()
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
