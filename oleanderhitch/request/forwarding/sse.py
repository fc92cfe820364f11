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
        self._buffer = b""

    @property
    def incomplete_event(self) -> bytes:
        """The buffered bytes of an incomplete event."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        *complete, self._buffer = (self._buffer + data).split(_EVENT_SEPARATOR)
        return [_parse_event(raw + _EVENT_SEPARATOR) for raw in complete]


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
