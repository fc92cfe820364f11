"""Guard against a cost of waiting for each event of a stream."""

from datetime import timedelta

import gevent
import pytest

from oleanderhitch.connection.http.memory import make_traffic_memory
from oleanderhitch.connection.http.messages import ResponseBody
from oleanderhitch.process import alarm as alarm_module
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.messages import Tick
from oleanderhitch.request.forwarding.core import handle
from oleanderhitch.request.forwarding.history_memory import make_history_memory
from oleanderhitch.request.forwarding.messages import (
    MemoryExhausted,
    ResponseBegun,
    Start,
    WriteResponseChunk,
)
from oleanderhitch.request.forwarding.task import (
    ForwardContext,
    _get_next_message,
    _receive,
    perform,
)
from oleanderhitch.version.routes.states import RouteKind
from tests.process.site.test_subscribers import ManualClock
from tests.request.forwarding.test_core import (
    NOW,
    get_exchange_id,
    grant,
    make_response_head,
    make_state,
    run,
)

CLOCK = make_system_clock()


class Dependencies:
    """The part of the collaborators that waiting uses."""

    clock = CLOCK
    history_memory = make_history_memory()


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


class SlowCaller:
    """Writer to a caller that reads nothing for two seconds."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock

    def write(self, data: bytes) -> None:
        """Write a chunk."""
        self._clock.time += timedelta(seconds=2)


def test_wait_for_a_slow_caller_is_no_silence_of_the_endpoint() -> None:
    """Guard against callers that read slowly and make sound endpoints look silent."""
    context = make_context()
    state = make_state(RouteKind.STREAM, n_attempts=2, is_resumable=True)
    state.deadline += timedelta(seconds=60)
    context.state, clock = state, ManualClock()
    context.dependencies.clock = clock
    context.writer = SlowCaller(clock)  # type: ignore[assignment]
    run(state, Start(), grant("e1"))
    exchange_id = get_exchange_id(state)
    run(state, ResponseBegun(exchange_id, make_response_head()), at=clock.time)
    event = ResponseBody(exchange_id, b"id: 1\ndata: a\n\n")
    for effect in handle(event, state, clock.time):
        if isinstance(effect, WriteResponseChunk):
            perform(effect, context)
    assert clock.time == NOW + timedelta(seconds=2)
    # It came while the request waited for its caller.
    assert handle(Tick(), state, clock.time) == []
    # A silence of the endpoint after that still counts.
    assert state.next_tick_at < clock.time + timedelta(seconds=2)
    assert handle(Tick(), state, state.next_tick_at)
