"""Guard against tasks that tick late, too often or at a cost for each message."""

from datetime import timedelta

import gevent

from oleanderhitch.process import alarm as alarm_module
from oleanderhitch.process.alarm import make_alarm
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.task import make_task

CLOCK = make_system_clock()


class CountingHub:
    """Hub of gevent that counts the timers that its loop makes."""

    def __init__(self, hub):
        self.n_timers = 0
        self.loop = self
        self._hub = hub

    def timer(self, seconds):
        """Count and return a timer."""
        self.n_timers += 1
        return self._hub.loop.timer(seconds)


def record(handled):
    """Return a handler that records the messages of a task."""

    def handle(message, state, now):
        handled.append(message)
        return []

    return handle


def test_messages_start_no_timers(monkeypatch):
    """Guard against a timer for each message that a task waits for."""
    hub = CountingHub(gevent.get_hub())
    monkeypatch.setattr(alarm_module.gevent, "get_hub", lambda: hub)
    handled = []
    deadlines = [CLOCK.now() + timedelta(seconds=5 + n) for n in range(200)]
    task = make_task(
        "t",
        None,
        record(handled),
        print,
        CLOCK,
        find_next_tick=lambda state: deadlines[len(handled)],
    )
    task.start()
    for number in range(100):
        task.send(number)
        gevent.sleep(0)
    gevent.sleep(0.01)
    assert handled == list(range(100))
    assert hub.n_timers == 1
    task.stop()


def test_ticks_come_at_the_interval():
    """Guard against ticks that stop, or that messages delay."""
    handled = []
    task = make_task(
        "t", None, record(handled), print, CLOCK, timedelta(milliseconds=20)
    )
    task.start()
    for _ in range(30):
        task.send("message")
        gevent.sleep(0.01)
    task.stop()
    task.join(timedelta(seconds=1))
    n_ticks = sum(isinstance(message, Tick) for message in handled)
    assert 5 <= n_ticks <= 16


def test_an_alarm_that_moves_rings_once_at_the_latest_time():
    """Guard against an alarm that rings early, twice or never."""
    rung = make_mailbox("rung")
    alarm = make_alarm(lambda: rung.send(CLOCK.now()), CLOCK)
    started_at = CLOCK.now()
    for delay_ms in (20, 40, 60):
        alarm.set(started_at + timedelta(milliseconds=delay_ms))
    rung_at = rung.receive(timedelta(seconds=1))
    assert rung_at - started_at >= timedelta(milliseconds=60)
    assert rung.receive(timedelta(milliseconds=50)) is None
    alarm.set(started_at + timedelta(seconds=60))
    alarm.advance(CLOCK.now())
    assert rung.receive(timedelta(seconds=1)) is not None
    alarm.close()


def test_an_unexpected_error_costs_one_message():
    """Guard against a process that goes on without the task that failed."""
    handled = []

    def handle(message, state, now):
        handled.append(message)
        if message == "bad":
            raise AttributeError("no such field")
        return [message]

    performed = []

    def perform(effect):
        performed.append(effect)
        if effect == "worse":
            raise KeyError("no such key")

    task = make_task("t", None, handle, perform, CLOCK)
    task.start()
    for message in ("bad", "worse", "good"):
        task.send(message)
    task.stop()
    task.join(timedelta(seconds=1))
    assert handled == ["bad", "worse", "good"]
    assert performed == ["worse", "good"]
