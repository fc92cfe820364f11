"""HTTP interface of the engine stand-in."""

import json
import uuid
from collections.abc import Iterator
from functools import singledispatch
from typing import Any

import bottle

from oleanderhitch.process.mailbox import Address, Mailbox, make_mailbox
from standins.connection.common_http import (
    REPLY_TIMEOUT,
    add_common_routes,
    drop_connection,
    read_json,
    send_request,
    wait_for_disconnect,
    write_response,
)
from standins.request.ids import StandinProgramId, StreamId
from standins.request.messages import (
    ApplyOrder,
    AttachStream,
    CancelStream,
    Chunk,
    DetachStream,
    ExportCache,
    GetCachedPrograms,
    GetCacheEvents,
    GetLoad,
    GetLoadedModel,
    ImportCache,
    ReleaseCache,
    StreamAborted,
    StreamAccepted,
    SubmitStream,
    Usage,
)
from standins.request.states import FaultKind, OrderKind
from standins.request.text import Messages


def make_engine_app(engine: Address) -> bottle.Bottle:
    """Return the WSGI application of an engine."""
    app = bottle.Bottle()
    add_common_routes(app, engine)
    _add_stream_routes(app, engine)
    _add_cache_routes(app, engine)
    _add_order_routes(app, engine)
    return app


def _add_stream_routes(app: bottle.Bottle, engine: Address) -> None:
    @app.post("/v1/chat/completions")
    def _() -> Any:
        body = read_json()
        stream_id = StreamId(str(body.get("stream_id") or uuid.uuid4().hex))
        reply_mailbox = make_mailbox("stream")
        submit = SubmitStream(
            stream_id,
            StandinProgramId(str(body.get("program", ""))),
            str(body.get("model", "")),
            _read_messages(body),
            max(1, int(body.get("max_tokens", 16))),
            int(body.get("priority", 0)),
            reply_mailbox,
        )
        return _serve_stream(engine, stream_id, submit, reply_mailbox)

    @app.get("/v1/streams/<stream>")
    def _(stream: str) -> Any:
        reply_mailbox = make_mailbox("stream")
        offset = int(bottle.request.query.get("offset", "0"))
        attach = AttachStream(StreamId(stream), offset, reply_mailbox)
        return _serve_stream(engine, StreamId(stream), attach, reply_mailbox)

    @app.delete("/v1/streams/<stream>")
    def _(stream: str) -> str:
        make_cancel = lambda address: CancelStream(StreamId(stream), address)  # noqa: E731
        return write_response(send_request(engine, make_cancel))


def _add_cache_routes(app: bottle.Bottle, engine: Address) -> None:
    @app.get("/v1/load")
    def _() -> str:
        return write_response(send_request(engine, GetLoad))

    @app.get("/v1/cache/events")
    def _() -> str:
        after = int(bottle.request.query.get("after", "0"))
        return write_response(
            send_request(engine, lambda address: GetCacheEvents(after, address))
        )

    @app.get("/v1/cache/programs")
    def _() -> str:
        return write_response(send_request(engine, GetCachedPrograms))

    @app.post("/v1/cache/release")
    def _() -> str:
        program = _read_program(read_json())
        return write_response(
            send_request(engine, lambda address: ReleaseCache(program, address))
        )

    @app.post("/v1/kv/export")
    def _() -> str:
        program = _read_program(read_json())
        return write_response(
            send_request(engine, lambda address: ExportCache(program, address))
        )

    @app.post("/v1/kv/import")
    def _() -> str:
        body = read_json()
        program = _read_program(body)
        messages = _read_messages(body)
        return write_response(
            send_request(
                engine,
                lambda address: ImportCache(program, messages, address),
            )
        )


def _add_order_routes(app: bottle.Bottle, engine: Address) -> None:
    @app.post("/v1/orders")
    def _() -> str:
        body = read_json()
        try:
            kind = OrderKind(body.get("kind"))
        except ValueError:
            bottle.abort(400, f"order kind {body.get('kind')!r} is not known")
        fencing_number = int(body.get("fencing_number", 0))
        name = str(body.get("name", ""))
        return write_response(
            send_request(
                engine,
                lambda address: ApplyOrder(fencing_number, kind, name, address),
            )
        )

    @app.get("/v1/orders")
    def _() -> str:
        return write_response(send_request(engine, GetLoadedModel))


def _serve_stream(
    engine: Address, stream_id: StreamId, message: object, reply_mailbox: Mailbox
) -> Any:
    engine.send(message)
    accepted = reply_mailbox.receive(REPLY_TIMEOUT)
    if not isinstance(accepted, StreamAccepted):
        return write_response(accepted)
    if accepted.fault_kind is FaultKind.DROP_ANSWER:
        _wait_for_stream_end(reply_mailbox)
        drop_connection()
        return ""
    bottle.response.content_type = "text/event-stream"
    bottle.response.set_header("X-Stream-Id", stream_id)
    return _write_events(engine, stream_id, accepted, reply_mailbox)


def _wait_for_stream_end(reply_mailbox: Mailbox) -> None:
    while isinstance(reply_mailbox.receive(REPLY_TIMEOUT), Chunk):
        pass


def _write_events(
    engine: Address,
    stream_id: StreamId,
    accepted: StreamAccepted,
    reply_mailbox: Mailbox,
) -> Iterator[bytes]:
    has_silent_fault = accepted.fault_kind is FaultKind.SILENT
    n_chunks = 0
    try:
        while True:
            if has_silent_fault and n_chunks >= accepted.after_chunks:
                wait_for_disconnect()
                return
            message = reply_mailbox.receive()
            if isinstance(message, StreamAborted):
                drop_connection()
                return
            n_chunks += 1
            yield format_event(message, stream_id)
            if isinstance(message, Usage):
                yield b"data: [DONE]\n\n"
                return
    finally:
        engine.send(DetachStream(stream_id, reply_mailbox))


@singledispatch
def format_event(message: object, stream_id: StreamId) -> bytes:
    """Return the server-sent event for a message of a stream."""
    raise TypeError(f"stream does not support message type {type(message).__name__}")


@format_event.register
def _(message: Chunk, stream_id: StreamId) -> bytes:
    return _encode_event(
        {
            "id": stream_id,
            "offset": message.offset,
            "choices": [{"delta": {"content": message.text}}],
        }
    )


@format_event.register
def _(message: Usage, stream_id: StreamId) -> bytes:
    return _encode_event(
        {
            "id": stream_id,
            "usage": {
                "prompt_tokens": message.prompt_tokens,
                "cached_tokens": message.cached_tokens,
                "completion_tokens": message.completion_tokens,
            },
        }
    )


def _encode_event(body: dict[str, object]) -> bytes:
    return b"data: " + json.dumps(body).encode() + b"\n\n"


def _read_messages(body: dict[str, Any]) -> Messages:
    messages = body.get("messages", [])
    return tuple((str(m["role"]), str(m["content"])) for m in messages)


def _read_program(body: dict[str, Any]) -> StandinProgramId:
    return StandinProgramId(str(body.get("program", "")))
