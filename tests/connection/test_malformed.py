"""Guard against a malformed call or event that ends more than its connection."""

import json
from contextlib import suppress

from hypothesis import example, given
from hypothesis import strategies as st

from oleanderhitch.connection.caller.exceptions import CallRefusedError
from oleanderhitch.connection.caller.parsing import parse_model_call
from oleanderhitch.connection.endpoint.events import ChunkEvent, EventDecoder
from oleanderhitch.connection.endpoint.exceptions import MalformedResponseError
from tests.malformed import make_odd_documents

HEADERS = {"X-Account": "a", "X-Program": "p", "X-Sequence": "1"}
CHAT = {"model": "m", "messages": [{"role": "user", "content": "hi"}], "max_tokens": 9}
CHUNK = {"id": "r1", "choices": [{"delta": {"content": "a"}}], "offset": 0}
USAGE = {"prompt_tokens": 1, "cached_tokens": 1, "completion_tokens": 1}
NESTED = b"[" * 100_000


@given(make_odd_documents(CHAT))
@example(NESTED)
@example(json.dumps({**CHAT, "model": "\ud800"}).encode())
def test_odd_call_is_refused(body: bytes) -> None:
    """Guard against a call that fails later, where its texts are sent to others."""
    with suppress(CallRefusedError):
        call, _ = parse_model_call(HEADERS, body)
        json.dumps(call.work.messages, ensure_ascii=False).encode()
        call.work.model.encode()


@given(
    make_odd_documents(CHUNK) | make_odd_documents({"usage": USAGE}),
    st.lists(st.integers(1, 50), max_size=5),
)
@example(NESTED, [])
@example(json.dumps({**CHUNK, "offset": float("inf")}).encode(), [])
def test_odd_event_of_an_engine_is_rejected(payload: bytes, sizes: list[int]) -> None:
    """Guard against an error that the attempt at an engine does not handle."""
    decoder = EventDecoder("r1")
    rest = b"data: " + payload + b"\n\n"
    with suppress(MalformedResponseError):
        for size in [*sizes, len(rest)]:
            for event in decoder.feed(rest[:size]):
                if isinstance(event, ChunkEvent):
                    event.text.encode()
            rest = rest[size:]
