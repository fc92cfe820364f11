"""Record the spans and metrics of one request from its messages and effects.

Attempts record their own, since they know how their connection fared.
"""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter, Latency
from oleanderhitch.process.tracing.states import Hop
from oleanderhitch.process.tracing.tracer import HopSpan, Tracer
from oleanderhitch.request.ids import AttemptNumber
from oleanderhitch.request.messages import (
    AnswerCaller,
    Call,
    CancelAttempt,
    Dispatch,
    EnqueueCall,
    RelayChunk,
    SlotGranted,
    SlotRefused,
    StreamEnded,
    StreamFailed,
    WithdrawCall,
)
from oleanderhitch.request.states import Outcome


@dataclass(slots=True)
class RequestObserver:
    """Hold the open spans and the times of one request."""

    call: Call
    metrics: Metrics
    tracer: Tracer
    started_at: datetime
    entry: HopSpan
    queue: HopSpan | None = None
    queued_at: datetime | None = None
    attempts: set[AttemptNumber] = field(default_factory=set)
    attempt_at: datetime | None = None
    has_chunk: bool = False
    outside: timedelta = timedelta(0)


def make_observer(
    call: Call, metrics: Metrics, tracer: Tracer, now: datetime
) -> RequestObserver:
    """Return the observer of a request that starts now."""
    entry = tracer.start_hop(Hop.ENTRY, call.request, call.trace)
    return RequestObserver(call, metrics, tracer, now, entry)


@singledispatch
def note(event: object, observer: RequestObserver, now: datetime) -> None:
    """Record what a message or effect shows; most show nothing."""


@note.register
def _(event: EnqueueCall, observer: RequestObserver, now: datetime) -> None:
    observer.queued_at = now
    observer.queue = observer.tracer.start_hop(
        Hop.QUEUE, observer.call.request, observer.entry.trace
    )


@note.register
def _(event: SlotGranted, observer: RequestObserver, now: datetime) -> None:
    if event.is_hedge:
        observer.metrics.count(Counter.HEDGES)
        return
    if observer.queue is not None:
        observer.queue.set("endpoint", event.endpoint)
    _end_queue(observer, now)


@note.register
def _(event: SlotRefused, observer: RequestObserver, now: datetime) -> None:
    if observer.queue is not None:
        observer.queue.fail(event.reason)
    _end_queue(observer, now)


@note.register
def _(event: WithdrawCall, observer: RequestObserver, now: datetime) -> None:
    _end_queue(observer, now)


@note.register
def _(event: Dispatch, observer: RequestObserver, now: datetime) -> None:
    observer.attempts.add(event.attempt)
    if observer.attempt_at is None:
        observer.attempt_at = now


@note.register
def _(event: StreamEnded, observer: RequestObserver, now: datetime) -> None:
    _end_attempt(observer, event.attempt, now)
    metrics = observer.metrics
    metrics.count(Counter.PROMPT_TOKENS, n=event.prompt_tokens)
    metrics.count(Counter.CACHED_TOKENS, n=event.cached_tokens)
    metrics.count(Counter.OUTPUT_TOKENS, n=event.completion_tokens)


@note.register
def _(event: StreamFailed, observer: RequestObserver, now: datetime) -> None:
    _end_attempt(observer, event.attempt, now)


@note.register
def _(event: CancelAttempt, observer: RequestObserver, now: datetime) -> None:
    _end_attempt(observer, event.attempt, now)


@note.register
def _(event: RelayChunk, observer: RequestObserver, now: datetime) -> None:
    if not observer.has_chunk:
        observer.metrics.record(Latency.FIRST_TOKEN, now - observer.started_at)
        observer.has_chunk = True


@note.register
def _(event: AnswerCaller, observer: RequestObserver, now: datetime) -> None:
    metrics = observer.metrics
    metrics.count(Counter.REQUESTS, event.outcome.value)
    if event.outcome is Outcome.NOT_RUN:
        metrics.count(Counter.REFUSALS, event.reason.value)
    if event.outcome is Outcome.COMPLETED and not event.is_replay:
        added = now - observer.started_at - observer.outside
        metrics.record(Latency.ADDED_TIME, added)
    if event.outcome is not Outcome.COMPLETED:
        observer.entry.fail(event.detail or event.reason.value)
    observer.entry.set("outcome", event.outcome.value)
    observer.entry.end()


def _end_queue(observer: RequestObserver, now: datetime) -> None:
    if observer.queue is None or observer.queued_at is None:
        return
    wait = now - observer.queued_at
    observer.metrics.record(Latency.QUEUE_WAIT, wait)
    observer.outside += wait
    observer.queue.end()
    observer.queue = None


def _end_attempt(
    observer: RequestObserver, attempt: AttemptNumber, now: datetime
) -> None:
    observer.attempts.discard(attempt)
    if not observer.attempts and observer.attempt_at is not None:
        observer.outside += now - observer.attempt_at
        observer.attempt_at = None
