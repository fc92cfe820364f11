"""Helpers that run attempts at stand-ins and collect their messages."""

import json
from datetime import timedelta

import urllib3

from oleanderhitch.connection.endpoint.messages import EndpointCall, EndpointTimeouts
from oleanderhitch.connection.endpoint.task import make_endpoint_stream
from oleanderhitch.connection.endpoint.transport import make_pool_manager
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.metrics.core import make_metrics
from oleanderhitch.request.messages import (
    CancelAttempt,
    ChunkReceived,
    ModelWork,
    ServiceWork,
    StreamEnded,
    StreamFailed,
)
from tests.standins.serving import CLOCK

TIMEOUTS = EndpointTimeouts(
    connect=timedelta(milliseconds=500),
    first_byte=timedelta(milliseconds=300),
    between_chunks=timedelta(milliseconds=100),
    cancel=timedelta(milliseconds=500),
)
METRICS = make_metrics()
MODEL_WORK = ModelWork("standin", ({"role": "user", "content": "hello"},), 12)
SERVICE_WORK = ServiceWork("payments", "pay", b"{}")


def request_json(method, address, path, body=None):
    """Send a request to a stand-in and return its JSON response."""
    response = urllib3.request(method, f"http://{address}{path}", json=body)
    return response.json()


def count_resumed_streams():
    """Return how many streams all attempts of this process have resumed."""
    counters = METRICS.make_snapshot().counters
    return sum(
        counter.value
        for counter in counters
        if counter.name == "oleanderhitch_resumed_streams_total"
    )


def set_fault(address, kind, **options):
    """Make a stand-in inject a fault."""
    request_json("POST", address, "/v1/faults", {"kind": kind, **options})


class Attempt:
    """An attempt in progress, and the messages received from it."""

    def __init__(self, address, work=MODEL_WORK, request="r1", **options):
        tracer = options.pop("tracer", None)
        pools = options.pop("pools", None) or make_pool_manager()
        limit_s = options.pop("deadline_s", 10)
        timeouts = options.pop("timeouts", TIMEOUTS)
        fields = {
            "attempt": 1,
            "request": request,
            "program": "p1",
            "address": address,
            "work": work,
            "is_idempotent": True,
            "priority": 0,
            "deadline": CLOCK.now() + timedelta(seconds=limit_s),
            **options,
        }
        self.call = EndpointCall(**fields)
        self.mailbox = make_mailbox(request)
        self.messages = []
        self.stream = make_endpoint_stream(
            self.call, self.mailbox, pools, timeouts, CLOCK, tracer, METRICS
        )
        self.stream.start()

    def receive(self):
        """Wait for the next message and return it."""
        message = self.mailbox.receive(timedelta(seconds=5))
        assert message is not None, "no message within 5 s"
        self.messages.append(message)
        return message

    def finish(self):
        """Wait until the attempt has ended and return its last message."""
        while True:
            message = self.receive()
            if isinstance(message, StreamEnded | StreamFailed):
                return message

    def cancel(self):
        """Cancel the attempt and wait until its greenlet has ended."""
        self.stream.send(CancelAttempt(self.call.attempt))
        self.stream.join()

    @property
    def answer(self):
        """The bytes received so far, after a check of their offsets."""
        answer = b""
        for message in self.messages:
            if isinstance(message, ChunkReceived):
                assert message.offset == len(answer), (
                    "offset is not the end of the preceding chunk"
                )
                answer += message.data
        return answer


def read_whole_answer(address, request="whole"):
    """Return the answer of an attempt without faults."""
    attempt = Attempt(address, request=request, program=request)
    last = attempt.finish()
    assert isinstance(last, StreamEnded), last
    return attempt.answer


def make_event(stream, offset, text):
    """Return a server-sent event with a chunk of text."""
    choices = [{"delta": {"content": text}}]
    body = {"id": stream, "offset": offset, "choices": choices}
    return b"data: " + json.dumps(body).encode() + b"\n\n"


def make_end(stream):
    """Return the server-sent events that end a stream."""
    usage = {"prompt_tokens": 1, "cached_tokens": 0, "completion_tokens": 2}
    body = json.dumps({"id": stream, "usage": usage}).encode()
    return b"data: " + body + b"\n\ndata: [DONE]\n\n"
