"""Guard against a stalled store that can't be told from a slow network."""

from datetime import timedelta

import gevent
from gevent import monkey

from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.usage.monitor import make_usage_monitor

N_PEAK_BYTES = 64 * 1024 * 1024
# The patched function would yield to the event loop instead of blocking it.
block = monkey.get_original("time", "sleep")


def test_monitor_reports_a_blocked_event_loop_once() -> None:
    """Guard against a stall that no log line or gauge shows."""
    monitor = make_usage_monitor(make_system_clock())
    monitor.start()
    gevent.sleep(0.1)
    monitor.take()
    block(0.3)
    gevent.sleep(0.1)
    usage = monitor.take()
    assert usage.loop_delay > timedelta(milliseconds=200)
    assert usage.memory_bytes is None or usage.memory_bytes > 1_000_000
    gevent.sleep(0.1)
    assert monitor.take().loop_delay < timedelta(milliseconds=200)
    monitor.stop()


def test_monitor_reports_memory_that_was_freed_between_two_reports() -> None:
    """Guard against a peak that no log line shows, since it was over at the report."""
    monitor = make_usage_monitor(make_system_clock())
    monitor.start()
    gevent.sleep(0.1)
    before = monitor.take()
    data = bytearray(b"x" * N_PEAK_BYTES)
    gevent.sleep(0.2)
    del data
    usage = monitor.take()
    if usage.peak_memory_bytes is not None and before.memory_bytes is not None:
        assert usage.peak_memory_bytes > before.memory_bytes + N_PEAK_BYTES / 2
    monitor.stop()
