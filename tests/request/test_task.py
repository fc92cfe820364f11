"""Test what a request's task does beside its decisions."""

from dataclasses import replace
from datetime import timedelta

import gevent
import pytest

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.address import MailboxFullError
from oleanderhitch.request.messages import AnswerCaller, RelayChunk
from oleanderhitch.request.naming import make_request_id
from oleanderhitch.request.states import Outcome, Reason
from oleanderhitch.request.task import RequestResources, perform_effect


class SlowCaller:
    """Take some messages, then none until it has read."""

    def __init__(self, n_free):
        self.n_free = n_free
        self.messages = []

    def send(self, message):
        """Take a message or refuse it."""
        if not self.n_free:
            raise MailboxFullError("full")
        self.n_free -= 1
        self.messages.append(message)


def test_a_slow_caller_gets_no_piece_behind_a_lost_one():
    """Guard against a streamed answer with a hole in it."""
    caller = SlowCaller(1)
    resources = RequestResources(None, caller, None, "run", None)
    for data in (b"a", b"b"):
        perform_effect(RelayChunk(data), resources)
    caller.n_free = 1
    perform_effect(RelayChunk(b"c"), resources)
    assert caller.messages == [RelayChunk(b"a")]


def test_a_slow_caller_gets_its_answer_later():
    """Guard against an answer that is lost because its caller reads slowly."""
    caller = SlowCaller(0)
    resources = RequestResources(None, caller, None, "run", None)
    answer = AnswerCaller(Outcome.COMPLETED, b"abc", Reason.OK)
    perform_effect(answer, resources)
    caller.n_free = 1
    gevent.sleep(timedelta(milliseconds=250).total_seconds())
    assert caller.messages == [replace(answer)]


def test_keys_of_two_programs_never_collide():
    """Guard against an answer that goes to another program's caller."""
    assert make_request_id("p", "1") != make_request_id("q", "1")
    assert make_request_id("p", make_request_id("p", "1")) == make_request_id("p", "1")
    for key in ("", "a b", "a~b", "x" * 129):
        with pytest.raises(InvalidInputError):
            make_request_id("p", key)
