"""Guard against answers that are incomplete or belong to another request."""

import socket
from datetime import timedelta

import bottle
import gevent
import pytest

from oleanderhitch.process.metrics.text import format_metrics
from oleanderhitch.request.messages import (
    ChunkReceived,
    ModelWork,
    StreamEnded,
    StreamFailed,
)
from tests.connection.endpoint.calls import (
    METRICS,
    MODEL_WORK,
    Attempt,
    make_end,
    make_event,
    read_whole_answer,
    request_json,
    set_fault,
)
from tests.standins.serving import serve, serve_engine


def find_free_address():
    """Return a loopback address that nothing listens on."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


def test_streams_chunks_then_usage():
    """Guard against a lost chunk and an end without token counts."""
    with serve_engine() as address:
        attempt = Attempt(address)
        assert attempt.finish() == StreamEnded(1, 2, 0, 12)
        assert len(attempt.answer) == 48
        assert len(attempt.messages) == 13


def test_second_turn_uses_cached_prefix():
    """Guard against token counts that report recomputed prompt tokens as cached."""
    with serve_engine() as address:
        first = Attempt(address)
        first.finish()
        prompt = (
            *MODEL_WORK.messages,
            {"role": "assistant", "content": first.answer.decode()},
        )
        work = ModelWork("standin", ({"role": "user", "content": "more"},), 3)
        second = Attempt(address, work, "r2", prompt=prompt)
        assert second.finish() == StreamEnded(1, 15, 14, 3)


def test_partial_answer_is_continued_without_a_gap():
    """Guard against repeated or missing text when another engine continues."""
    with serve_engine() as first, serve_engine() as second:
        whole = read_whole_answer(first)
        for n_bytes in (4, 20, 44):
            attempt = Attempt(
                second, request=f"r{n_bytes}", partial_answer=whole[:n_bytes]
            )
            attempt.finish()
            assert whole[:n_bytes] + attempt.answer == whole


def test_refused_connection_was_not_sent():
    """Guard against outcome UNKNOWN for a call of which no byte was sent."""
    failure = Attempt(find_free_address()).finish()
    assert not failure.was_sent
    assert not failure.is_final


def test_call_past_its_deadline_is_not_sent():
    """Guard against work that starts after its deadline."""
    with serve_engine() as address:
        failure = Attempt(address, deadline_s=-1).finish()
        assert not failure.was_sent
        assert request_json("GET", address, "/v1/cache/programs") == {"programs": []}


def test_missing_model_is_not_final():
    """Guard against a request that fails because the inventory is stale."""
    with serve_engine(model="other") as address:
        failure = Attempt(address).finish()
        assert failure.was_sent
        assert not failure.is_final
        assert "404" in failure.reason


@pytest.mark.parametrize("after_pieces", [0, 1, 5])
def test_hung_connection_resumes_on_a_new_one(after_pieces):
    """Guard against an attempt that fails because one connection hangs."""
    with serve_engine() as address:
        whole = read_whole_answer(address)
        set_fault(address, "silent", n_requests=1, after_pieces=after_pieces)
        attempt = Attempt(address)
        assert isinstance(attempt.finish(), StreamEnded)
        assert attempt.answer == whole


def test_dropped_answer_is_resumed():
    """Guard against an answer that is computed again after its connection fails."""
    with serve_engine() as address:
        whole = read_whole_answer(address)
        set_fault(address, "drop_answer", n_requests=1)
        attempt = Attempt(address)
        assert isinstance(attempt.finish(), StreamEnded)
        assert attempt.answer == whole


def test_hung_engine_fails_the_attempt():
    """Guard against a request that waits for a hung engine until its deadline."""
    with serve_engine() as address:
        set_fault(address, "silent", after_pieces=1)
        attempt = Attempt(address)
        failure = attempt.finish()
        assert failure.was_sent
        assert not failure.is_final


def test_attempts_and_resumes_are_counted():
    """Guard against alerts on a metric that is never recorded."""
    with serve_engine() as address:
        before = {counter.name: counter for counter in METRICS.make_snapshot().counters}
        set_fault(address, "silent", n_requests=1, after_pieces=3)
        assert isinstance(Attempt(address).finish(), StreamEnded)
        after = {counter.name: counter for counter in METRICS.make_snapshot().counters}
        name = "oleanderhitch_resumed_streams_total"
        n_before = before[name].value if name in before else 0
        assert after[name].value == n_before + 1
        text = format_metrics(METRICS.make_snapshot())
        assert 'oleanderhitch_attempts_total{result="completed"}' in text
        assert "oleanderhitch_between_tokens_seconds_count" in text


def test_lost_stream_keeps_received_chunks():
    """Guard against received chunks that are lost when the engine fails."""
    with serve_engine() as address:
        whole = read_whole_answer(address)
        set_fault(address, "die_mid_stream", n_requests=1, after_pieces=4)
        attempt = Attempt(address)
        failure = attempt.finish()
        assert isinstance(failure, StreamFailed)
        assert failure.was_sent
        assert attempt.answer == whole[:16]


def test_slow_engine_completes():
    """Guard against a timeout of a slow engine that still sends events."""
    with serve_engine() as address:
        set_fault(address, "slow", factor=20)
        assert isinstance(Attempt(address).finish(), StreamEnded)


def test_cancel_frees_the_engine_and_sends_no_more_messages():
    """Guard against messages after a cancel and an engine slot that isn't freed."""
    with serve_engine(load_lag=timedelta(0)) as address:
        work = ModelWork("standin", MODEL_WORK.messages, 2000)
        attempt = Attempt(address, work)
        assert isinstance(attempt.receive(), ChunkReceived)
        attempt.cancel()
        n_sent = attempt.mailbox.n_waiting
        gevent.sleep(0.05)
        assert attempt.mailbox.n_waiting == n_sent
        assert request_json("GET", address, "/v1/load")["n_running"] == 0


def serve_events(first_events, resumed_events):
    """Serve an engine that sends fixed events, first and after a resume."""
    app = bottle.Bottle()
    app.post("/v1/chat/completions")(lambda: iter(first_events))
    app.get("/v1/streams/<stream>")(lambda stream: iter(resumed_events))
    app.delete("/v1/streams/<stream>")(lambda stream: "")
    return serve(app)


def test_duplicates_by_offset_are_dropped():
    """Guard against text that is repeated by a resumed stream."""
    first = [make_event("r1.1", 0, "abcd"), make_event("r1.1", 4, "efgh")]
    resumed = [
        make_event("r1.1", 0, "abcd"),
        make_event("r1.1", 2, "cdefghij"),
        make_event("r1.1", 10, "kl"),
        make_end("r1.1"),
    ]
    with serve_events(first, resumed) as address:
        attempt = Attempt(address)
        assert isinstance(attempt.finish(), StreamEnded)
        assert attempt.answer == b"abcdefghijkl"


def test_characters_of_several_bytes_keep_their_offsets():
    """Guard against character offsets that are used as byte offsets."""
    first = [make_event("r1.1", 0, "žča"), make_event("r1.1", 3, "đ")]
    resumed = [make_event("r1.1", 3, "đš"), make_end("r1.1")]
    with serve_events(first, resumed) as address:
        attempt = Attempt(address)
        assert isinstance(attempt.finish(), StreamEnded)
        assert attempt.answer.decode() == "žčađš"


def test_missing_chunk_is_fetched_by_resuming():
    """Guard against an answer with a gap."""
    first = [make_event("r1.1", 0, "ab"), make_event("r1.1", 4, "ef")]
    resumed = [make_event("r1.1", 2, "cdef"), make_end("r1.1")]
    with serve_events(first, resumed) as address:
        attempt = Attempt(address)
        assert isinstance(attempt.finish(), StreamEnded)
        assert attempt.answer == b"abcdef"


@pytest.mark.parametrize(
    "event",
    [
        make_event("other.1", 0, "secret"),
        make_end("other.1"),
        b"data: not json\n\n",
        b'data: {"id": "r1.1"}\n\n',
    ],
)
def test_foreign_or_malformed_event_is_rejected(event):
    """Guard against an answer to another request and malformed events."""
    with serve_events([event], [event]) as address:
        attempt = Attempt(address)
        assert isinstance(attempt.finish(), StreamFailed)
        assert attempt.answer == b""


def test_end_without_usage_is_a_failure():
    """Guard against a truncated answer that is reported as complete."""
    events = [make_event("r1.1", 0, "ab"), b"data: [DONE]\n\n"]
    with serve_events(events, events) as address:
        assert isinstance(Attempt(address).finish(), StreamFailed)


def test_redirect_is_not_followed():
    """Guard against a redirect that sends the call a second time."""
    app = bottle.Bottle()
    app.post("/v1/chat/completions")(lambda: bottle.redirect("/elsewhere", 307))
    with serve(app) as address:
        failure = Attempt(address).finish()
        assert "307" in failure.reason
        assert not failure.is_final


def test_interleaved_attempts_keep_their_answers_apart():
    """Guard against answers that are mixed up while streams fail and resume."""
    with serve_engine() as address:
        works = [
            ModelWork("standin", ({"role": "user", "content": f"q{number}"},), 12)
            for number in range(12)
        ]
        expected = []
        for number, work in enumerate(works):
            attempt = Attempt(address, work, f"e{number}", program=f"e{number}")
            attempt.finish()
            expected.append(attempt.answer)
        set_fault(address, "silent", n_requests=6, after_pieces=3)
        attempts = [
            Attempt(address, work, f"r{number}", program=f"p{number}")
            for number, work in enumerate(works)
        ]
        for attempt, answer in zip(attempts, expected, strict=True):
            assert isinstance(attempt.finish(), StreamEnded)
            assert attempt.answer == answer
        assert len(set(expected)) == len(works)
