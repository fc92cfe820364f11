"""Serve the HTTP interface of callers."""

import json
from collections.abc import Callable, Iterator
from datetime import timedelta
from functools import singledispatch
from typing import Any

import bottle

from oleanderhitch.connection.caller.exceptions import CallRefusedError
from oleanderhitch.connection.caller.parsing import (
    BODY_LIMIT_BYTES,
    parse_model_call,
    parse_service_call,
)
from oleanderhitch.connection.caller.programs import ProgramFront
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
from oleanderhitch.process.intake.messages import (
    CallerCall,
    GetReadiness,
    Readiness,
    SubmitCall,
)
from oleanderhitch.process.mailbox import Mailbox, make_mailbox
from oleanderhitch.request.messages import AnswerCaller, ModelWork, RelayChunk
from oleanderhitch.request.states import Outcome, Reason

# The request task answers by its deadline; the margin covers the record of its
# outcome in the shard.
ANSWER_MARGIN = timedelta(seconds=15)
READINESS_TIMEOUT = timedelta(seconds=1)

GetText = Callable[[], str]


def make_caller_app(
    intake: Address, programs: ProgramFront, get_metrics: GetText
) -> bottle.Bottle:
    """Return the WSGI application that callers talk to."""
    app = bottle.Bottle(catchall=True)
    app.install(_answer_errors)
    _add_call_routes(app, intake)
    _add_program_routes(app, programs)
    _add_status_routes(app, intake, get_metrics)
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


def _add_call_routes(app: bottle.Bottle, intake: Address) -> None:
    @app.post("/v1/chat/completions")
    def complete_chat() -> Any:
        call, is_streamed = parse_model_call(bottle.request.headers, _read_body())
        mailbox = _submit(intake, call)
        if is_streamed:
            return _stream_answer(call, mailbox)
        return _send_whole_answer(call, mailbox)

    @app.post("/v1/services/<service>/<operation>")
    def call_service(service: str, operation: str) -> Any:
        call = parse_service_call(
            bottle.request.headers, service, operation, _read_body()
        )
        return _send_whole_answer(call, _submit(intake, call))


def _add_program_routes(app: bottle.Bottle, programs: ProgramFront) -> None:
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

    @app.get("/v1/requests/<request>")
    def get_outcome(request: str) -> Any:
        return render_record(programs.get_outcome(bottle.request.headers, request))


def _add_status_routes(
    app: bottle.Bottle, intake: Address, get_metrics: GetText
) -> None:
    @app.get("/healthz")
    def get_health() -> Any:
        return {"status": "ok"}

    @app.get("/readyz")
    def get_readiness() -> Any:
        mailbox = make_mailbox("readiness")
        intake.send(GetReadiness(mailbox))
        readiness = mailbox.receive(READINESS_TIMEOUT)
        if not isinstance(readiness, Readiness):
            return bottle.HTTPResponse("intake does not answer", 503)
        status = 200 if readiness.is_ready else 503
        document = {
            "is_ready": readiness.is_ready,
            "detail": readiness.detail,
            "n_requests": readiness.n_requests,
        }
        return bottle.HTTPResponse(
            json.dumps(document), status, {"Content-Type": "application/json"}
        )

    @app.get("/metrics")
    def get_metrics_text() -> Any:
        bottle.response.content_type = "text/plain; version=0.0.4"
        return get_metrics()


def _submit(intake: Address, call: CallerCall) -> Mailbox:
    mailbox = make_mailbox(f"caller {call.request}")
    intake.send(SubmitCall(call, mailbox))
    return mailbox


def _receive(call: CallerCall, mailbox: Mailbox) -> RelayChunk | AnswerCaller:
    message = mailbox.receive(call.time_limit + ANSWER_MARGIN)
    if isinstance(message, RelayChunk | AnswerCaller):
        return message
    return AnswerCaller(
        Outcome.UNKNOWN,
        b"",
        Reason.DEADLINE_EXCEEDED,
        "no outcome in time; ask for it by the request id",
    )


def _send_whole_answer(call: CallerCall, mailbox: Mailbox) -> bottle.HTTPResponse:
    message = _receive(call, mailbox)
    while isinstance(message, RelayChunk):
        message = _receive(call, mailbox)
    headers = {"X-Request": call.request, "Content-Type": "application/json"}
    if message.outcome is Outcome.COMPLETED:
        return bottle.HTTPResponse(
            render_answer(call.work, call, message), 200, headers
        )
    return _make_failure(call, message, headers)


def _make_failure(
    call: CallerCall, answer: AnswerCaller, headers: dict[str, str]
) -> bottle.HTTPResponse:
    if answer.retry_after is not None:
        seconds = max(1, round(answer.retry_after.total_seconds()))
        headers = {**headers, "Retry-After": str(seconds)}
    body = json.dumps(render_failure(call, answer))
    return bottle.HTTPResponse(body, get_http_status(answer), headers)


def _stream_answer(call: CallerCall, mailbox: Mailbox) -> Any:
    first = _receive(call, mailbox)
    headers = {"X-Request": call.request, "Content-Type": "application/json"}
    if isinstance(first, AnswerCaller) and first.outcome is not Outcome.COMPLETED:
        return _make_failure(call, first, headers)
    bottle.response.set_header("X-Request", call.request)
    bottle.response.content_type = "text/event-stream"
    return _make_events(call, first, mailbox)


def _make_events(
    call: CallerCall, first: RelayChunk | AnswerCaller, mailbox: Mailbox
) -> Iterator[bytes]:
    assembler = TextAssembler()
    message = first
    while isinstance(message, RelayChunk):
        yield from _render_message(message, call, assembler)
        message = _receive(call, mailbox)
    yield from _render_message(message, call, assembler)
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
