"""Guard against a cost of waiting for each event of a stream."""

from datetime import timedelta

import gevent
import pytest

from oleanderhitch.connection.http.memory import make_traffic_memory
from oleanderhitch.process import alarm as alarm_module
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.messages import Tick
from oleanderhitch.request.forwarding.messages import MemoryExhausted, Start
from oleanderhitch.request.forwarding.task import (
    ForwardContext,
    _get_next_message,
    _receive,
)
from tests.request.forwarding.test_core import grant, make_state, run

CLOCK = make_system_clock()


class Dependencies:
    """The part of the collaborators that waiting uses."""

    clock = CLOCK


def make_context() -> ForwardContext:
    """Return the context of a request whose time ends in 100 ms."""
    mailbox = make_mailbox("test")
    state = make_state()
    state.deadline = CLOCK.now() + timedelta(milliseconds=100)
    alarm = alarm_module.make_alarm(lambda: mailbox.send(Tick()), CLOCK)
    share = make_traffic_memory().make_share()
    return ForwardContext(Dependencies(), None, state, None, mailbox, alarm, share)  # type: ignore[arg-type]


def test_messages_of_a_request_share_one_timer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a timer for each event that a request waits for."""
    started = []
    start = alarm_module.Alarm._start
    monkeypatch.setattr(
        alarm_module.Alarm,
        "_start",
        lambda self, *args: (started.append(args), start(self, *args)),
    )
    context = make_context()
    for number in range(50):
        gevent.spawn(context.mailbox.send, number)
        assert _receive(context) == number
    assert len(started) == 1
    context.alarm.close()


@pytest.mark.parametrize("has_attempt", [True, False])
def test_exhausted_memory_ends_an_attempt_once(has_attempt: bool) -> None:
    """Guard against a request that reports the same shortage for ever."""
    context = make_context()
    context.share = make_traffic_memory(1000).make_share()
    context.state.output += b"a" * 100_000
    if has_attempt:
        run(context.state, Start(), grant("e1"))
    context.mailbox.send("next")
    expected = MemoryExhausted() if has_attempt else "next"
    assert _get_next_message(context) == expected


def test_tick_comes_at_the_deadline() -> None:
    """Guard against a request that outlives its time."""
    context = make_context()
    message = _receive(context)
    assert isinstance(message, Tick)
    assert CLOCK.now() >= context.state.deadline
    context.alarm.close()
