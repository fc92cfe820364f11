"""WSGI application of the HTTP interface for callers."""

import json
from collections.abc import Callable, Iterator
from datetime import timedelta
from functools import singledispatch
from typing import Any, Protocol

import bottle
from msgspec.structs import asdict, replace

from oleanderhitch.connection.caller.exceptions import CallRefusedError
from oleanderhitch.connection.caller.parsing import (
    BODY_LIMIT_BYTES,
    MODEL_CALL_PATH,
    SERVICE_CALL_PATH,
    parse_model_call,
    parse_service_call,
)
from oleanderhitch.connection.caller.programs import ProgramApi
from oleanderhitch.connection.caller.rendering import (
    get_http_status,
    render_chunk,
    render_completed_response,
    render_error,
    render_event,
    render_failure,
    render_program,
    render_record,
)
from oleanderhitch.connection.caller.text import TextDecoder
from oleanderhitch.process.address import Address, MailboxFullError
from oleanderhitch.process.intake.messages import IncomingCall, Readiness, SubmitCall
from oleanderhitch.process.mailbox import Mailbox, make_mailbox
from oleanderhitch.process.metrics.text import CONTENT_TYPE
from oleanderhitch.process.tracing.states import Hop
from oleanderhitch.process.tracing.tracer import HopSpan, Tracer
from oleanderhitch.request.messages import ModelWork, RelayChunk, RespondToCaller
from oleanderhitch.request.states import Outcome, Reason
from oleanderhitch.values import Value

# The request task responds by its deadline; the margin covers the time to record the
# outcome in the program's shard.
RESPONSE_MARGIN = timedelta(seconds=15)


class StatusProvider(Protocol):
    """Provides the readiness and the metrics of this host."""

    def get_readiness(self) -> Readiness | None:
        """Return whether new work is accepted, or None if the intake times out."""

    def get_metrics_text(self) -> str:
        """Return the metrics in the Prometheus text format."""


class PendingCall(Value, frozen=True):
    """A submitted call, the mailbox for its response and its tracing span."""

    call: IncomingCall
    mailbox: Mailbox
    span: HopSpan


class CallSubmitter(Value, frozen=True):
    """Submits calls to the intake."""

    intake: Address
    tracer: Tracer

    def submit(self, call: IncomingCall) -> PendingCall:
        """Submit a call and start its tracing span."""
        span = self.tracer.start_hop(Hop.CALLER, call.request, call.trace)
        mailbox = make_mailbox(f"caller {call.request}")
        self.intake.send(SubmitCall(replace(call, trace=span.trace), mailbox))
        return PendingCall(call, mailbox, span)


def make_caller_app(
    intake: Address, programs: ProgramApi, status: StatusProvider, tracer: Tracer
) -> bottle.Bottle:
    """Return the WSGI application for callers."""
    app = bottle.Bottle(catchall=True)
    app.install(_handle_errors)
    _add_call_routes(app, CallSubmitter(intake, tracer))
    _add_program_routes(app, programs)
    _add_status_routes(app, status)
    # Bottle's own errors, such as an unknown path, get the documented format too.
    app.default_error_handler = _render_http_error
    return app


def _render_http_error(error: bottle.HTTPError) -> str:
    error.content_type = "application/json"
    reason = Reason.NOT_FOUND if error.status_code == 404 else Reason.BAD_REQUEST
    if error.status_code == 413:
        reason = Reason.BODY_TOO_LARGE
    outcome = Outcome.UNKNOWN if error.status_code >= 500 else Outcome.NOT_RUN
    return json.dumps(render_error(reason, str(error.body), outcome))


def _handle_errors(callback: Callable[..., Any]) -> Callable[..., Any]:
    def wrapper(*args: Any, **kwargs: Any) -> Any:
        try:
            return callback(*args, **kwargs)
        except CallRefusedError as error:
            document = render_error(
                error.reason, error.detail, error.outcome, error.retry_after
            )
            return _make_error_response(error.reason, document)
        except MailboxFullError as error:
            document = render_error(
                Reason.LIMIT_EXCEEDED,
                str(error),
                Outcome.NOT_RUN,
                timedelta(seconds=1),
            )
            return _make_error_response(Reason.LIMIT_EXCEEDED, document)

    return wrapper


def _make_error_response(
    reason: Reason, document: dict[str, Any]
) -> bottle.HTTPResponse:
    response = RespondToCaller(Outcome.NOT_RUN, b"", reason)
    return bottle.HTTPResponse(
        json.dumps(document),
        get_http_status(response),
        {"Content-Type": "application/json"},
    )


def _read_body() -> bytes:
    length = bottle.request.content_length
    if length > BODY_LIMIT_BYTES:
        raise CallRefusedError(
            Reason.BODY_TOO_LARGE,
            f"body has {length} bytes; at most {BODY_LIMIT_BYTES} are allowed",
        )
    # Bottle would copy a large body to a temporary file.
    body: bytes = bottle.request.environ["wsgi.input"].read(BODY_LIMIT_BYTES + 1)
    return body


def _add_call_routes(app: bottle.Bottle, submitter: CallSubmitter) -> None:
    @app.post(MODEL_CALL_PATH)
    def complete_chat() -> Any:
        call, is_streamed = parse_model_call(bottle.request.headers, _read_body())
        pending = submitter.submit(call)
        if is_streamed:
            return _make_stream_response(pending)
        return _make_complete_response(pending)

    @app.post(f"{SERVICE_CALL_PATH}<service>/<operation>")
    def call_service(service: str, operation: str) -> Any:
        call = parse_service_call(
            bottle.request.headers, service, operation, _read_body()
        )
        return _make_complete_response(submitter.submit(call))


def _add_program_routes(app: bottle.Bottle, programs: ProgramApi) -> None:
    @app.post("/v1/programs")
    def start_program() -> Any:
        bottle.response.status = 201
        return render_program(
            programs.start_program(bottle.request.headers, _read_body())
        )

    @app.get("/v1/programs/<program:path>")
    def get_program(program: str) -> Any:
        return render_program(programs.get_program(bottle.request.headers, program))

    @app.delete("/v1/programs/<program:path>")
    def end_program(program: str) -> Any:
        return render_program(programs.end_program(bottle.request.headers, program))

    @app.get("/v1/requests/<request:path>")
    def get_outcome(request: str) -> Any:
        return render_record(programs.get_outcome(bottle.request.headers, request))


def _add_status_routes(app: bottle.Bottle, status: StatusProvider) -> None:
    @app.get("/healthz")
    def get_health() -> Any:
        return {"status": "ok"}

    @app.get("/readyz")
    def get_readiness() -> Any:
        readiness = status.get_readiness()
        if readiness is None:
            return bottle.HTTPResponse("intake does not answer", 503)
        http_status = 200 if readiness.is_ready else 503
        return bottle.HTTPResponse(
            json.dumps(asdict(readiness)),
            http_status,
            {"Content-Type": "application/json"},
        )

    @app.get("/metrics")
    def get_metrics_text() -> Any:
        bottle.response.content_type = CONTENT_TYPE
        return status.get_metrics_text()


def _receive_message(pending: PendingCall) -> RelayChunk | RespondToCaller:
    message = pending.mailbox.receive(pending.call.caller_timeout + RESPONSE_MARGIN)
    if isinstance(message, RelayChunk | RespondToCaller):
        return message
    return RespondToCaller(
        Outcome.UNKNOWN,
        b"",
        Reason.DEADLINE_EXCEEDED,
        "no outcome in time; ask for it by the request id",
    )


def _make_complete_response(pending: PendingCall) -> bottle.HTTPResponse:
    """Wait for the final message and return it as one HTTP response."""
    with pending.span:
        message = _receive_message(pending)
        while isinstance(message, RelayChunk):
            message = _receive_message(pending)
    headers = _make_headers(pending.call)
    if message.outcome is Outcome.COMPLETED:
        body = render_completed_response(pending.call.work, pending.call, message)
        return bottle.HTTPResponse(body, 200, headers)
    return _make_failure_response(pending.call, message, headers)


def _make_headers(call: IncomingCall) -> dict[str, str]:
    return {"X-Request": call.request, "Content-Type": "application/json"}


def _make_failure_response(
    call: IncomingCall, response: RespondToCaller, headers: dict[str, str]
) -> bottle.HTTPResponse:
    if response.retry_after is not None:
        seconds = max(1, round(response.retry_after.total_seconds()))
        headers = {**headers, "Retry-After": str(seconds)}
    body = json.dumps(render_failure(call, response))
    return bottle.HTTPResponse(body, get_http_status(response), headers)


def _make_stream_response(pending: PendingCall) -> Any:
    """Wait for the first message; return a stream of events, or the failure."""
    first = _receive_message(pending)
    if isinstance(first, RespondToCaller) and first.outcome is not Outcome.COMPLETED:
        pending.span.fail(first.detail)
        pending.span.end()
        return _make_failure_response(pending.call, first, _make_headers(pending.call))
    bottle.response.set_header("X-Request", pending.call.request)
    bottle.response.content_type = "text/event-stream"
    return _generate_events(pending, first)


def _generate_events(
    pending: PendingCall, first: RelayChunk | RespondToCaller
) -> Iterator[bytes]:
    decoder = TextDecoder()
    message = first
    with pending.span:
        while isinstance(message, RelayChunk):
            yield from _render_events(message, pending.call, decoder)
            message = _receive_message(pending)
        yield from _render_events(message, pending.call, decoder)
        yield b"data: [DONE]\n\n"


@singledispatch
def _render_events(
    message: object, call: IncomingCall, decoder: TextDecoder
) -> list[bytes]:
    raise TypeError(
        f"event stream does not support message type {type(message).__name__}"
    )


@_render_events.register
def _(message: RelayChunk, call: IncomingCall, decoder: TextDecoder) -> list[bytes]:
    assert isinstance(call.work, ModelWork)
    text = decoder.add(message.data)
    return [render_chunk(call, call.work.model, text)] if text else []


@_render_events.register
def _(
    message: RespondToCaller, call: IncomingCall, decoder: TextDecoder
) -> list[bytes]:
    assert isinstance(call.work, ModelWork)
    if message.outcome is not Outcome.COMPLETED:
        return [render_event(render_failure(call, message))]
    events = []
    remaining_text = decoder.add(message.answer[decoder.n_bytes :])
    if remaining_text:
        events.append(render_chunk(call, call.work.model, remaining_text))
    events.append(
        render_event(
            {
                "id": call.request,
                "object": "chat.completion.chunk",
                "model": call.work.model,
                "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
                "outcome": message.outcome.value,
                "is_replay": message.is_replay,
            }
        )
    )
    return events
