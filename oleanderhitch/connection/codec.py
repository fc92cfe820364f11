"""Encode typed messages as msgpack frames and decode them."""

from collections.abc import Iterable, Iterator

import msgpack
import msgspec

from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.connection.frame_scanner import FrameScanner

# A program's history has up to 150,000 tokens, about 1 MB of text; a reply that
# contains one such history fits into a frame.
FRAME_LIMIT_BYTES = 8 * 1024 * 1024
# A frame that nests deeper than the recursion limit raises RecursionError.
DECODING_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)

# First size of the buffer in which the end of a frame is looked for. It grows with a
# frame, and has to hold what is fed at once.
UNPACKER_BUFFER_BYTES = 16 * 1024
# The end of a frame that is longer than this is looked for without that buffer.
KEPT_BUFFER_BYTES = 64 * 1024

_FRAME_DECODER = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


class Decoder:
    """Decoder of a byte stream that may be split at any point.

    Between two frames it keeps little memory: a process has one for each stream.
    """

    def __init__(self, codec: "Codec") -> None:
        self._codec = codec
        self._limit_bytes = codec.frame_limit_bytes
        self._received = bytearray()
        self._scanner: FrameScanner | None = None
        self._n_decoded_bytes = 0
        self._renew_unpacker()

    def feed(self, data: bytes) -> Iterator[object]:
        """Yield the messages that the data completes; raise MalformedFrameError."""
        for start in range(0, len(data), UNPACKER_BUFFER_BYTES):
            yield from self._feed_piece(data[start : start + UNPACKER_BUFFER_BYTES])

    def _feed_piece(self, piece: bytes) -> Iterator[object]:
        self._received += piece
        if self._scanner is None:
            yield from self._feed_unpacker(piece)
        if self._scanner is None and len(self._received) > KEPT_BUFFER_BYTES:
            # A long frame has begun. The unpacker would hold a second copy of it.
            self._scanner = FrameScanner()
            self._renew_unpacker()
        if self._scanner is not None:
            yield from self._feed_scanner(self._scanner)

    def _feed_scanner(self, scanner: FrameScanner) -> Iterator[object]:
        is_complete = scanner.is_complete(self._received)
        if scanner.position > self._limit_bytes:
            raise MalformedFrameError(f"frame is larger than {self._limit_bytes} bytes")
        if not is_complete:
            return
        self._scanner = None
        yield self._codec.decode(self._take_bytes(scanner.position))
        yield from self._feed_unpacker(bytes(self._received))

    def _feed_unpacker(self, piece: bytes) -> Iterator[object]:
        try:
            self._unpacker.feed(piece)
            while True:
                self._unpacker.skip()
                yield self._codec.decode(self._take_frame())
        except msgpack.OutOfData:
            return
        except msgpack.exceptions.BufferFull:
            raise MalformedFrameError(
                f"frame is larger than {self._limit_bytes} bytes"
            ) from None
        except (msgpack.exceptions.UnpackException, ValueError) as error:
            raise MalformedFrameError(f"frame is not msgpack: {error}") from None

    def _take_frame(self) -> bytes:
        end = self._unpacker.tell()
        n_bytes = end - self._n_decoded_bytes
        self._n_decoded_bytes = end
        return self._take_bytes(n_bytes)

    def _take_bytes(self, n_bytes: int) -> bytes:
        with memoryview(self._received) as received:
            frame = bytes(received[:n_bytes])
        del self._received[:n_bytes]
        return frame

    def _renew_unpacker(self) -> None:
        # The unpacker finds where frames end; the codec decodes their content.
        self._unpacker = msgpack.Unpacker(
            read_size=min(UNPACKER_BUFFER_BYTES, self._limit_bytes),
            max_buffer_size=self._limit_bytes,
        )
        self._n_decoded_bytes = 0


class Codec:
    """Encoder and decoder of a fixed set of message types.

    A frame is a pair of the type's class name and a map of its fields.
    """

    def __init__(
        self, message_types: Iterable[type], frame_limit_bytes: int | None
    ) -> None:
        self._frame_limit_bytes = frame_limit_bytes
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[str, msgspec.msgpack.Decoder[object]] = {}
        self._types: dict[str, type] = {}
        for message_type in message_types:
            name = message_type.__name__
            if name in self._types:
                raise ValueError(f"two message types named {name}")
            self._types[name] = message_type
            # Earlier builds stored times as numbers, which a strict decoder rejects.
            self._decoders[name] = msgspec.msgpack.Decoder(message_type, strict=False)

    @property
    def frame_limit_bytes(self) -> int:
        """The size of the largest frame."""
        return self._frame_limit_bytes or FRAME_LIMIT_BYTES

    def encode(self, message: object) -> bytes:
        """Return the frame of a message.

        Raise MalformedFrameError if the type is not registered or the frame is too
        large.
        """
        name = type(message).__name__
        if self._types.get(name) is not type(message):
            raise MalformedFrameError(f"message type {name} is not registered")
        frame = self._encoder.encode((name, message))
        if len(frame) > self.frame_limit_bytes:
            raise MalformedFrameError(
                f"{name} takes {len(frame)} bytes; "
                f"at most {self.frame_limit_bytes} are allowed"
            )
        return frame

    def decode(self, frame: bytes) -> object:
        """Return the message of one complete frame; raise MalformedFrameError."""
        try:
            name, body = _FRAME_DECODER.decode(frame)
        except DECODING_ERRORS as error:
            raise MalformedFrameError(
                f"frame is not a pair of type name and body: {error}"
            ) from None
        decoder = self._decoders.get(name)
        if decoder is None:
            raise MalformedFrameError(f"message type {name!r} is unknown")
        try:
            return decoder.decode(body)
        except DECODING_ERRORS as error:
            raise MalformedFrameError(f"body of {name} is malformed: {error}") from None

    def make_decoder(self) -> Decoder:
        """Return a decoder for one stream."""
        return Decoder(self)


def make_codec(
    message_types: Iterable[type], frame_limit_bytes: int | None = None
) -> Codec:
    """Return a codec for the given message types, by default for large frames."""
    return Codec(message_types, frame_limit_bytes)
