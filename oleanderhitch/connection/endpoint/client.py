"""Start the attempts of requests at the endpoints of their configuration."""

from oleanderhitch.connection.endpoint.messages import (
    EndpointCall,
    EndpointTimeouts,
    LookUpOperation,
    OperationFound,
)
from oleanderhitch.connection.endpoint.task import (
    make_endpoint_stream,
    start_operation_lookup,
)
from oleanderhitch.connection.endpoint.transport import make_pool_manager
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.tracing.tracer import Tracer
from oleanderhitch.request.ids import AttemptNumber
from oleanderhitch.request.messages import (
    Call,
    CancelAttempt,
    LookupAnswered,
    StreamFailed,
)
from oleanderhitch.version.ids import EndpointId

FIRST_ERROR_STATUS = 400


class HttpEndpointClient:
    """Start endpoint streams that share one pool of connections."""

    def __init__(
        self,
        clock: Clock,
        timeouts: EndpointTimeouts,
        tracer: Tracer,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._tracer = tracer
        self._metrics = metrics
        self._timeouts = timeouts
        self._pools = make_pool_manager()

    def start(
        self,
        call: Call,
        attempt: AttemptNumber,
        endpoint: EndpointId,
        prompt: tuple[dict[str, str], ...],
        answered: bytes,
        priority: int,
        trace: dict[str, str],
        reply: Address,
    ) -> Address:
        """Start an attempt; the returned address takes CancelAttempt."""
        declared = call.endpoints.get(endpoint)
        if declared is None:
            # The queue's owner may know a newer configuration than this call.
            reply.send(
                StreamFailed(attempt, False, False, f"endpoint {endpoint} is unknown")
            )
            return _NoStream()
        stream = make_endpoint_stream(
            EndpointCall(
                attempt,
                call.request,
                call.program,
                str(declared.address),
                call.work,
                call.is_idempotent,
                priority,
                call.deadline,
                prompt,
                answered,
                trace,
            ),
            reply,
            self._pools,
            self._timeouts,
            self._clock,
            self._tracer,
            self._metrics,
        )
        stream.start()
        return stream

    def look_up(self, call: Call, endpoint: EndpointId, reply: Address) -> None:
        """Ask an endpoint for a call by idempotency key; LookupAnswered follows."""
        declared = call.endpoints.get(endpoint)
        if declared is None or not declared.answers_by_key:
            reply.send(LookupAnswered(False, b""))
            return
        start_operation_lookup(
            LookUpOperation(call.request, str(declared.address), call.deadline),
            _LookupReply(reply),
            self._pools,
            self._timeouts,
            self._clock,
        )


class _NoStream:
    """Take the cancel of an attempt that was never sent."""

    def send(self, message: object) -> None:
        """Accept CancelAttempt."""
        assert isinstance(message, CancelAttempt)


class _LookupReply:
    """Turn the result of a look-up into the request's message."""

    def __init__(self, reply: Address) -> None:
        self._reply = reply

    def send(self, message: object) -> None:
        """Pass the result on."""
        if isinstance(message, OperationFound):
            was_refused = message.status >= FIRST_ERROR_STATUS
            self._reply.send(LookupAnswered(True, message.body, was_refused))
        else:
            self._reply.send(LookupAnswered(False, b""))


def make_endpoint_client(
    clock: Clock,
    tracer: Tracer,
    metrics: Metrics,
    timeouts: EndpointTimeouts | None = None,
) -> HttpEndpointClient:
    """Return the starter of attempts of one process."""
    return HttpEndpointClient(clock, timeouts or EndpointTimeouts(), tracer, metrics)
