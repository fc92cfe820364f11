"""Cut a stream of server-sent events into whole events."""

from dataclasses import dataclass

# Endpoints end lines with a line feed alone.
_EVENT_END = b"\n\n"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Hold the bytes of an event, its id and its data."""

    raw: bytes
    identifier: str | None
    data: bytes | None


class EventSplitter:
    """Collect bytes and hand out the events that they complete."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole now."""
        *whole, self._rest = (self._rest + data).split(_EVENT_END)
        return [_parse_event(raw + _EVENT_END) for raw in whole]


def _parse_event(raw: bytes) -> StreamEvent:
    identifier: str | None = None
    data: list[bytes] = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            identifier = value.decode("latin-1")
        elif name == b"data":
            data.append(value)
    return StreamEvent(raw, identifier, b"\n".join(data) if data else None)


def make_event_splitter() -> EventSplitter:
    """Return a splitter for one stream."""
    return EventSplitter()
