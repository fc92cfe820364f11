"""Split a stream of server-sent events into complete events."""

from oleanderhitch.values import Value

# Endpoints use LF as line ending, never CR LF or CR.
_EVENT_SEPARATOR = b"\n\n"


class StreamEvent(Value, frozen=True):
    """The raw bytes of an event with its parsed id and data fields."""

    raw: bytes
    event_id: str | None
    data: bytes | None


class EventSplitter:
    """Buffers the bytes of a stream until they form complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def incomplete_event(self) -> bytes:
        """The buffered bytes of an incomplete event."""
        return bytes(self._buffer)

    @property
    def n_incomplete_bytes(self) -> int:
        """The number of buffered bytes."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        # The bytes before were searched already, except for a separator across both.
        search_from = max(0, len(self._buffer) - len(_EVENT_SEPARATOR) + 1)
        self._buffer += data
        events = []
        start = 0
        while (end := self._buffer.find(_EVENT_SEPARATOR, search_from)) >= 0:
            search_from = end + len(_EVENT_SEPARATOR)
            events.append(_parse_event(bytes(self._buffer[start:search_from])))
            start = search_from
        del self._buffer[:start]
        return events


def _parse_event(raw: bytes) -> StreamEvent:
    event_id: str | None = None
    data: list[bytes] = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            event_id = value.decode("latin-1")
        elif name == b"data":
            data.append(value)
    return StreamEvent(raw, event_id, b"\n".join(data) if data else None)


def make_event_splitter() -> EventSplitter:
    """Return a splitter for one stream."""
    return EventSplitter()
