"""Arrangement of the spans of a request as a tree."""

from collections.abc import Iterable, Iterator

from oleanderhitch.process.tracing.records import SpanRecord
from oleanderhitch.values import Value

NS_PER_MS = 1_000_000


class TreeLine(Value, frozen=True):
    """A span with its depth in the tree and its times in milliseconds.

    `start_ms` is relative to the first span of the trace.
    """

    depth: int
    record: SpanRecord
    start_ms: float
    duration_ms: float


def select_traces(
    records: Iterable[SpanRecord], request: str
) -> dict[str, list[SpanRecord]]:
    """Return the spans of each trace that has a span of the request, by trace id."""
    by_trace: dict[str, dict[str, SpanRecord]] = {}
    for record in records:
        by_trace.setdefault(record.trace, {})[record.span] = record
    return {
        trace: list(spans.values())
        for trace, spans in by_trace.items()
        if any(span.request == request for span in spans.values())
    }


def make_tree(records: list[SpanRecord]) -> Iterator[TreeLine]:
    """Yield the spans of a trace depth first, with siblings in order of start time.

    A span whose parent is not recorded, such as a caller's own span, is a root.
    """
    span_ids = {record.span for record in records}
    children: dict[str, list[SpanRecord]] = {}
    for record in sorted(records, key=lambda record: record.start_ns):
        parent = record.parent if record.parent in span_ids else ""
        children.setdefault(parent, []).append(record)
    origin_ns = min(record.start_ns for record in records)
    stack = [(0, record) for record in reversed(children.get("", []))]
    while stack:
        depth, record = stack.pop()
        yield TreeLine(
            depth,
            record,
            (record.start_ns - origin_ns) / NS_PER_MS,
            (record.end_ns - record.start_ns) / NS_PER_MS,
        )
        child_records = children.get(record.span, [])
        stack.extend((depth + 1, child) for child in reversed(child_records))
