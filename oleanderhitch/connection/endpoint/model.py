"""Stream a chat completion from a model engine."""

import json
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import singledispatch
from urllib.parse import quote

import logbook
import urllib3

from oleanderhitch.connection.endpoint.attempt_context import (
    ANSWER_LIMIT_BYTES,
    Exchange,
)
from oleanderhitch.connection.endpoint.events import (
    DoneEvent,
    EventReader,
    PieceEvent,
    UsageEvent,
)
from oleanderhitch.connection.endpoint.exceptions import (
    ConnectFailedError,
    EndpointRefusedError,
    MalformedAnswerError,
)
from oleanderhitch.connection.endpoint.transport import (
    keep_connection,
    open_response,
    read_some,
    read_whole,
)
from oleanderhitch.connection.exceptions import ConnectionLostError
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.metrics.states import Counter, Latency
from oleanderhitch.request.messages import ChunkReceived, ModelWork, StreamEnded

# The usual estimate where the engine alone knows its tokens. A low estimate of
# what was answered makes the rest longer, so it is rounded up.
CHARACTERS_PER_TOKEN = 4
# These say that the request itself is wrong; every engine would answer so.
FINAL_STATUSES = frozenset({400, 413, 422})
_LOG = logbook.Logger("endpoint")


@dataclass(slots=True)
class Received:
    """Hold how much of the attempt's answer has arrived."""

    n_characters: int = 0
    n_bytes: int = 0
    has_event: bool = False
    usage: UsageEvent | None = None
    is_done: bool = False
    last_piece_at: datetime | None = None


def stream_model(exchange: Exchange, work: ModelWork) -> None:
    """Post the chunks of an answer and its end.

    A connection that breaks or goes silent is replaced once, since the engine
    may be well; the stream then resumes behind the last character received.
    """
    exchange.check_deadline()
    received = Received()
    try:
        response = _read_first(exchange, work, received)
    except ConnectionLostError as error:
        if not exchange.time_left:
            raise
        _LOG.info("stream {} resumes: {}", exchange.call.stream, error)
        exchange.count(Counter.RESUMED_STREAMS)
        response = _read_resumed(exchange, received)
    _post_end(exchange, received)
    keep_connection(response)


def _post_end(exchange: Exchange, received: Received) -> None:
    usage = received.usage
    if usage is None:
        raise ConnectionLostError("stream ended without its usage")
    exchange.post(
        StreamEnded(
            exchange.call.attempt,
            usage.prompt_tokens,
            usage.cached_tokens,
            usage.completion_tokens,
        )
    )


def cancel_stream(exchange: Exchange) -> None:
    """Ask the engine to end the stream; a lost engine is only logged."""
    timeout = exchange.timeouts.cancel
    try:
        response = open_response(
            exchange.pools,
            "DELETE",
            _make_stream_url(exchange),
            exchange.timeouts.connect,
            timeout,
        )
        read_whole(response, timeout, ANSWER_LIMIT_BYTES)
    except OleanderhitchError as error:
        _LOG.info("stream {} is not cancelled: {}", exchange.call.stream, error)


def make_body(exchange: Exchange, work: ModelWork) -> dict[str, object]:
    """Return the request's body; what was answered before is continued."""
    call = exchange.call
    messages = [*call.prompt, *work.messages]
    n_answered = 0
    if call.answered:
        text = call.answered.decode(errors="ignore")
        messages.append({"role": "assistant", "content": text})
        n_answered = -(-len(text) // CHARACTERS_PER_TOKEN)
    return {
        "model": work.model,
        "messages": messages,
        "max_tokens": max(1, work.max_tokens - n_answered),
        "stream": True,
        "priority": call.priority,
        "stream_id": call.stream,
        "program": call.program,
    }


def _read_first(
    exchange: Exchange, work: ModelWork, received: Received
) -> urllib3.BaseHTTPResponse:
    response = open_response(
        exchange.pools,
        "POST",
        exchange.make_url("/v1/chat/completions"),
        exchange.limit(exchange.timeouts.connect),
        exchange.limit(exchange.timeouts.first_byte),
        json.dumps(make_body(exchange, work)).encode(),
        {"Content-Type": "application/json", **exchange.call.trace},
    )
    _read_events(exchange, response, received)
    return response


def _read_resumed(exchange: Exchange, received: Received) -> urllib3.BaseHTTPResponse:
    url = f"{_make_stream_url(exchange)}?offset={received.n_characters}"
    limit = _get_limit(exchange, received)
    try:
        response = open_response(
            exchange.pools, "GET", url, exchange.timeouts.connect, limit
        )
        _read_events(exchange, response, received)
    except (ConnectFailedError, EndpointRefusedError) as error:
        # The first connection did carry the call, so the call itself is in
        # order and was sent; only its stream is lost.
        raise ConnectionLostError(f"stream cannot be resumed: {error}") from None
    return response


def _read_events(
    exchange: Exchange, response: urllib3.BaseHTTPResponse, received: Received
) -> None:
    try:
        _check_status(exchange, response)
        reader = EventReader(exchange.call.stream)
        while not received.is_done:
            data = read_some(response, _get_limit(exchange, received))
            if not data:
                raise ConnectionLostError("stream ended before it was whole")
            for event in reader.feed(data):
                received.has_event = True
                _take_event(event, exchange, received)
    except BaseException:
        response.close()
        raise


def _check_status(exchange: Exchange, response: urllib3.BaseHTTPResponse) -> None:
    if response.status == 200:
        return
    limit = exchange.limit(exchange.timeouts.between_chunks)
    body = read_whole(response, limit, ANSWER_LIMIT_BYTES)
    raise EndpointRefusedError(response.status, body, response.status in FINAL_STATUSES)


def _get_limit(exchange: Exchange, received: Received) -> timedelta:
    timeouts = exchange.timeouts
    is_first = not received.has_event
    return exchange.limit(timeouts.first_byte if is_first else timeouts.between_chunks)


@singledispatch
def _take_event(event: object, exchange: Exchange, received: Received) -> None:
    raise TypeError(f"stream has no event {type(event).__name__}")


@_take_event.register
def _(event: PieceEvent, exchange: Exchange, received: Received) -> None:
    n_repeated = received.n_characters - event.offset
    if n_repeated < 0:
        raise MalformedAnswerError(f"stream misses {-n_repeated} characters")
    text = event.text[n_repeated:]
    if not text:
        return
    data = text.encode()
    exchange.post(ChunkReceived(exchange.call.attempt, received.n_bytes, data))
    now = exchange.clock.now()
    if received.last_piece_at is not None:
        exchange.record(Latency.BETWEEN_TOKENS, now - received.last_piece_at)
    received.last_piece_at = now
    received.n_characters += len(text)
    received.n_bytes += len(data)


@_take_event.register
def _(event: UsageEvent, exchange: Exchange, received: Received) -> None:
    received.usage = event


@_take_event.register
def _(event: DoneEvent, exchange: Exchange, received: Received) -> None:
    received.is_done = True


def _make_stream_url(exchange: Exchange) -> str:
    return exchange.make_url(f"/v1/streams/{quote(exchange.call.stream, safe='')}")
