"""Decide what a model engine answers."""

from datetime import datetime
from functools import singledispatch

from oleanderhitch.process.mailbox import Address
from standins.process.engine.batch import admit_streams, end_stream, make_usage
from standins.process.engine.cache import list_events, release_prefix, store_prefix
from standins.process.engine.orders import apply_order, describe, settle_loading
from standins.process.engine.state import EngineState, LoadSample, Stream
from standins.process.faults import find_lasting_fault, set_fault, take_fault
from standins.request.messages import (
    Accepted,
    Answer,
    ApplyOrder,
    AttachStream,
    CancelStream,
    DetachStream,
    ExportCache,
    GetCacheEvents,
    GetCachePrograms,
    GetLoad,
    GetOrders,
    ImportCache,
    Piece,
    Post,
    ReleaseProgram,
    SetFault,
    StreamLost,
    SubmitStream,
)
from standins.request.states import StreamPhase
from standins.request.text import make_seed, make_text, split_continuation


@singledispatch
def handle(message: object, state: EngineState, now: datetime) -> list[Post]:
    """Handle one message and return what to send."""
    raise TypeError(f"engine has no message {type(message).__name__}")


@handle.register
def _(message: SetFault, state: EngineState, now: datetime) -> list[Post]:
    set_fault(state.faults, message)
    return []


@handle.register
def _(message: SubmitStream, state: EngineState, now: datetime) -> list[Post]:
    settle_loading(state.loaded, now)
    if message.model != state.loaded.model:
        error = f"model {message.model} is not loaded; {state.loaded.model} is"
        return [_answer(message.reply, 404, {"error": error})]
    if message.stream in state.streams:
        error = f"stream {message.stream} exists; resume it with GET"
        return [_answer(message.reply, 409, {"error": error})]
    prompt, existing = split_continuation(message.messages)
    state.n_submitted += 1
    stream = Stream(
        message.stream,
        message.program,
        message.messages,
        make_seed(prompt),
        len(existing),
        message.max_tokens,
        message.priority,
        state.n_submitted,
        take_fault(state.faults),
        [message.reply],
    )
    state.streams[message.stream] = stream
    state.waiting.append(stream)
    admit_streams(state, now)
    accepted = Accepted(stream.fault.kind, stream.fault.after_pieces)
    return [Post(message.reply, accepted)]


@handle.register
def _(message: AttachStream, state: EngineState, now: datetime) -> list[Post]:
    stream = state.streams.get(message.stream)
    if stream is None:
        error = f"stream {message.stream} is not known"
        return [_answer(message.reply, 404, {"error": error})]
    fault = find_lasting_fault(state.faults)
    effects = [Post(message.reply, Accepted(fault.kind, fault.after_pieces))]
    if message.offset < stream.n_characters:
        text = make_text(
            stream.seed,
            stream.start + message.offset,
            stream.start + stream.n_characters,
        )
        effects.append(Post(message.reply, Piece(message.offset, text)))
    if stream.phase is not StreamPhase.ENDED:
        stream.subscribers.append(message.reply)
        return effects
    is_whole = stream.n_tokens >= stream.max_tokens
    last = make_usage(stream) if is_whole else StreamLost()
    return [*effects, Post(message.reply, last)]


@handle.register
def _(message: DetachStream, state: EngineState, now: datetime) -> list[Post]:
    stream = state.streams.get(message.stream)
    if stream is not None and message.reply in stream.subscribers:
        stream.subscribers.remove(message.reply)
    return []


@handle.register
def _(message: CancelStream, state: EngineState, now: datetime) -> list[Post]:
    stream = state.streams.get(message.stream)
    if stream is None or stream.phase is StreamPhase.ENDED:
        return [_answer(message.reply, 200, {"cancelled": False})]
    end_stream(state, stream, now)
    admit_streams(state, now)
    effects = [Post(address, StreamLost()) for address in stream.subscribers]
    return [*effects, _answer(message.reply, 200, {"cancelled": True})]


@handle.register
def _(message: ReleaseProgram, state: EngineState, now: datetime) -> list[Post]:
    is_running = any(s.program == message.program for s in state.running)
    release_prefix(state.cache, message.program, now)
    return [_answer(message.reply, 200, {"released": not is_running})]


@handle.register
def _(message: ExportCache, state: EngineState, now: datetime) -> list[Post]:
    messages = state.cache.prefixes.get(message.program)
    if messages is None:
        error = f"program {message.program} holds no memory"
        return [_answer(message.reply, 404, {"error": error})]
    body: dict[str, object] = {
        "program": message.program,
        "messages": _make_maps(messages),
    }
    return [_answer(message.reply, 200, body)]


@handle.register
def _(message: ImportCache, state: EngineState, now: datetime) -> list[Post]:
    store_prefix(state.cache, message.program, message.messages, now)
    is_stored = message.program in state.cache.prefixes
    return [_answer(message.reply, 200, {"stored": is_stored})]


@handle.register
def _(message: ApplyOrder, state: EngineState, now: datetime) -> list[Post]:
    status, body = apply_order(state.loaded, message, now)
    return [_answer(message.reply, status, body)]


@handle.register
def _(message: GetOrders, state: EngineState, now: datetime) -> list[Post]:
    return [_answer(message.reply, 200, describe(state.loaded, now))]


@handle.register
def _(message: GetLoad, state: EngineState, now: datetime) -> list[Post]:
    shown = LoadSample(now, 0, 0)
    for sample in state.samples:
        if sample.at <= now - state.settings.load_lag:
            shown = sample
    age_ms = round(state.settings.load_lag.total_seconds() * 1000)
    body: dict[str, object] = {
        "n_running": shown.n_running,
        "n_waiting": shown.n_waiting,
        "age_ms": age_ms,
    }
    return [_answer(message.reply, 200, body)]


@handle.register
def _(message: GetCacheEvents, state: EngineState, now: datetime) -> list[Post]:
    events, last = list_events(state.cache, message.after, now)
    shown = [
        {"number": event.number, "program": event.program, "kind": event.kind}
        for event in events
    ]
    return [_answer(message.reply, 200, {"events": shown, "last": last})]


@handle.register
def _(message: GetCachePrograms, state: EngineState, now: datetime) -> list[Post]:
    programs = {*state.cache.prefixes, *(s.program for s in state.running)}
    return [_answer(message.reply, 200, {"programs": sorted(programs)})]


def _answer(reply: Address, status: int, body: dict[str, object]) -> Post:
    return Post(reply, Answer(status, body))


def _make_maps(messages: tuple[tuple[str, str], ...]) -> list[dict[str, str]]:
    return [{"role": role, "content": content} for role, content in messages]
