"""Arrange the spans of a request as a tree."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from oleanderhitch.process.tracing.records import SpanRecord

NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class TreeLine:
    """Hold one span with its place in the tree and times in milliseconds."""

    depth: int
    record: SpanRecord
    start_ms: float
    duration_ms: float


def select_traces(
    records: Iterable[SpanRecord], request: str
) -> dict[str, list[SpanRecord]]:
    """Return the spans of every trace that has a span of the request."""
    by_trace: dict[str, dict[str, SpanRecord]] = {}
    for record in records:
        by_trace.setdefault(record.trace, {})[record.span] = record
    return {
        trace: list(spans.values())
        for trace, spans in by_trace.items()
        if any(span.request == request for span in spans.values())
    }


def make_tree(records: list[SpanRecord]) -> Iterator[TreeLine]:
    """Yield the spans of one trace, each below its parent, in order of time.

    A span whose parent was not written, such as a caller's own, is a root.
    """
    known = {record.span for record in records}
    children: dict[str, list[SpanRecord]] = {}
    for record in sorted(records, key=lambda record: record.start_ns):
        parent = record.parent if record.parent in known else ""
        children.setdefault(parent, []).append(record)
    origin_ns = min(record.start_ns for record in records)
    waiting = [(0, record) for record in reversed(children.get("", []))]
    while waiting:
        depth, record = waiting.pop()
        yield TreeLine(
            depth,
            record,
            (record.start_ns - origin_ns) / NS_PER_MS,
            (record.end_ns - record.start_ns) / NS_PER_MS,
        )
        below = children.get(record.span, [])
        waiting.extend((depth + 1, child) for child in reversed(below))
