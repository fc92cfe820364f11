"""Rendering of metrics in the Prometheus text exposition format."""

from collections.abc import Iterator

from oleanderhitch.process.metrics.core import US_PER_S, decode_histogram
from oleanderhitch.process.metrics.messages import (
    LatencySample,
    MetricsSnapshot,
    ValueSample,
)
from oleanderhitch.process.metrics.states import Counter, Gauge, Latency, MetricName

QUANTILES = (0.5, 0.9, 0.95, 0.99, 0.999)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def format_metrics(snapshot: MetricsSnapshot) -> str:
    """Render a snapshot in the Prometheus text exposition format."""
    latencies = {sample.name: sample for sample in snapshot.latencies}
    lines: list[str] = []
    for latency in Latency:
        sample = latencies.get(latency.value.name)
        if sample is not None:
            lines.extend(_format_latency(latency.value, sample))
    for counter in Counter:
        lines.extend(_format_values(counter.value, "counter", snapshot.counters))
    for gauge in Gauge:
        lines.extend(_format_values(gauge.value, "gauge", snapshot.gauges))
    return "\n".join(lines) + "\n"


def _format_latency(metric: MetricName, sample: LatencySample) -> Iterator[str]:
    yield from _format_header(metric, "summary")
    histogram = decode_histogram(sample.histogram)
    for quantile in QUANTILES:
        if histogram.get_total_count():
            value_us = histogram.get_value_at_percentile(quantile * 100)
            seconds = f"{value_us / US_PER_S:.6f}"
        else:
            seconds = "NaN"
        yield f'{metric.name}{{quantile="{quantile}"}} {seconds}'
    yield f"{metric.name}_sum {sample.sum_seconds:.6f}"
    yield f"{metric.name}_count {sample.n_values}"


def _format_values(
    metric: MetricName, metric_type: str, samples: tuple[ValueSample, ...]
) -> Iterator[str]:
    metric_samples = sorted(
        (s.label, s.value) for s in samples if s.name == metric.name
    )
    if not metric_samples:
        return
    yield from _format_header(metric, metric_type)
    for label, value in metric_samples:
        labels = f'{{{metric.label}="{_escape(label)}"}}' if metric.label else ""
        yield f"{metric.name}{labels} {_format_number(value)}"


def _format_number(value: float) -> str:
    number = float(value)
    return str(int(number)) if number.is_integer() else repr(number)


def _format_header(metric: MetricName, metric_type: str) -> Iterator[str]:
    yield f"# HELP {metric.name} {metric.help}"
    yield f"# TYPE {metric.name} {metric_type}"


def _escape(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
