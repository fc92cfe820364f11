"""Decoder of the server-sent events of a model engine's stream."""

import json
from collections.abc import Iterator
from typing import Any

from oleanderhitch.connection.endpoint.exceptions import MalformedResponseError
from oleanderhitch.values import Value

# An event contains one token or a few, so a larger one is malformed.
EVENT_LIMIT_BYTES = 1024 * 1024
# An event of another shape, with an infinite number, or nested too deeply.
_PARSING_ERRORS = (
    ValueError,
    KeyError,
    IndexError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
_DATA_PREFIX = b"data:"
_DONE = b"[DONE]"


class ChunkEvent(Value, frozen=True):
    """A chunk of the text; `offset` is the number of characters before it."""

    offset: int
    text: str


class UsageEvent(Value, frozen=True):
    """Token counts of the stream."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class DoneEvent(Value, frozen=True):
    """End of a complete stream."""


Event = ChunkEvent | UsageEvent | DoneEvent


class EventDecoder:
    """Incremental decoder of the events of one stream.

    Events with the id of another stream are rejected.
    """

    def __init__(self, stream_id: str) -> None:
        self._stream_id = stream_id
        self._buffer = b""

    @property
    def n_incomplete_bytes(self) -> int:
        """The number of buffered bytes."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yield the events that the data completes; raise MalformedResponseError."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise MalformedResponseError(
                f"event is larger than {EVENT_LIMIT_BYTES} bytes"
            )
        for line in lines:
            if line.startswith(_DATA_PREFIX):
                yield self._parse(line[len(_DATA_PREFIX) :].strip())

    def _parse(self, payload: bytes) -> Event:
        if payload == _DONE:
            return DoneEvent()
        try:
            body = json.loads(payload.decode())
            self._check_stream_id(body)
            if "usage" in body:
                return _parse_usage(body["usage"])
            text = str(body["choices"][0]["delta"]["content"])
            # Half of a surrogate pair can't be relayed.
            text.encode()
            return ChunkEvent(int(body["offset"]), text)
        except _PARSING_ERRORS as error:
            raise MalformedResponseError(f"event is malformed: {error!r}") from None

    def _check_stream_id(self, body: dict[str, Any]) -> None:
        stream_id = body.get("id", self._stream_id)
        if stream_id != self._stream_id:
            raise MalformedResponseError(
                f"event belongs to stream {stream_id!r}, not {self._stream_id!r}"
            )


def _parse_usage(usage: dict[str, Any]) -> UsageEvent:
    return UsageEvent(
        int(usage["prompt_tokens"]),
        int(usage["cached_tokens"]),
        int(usage["completion_tokens"]),
    )
