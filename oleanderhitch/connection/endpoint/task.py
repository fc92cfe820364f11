"""Run one attempt at an endpoint in a greenlet that owns its connection."""

from dataclasses import replace
from functools import singledispatch

import gevent
import logbook
import urllib3

from oleanderhitch.connection.endpoint.attempt_context import Exchange
from oleanderhitch.connection.endpoint.exceptions import (
    ConnectFailedError,
    EndpointRefusedError,
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
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter
from oleanderhitch.process.tracing.states import Hop
from oleanderhitch.process.tracing.tracer import (
    HopSpan,
    Tracer,
    make_forwarding_tracer,
)
from oleanderhitch.request.messages import (
    CancelAttempt,
    ModelWork,
    ServiceWork,
    StreamFailed,
)

_LOG = logbook.Logger("endpoint")


class EndpointStream:
    """Send one call and post its answer to the request's address."""

    def __init__(self, exchange: Exchange, tracer: Tracer) -> None:
        self._exchange = exchange
        self._tracer = tracer
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Send the call."""
        self._greenlet = gevent.spawn(self._run)

    def send(self, message: object) -> None:
        """Take CancelAttempt; nothing is posted after it."""
        if not isinstance(message, CancelAttempt):
            raise TypeError(f"stream has no message {type(message).__name__}")
        # The greenlet waits on its socket, not on a mailbox; the exit is raised
        # in that wait.
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def join(self) -> None:
        """Wait until the exchange has ended."""
        if self._greenlet is not None:
            self._greenlet.join()

    def _run(self) -> None:
        call = self._exchange.call
        with self._tracer.start_hop(Hop.ATTEMPT, call.request, call.trace) as hop:
            hop.set("endpoint", call.address)
            hop.set("attempt", call.attempt)
            traced = replace(call, trace=hop.trace)
            _serve(replace(self._exchange, call=traced), hop)


def _serve(exchange: Exchange, hop: HopSpan) -> None:
    work = exchange.call.work
    try:
        failure = _find_failure(exchange)
        if failure is None:
            exchange.count(Counter.ATTEMPTS, "completed")
            return
        result = "failed" if failure.was_sent else "not_sent"
        exchange.count(Counter.ATTEMPTS, result)
        hop.fail(failure.reason)
        exchange.reply.send(failure)
        if failure.was_sent and not failure.is_final:
            _stop_work(work, exchange)
    except gevent.GreenletExit:
        exchange.count(Counter.ATTEMPTS, "cancelled")
        hop.fail("cancelled")
        _stop_work(work, exchange)
    except OleanderhitchError as error:
        _LOG.error("request {} lost its end: {}", exchange.call.request, error)


def _find_failure(exchange: Exchange) -> StreamFailed | None:
    attempt = exchange.call.attempt
    try:
        _do_work(exchange.call.work, exchange)
    except ConnectFailedError as error:
        return StreamFailed(attempt, False, False, str(error))
    except EndpointRefusedError as error:
        return StreamFailed(attempt, True, error.is_final, str(error))
    except OleanderhitchError as error:
        return StreamFailed(attempt, True, False, str(error))
    except Exception as error:
        # A request whose attempt ends without a message would hang.
        _LOG.exception("attempt at {} failed", exchange.call.address)
        return StreamFailed(attempt, True, False, f"internal error: {error!r}")
    return None


@singledispatch
def _do_work(work: object, exchange: Exchange) -> None:
    raise TypeError(f"no endpoint serves {type(work).__name__}")


@_do_work.register
def _(work: ModelWork, exchange: Exchange) -> None:
    stream_model(exchange, work)


@_do_work.register
def _(work: ServiceWork, exchange: Exchange) -> None:
    call_service(exchange, work)


@singledispatch
def _stop_work(work: object, exchange: Exchange) -> None:
    """Free what the endpoint still spends on an attempt that nobody awaits."""


@_stop_work.register
def _(work: ModelWork, exchange: Exchange) -> None:
    cancel_stream(exchange)


def make_endpoint_stream(
    call: EndpointCall,
    reply: Address,
    pool_manager: urllib3.PoolManager,
    timeouts: EndpointTimeouts,
    clock: Clock,
    tracer: Tracer | None = None,
    metrics: Metrics | None = None,
) -> EndpointStream:
    """Return the task of one attempt, not started yet."""
    exchange = Exchange(call, reply, pool_manager, timeouts, clock, metrics)
    return EndpointStream(exchange, tracer or make_forwarding_tracer())


def start_operation_lookup(
    lookup: LookUpOperation,
    reply: Address,
    pool_manager: urllib3.PoolManager,
    timeouts: EndpointTimeouts,
    clock: Clock,
) -> None:
    """Look a lost answer up; post OperationFound or OperationNotFound."""

    def run() -> None:
        reply.send(look_up_operation(lookup, pool_manager, timeouts, clock))

    gevent.spawn(run)
