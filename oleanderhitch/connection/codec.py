"""Encode typed messages as msgpack frames and decode them."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime, timedelta
from typing import Any

import cattrs
import cattrs.errors
import msgpack

from oleanderhitch.connection.exceptions import MalformedFrameError

# A program's history has up to 150,000 tokens, about 1 MB of text; a reply that
# contains one such history fits into a frame.
FRAME_LIMIT_BYTES = 8 * 1024 * 1024
# Errors that cattrs raises for a body that doesn't match its message type.
CONVERSION_ERRORS = (
    cattrs.errors.CattrsError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)


def _make_converter() -> cattrs.Converter:
    # Detailed validation collects all errors of a message but takes twice as long. The
    # first error is enough, since any error rejects the message.
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=False)
    converter.register_unstructure_hook(datetime, lambda value: value.timestamp())
    converter.register_structure_hook(
        datetime, lambda value, _: datetime.fromtimestamp(value, UTC)
    )
    converter.register_unstructure_hook(timedelta, lambda value: value.total_seconds())
    converter.register_structure_hook(
        timedelta, lambda value, _: timedelta(seconds=value)
    )
    return converter


class Decoder:
    """Decoder of a byte stream that may be split at any point."""

    def __init__(self, codec: "Codec") -> None:
        self._codec = codec
        self._unpacker = msgpack.Unpacker(raw=False, max_buffer_size=FRAME_LIMIT_BYTES)

    def feed(self, data: bytes) -> Iterator[object]:
        """Yield the messages that the data completes; raise MalformedFrameError."""
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                yield self._codec.structure(frame)
        except msgpack.exceptions.BufferFull:
            raise MalformedFrameError(
                f"frame is larger than {FRAME_LIMIT_BYTES} bytes"
            ) from None
        except (msgpack.exceptions.UnpackException, ValueError) as error:
            raise MalformedFrameError(f"frame is not msgpack: {error}") from None


class Codec:
    """Encoder and decoder of a fixed set of message types.

    A frame is a pair of the type's class name and a map of its fields.
    """

    def __init__(self, message_types: Iterable[type]) -> None:
        self._converter = _make_converter()
        self._types: dict[str, type] = {}
        for message_type in message_types:
            if message_type.__name__ in self._types:
                raise ValueError(f"two message types named {message_type.__name__}")
            self._types[message_type.__name__] = message_type

    def encode(self, message: object) -> bytes:
        """Return the frame of a message.

        Raise MalformedFrameError if the type is not registered or the frame is too
        large.
        """
        name = type(message).__name__
        if self._types.get(name) is not type(message):
            raise MalformedFrameError(f"message type {name} is not registered")
        frame: bytes = msgpack.packb(
            [name, self.unstructure(message)], use_bin_type=True
        )
        if len(frame) > FRAME_LIMIT_BYTES:
            raise MalformedFrameError(
                f"{name} takes {len(frame)} bytes; "
                f"at most {FRAME_LIMIT_BYTES} are allowed"
            )
        return frame

    def decode(self, frame: bytes) -> object:
        """Return the message of one complete frame; raise MalformedFrameError."""
        try:
            unpacked = msgpack.unpackb(frame, raw=False)
        except (msgpack.exceptions.UnpackException, ValueError) as error:
            raise MalformedFrameError(f"frame is not msgpack: {error}") from None
        return self.structure(unpacked)

    def make_decoder(self) -> Decoder:
        """Return a decoder for one stream."""
        return Decoder(self)

    def unstructure(self, message: object) -> Any:
        """Return a message as maps, lists and scalars."""
        return self._converter.unstructure(message)

    def structure(self, frame: Any) -> object:
        """Return the message of an unpacked frame; raise MalformedFrameError."""
        if not (isinstance(frame, list) and len(frame) == 2):
            raise MalformedFrameError("frame is not a pair of type name and body")
        name, body = frame
        message_type = self._types.get(name) if isinstance(name, str) else None
        if message_type is None:
            raise MalformedFrameError(f"message type {name!r} is unknown")
        try:
            message: object = self._converter.structure(body, message_type)
        except CONVERSION_ERRORS as error:
            raise MalformedFrameError(f"body of {name} is malformed: {error}") from None
        return message


def make_codec(message_types: Iterable[type]) -> Codec:
    """Return a codec for the given message types."""
    return Codec(message_types)
