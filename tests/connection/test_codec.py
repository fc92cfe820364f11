"""Guard against messages that encoding changes and malformed frames that pass."""

from datetime import UTC, datetime, timedelta

import msgpack
import pytest

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.program.messages import MESSAGES, EndProgram, StartProgram
from oleanderhitch.program.states import EndReason

START = StartProgram(
    ProgramId("p"),
    AccountId("a"),
    None,
    1000,
    140,
    timedelta(minutes=5),
    datetime(2026, 1, 1, tzinfo=UTC),
)


def test_messages_survive_any_split_of_the_stream():
    """Guard against messages changed by encoding or by a split frame."""
    codec = make_codec(MESSAGES)
    end = EndProgram(ProgramId("p"), EndReason.FINISHED, START.at)
    data = codec.encode(START) + codec.encode(end)
    decoder = codec.make_decoder()
    received = []
    for position in range(len(data)):
        received.extend(decoder.feed(data[position : position + 1]))
    assert received == [START, end]


@pytest.mark.parametrize(
    "frame",
    [
        msgpack.packb(["Nobody", {}]),
        msgpack.packb(["EndProgram", {"program": "p"}]),
        msgpack.packb(["EndProgram", {"program": "p", "reason": "x", "at": 0.0}]),
        msgpack.packb(
            ["EndProgram", {"program": "p", "reason": "finished", "at": 0.0, "q": 1}]
        ),
        msgpack.packb(["EndProgram", {"program": 1, "reason": [], "at": None}]),
        msgpack.packb(["EndProgram", None]),
        msgpack.packb(["EndProgram", ["p", "finished", 0.0]]),
        msgpack.packb("text"),
        msgpack.packb(["EndProgram", {}]) * 2,
        b"\xc1",
        b"",
    ],
)
def test_malformed_frames_raise(frame):
    """Guard against a malformed frame that reaches decision code."""
    with pytest.raises(MalformedFrameError):
        make_codec(MESSAGES).decode(frame)
