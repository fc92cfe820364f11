"""Client that starts attempts at endpoints and looks up lost answers."""

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
from oleanderhitch.connection.http.memory import TrafficMemory
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.tracing.tracer import Tracer
from oleanderhitch.request.ids import AttemptNumber
from oleanderhitch.request.messages import (
    Call,
    CancelAttempt,
    LookupCompleted,
    StreamFailed,
)
from oleanderhitch.version.ids import EndpointId

FIRST_ERROR_STATUS = 400


class HttpEndpointClient:
    """Starts attempts and lookups that share one pool of connections."""

    def __init__(
        self,
        clock: Clock,
        timeouts: EndpointTimeouts,
        tracer: Tracer,
        metrics: Metrics,
        memory: TrafficMemory,
    ) -> None:
        self._clock = clock
        self._tracer = tracer
        self._metrics = metrics
        self._timeouts = timeouts
        self._pool_manager = make_pool_manager()
        self._memory = memory

    def start(
        self,
        call: Call,
        attempt: AttemptNumber,
        endpoint: EndpointId,
        prompt: tuple[dict[str, str], ...],
        partial_answer: bytes,
        priority: int,
        trace: dict[str, str],
        reply_address: Address,
    ) -> Address:
        """Start an attempt and return the address that accepts CancelAttempt."""
        endpoint_config = call.endpoints.get(endpoint)
        if endpoint_config is None:
            # The queue's owner may use a newer configuration than this call.
            reply_address.send(
                StreamFailed(attempt, False, False, f"endpoint {endpoint} is unknown")
            )
            return _UnsentAttempt()
        stream = make_endpoint_stream(
            EndpointCall(
                attempt,
                call.request,
                call.program,
                str(endpoint_config.address),
                call.work,
                call.is_idempotent,
                priority,
                call.deadline,
                prompt,
                partial_answer,
                trace,
            ),
            reply_address,
            self._pool_manager,
            self._timeouts,
            self._clock,
            self._tracer,
            self._metrics,
            self._memory,
        )
        stream.start()
        return stream

    def look_up(self, call: Call, endpoint: EndpointId, reply_address: Address) -> None:
        """Look up a call by its idempotency key; the reply is LookupCompleted."""
        endpoint_config = call.endpoints.get(endpoint)
        if endpoint_config is None or not endpoint_config.answers_by_key:
            reply_address.send(LookupCompleted(False, b""))
            return
        start_operation_lookup(
            LookUpOperation(call.request, str(endpoint_config.address), call.deadline),
            _LookupReplyAdapter(reply_address),
            self._pool_manager,
            self._timeouts,
            self._clock,
            self._memory,
        )


class _UnsentAttempt:
    """Address of an attempt that was never sent."""

    def send(self, message: object) -> None:
        """Ignore CancelAttempt."""
        assert isinstance(message, CancelAttempt)


class _LookupReplyAdapter:
    """Address that translates the result of a lookup to LookupCompleted."""

    def __init__(self, reply_address: Address) -> None:
        self._reply_address = reply_address

    def send(self, message: object) -> None:
        """Translate the result and send it to the request."""
        if isinstance(message, OperationFound):
            was_refused = message.status >= FIRST_ERROR_STATUS
            self._reply_address.send(LookupCompleted(True, message.body, was_refused))
        else:
            self._reply_address.send(LookupCompleted(False, b""))


def make_endpoint_client(
    clock: Clock,
    tracer: Tracer,
    metrics: Metrics,
    memory: TrafficMemory,
    timeouts: EndpointTimeouts | None = None,
) -> HttpEndpointClient:
    """Return the endpoint client of one process."""
    return HttpEndpointClient(
        clock, timeouts or EndpointTimeouts(), tracer, metrics, memory
    )
