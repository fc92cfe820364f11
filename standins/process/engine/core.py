"""Handle the messages of an engine stand-in."""

from datetime import datetime
from functools import singledispatch

from oleanderhitch.process.mailbox import Address
from standins.process.engine.batch import admit_streams, end_stream, make_usage
from standins.process.engine.cache import list_events, release_prefix, store_prefix
from standins.process.engine.orders import (
    apply_order,
    complete_load,
    describe_loaded_model,
)
from standins.process.engine.state import EngineState, LoadSample, Stream
from standins.process.faults import find_persistent_fault, set_fault, take_fault
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
    Response,
    SendMessage,
    SetFault,
    StreamAborted,
    StreamAccepted,
    SubmitStream,
)
from standins.request.states import StreamPhase
from standins.request.text import make_seed, make_text, split_continuation


@singledispatch
def handle(message: object, state: EngineState, now: datetime) -> list[SendMessage]:
    """Handle a message and return the messages to send."""
    raise TypeError(f"engine does not support message type {type(message).__name__}")


@handle.register
def _(message: SetFault, state: EngineState, now: datetime) -> list[SendMessage]:
    set_fault(state.faults, message)
    return []


@handle.register
def _(message: SubmitStream, state: EngineState, now: datetime) -> list[SendMessage]:
    complete_load(state.loaded_model, now)
    if message.model != state.loaded_model.model:
        error = f"model {message.model} is not loaded; {state.loaded_model.model} is"
        return [_respond(message.reply_address, 404, {"error": error})]
    if message.stream_id in state.streams:
        error = f"stream {message.stream_id} exists; resume it with GET"
        return [_respond(message.reply_address, 409, {"error": error})]
    prompt, existing_text = split_continuation(message.messages)
    state.last_submission_number += 1
    stream = Stream(
        message.stream_id,
        message.program,
        message.messages,
        make_seed(prompt),
        len(existing_text),
        message.max_tokens,
        message.priority,
        state.last_submission_number,
        take_fault(state.faults),
        [message.reply_address],
    )
    state.streams[message.stream_id] = stream
    state.waiting.append(stream)
    admit_streams(state, now)
    accepted = StreamAccepted(stream.fault.kind, stream.fault.after_chunks)
    return [SendMessage(message.reply_address, accepted)]


@handle.register
def _(message: AttachStream, state: EngineState, now: datetime) -> list[SendMessage]:
    stream = state.streams.get(message.stream_id)
    if stream is None:
        error = f"stream {message.stream_id} is not known"
        return [_respond(message.reply_address, 404, {"error": error})]
    fault = find_persistent_fault(state.faults)
    effects = [
        SendMessage(
            message.reply_address, StreamAccepted(fault.kind, fault.after_chunks)
        )
    ]
    if message.offset < stream.n_characters:
        text = make_text(
            stream.seed,
            stream.start_offset + message.offset,
            stream.start_offset + stream.n_characters,
        )
        effects.append(SendMessage(message.reply_address, Chunk(message.offset, text)))
    if stream.phase is not StreamPhase.ENDED:
        stream.subscribers.append(message.reply_address)
        return effects
    is_complete = stream.n_tokens >= stream.max_tokens
    final = make_usage(stream) if is_complete else StreamAborted()
    return [*effects, SendMessage(message.reply_address, final)]


@handle.register
def _(message: DetachStream, state: EngineState, now: datetime) -> list[SendMessage]:
    stream = state.streams.get(message.stream_id)
    if stream is not None and message.reply_address in stream.subscribers:
        stream.subscribers.remove(message.reply_address)
    return []


@handle.register
def _(message: CancelStream, state: EngineState, now: datetime) -> list[SendMessage]:
    stream = state.streams.get(message.stream_id)
    if stream is None or stream.phase is StreamPhase.ENDED:
        return [_respond(message.reply_address, 200, {"cancelled": False})]
    end_stream(state, stream, now)
    admit_streams(state, now)
    effects = [SendMessage(address, StreamAborted()) for address in stream.subscribers]
    return [*effects, _respond(message.reply_address, 200, {"cancelled": True})]


@handle.register
def _(message: ReleaseCache, state: EngineState, now: datetime) -> list[SendMessage]:
    is_running = any(s.program == message.program for s in state.running)
    release_prefix(state.cache, message.program, now)
    return [_respond(message.reply_address, 200, {"released": not is_running})]


@handle.register
def _(message: ExportCache, state: EngineState, now: datetime) -> list[SendMessage]:
    messages = state.cache.prefixes.get(message.program)
    if messages is None:
        error = f"program {message.program} holds no memory"
        return [_respond(message.reply_address, 404, {"error": error})]
    body: dict[str, object] = {
        "program": message.program,
        "messages": _make_message_objects(messages),
    }
    return [_respond(message.reply_address, 200, body)]


@handle.register
def _(message: ImportCache, state: EngineState, now: datetime) -> list[SendMessage]:
    store_prefix(state.cache, message.program, message.messages, now)
    is_stored = message.program in state.cache.prefixes
    return [_respond(message.reply_address, 200, {"stored": is_stored})]


@handle.register
def _(message: ApplyOrder, state: EngineState, now: datetime) -> list[SendMessage]:
    status, body = apply_order(state.loaded_model, message, now)
    return [_respond(message.reply_address, status, body)]


@handle.register
def _(message: GetLoadedModel, state: EngineState, now: datetime) -> list[SendMessage]:
    return [
        _respond(
            message.reply_address, 200, describe_loaded_model(state.loaded_model, now)
        )
    ]


@handle.register
def _(message: GetLoad, state: EngineState, now: datetime) -> list[SendMessage]:
    reported = LoadSample(now, 0, 0)
    for sample in state.load_samples:
        if sample.sampled_at <= now - state.settings.load_lag:
            reported = sample
    age_ms = round(state.settings.load_lag.total_seconds() * 1000)
    body: dict[str, object] = {
        "n_running": reported.n_running,
        "n_waiting": reported.n_waiting,
        "age_ms": age_ms,
    }
    return [_respond(message.reply_address, 200, body)]


@handle.register
def _(message: GetCacheEvents, state: EngineState, now: datetime) -> list[SendMessage]:
    events, last_sequence_number = list_events(state.cache, message.after, now)
    event_objects = [
        {"number": event.sequence_number, "program": event.program, "kind": event.kind}
        for event in events
    ]
    return [
        _respond(
            message.reply_address,
            200,
            {"events": event_objects, "last": last_sequence_number},
        )
    ]


@handle.register
def _(
    message: GetCachedPrograms, state: EngineState, now: datetime
) -> list[SendMessage]:
    programs = {*state.cache.prefixes, *(s.program for s in state.running)}
    return [_respond(message.reply_address, 200, {"programs": sorted(programs)})]


def _respond(
    reply_address: Address, status: int, body: dict[str, object]
) -> SendMessage:
    return SendMessage(reply_address, Response(status, body))


def _make_message_objects(
    messages: tuple[tuple[str, str], ...],
) -> list[dict[str, str]]:
    return [{"role": role, "content": content} for role, content in messages]
