"""Serve forwarded requests in the task of their caller's connection."""

from collections.abc import Callable
from contextlib import suppress
from datetime import datetime, timedelta
from functools import singledispatch
from itertools import count
from random import Random

import gevent
import logbook
from msgspec import Struct, field

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.http.caller import ResponseWriter
from oleanderhitch.connection.http.endpoint import Exchange
from oleanderhitch.connection.http.flow import ResponseFlow, make_response_flow
from oleanderhitch.connection.http.memory import MemoryShare, TrafficMemory
from oleanderhitch.connection.http.messages import (
    HttpRequest,
    HttpResponse,
    ResponseBody,
    ResponseHead,
)
from oleanderhitch.connection.http.pool import CancelExchange, StartExchange
from oleanderhitch.connection.http.rendering import render_request
from oleanderhitch.exceptions import InvalidInputError, OleanderhitchError
from oleanderhitch.process.address import Address, MailboxFullError
from oleanderhitch.process.alarm import Alarm, make_alarm
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.client.messages import (
    GroupAway,
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
    EndHolder,
    EndpointGranted,
    EndpointLeaving,
    EndpointRateLimited,
    EventLatencyObserved,
    FirstChunkReceived,
    ReleaseEndpoint,
)
from oleanderhitch.process.quotas.messages import (
    AcquireCredit,
    CreditGranted,
    ReturnCredit,
)
from oleanderhitch.process.site.messages import CommandRefused
from oleanderhitch.process.site.subscription.installed_state import InstalledState
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.turns.messages import HistoryTooLong
from oleanderhitch.request.forwarding.attempts import excuse_wait
from oleanderhitch.request.forwarding.core import end_after_error, handle
from oleanderhitch.request.forwarding.dialect import Dialect
from oleanderhitch.request.forwarding.history_memory import (
    HistoryMemory,
    make_history_memory,
)
from oleanderhitch.request.forwarding.identity import (
    Admission,
    find_departure_fault,
    judge_arrival,
)
from oleanderhitch.request.forwarding.messages import (
    AbortResponse,
    CancelEndpointExchange,
    FinishResponse,
    ForwardRequest,
    GrantBarred,
    HistoryMemoryExhausted,
    LogDecision,
    LongHistoryFound,
    MemoryExhausted,
    ReadMoreHistory,
    ReadOtherHistory,
    RecordAway,
    RecordFailed,
    ReportEventLatency,
    ReportFirstChunk,
    ReportLeaving,
    ReportRateLimit,
    RequestCredit,
    RequestEndpoint,
    ReserveTokens,
    ResponseBegun,
    ReturnPermit,
    SearchTurn,
    SendResponse,
    SendToEndpoint,
    SendVerdict,
    SettleReservation,
    Start,
    StartResponse,
    WriteResponseChunk,
)
from oleanderhitch.request.forwarding.state import ForwardState, make_forward_state
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.version.routes.configuration import choose_target
from oleanderhitch.version.routes.states import RouteKind

# Resending a settlement stops after this time; its tokens then stay reserved, so that
# the program cannot spend them.
SETTLEMENT_TIMEOUT = timedelta(seconds=8)

# A new entry host gets its first route table within a second or two. Requests wait for
# it, since a refusal would use up one of the few retries that callers have, but only
# for a share of the caller's timeout. The constant bounds the wait and stands in for
# the timeout of a caller that gave none.
ROUTE_TABLE_WAIT_TIMEOUT = timedelta(seconds=2)
ROUTE_TABLE_WAIT_SHARE = 0.4

# A table or a lease that a starting host gets soon may change these.
AWAITED_VERDICTS = (Verdict.NOT_READY, Verdict.NOT_CURRENT)
ARRIVAL_FAULTS = {
    Verdict.NOT_READY: "no routing configuration yet",
    Verdict.NOT_CURRENT: "version {version} may not be the newest",
    Verdict.NO_ROUTE: "no route in version {version}",
    Verdict.UNAUTHORIZED: "no account of version {version} has the key",
}
STOPPING_FAULT = "this host stops before the request's time is over"
# Separates the request from the group in the tag of a search. No caller's id has it.
GROUP_SEPARATOR = "\n"

# Placement handles its messages within milliseconds.
FULL_MAILBOX_RETRY_DELAY = timedelta(milliseconds=50)

log = logbook.Logger("request")


class ForwardDependencies(Struct):
    """Collaborators that all requests of an entry host share."""

    dialect: Dialect
    installed_state: InstalledState
    record_groups: tuple[GroupId, ...]
    get_record_group: Callable[[ProgramId], GroupId]
    group_client: Address
    codec: Codec
    placement: Address
    connection_pool: Address
    clock: Clock
    random_source: Random
    metrics: Metrics
    response_memory: TrafficMemory
    # When this process ends, once it has been told to stop.
    get_end_time: Callable[[], datetime | None]
    # None where the limits of client accounts have no effect.
    quotas: Address | None = None
    history_memory: HistoryMemory = field(default_factory=make_history_memory)
    request_numbers: "count[int]" = field(default_factory=lambda: count(1))


class ForwardContext(Struct):
    """Everything that the effects of one request need."""

    dependencies: ForwardDependencies
    request: ForwardRequest
    state: ForwardState
    writer: ResponseWriter
    mailbox: Mailbox
    alarm: Alarm
    share: MemoryShare
    # Whether placement has been asked for an endpoint.
    has_acquired: bool = False
    # The flow of the running exchange.
    flow: ResponseFlow | None = None


class SettlementReplySink:
    """Address for replies to settlements that no request waits for."""

    def send(self, message: object) -> None:
        """Discard a reply; log a settlement that may not have been applied."""
        if isinstance(message, GroupTimedOut):
            log.warning(
                "settlement timed out", request=message.tag, reason=message.reason
            )


SETTLEMENT_REPLY_SINK = SettlementReplySink()


def serve_request(
    http: HttpRequest,
    writer: ResponseWriter,
    mailbox: Mailbox,
    now: datetime,
    dependencies: ForwardDependencies,
) -> None:
    """Serve one request of a caller until it has ended."""
    context = _route_request(http, writer, mailbox, now, dependencies)
    if context is None:
        return
    state = context.state
    try:
        _run_request(context)
    except Exception as error:
        log.error(
            "unexpected error", request=context.request.request, error=repr(error)
        )
        for effect in end_after_error(state, dependencies.clock.now()):
            _perform_or_log(effect, context)
    finally:
        context.alarm.close()
        context.share.close()
        dependencies.history_memory.release(state.holder)
        if context.has_acquired:
            _end_holder(context)
        if state.needs_credit and state.has_not_run:
            _return_credit(context)
    if state.disconnect_message is not None:
        # The loop of the connection shares the mailbox and needs the message too.
        mailbox.send(state.disconnect_message)


def _end_holder(context: ForwardContext) -> None:
    """Let placement return whatever the request may still hold, or be granted."""
    while True:
        try:
            context.dependencies.placement.send(EndHolder(context.state.holder))
        except MailboxFullError:
            gevent.sleep(FULL_MAILBOX_RETRY_DELAY.total_seconds())
        else:
            return


def _return_credit(context: ForwardContext) -> None:
    """Let another request use the credit; it expires if the mailbox is full."""
    quotas = context.dependencies.quotas
    if quotas is not None:
        with suppress(MailboxFullError):
            quotas.send(ReturnCredit(context.state.holder))


def _run_request(context: ForwardContext) -> None:
    message: object = Start()
    while True:
        _record_time_to_first_token(message, context)
        now = context.dependencies.clock.now()
        for effect in handle(message, context.state, now):
            _perform_or_log(effect, context)
        _report_handled(message, context)
        if context.state.has_ended:
            return
        message = _get_next_message(context)


def _get_next_message(context: ForwardContext) -> object:
    """Return the next message; a running attempt without room in memory comes first."""
    state = context.state
    memory = context.dependencies.history_memory
    if not memory.hold(state.holder, state.n_history_bytes):
        return HistoryMemoryExhausted()
    has_room = context.share.resize(state.n_kept_bytes)
    if has_room or state.attempt is None:
        return _receive(context)
    return MemoryExhausted()


def _report_handled(message: object, context: ForwardContext) -> None:
    """Let the connection read on once a piece of the response is handled."""
    attempt = context.state.attempt
    if not isinstance(message, ResponseBody) or context.flow is None:
        return
    if attempt is not None and attempt.exchange_id == message.exchange_id:
        context.flow.remove(len(message.data))


def _route_request(
    http: HttpRequest,
    writer: ResponseWriter,
    mailbox: Mailbox,
    now: datetime,
    dependencies: ForwardDependencies,
) -> ForwardContext | None:
    """Return the context of a request, or None if it was refused."""
    try:
        request = dependencies.dialect.read_request(http)
    except InvalidInputError as error:
        _refuse(None, Verdict.MALFORMED, str(error), writer, dependencies)
        return None
    admission = _await_admission(request, dependencies)
    if isinstance(admission, Verdict):
        table = dependencies.installed_state.table
        version = None if table is None else table.version
        detail = ARRIVAL_FAULTS[admission].format(version=version)
        _refuse(request, admission, detail, writer, dependencies)
        return None
    state = make_admitted_state(
        request,
        admission,
        dependencies.random_source.random(),
        next(dependencies.request_numbers),
        now,
        dependencies,
    )
    if outlasts_host(state, dependencies):
        _refuse(request, Verdict.NOT_READY, STOPPING_FAULT, writer, dependencies)
        return None
    log.info(
        "request routed",
        request=request.request,
        route=admission.route.name,
        version=admission.table.version,
        service=state.service,
        account=admission.identity.account_id,
        time_left_ms=round((state.deadline - now).total_seconds() * 1000),
        content=request.fingerprint,
    )

    def tick() -> None:
        # A full mailbox needs no tick: the alarm is set again for each message.
        with suppress(MailboxFullError):
            mailbox.send(Tick())

    alarm = make_alarm(tick, dependencies.clock)
    share = dependencies.response_memory.make_share()
    return ForwardContext(dependencies, request, state, writer, mailbox, alarm, share)


def make_admitted_state(
    request: ForwardRequest,
    admission: Admission,
    random_fraction: float,
    number: int,
    now: datetime,
    dependencies: ForwardDependencies,
) -> ForwardState:
    """Return the state of a request that may be served."""
    target = choose_target(admission.route, random_fraction)
    service = admission.table.find_service(target)
    engine = None if service is None else service.engine
    return make_forward_state(
        request,
        admission.route,
        target,
        0 if engine is None else engine.tokens_per_event,
        number,
        now,
        len(dependencies.record_groups) - 1,
        admission.identity,
        dependencies.quotas is not None,
    )


def outlasts_host(state: ForwardState, dependencies: ForwardDependencies) -> bool:
    """Return whether a request may take until after this process has ended."""
    end_time = dependencies.get_end_time()
    return end_time is not None and state.deadline > end_time


def _await_admission(
    request: ForwardRequest, dependencies: ForwardDependencies
) -> Admission | Verdict:
    """Return how a request is served; wait for a table, and for a lease it needs."""
    installed = dependencies.installed_state
    caller_timeout = request.caller_timeout or ROUTE_TABLE_WAIT_TIMEOUT
    deadline = dependencies.clock.now() + min(
        ROUTE_TABLE_WAIT_TIMEOUT, caller_timeout * ROUTE_TABLE_WAIT_SHARE
    )
    while True:
        judged: Admission | Verdict = Verdict.NOT_READY
        if installed.table is not None:
            judged = judge_arrival(request, installed.table, installed.lease_state)
        time_left = deadline - dependencies.clock.now()
        if judged not in AWAITED_VERDICTS or time_left <= timedelta(0):
            return judged
        installed.await_change(time_left)


def _refuse(
    request: ForwardRequest | None,
    verdict: Verdict,
    detail: str,
    writer: ResponseWriter,
    dependencies: ForwardDependencies,
) -> None:
    request_id = None if request is None else request.request
    log.info(
        "request ended with verdict",
        request=request_id,
        verdict=verdict.value,
        detail=detail,
    )
    dependencies.metrics.count(Counter.REFUSALS, verdict.value)
    time_left = (
        timedelta(0) if request is None else request.caller_timeout or timedelta(0)
    )
    writer.respond(
        dependencies.dialect.make_verdict(request_id, verdict, detail, time_left)
    )


def _receive(context: ForwardContext) -> object:
    """Return the next message for the request, or a tick when one is due."""
    context.alarm.set(context.state.next_tick_at)
    while True:
        message = context.mailbox.receive()
        translated = _translate(message, context)
        if translated is not None:
            return translated


@singledispatch
def _translate(message: object, context: ForwardContext) -> object | None:
    return message


def _make_search_tag(group: GroupId, context: ForwardContext) -> str:
    return f"{context.request.request}{GROUP_SEPARATOR}{group}"


def _is_expected(tag: str, context: ForwardContext) -> bool:
    """Return whether a result belongs to the request.

    While a history is imported, the results of the search in other groups do not count.
    """
    request, _, group = tag.partition(GROUP_SEPARATOR)
    history = context.state.history_import
    is_of_source = not group or history is None or group == history.group
    return request == context.request.request and is_of_source


@_translate.register
def _(message: GroupResult, context: ForwardContext) -> object | None:
    if not _is_expected(message.tag, context):
        return None
    try:
        result = context.dependencies.codec.decode(message.body)
    except OleanderhitchError as error:
        return RecordFailed(f"unreadable result: {error}")
    if isinstance(result, HistoryTooLong):
        group = GroupId(message.tag.partition(GROUP_SEPARATOR)[2])
        return LongHistoryFound(group, result.n_bytes, result.retention)
    return RecordFailed(result.reason) if isinstance(result, CommandRefused) else result


@_translate.register
def _(message: GroupTimedOut, context: ForwardContext) -> object | None:
    if not _is_expected(message.tag, context):
        return None
    return RecordFailed(message.reason)


@_translate.register
def _(message: ResponseHead, context: ForwardContext) -> object | None:
    head = context.dependencies.dialect.read_response_head(
        message.status, message.headers
    )
    return ResponseBegun(message.exchange_id, head)


@_translate.register
def _(message: EndpointGranted, context: ForwardContext) -> object | None:
    # The request may have waited for long, or this host was suspended.
    return _find_bar(message, context) or message


@_translate.register
def _(message: CreditGranted, context: ForwardContext) -> object | None:
    # With a renewed credit the request leaves for the endpoint granted before.
    granted = context.state.granted_endpoint
    if granted is None or message.holder != context.state.holder:
        return message
    return _find_bar(granted, context) or message


def _find_bar(grant: EndpointGranted, context: ForwardContext) -> GrantBarred | None:
    """Return why the request must not be sent to an endpoint now, or None."""
    state, installed = context.state, context.dependencies.installed_state
    fault = find_departure_fault(
        context.request,
        state.identity,
        state.route,
        installed.table,
        installed.lease_state,
    )
    return None if fault is None else GrantBarred(grant, fault)


@_translate.register
def _(message: GroupAway, context: ForwardContext) -> object | None:
    if not _is_expected(message.tag, context):
        return None
    return RecordAway(message.reason)


def _record_time_to_first_token(message: object, context: ForwardContext) -> None:
    state = context.state
    is_stream = state.route.kind is RouteKind.STREAM
    if isinstance(message, ResponseBegun) and is_stream:
        time_to_first_token = context.dependencies.clock.now() - state.started_at
        context.dependencies.metrics.record(Latency.FIRST_TOKEN, time_to_first_token)


def _perform_or_log(effect: object, context: ForwardContext) -> None:
    try:
        perform(effect, context)
    except OleanderhitchError as error:
        # A request whose effect failed is ended by its deadline.
        log.error(
            "effect failed",
            request=context.request.request,
            effect=type(effect).__name__,
            reason=str(error),
        )


@singledispatch
def perform(effect: object, context: ForwardContext) -> None:
    """Perform an effect of a request."""
    raise TypeError(f"request does not support effect type {type(effect).__name__}")


@perform.register
def _(effect: LogDecision, context: ForwardContext) -> None:
    log.info(effect.event, request=context.request.request, **dict(effect.fields))


@perform.register
def _(effect: RequestCredit, context: ForwardContext) -> None:
    quotas = context.dependencies.quotas
    assert quotas is not None
    quotas.send(make_acquire_credit(effect, context.state, context.mailbox))


def make_acquire_credit(
    effect: RequestCredit, state: ForwardState, reply_address: Address
) -> AcquireCredit:
    """Return the message to quotas for a request."""
    return AcquireCredit(
        state.holder,
        effect.account,
        state.request.program,
        state.request.continues_program,
        effect.deadline,
        reply_address,
        effect.is_renewal,
    )


@perform.register
def _(effect: ReserveTokens, context: ForwardContext) -> None:
    dependencies = context.dependencies
    group = dependencies.get_record_group(effect.command.program)
    _submit_unless_away(group, effect.command, False, effect.deadline, context)


@perform.register
def _(effect: ReadMoreHistory, context: ForwardContext) -> None:
    group = context.dependencies.get_record_group(effect.program)
    _submit_unless_away(group, effect.query, True, effect.deadline, context)


@perform.register
def _(effect: ReadOtherHistory, context: ForwardContext) -> None:
    group = effect.group
    tag = _make_search_tag(group, context)
    _submit_unless_away(group, effect.query, True, effect.deadline, context, tag)


@perform.register
def _(effect: SearchTurn, context: ForwardContext) -> None:
    dependencies = context.dependencies
    for group in dependencies.record_groups:
        if group != dependencies.get_record_group(effect.program):
            tag = _make_search_tag(group, context)
            _submit_unless_away(
                group, effect.query, True, effect.deadline, context, tag
            )


def _submit_unless_away(
    group: GroupId,
    message: object,
    is_read: bool,
    deadline: datetime,
    context: ForwardContext,
    tag: str = "",
) -> None:
    dependencies = context.dependencies
    dependencies.group_client.send(
        SubmitToGroup(
            group,
            dependencies.codec.encode(message),
            is_read,
            max(deadline - dependencies.clock.now(), timedelta(0)),
            tag or context.request.request,
            context.mailbox,
            is_rejected_while_away=True,
        )
    )


@perform.register
def _(effect: SettleReservation, context: ForwardContext) -> None:
    dependencies = context.dependencies
    reply_address = context.mailbox if effect.is_awaited else SETTLEMENT_REPLY_SINK
    body = dependencies.codec.encode(effect.command)
    tag = context.request.request
    dependencies.group_client.send(
        SubmitToGroup(
            dependencies.get_record_group(effect.command.program),
            body,
            False,
            SETTLEMENT_TIMEOUT,
            tag,
            reply_address,
        )
    )


@perform.register
def _(effect: RequestEndpoint, context: ForwardContext) -> None:
    context.has_acquired = True
    context.dependencies.placement.send(
        make_acquire(effect, context.state, context.mailbox)
    )


def make_acquire(
    effect: RequestEndpoint, state: ForwardState, reply_address: Address
) -> AcquireEndpoint:
    """Return the message to placement for a request."""
    request = state.request
    return AcquireEndpoint(
        state.holder,
        effect.service,
        request.workload,
        request.affinity_key if state.route.is_sticky else None,
        effect.rank,
        effect.tried,
        effect.is_retryable,
        effect.deadline,
        reply_address,
        request.fingerprint,
        effect.account,
        effect.stage,
        effect.finish_at,
        effect.caller_deadline,
    )


@perform.register
def _(effect: SendToEndpoint, context: ForwardContext) -> None:
    dialect = context.dependencies.dialect
    http = dialect.make_endpoint_request(context.request, effect)
    find_owner = dialect.make_owner_finder(context.request.request)
    context.flow = make_response_flow()
    exchange = Exchange(
        effect.exchange_id,
        render_request(http),
        context.mailbox,
        find_owner,
        context.flow,
        context.request.request,
        has_response_body=http.method != "HEAD",
    )
    context.dependencies.connection_pool.send(
        StartExchange(effect.endpoint.address, exchange)
    )


@perform.register
def _(effect: CancelEndpointExchange, context: ForwardContext) -> None:
    context.dependencies.connection_pool.send(CancelExchange(effect.exchange_id))


@perform.register
def _(effect: ReturnPermit, context: ForwardContext) -> None:
    context.dependencies.metrics.count(Counter.ATTEMPTS, effect.result.value)
    context.dependencies.placement.send(
        ReleaseEndpoint(effect.permit, effect.result, effect.progress)
    )


@perform.register
def _(effect: ReportLeaving, context: ForwardContext) -> None:
    context.dependencies.placement.send(EndpointLeaving(effect.permit))


@perform.register
def _(effect: ReportRateLimit, context: ForwardContext) -> None:
    context.dependencies.placement.send(
        EndpointRateLimited(effect.permit, effect.requests_per_s)
    )


@perform.register
def _(effect: ReportFirstChunk, context: ForwardContext) -> None:
    context.dependencies.placement.send(FirstChunkReceived(effect.permit))


@perform.register
def _(effect: ReportEventLatency, context: ForwardContext) -> None:
    context.dependencies.placement.send(
        EventLatencyObserved(effect.permit, effect.latency)
    )


@perform.register
def _(effect: SendResponse, context: ForwardContext) -> None:
    context.dependencies.metrics.count(Counter.REQUESTS, str(effect.head.status))
    response = HttpResponse(effect.head.status, effect.body, effect.head.headers)
    context.writer.respond(response)


@perform.register
def _(effect: StartResponse, context: ForwardContext) -> None:
    context.writer.start(effect.head.status, effect.head.headers)


@perform.register
def _(effect: WriteResponseChunk, context: ForwardContext) -> None:
    clock = context.dependencies.clock
    began_at = clock.now()
    context.writer.write(effect.data)
    excuse_wait(context.state, clock.now() - began_at)


@perform.register
def _(effect: FinishResponse, context: ForwardContext) -> None:
    context.dependencies.metrics.count(Counter.REQUESTS, "completed")
    context.writer.finish()


@perform.register
def _(effect: AbortResponse, context: ForwardContext) -> None:
    context.dependencies.metrics.count(Counter.REQUESTS, "broken_off")
    context.writer.abort()


@perform.register
def _(effect: SendVerdict, context: ForwardContext) -> None:
    dependencies = context.dependencies
    dependencies.metrics.count(Counter.REFUSALS, effect.verdict.value)
    time_left = context.state.deadline - dependencies.clock.now()
    response = dependencies.dialect.make_verdict(
        context.request.request,
        effect.verdict,
        effect.detail,
        time_left,
        effect.retry_after,
    )
    context.writer.respond(response)
