"""Test that streams are split into complete events."""

from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.request.forwarding.sse import make_event_splitter

STREAM = b"id: 1\ndata: one\n\nx-weight-versions: 2\nid: 2\ndata: two\ndata: more\n\n"


@given(st.lists(st.integers(1, 20), max_size=30))
def test_events_do_not_depend_on_chunk_sizes(sizes: list[int]) -> None:
    """Events must not be truncated or joined, whatever chunks the bytes arrive in."""
    splitter = make_event_splitter()
    events = []
    rest = STREAM
    for size in [*sizes, len(STREAM)]:
        events.extend(splitter.feed(rest[:size]))
        rest = rest[size:]
    assert b"".join(event.raw for event in events) == STREAM
    assert [event.event_id for event in events] == ["1", "2"]
    assert [event.data for event in events] == [b"one", b"two\nmore"]


def test_incomplete_event_is_held_back() -> None:
    """The start of an event must not be relayed before its end has arrived."""
    splitter = make_event_splitter()
    assert splitter.feed(b"id: 1\ndata: on") == []
    assert splitter.incomplete_event == b"id: 1\ndata: on"
