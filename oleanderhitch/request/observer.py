"""Record the spans and metrics of one request from its messages and effects.

The spans and metrics of attempts are recorded where their connections are handled.
"""

from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter, Latency
from oleanderhitch.process.tracing.states import Hop
from oleanderhitch.process.tracing.tracer import HopSpan, Tracer
from oleanderhitch.request.ids import AttemptNumber
from oleanderhitch.request.messages import (
    Call,
    CancelAttempt,
    Dispatch,
    EnqueueCall,
    RelayChunk,
    RespondToCaller,
    SlotGranted,
    SlotRefused,
    StreamEnded,
    StreamFailed,
    WithdrawCall,
)
from oleanderhitch.request.states import Outcome


class RequestObserver(Struct):
    """The open spans and start times of one request."""

    call: Call
    metrics: Metrics
    tracer: Tracer
    started_at: datetime
    entry_span: HopSpan
    queue_span: HopSpan | None = None
    queued_at: datetime | None = None
    running_attempts: set[AttemptNumber] = field(default_factory=set)
    attempts_started_at: datetime | None = None
    has_relayed_chunk: bool = False
    # Time in the queue and at endpoints, which does not count as added time.
    external_time: timedelta = timedelta(0)


def make_observer(
    call: Call, metrics: Metrics, tracer: Tracer, now: datetime
) -> RequestObserver:
    """Return an observer for a request that starts now."""
    entry = tracer.start_hop(Hop.ENTRY, call.request, call.trace)
    return RequestObserver(call, metrics, tracer, now, entry)


@singledispatch
def observe(event: object, observer: RequestObserver, now: datetime) -> None:
    """Record the spans and metrics of a message or effect; most have none."""


@observe.register
def _(event: EnqueueCall, observer: RequestObserver, now: datetime) -> None:
    observer.queued_at = now
    observer.queue_span = observer.tracer.start_hop(
        Hop.QUEUE, observer.call.request, observer.entry_span.trace
    )


@observe.register
def _(event: SlotGranted, observer: RequestObserver, now: datetime) -> None:
    if event.is_hedge:
        observer.metrics.count(Counter.HEDGES)
        return
    if observer.queue_span is not None:
        observer.queue_span.set_attribute("endpoint", event.endpoint)
    _end_queue_span(observer, now)


@observe.register
def _(event: SlotRefused, observer: RequestObserver, now: datetime) -> None:
    if observer.queue_span is not None:
        observer.queue_span.fail(event.reason)
    _end_queue_span(observer, now)


@observe.register
def _(event: WithdrawCall, observer: RequestObserver, now: datetime) -> None:
    _end_queue_span(observer, now)


@observe.register
def _(event: Dispatch, observer: RequestObserver, now: datetime) -> None:
    observer.running_attempts.add(event.attempt)
    if observer.attempts_started_at is None:
        observer.attempts_started_at = now


@observe.register
def _(event: StreamEnded, observer: RequestObserver, now: datetime) -> None:
    _end_attempt(observer, event.attempt, now)
    metrics = observer.metrics
    metrics.count(Counter.PROMPT_TOKENS, n=event.prompt_tokens)
    metrics.count(Counter.CACHED_TOKENS, n=event.cached_tokens)
    metrics.count(Counter.OUTPUT_TOKENS, n=event.completion_tokens)


@observe.register
def _(event: StreamFailed, observer: RequestObserver, now: datetime) -> None:
    _end_attempt(observer, event.attempt, now)


@observe.register
def _(event: CancelAttempt, observer: RequestObserver, now: datetime) -> None:
    _end_attempt(observer, event.attempt, now)


@observe.register
def _(event: RelayChunk, observer: RequestObserver, now: datetime) -> None:
    if not observer.has_relayed_chunk:
        observer.metrics.record(Latency.FIRST_TOKEN, now - observer.started_at)
        observer.has_relayed_chunk = True


@observe.register
def _(event: RespondToCaller, observer: RequestObserver, now: datetime) -> None:
    metrics = observer.metrics
    metrics.count(Counter.REQUESTS, event.outcome.value)
    if event.outcome is Outcome.NOT_RUN:
        metrics.count(Counter.REFUSALS, event.reason.value)
    if event.outcome is Outcome.COMPLETED and not event.is_replay:
        added = now - observer.started_at - observer.external_time
        metrics.record(Latency.ADDED_TIME, added)
    if event.outcome is not Outcome.COMPLETED:
        observer.entry_span.fail(event.detail or event.reason.value)
    observer.entry_span.set_attribute("outcome", event.outcome.value)
    observer.entry_span.end()


def _end_queue_span(observer: RequestObserver, now: datetime) -> None:
    if observer.queue_span is None or observer.queued_at is None:
        return
    wait = now - observer.queued_at
    observer.metrics.record(Latency.QUEUE_WAIT, wait)
    observer.external_time += wait
    observer.queue_span.end()
    observer.queue_span = None


def _end_attempt(
    observer: RequestObserver, attempt: AttemptNumber, now: datetime
) -> None:
    observer.running_attempts.discard(attempt)
    if not observer.running_attempts and observer.attempts_started_at is not None:
        observer.external_time += now - observer.attempts_started_at
        observer.attempts_started_at = None
