"""Guard against streams that are split into incomplete events."""

from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.request.forwarding.sse import make_event_splitter

STREAM = b"id: 1\ndata: one\n\nx-weight-versions: 2\nid: 2\ndata: two\ndata: more\n\n"


@given(st.lists(st.integers(1, 20), max_size=30))
def test_events_do_not_depend_on_chunk_sizes(sizes: list[int]) -> None:
    """Guard against events that are truncated or joined at the borders of chunks."""
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
    """Guard against relaying an event before all of its bytes have arrived."""
    splitter = make_event_splitter()
    assert splitter.feed(b"id: 1\ndata: on") == []
    assert splitter.incomplete_event == b"id: 1\ndata: on"
