"""Read the server-sent events of a model engine's stream."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from oleanderhitch.connection.endpoint.exceptions import MalformedAnswerError

# One event carries one token or a small group of them.
EVENT_LIMIT_BYTES = 1024 * 1024
_PREFIX = b"data:"
_DONE = b"[DONE]"


@dataclass(frozen=True, slots=True)
class PieceEvent:
    """Hold a piece of the text and the characters before it."""

    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class UsageEvent:
    """Hold the tokens that the stream took."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class DoneEvent:
    """Mark the end of a whole stream."""


Event = PieceEvent | UsageEvent | DoneEvent


class EventReader:
    """Collect received bytes and yield the events of one stream."""

    def __init__(self, stream: str) -> None:
        self._stream = stream
        self._buffer = b""

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yield complete events; raise MalformedAnswerError on any other."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise MalformedAnswerError(
                f"event is larger than {EVENT_LIMIT_BYTES} bytes"
            )
        for line in lines:
            if line.startswith(_PREFIX):
                yield self._parse(line[len(_PREFIX) :].strip())

    def _parse(self, payload: bytes) -> Event:
        if payload == _DONE:
            return DoneEvent()
        try:
            body = json.loads(payload.decode())
            self._check_stream(body)
            if "usage" in body:
                return _parse_usage(body["usage"])
            text = str(body["choices"][0]["delta"]["content"])
            return PieceEvent(int(body["offset"]), text)
        except (ValueError, KeyError, IndexError, TypeError, AttributeError) as error:
            raise MalformedAnswerError(f"event is malformed: {error!r}") from None

    def _check_stream(self, body: dict[str, Any]) -> None:
        stream = body.get("id", self._stream)
        if stream != self._stream:
            raise MalformedAnswerError(
                f"event belongs to stream {stream!r}, not {self._stream!r}"
            )


def _parse_usage(usage: dict[str, Any]) -> UsageEvent:
    return UsageEvent(
        int(usage["prompt_tokens"]),
        int(usage["cached_tokens"]),
        int(usage["completion_tokens"]),
    )
