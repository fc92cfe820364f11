"""Spans of a request's hops and propagation of the W3C trace context.

In this package, a `trace` that is a dict holds the headers of a trace context.
"""

import os
from collections.abc import Mapping
from types import TracebackType
from typing import Protocol, Self

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span, StatusCode, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from oleanderhitch.process.tracing.records import SpanRecord
from oleanderhitch.process.tracing.settings import TracingSettings
from oleanderhitch.process.tracing.states import Hop
from oleanderhitch.process.tracing.writer import SpanWriter, make_span_writer
from oleanderhitch.request.ids import RequestId

TRACE_HEADERS = ("traceparent", "tracestate")
_PROPAGATOR = TraceContextTextMapPropagator()
_REQUEST_ATTRIBUTE = "request"


def extract_trace(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the W3C trace context headers, whose names may be in any case."""
    lowercase_headers = {name.lower(): value for name, value in headers.items()}
    return {
        name: lowercase_headers[name]
        for name in TRACE_HEADERS
        if name in lowercase_headers
    }


def _is_unsampled(trace: dict[str, str]) -> bool:
    # Most hops belong to traces that an earlier hop decided not to sample. The lowest
    # bit of the trace flags, the last two hexadecimal digits, shows this without
    # parsing the rest.
    flags = trace.get("traceparent", "")[-2:]
    return len(flags) == 2 and flags[1] in "02468ace"


class HopSpan(Protocol):
    """Span of one hop; as a context manager it ends the span on exit."""

    @property
    def trace(self) -> dict[str, str]:
        """The trace context to propagate to the hops below."""

    def set_attribute(self, name: str, value: str | int | float | bool) -> None:
        """Set an attribute of the span."""

    def fail(self, reason: str) -> None:
        """Mark the hop as failed."""

    def end(self) -> None:
        """End the hop."""

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None: ...


class _NonRecordingSpan:
    """Records nothing and propagates the trace context unchanged."""

    def __init__(self, trace: dict[str, str]) -> None:
        self._trace = trace

    @property
    def trace(self) -> dict[str, str]:
        return self._trace

    def set_attribute(self, name: str, value: str | int | float | bool) -> None:
        pass

    def fail(self, reason: str) -> None:
        pass

    def end(self) -> None:
        pass

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        pass


class _RecordingSpan:
    """Records a hop as an OpenTelemetry span."""

    def __init__(self, span: Span) -> None:
        self._span = span

    @property
    def trace(self) -> dict[str, str]:
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, set_span_in_context(self._span, Context()))
        return carrier

    def set_attribute(self, name: str, value: str | int | float | bool) -> None:
        self._span.set_attribute(name, value)

    def fail(self, reason: str) -> None:
        self._span.set_status(StatusCode.ERROR, reason)

    def end(self) -> None:
        self._span.end()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if error is not None:
            self.fail(f"{type(error).__name__}: {error}")
        self.end()


class Tracer(Protocol):
    """Starts spans for the hops of requests."""

    @property
    def n_dropped(self) -> int:
        """The number of spans that were dropped."""

    def start_hop(self, hop: Hop, request: RequestId, trace: dict[str, str]) -> HopSpan:
        """Start a hop as a child of a trace context; an empty one starts a trace."""

    def stop(self) -> None:
        """Write the queued spans."""


class _NonRecordingTracer:
    """Records nothing and propagates trace contexts unchanged."""

    @property
    def n_dropped(self) -> int:
        return 0

    def start_hop(self, hop: Hop, request: RequestId, trace: dict[str, str]) -> HopSpan:
        return _NonRecordingSpan(trace)

    def stop(self) -> None:
        pass


class _RecordingTracer:
    """Samples traces and queues their finished spans for the writer."""

    def __init__(self, settings: TracingSettings, writer: SpanWriter) -> None:
        self._writer = writer
        self._provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(settings.sample_ratio)),
            resource=Resource({"service.name": settings.process}),
            shutdown_on_exit=False,
        )
        self._provider.add_span_processor(
            _SpanRecordProcessor(settings.process, writer)
        )
        self._tracer = self._provider.get_tracer("oleanderhitch")

    @property
    def n_dropped(self) -> int:
        return self._writer.n_dropped

    def start_hop(self, hop: Hop, request: RequestId, trace: dict[str, str]) -> HopSpan:
        if _is_unsampled(trace):
            return _NonRecordingSpan(trace)
        # Without an explicit context, the parent would be the current span, which may
        # belong to another greenlet.
        context = _PROPAGATOR.extract(trace, Context())
        attributes = {_REQUEST_ATTRIBUTE: request}
        return _RecordingSpan(
            self._tracer.start_span(hop.value, context, attributes=attributes)
        )

    def stop(self) -> None:
        self._writer.stop()


class _SpanRecordProcessor(SpanProcessor):
    """Converts finished spans to records."""

    def __init__(self, process: str, writer: SpanWriter) -> None:
        self._process = process
        self._writer = writer

    def on_end(self, span: ReadableSpan) -> None:
        """Queue the record of a finished span."""
        context = span.get_span_context()
        if context is None or not context.trace_flags.sampled:
            return
        attributes = dict(span.attributes or {})
        self._writer.add(
            SpanRecord(
                f"{context.trace_id:032x}",
                f"{context.span_id:016x}",
                f"{span.parent.span_id:016x}" if span.parent else "",
                span.name,
                str(attributes.pop(_REQUEST_ATTRIBUTE, "")),
                self._process,
                span.start_time or 0,
                span.end_time or 0,
                (span.status.description or "") if not span.status.is_ok else "",
                attributes,  # type: ignore[arg-type]
            )
        )


def make_non_recording_tracer() -> Tracer:
    """Return a tracer that records nothing and only propagates trace contexts."""
    return _NonRecordingTracer()


def make_tracer(settings: TracingSettings) -> Tracer:
    """Return a tracer that writes to the settings' directory, if one is set."""
    if settings.directory is None:
        return make_non_recording_tracer()
    path = settings.directory / f"{settings.process}-{os.getpid()}.jsonl"
    writer = make_span_writer(path, settings)
    writer.start()
    return _RecordingTracer(settings, writer)
