"""Serve the HTTP interface of callers."""

import json
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, replace
from datetime import timedelta
from functools import singledispatch
from typing import Any, Protocol

import bottle

from oleanderhitch.connection.caller.exceptions import CallRefusedError
from oleanderhitch.connection.caller.parsing import (
    BODY_LIMIT_BYTES,
    parse_model_call,
    parse_service_call,
)
from oleanderhitch.connection.caller.programs import ProgramApi
from oleanderhitch.connection.caller.rendering import (
    get_http_status,
    render_answer,
    render_chunk,
    render_error,
    render_event,
    render_failure,
    render_program,
    render_record,
)
from oleanderhitch.connection.caller.text import TextAssembler
from oleanderhitch.process.address import Address, MailboxFullError
from oleanderhitch.process.intake.messages import CallerCall, Readiness, SubmitCall
from oleanderhitch.process.mailbox import Mailbox, make_mailbox
from oleanderhitch.process.metrics.text import CONTENT_TYPE
from oleanderhitch.process.tracing.states import Hop
from oleanderhitch.process.tracing.tracer import HopSpan, Tracer
from oleanderhitch.request.messages import AnswerCaller, ModelWork, RelayChunk
from oleanderhitch.request.states import Outcome, Reason

# The request task answers by its deadline; the margin covers the record of its
# outcome in the shard.
ANSWER_MARGIN = timedelta(seconds=15)


class Status(Protocol):
    """Tell whether new work is accepted, and the metrics."""

    def get_readiness(self) -> Readiness | None:
        """Return whether new work is accepted, or None without an answer."""

    def get_text(self) -> str:
        """Return the metrics in the Prometheus text form."""


@dataclass(frozen=True, slots=True)
class OpenCall:
    """Hold a call under way, the mailbox for its answer and its span."""

    call: CallerCall
    mailbox: Mailbox
    span: HopSpan


@dataclass(frozen=True, slots=True)
class CallFront:
    """Hold what a call of a caller is handed to."""

    intake: Address
    tracer: Tracer

    def submit(self, call: CallerCall) -> OpenCall:
        """Hand a call to the intake."""
        span = self.tracer.start_hop(Hop.CALLER, call.request, call.trace)
        mailbox = make_mailbox(f"caller {call.request}")
        self.intake.send(SubmitCall(replace(call, trace=span.trace), mailbox))
        return OpenCall(call, mailbox, span)


def make_caller_app(
    intake: Address, programs: ProgramApi, status: Status, tracer: Tracer
) -> bottle.Bottle:
    """Return the WSGI application that callers talk to."""
    app = bottle.Bottle(catchall=True)
    app.install(_answer_errors)
    _add_call_routes(app, CallFront(intake, tracer))
    _add_program_routes(app, programs)
    _add_status_routes(app, status)
    # Bottle's own errors, such as an unknown path, get the documented form too.
    app.default_error_handler = _render_http_error
    return app


def _render_http_error(error: bottle.HTTPError) -> str:
    error.content_type = "application/json"
    reason = Reason.NOT_FOUND if error.status_code == 404 else Reason.BAD_REQUEST
    if error.status_code == 413:
        reason = Reason.BODY_TOO_LARGE
    outcome = Outcome.UNKNOWN if error.status_code >= 500 else Outcome.NOT_RUN
    return json.dumps(render_error(reason, str(error.body), outcome))


def _answer_errors(callback: Callable[..., Any]) -> Callable[..., Any]:
    def wrapper(*args: Any, **kwargs: Any) -> Any:
        try:
            return callback(*args, **kwargs)
        except CallRefusedError as error:
            document = render_error(
                error.reason, error.detail, error.outcome, error.retry_after
            )
            return _make_response(error.reason, document)
        except MailboxFullError as error:
            document = render_error(
                Reason.LIMIT_EXCEEDED,
                str(error),
                Outcome.NOT_RUN,
                timedelta(seconds=1),
            )
            return _make_response(Reason.LIMIT_EXCEEDED, document)

    return wrapper


def _make_response(reason: Reason, document: dict[str, Any]) -> bottle.HTTPResponse:
    answer = AnswerCaller(Outcome.NOT_RUN, b"", reason)
    return bottle.HTTPResponse(
        json.dumps(document),
        get_http_status(answer),
        {"Content-Type": "application/json"},
    )


def _read_body() -> bytes:
    length = bottle.request.content_length
    if length > BODY_LIMIT_BYTES:
        raise CallRefusedError(
            Reason.BODY_TOO_LARGE,
            f"body has {length} bytes; at most {BODY_LIMIT_BYTES} are allowed",
        )
    body: bytes = bottle.request.body.read(BODY_LIMIT_BYTES + 1)
    return body


def _add_call_routes(app: bottle.Bottle, front: CallFront) -> None:
    @app.post("/v1/chat/completions")
    def complete_chat() -> Any:
        call, is_streamed = parse_model_call(bottle.request.headers, _read_body())
        opened = front.submit(call)
        if is_streamed:
            return _stream_answer(opened)
        return _send_whole_answer(opened)

    @app.post("/v1/services/<service>/<operation>")
    def call_service(service: str, operation: str) -> Any:
        call = parse_service_call(
            bottle.request.headers, service, operation, _read_body()
        )
        return _send_whole_answer(front.submit(call))


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


def _add_status_routes(app: bottle.Bottle, status: Status) -> None:
    @app.get("/healthz")
    def get_health() -> Any:
        return {"status": "ok"}

    @app.get("/readyz")
    def get_readiness() -> Any:
        readiness = status.get_readiness()
        if readiness is None:
            return bottle.HTTPResponse("intake does not answer", 503)
        code = 200 if readiness.is_ready else 503
        return bottle.HTTPResponse(
            json.dumps(asdict(readiness)), code, {"Content-Type": "application/json"}
        )

    @app.get("/metrics")
    def get_metrics_text() -> Any:
        bottle.response.content_type = CONTENT_TYPE
        return status.get_text()


def _receive(opened: OpenCall) -> RelayChunk | AnswerCaller:
    message = opened.mailbox.receive(opened.call.time_limit + ANSWER_MARGIN)
    if isinstance(message, RelayChunk | AnswerCaller):
        return message
    return AnswerCaller(
        Outcome.UNKNOWN,
        b"",
        Reason.DEADLINE_EXCEEDED,
        "no outcome in time; ask for it by the request id",
    )


def _send_whole_answer(opened: OpenCall) -> bottle.HTTPResponse:
    with opened.span:
        message = _receive(opened)
        while isinstance(message, RelayChunk):
            message = _receive(opened)
    headers = _make_headers(opened.call)
    if message.outcome is Outcome.COMPLETED:
        body = render_answer(opened.call.work, opened.call, message)
        return bottle.HTTPResponse(body, 200, headers)
    return _make_failure(opened.call, message, headers)


def _make_headers(call: CallerCall) -> dict[str, str]:
    return {"X-Request": call.request, "Content-Type": "application/json"}


def _make_failure(
    call: CallerCall, answer: AnswerCaller, headers: dict[str, str]
) -> bottle.HTTPResponse:
    if answer.retry_after is not None:
        seconds = max(1, round(answer.retry_after.total_seconds()))
        headers = {**headers, "Retry-After": str(seconds)}
    body = json.dumps(render_failure(call, answer))
    return bottle.HTTPResponse(body, get_http_status(answer), headers)


def _stream_answer(opened: OpenCall) -> Any:
    first = _receive(opened)
    if isinstance(first, AnswerCaller) and first.outcome is not Outcome.COMPLETED:
        opened.span.fail(first.detail)
        opened.span.end()
        return _make_failure(opened.call, first, _make_headers(opened.call))
    bottle.response.set_header("X-Request", opened.call.request)
    bottle.response.content_type = "text/event-stream"
    return _make_events(opened, first)


def _make_events(opened: OpenCall, first: RelayChunk | AnswerCaller) -> Iterator[bytes]:
    assembler = TextAssembler()
    message = first
    with opened.span:
        while isinstance(message, RelayChunk):
            yield from _render_message(message, opened.call, assembler)
            message = _receive(opened)
        yield from _render_message(message, opened.call, assembler)
        yield b"data: [DONE]\n\n"


@singledispatch
def _render_message(
    message: object, call: CallerCall, assembler: TextAssembler
) -> list[bytes]:
    raise TypeError(f"no event for {type(message).__name__}")


@_render_message.register
def _(message: RelayChunk, call: CallerCall, assembler: TextAssembler) -> list[bytes]:
    assert isinstance(call.work, ModelWork)
    text = assembler.add(message.data)
    return [render_chunk(call, call.work.model, text)] if text else []


@_render_message.register
def _(message: AnswerCaller, call: CallerCall, assembler: TextAssembler) -> list[bytes]:
    assert isinstance(call.work, ModelWork)
    if message.outcome is not Outcome.COMPLETED:
        return [render_event(render_failure(call, message))]
    events = []
    rest = assembler.add(message.answer[assembler.n_bytes :])
    if rest:
        events.append(render_chunk(call, call.work.model, rest))
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
