"""Guard against wrong, unmergeable or unparsable metrics."""

import re
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.metrics.core import (
    decode_histogram,
    handle,
    make_metrics,
    merge_snapshots,
)
from oleanderhitch.process.metrics.messages import MESSAGES, GetMetrics
from oleanderhitch.process.metrics.states import Counter, Gauge, Latency
from oleanderhitch.process.metrics.task import perform
from oleanderhitch.process.metrics.text import format_metrics

NOW = datetime(2026, 1, 1, tzinfo=UTC)
LINE_PATTERN = re.compile(
    r"(# (HELP|TYPE) [a-z_]+ .+"
    r'|[a-z_]+(\{[a-z]+="([^"\\\n]|\\["\\n])*"\})? (NaN|-?[0-9.e+-]+))'
)
DURATIONS_US = st.lists(st.integers(0, 4_000_000_000), min_size=1, max_size=30)


def make_recorded_metrics(values_us):
    """Return metrics with queue waits and as many completed requests."""
    metrics = make_metrics()
    for value in values_us:
        metrics.record(Latency.QUEUE_WAIT, timedelta(microseconds=value))
        metrics.count(Counter.REQUESTS, "completed")
    return metrics


def find_value(text, series):
    """Return the value of the only line of a series, given by name and labels."""
    lines = [line for line in text.splitlines() if line.startswith(series + " ")]
    assert len(lines) == 1, (series, lines)
    return float(lines[0].split()[-1])


@given(DURATIONS_US, DURATIONS_US)
def test_merged_snapshots_equal_one_process(first_us, second_us):
    """Guard against quantiles that depend on how work is spread over processes."""
    snapshots = [
        make_recorded_metrics(first_us).make_snapshot(),
        make_recorded_metrics(second_us).make_snapshot(),
    ]
    merged = merge_snapshots(snapshots)
    single_process = make_recorded_metrics(first_us + second_us).make_snapshot()
    assert format_metrics(merged) == format_metrics(single_process)


@given(DURATIONS_US)
def test_quantiles_are_near_the_recorded_values(values_us):
    """Guard against a histogram in the wrong unit or with too small a range."""
    text = format_metrics(make_recorded_metrics(values_us).make_snapshot())
    name = Latency.QUEUE_WAIT.value.name
    highest_s = min(max(values_us), 3_600_000_000) / 1e6
    shown = find_value(text, f'{name}{{quantile="0.999"}}')
    assert shown == pytest.approx(highest_s, rel=0.01, abs=2e-6)
    assert find_value(text, f"{name}_count") == len(values_us)


@given(st.text(max_size=20), st.floats(0, 1e12))
def test_every_line_matches_the_exposition_format(label, value):
    """Guard against a label or value that makes the whole exposition unparsable."""
    metrics = make_recorded_metrics([])
    metrics.set_gauge(Gauge.QUEUE_LENGTH, value, label)
    metrics.count(Counter.HEDGES, n=value)
    for line in format_metrics(metrics.make_snapshot()).split("\n")[:-1]:
        assert LINE_PATTERN.fullmatch(line), line


def test_windows_expire_and_totals_do_not():
    """Guard against quantiles that an old incident dominates for days.

    A sample is in the quantiles for two windows; totals keep it.
    """
    metrics = make_recorded_metrics([1_000_000])
    handle(Tick(), metrics, NOW)
    metrics.record(Latency.QUEUE_WAIT, timedelta(microseconds=10))
    sample = metrics.make_snapshot().latencies[list(Latency).index(Latency.QUEUE_WAIT)]
    assert decode_histogram(sample.histogram).get_total_count() == 2
    handle(Tick(), metrics, NOW)
    handle(Tick(), metrics, NOW)
    text = format_metrics(metrics.make_snapshot())
    name = Latency.QUEUE_WAIT.value.name
    assert f'{name}{{quantile="0.5"}} NaN' in text
    assert find_value(text, f"{name}_count") == 2


def test_snapshot_can_be_encoded_and_decoded():
    """Guard against a snapshot that the codec cannot encode and decode."""
    metrics = make_recorded_metrics([5, 50])
    reply_mailbox = make_mailbox("reply")
    for effect in handle(GetMetrics(reply_mailbox), metrics, NOW):
        perform(effect)
    snapshot = reply_mailbox.receive(timedelta(seconds=1))
    codec = make_codec(MESSAGES)
    assert codec.decode(codec.encode(snapshot)) == snapshot


def test_names_are_unique():
    """Guard against two metrics that are exposed under the same name."""
    names = [metric.value.name for kind in (Latency, Counter, Gauge) for metric in kind]
    assert len(set(names)) == len(names)


def test_observed_gauge_has_its_value_at_the_snapshot():
    """Guard against gauges of bytes held that show the value of another moment."""
    metrics = make_metrics()
    values = [1]
    metrics.observe_gauge(Gauge.HELD_BYTES, lambda: values[0], "all")
    values[0] = 2
    sample = metrics.make_snapshot().gauges[0]
    assert (sample.name, sample.label, sample.value) == (
        Gauge.HELD_BYTES.value.name,
        "all",
        2,
    )
