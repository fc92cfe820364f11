"""Guard against messages that encoding changes and malformed frames that pass."""

import tracemalloc
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
# Together these are most of the memory that a store has.
N_STREAMS = 64
STREAM_LIMIT_BYTES = 256 * 1024
TIMESTAMP = msgpack.Timestamp.from_datetime(START.at)


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


# Guards against stores that pass their memory limit by the number of their peers: each
# stream kept a megabyte once that much had passed through it.
@pytest.mark.parametrize("frame_bytes", [1_000, 20_000, 1_500_000])
def test_idle_streams_do_not_keep_what_has_passed_through_them(frame_bytes):
    """Hold little for each stream between two frames, whatever came before."""
    codec = make_codec(MESSAGES)
    message = EndProgram(ProgramId("p" * frame_bytes), EndReason.FINISHED, START.at)
    frame = codec.encode(message)
    tracemalloc.start()
    try:
        decoders = [codec.make_decoder() for _ in range(N_STREAMS)]
        for decoder in decoders:
            for _ in range(max(2, 2_000_000 // frame_bytes)):
                assert list(decoder.feed(frame)) == [message]
        n_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert n_bytes < N_STREAMS * STREAM_LIMIT_BYTES


def make_frame(**fields):
    """Return the frame of an EndProgram with some fields replaced or added."""
    body = {"program": "p", "reason": "finished", "at": TIMESTAMP, **fields}
    return msgpack.packb(["EndProgram", body])


def test_a_well_formed_frame_is_decoded():
    """Guard against malformed frames below that fail for another reason."""
    end = EndProgram(ProgramId("p"), EndReason.FINISHED, START.at)
    assert make_codec(MESSAGES).decode(make_frame()) == end


def test_times_as_numbers_are_decoded():
    """Guard against data directories of earlier builds that can't be read."""
    codec = make_codec(MESSAGES)
    end = EndProgram(ProgramId("p"), EndReason.FINISHED, START.at)
    assert codec.decode(make_frame(at=START.at.timestamp())) == end
    body = {
        "program": "p",
        "account": "a",
        "parent": None,
        "budget_tokens": 1000,
        "n_turns_limit": 140,
        "silence_limit": 300.0,
        "at": START.at.timestamp(),
    }
    assert codec.decode(msgpack.packb(["StartProgram", body])) == START


@pytest.mark.parametrize(
    "frame",
    [
        msgpack.packb(["Nobody", {}]),
        msgpack.packb(["EndProgram", {"program": "p"}]),
        make_frame(reason="x"),
        make_frame(q=1),
        make_frame(program=1),
        make_frame(reason=[]),
        make_frame(at=None),
        msgpack.packb(["EndProgram", None]),
        msgpack.packb(["EndProgram", ["p", "finished", 0.0]]),
        msgpack.packb("text"),
        msgpack.packb(["EndProgram", {}]) * 2,
        make_frame() + b"\x00",
        b"\x91" * 100_000,
        b"\x92\xaaEndProgram" + b"\x91" * 100_000,
        b"\xc1",
        b"",
    ],
)
def test_malformed_frames_raise(frame):
    """Guard against a malformed frame that reaches decision code."""
    with pytest.raises(MalformedFrameError):
        make_codec(MESSAGES).decode(frame)


@pytest.mark.parametrize(
    "data", [b"\xc1", b"\x91" * 100_000, make_frame(q=1), make_frame() + b"\x00"]
)
def test_a_malformed_frame_ends_its_stream_only(data):
    """Guard against an error of another type, which would end the process."""
    decoder = make_codec(MESSAGES).make_decoder()
    with pytest.raises(MalformedFrameError):
        list(decoder.feed(data))


def test_a_codec_for_small_frames_takes_no_larger_ones():
    """Guard against peers that fill the memory of a host before they are known."""
    small = make_codec(MESSAGES, frame_limit_bytes=100)
    command = EndProgram(ProgramId("p" * 100), EndReason.FINISHED, datetime.now(UTC))
    with pytest.raises(MalformedFrameError, match="at most 100"):
        small.encode(command)
    frame = make_codec(MESSAGES).encode(command)
    with pytest.raises(MalformedFrameError):
        list(small.make_decoder().feed(frame))
