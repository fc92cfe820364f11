"""Streaming of chat completions from model engines."""

import json
from datetime import datetime, timedelta
from functools import singledispatch
from urllib.parse import quote

import logbook
import urllib3
from msgspec import Struct

from oleanderhitch.connection.endpoint.attempt_context import (
    ANSWER_LIMIT_BYTES,
    AttemptContext,
)
from oleanderhitch.connection.endpoint.events import (
    ChunkEvent,
    DoneEvent,
    EventDecoder,
    UsageEvent,
)
from oleanderhitch.connection.endpoint.exceptions import (
    ConnectFailedError,
    EndpointStatusError,
    MalformedResponseError,
)
from oleanderhitch.connection.endpoint.transport import (
    open_response,
    read_chunk,
    read_whole,
    release_connection,
)
from oleanderhitch.connection.exceptions import ConnectionLostError
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.metrics.states import Counter, Latency
from oleanderhitch.request.messages import ChunkReceived, ModelWork, StreamEnded

# Common estimate; only the engine's tokenizer gives the exact number of tokens. The
# estimate for the partial answer is rounded up, since a low one would raise the token
# limit for the rest.
CHARACTERS_PER_TOKEN = 4
# Statuses of an invalid request, which every engine would reject.
FINAL_STATUSES = frozenset({400, 413, 422})
log = logbook.Logger("endpoint")


class StreamState(Struct):
    """Progress of an attempt's stream, kept when it resumes on a new connection."""

    n_characters: int = 0
    n_bytes: int = 0
    has_event: bool = False
    usage: UsageEvent | None = None
    is_done: bool = False
    last_chunk_at: datetime | None = None


def stream_model(context: AttemptContext, work: ModelWork) -> None:
    """Send the chunks of an answer and its end to the request.

    A connection that fails or times out is replaced once, since the engine may still be
    running; the stream then resumes after the last character received. Raise
    EndpointStatusError, ConnectFailedError or ConnectionLostError if the attempt fails.
    """
    context.check_deadline()
    state = StreamState()
    try:
        response = _start_and_read_stream(context, work, state)
    except ConnectionLostError as error:
        if not context.time_left:
            raise
        log.info("resuming stream {} after: {}", context.call.stream_id, error)
        context.count(Counter.RESUMED_STREAMS)
        response = _resume_and_read_stream(context, state)
    _send_end(context, state)
    release_connection(response)


def _send_end(context: AttemptContext, state: StreamState) -> None:
    usage = state.usage
    if usage is None:
        raise ConnectionLostError("stream ended without its usage")
    context.send_to_request(
        StreamEnded(
            context.call.attempt,
            usage.prompt_tokens,
            usage.cached_tokens,
            usage.completion_tokens,
        )
    )


def cancel_stream(context: AttemptContext) -> None:
    """Cancel the stream at the engine; a failure is only logged."""
    timeout = context.timeouts.cancel
    try:
        response = open_response(
            context.pool_manager,
            "DELETE",
            _make_stream_url(context),
            context.timeouts.connect,
            timeout,
        )
        read_whole(response, timeout, ANSWER_LIMIT_BYTES, context.share)
    except OleanderhitchError as error:
        log.info("could not cancel stream {}: {}", context.call.stream_id, error)


def make_request_body(context: AttemptContext, work: ModelWork) -> dict[str, object]:
    """Return the request body; the engine continues the partial answer, if any."""
    call = context.call
    messages = [*call.prompt, *work.messages]
    n_partial_answer_tokens = 0
    if call.partial_answer:
        text = call.partial_answer.decode(errors="ignore")
        messages.append({"role": "assistant", "content": text})
        n_partial_answer_tokens = -(-len(text) // CHARACTERS_PER_TOKEN)
    return {
        "model": work.model,
        "messages": messages,
        "max_tokens": max(1, work.max_tokens - n_partial_answer_tokens),
        "stream": True,
        "priority": call.priority,
        "stream_id": call.stream_id,
        "program": call.program,
    }


def _start_and_read_stream(
    context: AttemptContext, work: ModelWork, state: StreamState
) -> urllib3.BaseHTTPResponse:
    response = open_response(
        context.pool_manager,
        "POST",
        context.make_url("/v1/chat/completions"),
        context.bound_by_deadline(context.timeouts.connect),
        context.bound_by_deadline(context.timeouts.first_byte),
        json.dumps(make_request_body(context, work)).encode(),
        {"Content-Type": "application/json", **context.call.trace},
    )
    _read_events(context, response, state)
    return response


def _resume_and_read_stream(
    context: AttemptContext, state: StreamState
) -> urllib3.BaseHTTPResponse:
    url = f"{_make_stream_url(context)}?offset={state.n_characters}"
    read_timeout = _get_read_timeout(context, state)
    try:
        response = open_response(
            context.pool_manager, "GET", url, context.timeouts.connect, read_timeout
        )
        _read_events(context, response, state)
    except (ConnectFailedError, EndpointStatusError) as error:
        # The call was sent over the first connection, so an error of the second one
        # shows neither that it was not sent nor that it is invalid; only its stream is
        # lost.
        raise ConnectionLostError(f"stream cannot be resumed: {error}") from None
    return response


def _read_events(
    context: AttemptContext, response: urllib3.BaseHTTPResponse, state: StreamState
) -> None:
    try:
        _check_status(context, response)
        decoder = EventDecoder(context.call.stream_id)
        while not state.is_done:
            data = read_chunk(response, _get_read_timeout(context, state))
            if not data:
                raise ConnectionLostError("stream ended before it was whole")
            for event in decoder.feed(data):
                state.has_event = True
                _handle_event(event, context, state)
            if state.n_bytes > ANSWER_LIMIT_BYTES:
                raise MalformedResponseError(
                    f"answer is larger than {ANSWER_LIMIT_BYTES} bytes"
                )
            if not context.share.resize(state.n_bytes + decoder.n_incomplete_bytes):
                raise ConnectionLostError("answers take too much memory")
    except BaseException:
        response.close()
        raise


def _check_status(context: AttemptContext, response: urllib3.BaseHTTPResponse) -> None:
    if response.status == 200:
        return
    timeout = context.bound_by_deadline(context.timeouts.between_chunks)
    body = read_whole(response, timeout, ANSWER_LIMIT_BYTES, context.share)
    raise EndpointStatusError(response.status, body, response.status in FINAL_STATUSES)


def _get_read_timeout(context: AttemptContext, state: StreamState) -> timedelta:
    timeouts = context.timeouts
    awaits_first_event = not state.has_event
    return context.bound_by_deadline(
        timeouts.first_byte if awaits_first_event else timeouts.between_chunks
    )


@singledispatch
def _handle_event(event: object, context: AttemptContext, state: StreamState) -> None:
    raise TypeError(f"stream does not support event type {type(event).__name__}")


@_handle_event.register
def _(event: ChunkEvent, context: AttemptContext, state: StreamState) -> None:
    n_duplicate = state.n_characters - event.offset
    if n_duplicate < 0:
        raise MalformedResponseError(f"stream misses {-n_duplicate} characters")
    text = event.text[n_duplicate:]
    if not text:
        return
    data = text.encode()
    context.send_to_request(ChunkReceived(context.call.attempt, state.n_bytes, data))
    now = context.clock.now()
    if state.last_chunk_at is not None:
        context.record_latency(Latency.BETWEEN_TOKENS, now - state.last_chunk_at)
    state.last_chunk_at = now
    state.n_characters += len(text)
    state.n_bytes += len(data)


@_handle_event.register
def _(event: UsageEvent, context: AttemptContext, state: StreamState) -> None:
    state.usage = event


@_handle_event.register
def _(event: DoneEvent, context: AttemptContext, state: StreamState) -> None:
    state.is_done = True


def _make_stream_url(context: AttemptContext) -> str:
    return context.make_url(f"/v1/streams/{quote(context.call.stream_id, safe='')}")
