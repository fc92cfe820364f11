"""Run one forwarded request on the task of its caller's connection."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatch
from itertools import count
from random import Random

import logbook

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.http.caller import AnswerWriter
from oleanderhitch.connection.http.endpoint import Exchange
from oleanderhitch.connection.http.messages import (
    HttpRequest,
    HttpResponse,
    RequestUnreadable,
    ResponseHead,
)
from oleanderhitch.connection.http.pool import CancelExchange, StartExchange
from oleanderhitch.connection.http.rendering import render_request
from oleanderhitch.exceptions import InvalidInputError, OleanderhitchError
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.client.messages import (
    GroupResult,
    GroupTimedOut,
    SubmitToGroup,
)
from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.mailbox import Mailbox
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter, Latency
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    EventLatencyObserved,
    FirstChunkReceived,
    ReleaseEndpoint,
    WithdrawRequest,
)
from oleanderhitch.request.forwarding.core import handle
from oleanderhitch.request.forwarding.dialect import Dialect
from oleanderhitch.request.forwarding.messages import (
    AbortAnswer,
    Answer,
    AnswerBegun,
    AskEndpoint,
    Begin,
    CancelSend,
    FinishAnswer,
    ForwardRequest,
    GiveVerdict,
    LogDecision,
    NoteFirstPiece,
    NotePace,
    RecordFailed,
    Release,
    Reserve,
    Send,
    Settle,
    StartAnswer,
    Withdraw,
    WritePiece,
)
from oleanderhitch.request.forwarding.state import ForwardState, make_forward_state
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.version.routes.configuration import RouteTable, choose_target
from oleanderhitch.version.routes.states import RouteKind

# A settlement that nobody waits for is sent again until then; afterwards the
# reservation stays spent.
SETTLE_TIMEOUT = timedelta(seconds=8)

# An entry that has just started learns the routing within a second or two; a
# caller that is refused before has few attempts left.
START_WAIT_LIMIT = timedelta(seconds=2)
START_WAIT_SHARE = 0.4

log = logbook.Logger("request")


@dataclass(slots=True)
class ForwardParts:
    """Hold what all requests of an entry share."""

    dialect: Dialect
    await_table: Callable[[timedelta], RouteTable | None]
    group: GroupId
    records: Address
    codec: Codec
    placement: Address
    pool: Address
    clock: Clock
    random_source: Random
    metrics: Metrics
    numbers: "count[int]" = field(default_factory=lambda: count(1))


@dataclass(slots=True)
class ForwardContext:
    """Hold what the effects of one request act on."""

    parts: ForwardParts
    request: ForwardRequest
    state: ForwardState
    writer: AnswerWriter
    mailbox: Mailbox


class Sink:
    """Drop the answers that nobody waits for."""

    def send(self, message: object) -> None:
        """Drop a message; a settlement that was not applied is logged."""
        if isinstance(message, GroupTimedOut):
            log.warning("settlement lost", request=message.tag, reason=message.reason)


SINK = Sink()


def serve_request(
    http: HttpRequest,
    writer: AnswerWriter,
    mailbox: Mailbox,
    now: datetime,
    parts: ForwardParts,
) -> None:
    """Serve one request of a caller until its answer is given."""
    context = _begin(http, writer, mailbox, now, parts)
    if context is None:
        return
    state = context.state
    message: object = Begin()
    while True:
        _note_progress(message, context)
        for effect in handle(message, state, parts.clock.now()):
            _perform_guarded(effect, context)
        if state.has_ended:
            break
        message = _receive(context)
    if state.left is not None:
        # The connection's own loop must learn of it as well.
        mailbox.send(state.left)


def _begin(
    http: HttpRequest,
    writer: AnswerWriter,
    mailbox: Mailbox,
    now: datetime,
    parts: ForwardParts,
) -> ForwardContext | None:
    """Return the context of a request, or None once it is answered."""
    try:
        request = parts.dialect.read_request(http)
    except InvalidInputError as error:
        _refuse(None, Verdict.MALFORMED, str(error), writer, parts)
        return None
    wait_limit = request.wait_limit or START_WAIT_LIMIT
    table = parts.await_table(min(START_WAIT_LIMIT, wait_limit * START_WAIT_SHARE))
    if table is None:
        detail = "no routing configuration yet"
        _refuse(request, Verdict.NOT_READY, detail, writer, parts)
        return None
    route = table.find_route(request.host, request.path)
    if route is None:
        detail = f"no route in version {table.version}"
        _refuse(request, Verdict.NO_ROUTE, detail, writer, parts)
        return None
    target = choose_target(route, parts.random_source.random())
    service = table.find_service(target)
    engine = None if service is None else service.engine
    state = make_forward_state(
        request,
        route,
        target,
        0 if engine is None else engine.tokens_per_event,
        next(parts.numbers),
        now,
    )
    log.info(
        "request routed",
        request=request.request,
        route=route.name,
        version=table.version,
        service=target,
        time_left_ms=round((state.due_at - now).total_seconds() * 1000),
    )
    return ForwardContext(parts, request, state, writer, mailbox)


def _refuse(
    request: ForwardRequest | None,
    verdict: Verdict,
    detail: str,
    writer: AnswerWriter,
    parts: ForwardParts,
) -> None:
    name = None if request is None else request.request
    log.info("refused", request=name, verdict=verdict.value, detail=detail)
    parts.metrics.count(Counter.REFUSALS, verdict.value)
    time_left = timedelta(0) if request is None else request.wait_limit or timedelta(0)
    writer.respond(parts.dialect.make_verdict(name, verdict, detail, time_left))


def _receive(context: ForwardContext) -> object:
    """Return the next message that concerns the request."""
    while True:
        wait = context.state.wake_at - context.parts.clock.now()
        message = context.mailbox.receive(max(wait, timedelta(0)))
        if message is None:
            return Tick()
        translated = _translate(message, context)
        if translated is not None:
            return translated


@singledispatch
def _translate(message: object, context: ForwardContext) -> object | None:
    return message


@_translate.register
def _(message: GroupResult, context: ForwardContext) -> object | None:
    if message.tag != context.request.request:
        return None
    try:
        return context.parts.codec.decode(message.body)
    except OleanderhitchError as error:
        return RecordFailed(f"unreadable result: {error}")


@_translate.register
def _(message: GroupTimedOut, context: ForwardContext) -> object | None:
    if message.tag != context.request.request:
        return None
    return RecordFailed(message.reason)


@_translate.register
def _(message: ResponseHead, context: ForwardContext) -> object | None:
    head = context.parts.dialect.read_answer(message.status, message.headers)
    return AnswerBegun(message.exchange, head)


@_translate.register
def _(message: RequestUnreadable, context: ForwardContext) -> object | None:
    # Concerns bytes that follow this request; its answer comes first.
    context.mailbox.send(message)
    return None


def _note_progress(message: object, context: ForwardContext) -> None:
    state = context.state
    is_stream = state.route.kind is RouteKind.STREAM
    if isinstance(message, AnswerBegun) and is_stream:
        waited = context.parts.clock.now() - state.started_at
        context.parts.metrics.record(Latency.FIRST_TOKEN, waited)


def _perform_guarded(effect: object, context: ForwardContext) -> None:
    try:
        perform(effect, context)
    except OleanderhitchError as error:
        # The request's own time limit ends it when an effect is lost.
        log.error(
            "effect not performed",
            request=context.request.request,
            effect=type(effect).__name__,
            reason=str(error),
        )


@singledispatch
def perform(effect: object, context: ForwardContext) -> None:
    """Perform an effect of a request."""
    raise TypeError(f"request has no effect {type(effect).__name__}")


@perform.register
def _(effect: LogDecision, context: ForwardContext) -> None:
    log.info(effect.event, request=context.request.request, **dict(effect.fields))


@perform.register
def _(effect: Reserve, context: ForwardContext) -> None:
    parts = context.parts
    timeout = max(effect.due_at - parts.clock.now(), timedelta(0))
    body = parts.codec.encode(effect.command)
    tag = context.request.request
    parts.records.send(
        SubmitToGroup(parts.group, body, False, timeout, tag, context.mailbox)
    )


@perform.register
def _(effect: Settle, context: ForwardContext) -> None:
    parts = context.parts
    reply = context.mailbox if effect.is_awaited else SINK
    body = parts.codec.encode(effect.command)
    tag = context.request.request
    parts.records.send(
        SubmitToGroup(parts.group, body, False, SETTLE_TIMEOUT, tag, reply)
    )


@perform.register
def _(effect: AskEndpoint, context: ForwardContext) -> None:
    request = context.request
    context.parts.placement.send(
        AcquireEndpoint(
            request.request,
            effect.service,
            request.shape,
            request.affinity if context.state.route.is_sticky else None,
            effect.rank,
            effect.tried,
            effect.may_repeat,
            effect.due_at,
            context.mailbox,
        )
    )


@perform.register
def _(effect: Withdraw, context: ForwardContext) -> None:
    context.parts.placement.send(WithdrawRequest(context.request.request))


@perform.register
def _(effect: Send, context: ForwardContext) -> None:
    dialect = context.parts.dialect
    http = dialect.make_endpoint_request(context.request, effect)
    check = dialect.make_answer_check(context.request.request)
    exchange = Exchange(effect.exchange, render_request(http), context.mailbox, check)
    context.parts.pool.send(StartExchange(effect.endpoint.address, exchange))


@perform.register
def _(effect: CancelSend, context: ForwardContext) -> None:
    context.parts.pool.send(CancelExchange(effect.exchange))


@perform.register
def _(effect: Release, context: ForwardContext) -> None:
    context.parts.metrics.count(Counter.ATTEMPTS, effect.result.value)
    context.parts.placement.send(ReleaseEndpoint(effect.permit, effect.result))


@perform.register
def _(effect: NoteFirstPiece, context: ForwardContext) -> None:
    context.parts.placement.send(FirstChunkReceived(effect.permit))


@perform.register
def _(effect: NotePace, context: ForwardContext) -> None:
    context.parts.placement.send(EventLatencyObserved(effect.permit, effect.pause))


@perform.register
def _(effect: Answer, context: ForwardContext) -> None:
    context.parts.metrics.count(Counter.REQUESTS, str(effect.head.status))
    response = HttpResponse(effect.head.status, effect.body, effect.head.headers)
    context.writer.respond(response)


@perform.register
def _(effect: StartAnswer, context: ForwardContext) -> None:
    context.writer.start(effect.head.status, effect.head.headers)


@perform.register
def _(effect: WritePiece, context: ForwardContext) -> None:
    context.writer.write(effect.data)


@perform.register
def _(effect: FinishAnswer, context: ForwardContext) -> None:
    context.parts.metrics.count(Counter.REQUESTS, "completed")
    context.writer.finish()


@perform.register
def _(effect: AbortAnswer, context: ForwardContext) -> None:
    context.parts.metrics.count(Counter.REQUESTS, "broken_off")
    context.writer.abort()


@perform.register
def _(effect: GiveVerdict, context: ForwardContext) -> None:
    parts = context.parts
    parts.metrics.count(Counter.REFUSALS, effect.verdict.value)
    time_left = context.state.due_at - parts.clock.now()
    response = parts.dialect.make_verdict(
        context.request.request, effect.verdict, effect.detail, time_left
    )
    context.writer.respond(response)
