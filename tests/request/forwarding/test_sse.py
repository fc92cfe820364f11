"""Guard against events that are cut, joined or counted wrongly."""

from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.request.forwarding.sse import make_event_splitter

STREAM = b"id: 1\ndata: one\n\nx-weight-versions: 2\nid: 2\ndata: two\ndata: more\n\n"


@given(st.lists(st.integers(1, 20), max_size=30))
def test_cuts_of_the_stream_do_not_matter(sizes: list[int]) -> None:
    """Whole events come out however the bytes arrive."""
    splitter = make_event_splitter()
    events = []
    rest = STREAM
    for size in [*sizes, len(STREAM)]:
        events.extend(splitter.feed(rest[:size]))
        rest = rest[size:]
    assert b"".join(event.raw for event in events) == STREAM
    assert [event.identifier for event in events] == ["1", "2"]
    assert [event.data for event in events] == [b"one", b"two\nmore"]


def test_unfinished_event_is_held_back() -> None:
    """An endpoint that stops in the middle of an event must not be relayed so."""
    splitter = make_event_splitter()
    assert splitter.feed(b"id: 1\ndata: on") == []
    assert splitter.rest == b"id: 1\ndata: on"
