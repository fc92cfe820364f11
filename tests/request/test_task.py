"""Guard against lost answers of a request task and ambiguous request ids."""

from datetime import timedelta

import gevent
import pytest
from msgspec.structs import replace

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.address import MailboxFullError
from oleanderhitch.request.messages import RelayChunk, RespondToCaller
from oleanderhitch.request.naming import make_request_id
from oleanderhitch.request.states import Outcome, Reason
from oleanderhitch.request.task import RequestResources, perform_effect


class SlowCaller:
    """Accepts messages while it has free slots, then raises MailboxFullError."""

    def __init__(self, n_free_slots):
        self.n_free_slots = n_free_slots
        self.messages = []

    def send(self, message):
        """Accept a message or raise MailboxFullError."""
        if not self.n_free_slots:
            raise MailboxFullError("full")
        self.n_free_slots -= 1
        self.messages.append(message)


def test_slow_caller_gets_no_chunk_after_a_dropped_one():
    """Guard against a gap in a streamed answer after a full mailbox dropped a chunk."""
    caller = SlowCaller(1)
    resources = RequestResources(None, caller, None, "run", None)
    for data in (b"a", b"b"):
        perform_effect(RelayChunk(data), resources)
    caller.n_free_slots = 1
    perform_effect(RelayChunk(b"c"), resources)
    assert caller.messages == [RelayChunk(b"a")]


def test_response_is_resent_to_a_slow_caller():
    """Guard against a response that is lost because the caller's mailbox is full."""
    caller = SlowCaller(0)
    resources = RequestResources(None, caller, None, "run", None)
    response = RespondToCaller(Outcome.COMPLETED, b"abc", Reason.OK)
    perform_effect(response, resources)
    caller.n_free_slots = 1
    gevent.sleep(timedelta(milliseconds=250).total_seconds())
    assert caller.messages == [replace(response)]


def test_equal_keys_of_two_programs_give_different_ids():
    """Guard against programs that get each other's responses for equal keys."""
    assert make_request_id("p", "1") != make_request_id("q", "1")
    assert make_request_id("p", make_request_id("p", "1")) == make_request_id("p", "1")
    for key in ("", "a b", "a~b", "x" * 129):
        with pytest.raises(InvalidInputError):
            make_request_id("p", key)
