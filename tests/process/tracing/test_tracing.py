"""Guard against traces with missing hops and tracing that disturbs requests."""

import re

import gevent
import pytest
from cleo.testers.command_tester import CommandTester

from oleanderhitch.process.commands.trace_show import TraceShowCommand
from oleanderhitch.process.tracing.records import SpanRecord, format_record
from oleanderhitch.process.tracing.settings import TracingSettings
from oleanderhitch.process.tracing.states import Hop
from oleanderhitch.process.tracing.tracer import extract_trace, make_tracer
from oleanderhitch.process.tracing.tree import make_tree
from oleanderhitch.request.messages import StreamEnded
from tests.connection.endpoint.calls import Attempt, set_fault
from tests.standins.serving import serve_engine

CALLER_TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def make_recording_tracer(directory, process="entry", **options):
    """Return a tracer that samples every trace and writes every millisecond."""
    options = {"sample_ratio": 1.0, "flush_interval_ms": 1, **options}
    return make_tracer(TracingSettings(directory=directory, process=process, **options))


def run_trace_show(directory, request="r1"):
    """Return the exit status, output and errors of the `trace show` command."""
    tester = CommandTester(TraceShowCommand())
    status = tester.execute(f"{request} --traces {directory}")
    return status, tester.io.fetch_output(), tester.io.fetch_error()


def test_hops_of_several_processes_make_one_tree(tmp_path):
    """Guard against hops whose spans cannot be joined across processes."""
    entry_tracer = make_recording_tracer(tmp_path, "entry-1")
    store_tracer = make_recording_tracer(tmp_path, "store-1")
    headers = {"Traceparent": CALLER_TRACEPARENT, "X-Account": "a"}
    with entry_tracer.start_hop(Hop.ENTRY, "r1", extract_trace(headers)) as hop:
        with store_tracer.start_hop(Hop.SHARD, "r1", hop.trace) as shard:
            shard.set_attribute("group", "shard-3")
        with entry_tracer.start_hop(Hop.QUEUE, "r1", hop.trace):
            pass
        with entry_tracer.start_hop(Hop.ATTEMPT, "r1", hop.trace) as attempt:
            attempt.fail("endpoint was silent")
    with entry_tracer.start_hop(Hop.ENTRY, "r2", {}):
        pass
    entry_tracer.stop()
    store_tracer.stop()
    status, output, _ = run_trace_show(tmp_path)
    assert status == 0
    lines = output.splitlines()
    assert lines[0] == "trace 0af7651916cd43dd8448eb211c80319c"
    hops = [re.match(r" +\w+", line).group() for line in lines[1:]]
    assert hops == ["  entry", "    shard", "    queue", "    attempt"]
    assert "store-1  group=shard-3" in lines[2]
    assert lines[4].endswith("error: endpoint was silent")


def test_attempts_are_recorded_with_their_errors(tmp_path):
    """Guard against attempts that do not show up in the trace."""
    tracer = make_recording_tracer(tmp_path)
    with serve_engine() as address:
        for request, kind in (("r1", "none"), ("r2", "die_mid_stream")):
            set_fault(address, kind)
            trace = {"traceparent": CALLER_TRACEPARENT}
            attempt = Attempt(address, request=request, trace=trace, tracer=tracer)
            assert isinstance(attempt.finish(), StreamEnded) == (kind == "none")
            attempt.stream.join()
    tracer.stop()
    _, output, _ = run_trace_show(tmp_path)
    assert output.count("attempt=1") == 2
    assert output.count("error: ") == 1


@pytest.mark.parametrize(
    ("ratio", "trace", "n_written"),
    [(0.0, {}, 0), (0.0, {"traceparent": CALLER_TRACEPARENT}, 1), (1.0, {}, 1)],
)
def test_sampling_follows_the_setting_and_the_caller(tmp_path, ratio, trace, n_written):
    """Guard against missing hops of sampled traces and against excess trace files.

    A trace that the caller samples is written whatever the ratio.
    """
    tracer = make_recording_tracer(tmp_path, sample_ratio=ratio)
    with tracer.start_hop(Hop.ENTRY, "r1", trace) as hop:
        assert hop.trace["traceparent"].startswith("00-")
    tracer.stop()
    written = [line for path in tmp_path.glob("*") for line in path.open()]
    assert len(written) == n_written


def test_without_a_directory_the_context_passes_through():
    """Guard against a process without tracing that breaks the trace of others."""
    tracer = make_tracer(TracingSettings())
    trace = {"traceparent": CALLER_TRACEPARENT}
    with tracer.start_hop(Hop.ENTRY, "r1", trace) as hop:
        assert hop.trace == trace


def test_full_queue_and_failed_write_drop_spans(tmp_path):
    """Guard against requests that wait for the span writer or fail with it."""
    tracer = make_recording_tracer(tmp_path, n_queued_limit=10, flush_interval_ms=100)
    for _ in range(25):
        tracer.start_hop(Hop.ENTRY, "r1", {}).end()
    assert tracer.n_dropped == 15
    tracer.stop()
    blocked = tmp_path / "file"
    blocked.write_text("not a directory")
    tracer = make_recording_tracer(blocked)
    tracer.start_hop(Hop.ENTRY, "r1", {}).end()
    tracer.stop()
    assert tracer.n_dropped == 1


def test_files_are_bounded(tmp_path):
    """Guard against a disk that fills up with trace files."""
    tracer = make_recording_tracer(tmp_path, file_limit_bytes=4096)
    for _ in range(4):
        for _ in range(30):
            tracer.start_hop(Hop.ENTRY, "r1", {}).end()
        gevent.sleep(0.02)
    tracer.stop()
    paths = list(tmp_path.glob("*.jsonl"))
    assert len(paths) <= 2
    assert sum(path.stat().st_size for path in paths) < 4 * 30 * 250
    assert run_trace_show(tmp_path)[0] == 0


def test_torn_lines_and_unknown_requests_are_reported(tmp_path):
    """Guard against a whole directory that one incomplete line makes unreadable.

    A process that crashes may leave the last line of its file incomplete.
    """
    record = SpanRecord("t", "s", "", "entry", "r1", "p", 5, 9)
    text = format_record(record) + '{"trace":"t"}\n{"trace":"t","sp'
    (tmp_path / "p.jsonl").write_text(text)
    status, output, errors = run_trace_show(tmp_path)
    assert status == 0
    assert output.startswith("trace t\n  entry")
    assert "2 lines are not spans" in errors
    status, _, errors = run_trace_show(tmp_path, "other")
    assert status == 1
    assert "may not have been sampled" in " ".join(errors.split())


def test_span_without_its_parent_is_a_root():
    """Guard against omitting hops whose parent span is not recorded here."""
    records = [
        SpanRecord("t", "b", "a", "queue", "r", "p", 20, 30),
        SpanRecord("t", "a", "caller", "entry", "r", "p", 10, 40),
    ]
    assert [(line.depth, line.record.span) for line in make_tree(records)] == [
        (0, "a"),
        (1, "b"),
    ]
