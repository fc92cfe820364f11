"""Guard against messages that encoding changes and malformed frames that pass."""

import tracemalloc
from datetime import UTC, datetime, timedelta

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.connection.frame_scanner import FrameScanner
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
LONG_BYTES = 4_000_000
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


# Guards against stores that pass their memory limit by a few long messages that arrive
# at the same time.
def test_long_frame_is_held_once_while_it_arrives():
    """Hold little more than the bytes that have come, and a copy of a whole frame."""
    codec = make_codec(MESSAGES)
    message = EndProgram(ProgramId("p" * LONG_BYTES), EndReason.FINISHED, START.at)
    frame = codec.encode(message)
    decoder = codec.make_decoder()
    tracemalloc.start()
    try:
        assert list(decoder.feed(frame[:-1])) == []
        n_bytes, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert n_bytes < 1.5 * LONG_BYTES
    assert peak_bytes < 2.5 * LONG_BYTES
    following = codec.encode(START)
    assert list(decoder.feed(frame[-1:] + following * 3)) == [message, *[START] * 3]


def test_frame_over_the_limit_is_refused_before_it_has_arrived():
    """Guard against a peer that makes a process hold what it will not take."""
    codec = make_codec(MESSAGES, frame_limit_bytes=200_000)
    decoder = codec.make_decoder()
    head = b"\x92\xaaEndProgram\x81\xa7program\xdb" + (10**9).to_bytes(4, "big")
    with pytest.raises(MalformedFrameError, match="larger than 200000"):
        list(decoder.feed(head + b"p" * 100_000))


ITEMS = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False)
    | st.text(max_size=40)
    | st.binary(max_size=300)
    | st.builds(msgpack.ExtType, st.integers(0, 127), st.binary(max_size=70)),
    lambda items: (
        st.lists(items, max_size=20)
        | st.dictionaries(st.text(max_size=5), items, max_size=20)
    ),
    max_leaves=60,
)


@given(ITEMS, st.lists(st.integers(1, 50), max_size=30))
def test_scanner_finds_the_end_of_any_frame(item, sizes):
    """Guard against frames that are cut short or run into the next one."""
    frame = msgpack.packb(item)
    scanner, data = FrameScanner(), bytearray()
    for size in sizes:
        data += frame[len(data) : len(data) + size]
        assert scanner.is_complete(data) == (len(data) == len(frame))
    data += frame[len(data) :] + b"next"
    assert scanner.is_complete(data)
    assert scanner.position == len(frame)


def test_scanner_refuses_a_byte_that_begins_no_item():
    """Guard against a stream that hangs at a malformed frame."""
    with pytest.raises(MalformedFrameError):
        FrameScanner().is_complete(bytearray(b"\x92\x01\xc1"))


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
