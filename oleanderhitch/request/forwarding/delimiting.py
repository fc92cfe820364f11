"""Judge whether the stream of an endpoint is complete."""

from enum import Enum

from oleanderhitch.connection.http.messages import BodyEnd


class StreamEnd(Enum):
    """How the stream of an endpoint has ended.

    COMPLETE: after a whole event, or as its framing says.
    INSIDE_EVENT: before the blank line that ends an event, so it was broken off.
    WITHOUT_EVENT: with the connection and before the first event. An endpoint that
    failed after the head of its response looks like this; a work result has events.
    """

    COMPLETE = "complete"
    INSIDE_EVENT = "the stream ended inside an event"
    WITHOUT_EVENT = "the connection ended before the first event"


def judge_stream_end(
    incomplete_event: bytes, n_events: int, body_end: BodyEnd
) -> StreamEnd:
    """Return how a stream with this many whole events has ended."""
    if incomplete_event:
        return StreamEnd.INSIDE_EVENT
    if body_end is BodyEnd.CONNECTION and not n_events:
        return StreamEnd.WITHOUT_EVENT
    return StreamEnd.COMPLETE
