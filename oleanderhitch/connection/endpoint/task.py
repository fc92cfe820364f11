"""Task of one attempt at an endpoint; its greenlet owns the connection."""

from functools import singledispatch

import gevent
import logbook
import urllib3
from msgspec.structs import replace

from oleanderhitch.connection.endpoint.attempt_context import AttemptContext
from oleanderhitch.connection.endpoint.exceptions import (
    ConnectFailedError,
    EndpointStatusError,
)
from oleanderhitch.connection.endpoint.messages import (
    EndpointCall,
    EndpointTimeouts,
    LookUpOperation,
)
from oleanderhitch.connection.endpoint.model import cancel_stream, stream_model
from oleanderhitch.connection.endpoint.service import (
    call_service,
    look_up_operation,
)
from oleanderhitch.connection.http.memory import TrafficMemory, make_traffic_memory
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter
from oleanderhitch.process.tracing.states import Hop
from oleanderhitch.process.tracing.tracer import (
    HopSpan,
    Tracer,
    make_non_recording_tracer,
)
from oleanderhitch.request.messages import (
    CancelAttempt,
    ModelWork,
    ServiceWork,
    StreamFailed,
)

log = logbook.Logger("endpoint")


class EndpointStream:
    """Task that sends one call to an endpoint and its answer to the request."""

    def __init__(self, context: AttemptContext, tracer: Tracer) -> None:
        self._context = context
        self._tracer = tracer
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Send the call."""
        self._greenlet = gevent.spawn(self._run)

    def send(self, message: object) -> None:
        """Handle CancelAttempt; no message is sent to the request after it."""
        if not isinstance(message, CancelAttempt):
            raise TypeError(
                "endpoint stream does not support message type "
                f"{type(message).__name__}"
            )
        # The greenlet waits on its socket, not on a mailbox; GreenletExit is raised in
        # that wait.
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def join(self) -> None:
        """Wait until the attempt has ended."""
        if self._greenlet is not None:
            self._greenlet.join()

    def _run(self) -> None:
        call = self._context.call
        with self._tracer.start_hop(Hop.ATTEMPT, call.request, call.trace) as hop:
            hop.set_attribute("endpoint", call.address)
            hop.set_attribute("attempt", call.attempt)
            traced = replace(call, trace=hop.trace)
            with self._context.share:
                _run_attempt(replace(self._context, call=traced), hop)


def _run_attempt(context: AttemptContext, hop: HopSpan) -> None:
    work = context.call.work
    try:
        failure = _execute_work(context)
        if failure is None:
            context.count(Counter.ATTEMPTS, "completed")
            return
        result = "failed" if failure.was_sent else "not_sent"
        context.count(Counter.ATTEMPTS, result)
        hop.fail(failure.reason)
        context.reply_address.send(failure)
        if failure.was_sent and not failure.is_final:
            _cancel_work(work, context)
    except gevent.GreenletExit:
        context.count(Counter.ATTEMPTS, "cancelled")
        hop.fail("cancelled")
        _cancel_work(work, context)
    except OleanderhitchError as error:
        log.error(
            "end of the attempt of request {} could not be reported: {}",
            context.call.request,
            error,
        )


def _execute_work(context: AttemptContext) -> StreamFailed | None:
    """Run the attempt; return its failure, or None if it completed."""
    attempt = context.call.attempt
    try:
        _dispatch_work(context.call.work, context)
    except ConnectFailedError as error:
        return StreamFailed(attempt, False, False, str(error))
    except EndpointStatusError as error:
        return StreamFailed(attempt, True, error.is_final, str(error))
    except OleanderhitchError as error:
        return StreamFailed(attempt, True, False, str(error))
    except Exception as error:
        # The request would hang if the end of its attempt weren't reported.
        log.exception("attempt at {} failed", context.call.address)
        return StreamFailed(attempt, True, False, f"internal error: {error!r}")
    return None


@singledispatch
def _dispatch_work(work: object, context: AttemptContext) -> None:
    raise TypeError(f"endpoint stream does not support work type {type(work).__name__}")


@_dispatch_work.register
def _(work: ModelWork, context: AttemptContext) -> None:
    stream_model(context, work)


@_dispatch_work.register
def _(work: ServiceWork, context: AttemptContext) -> None:
    call_service(context, work)


@singledispatch
def _cancel_work(work: object, context: AttemptContext) -> None:
    """Cancel the work of an abandoned attempt; only model engines support it."""


@_cancel_work.register
def _(work: ModelWork, context: AttemptContext) -> None:
    cancel_stream(context)


def make_endpoint_stream(
    call: EndpointCall,
    reply_address: Address,
    pool_manager: urllib3.PoolManager,
    timeouts: EndpointTimeouts,
    clock: Clock,
    tracer: Tracer | None = None,
    metrics: Metrics | None = None,
    memory: TrafficMemory | None = None,
) -> EndpointStream:
    """Return the task of one attempt, which has not been started."""
    share = (memory or make_traffic_memory()).make_share()
    context = AttemptContext(
        call, reply_address, pool_manager, timeouts, clock, share, metrics
    )
    return EndpointStream(context, tracer or make_non_recording_tracer())


def start_operation_lookup(
    lookup: LookUpOperation,
    reply_address: Address,
    pool_manager: urllib3.PoolManager,
    timeouts: EndpointTimeouts,
    clock: Clock,
    memory: TrafficMemory | None = None,
) -> None:
    """Start a lookup; the reply is OperationFound or OperationNotFound."""

    def run() -> None:
        with (memory or make_traffic_memory()).make_share() as share:
            result = look_up_operation(lookup, pool_manager, timeouts, clock, share)
            reply_address.send(result)

    gevent.spawn(run)
