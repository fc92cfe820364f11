"""Guard against requests that wait in vain, and against refusals without need."""

from datetime import datetime, timedelta
from random import Random

import pytest
from msgspec.structs import replace

from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.core import handle
from oleanderhitch.process.placement.effects import LogOverload, SendReply
from oleanderhitch.process.placement.messages import (
    AttemptResult,
    EndpointGranted,
    EndpointRefused,
    EndpointsListed,
    ReleaseEndpoint,
    RequestStage,
)
from oleanderhitch.process.placement.records import DrainRate
from oleanderhitch.process.placement.refusal import (
    N_WAITING_LIMIT,
    OBSERVED_TIME_MIN,
    find_retry_after,
)
from oleanderhitch.request.ids import HolderId
from tests.process.placement.test_core import NOW, make_endpoint, make_state
from tests.process.placement.test_ordering import ask

MS = timedelta(milliseconds=1)
STEP = 50 * MS
WAIT = timedelta(seconds=1)


class Service:
    """A service with one slot that frees it as told, and what its requests get."""

    def __init__(self, n_endpoints: int = 1) -> None:
        names = [f"e{number}" for number in range(n_endpoints)]
        self.state = make_state(*(make_endpoint(name, 1) for name in names))
        self.now: datetime = NOW
        self.n_asked = 0
        self.n_logged = 0
        self.granted: list[EndpointGranted] = []
        self.refused: list[EndpointRefused] = []
        self.refused_after: list[timedelta] = []
        self._asked_at: dict[HolderId, datetime] = {}

    @property
    def n_early(self) -> int:
        """The number of requests that were refused before their deadlines."""
        return sum(refused.is_overloaded for refused in self.refused)

    def ask(
        self,
        n_requests: int,
        stage: RequestStage = RequestStage.STANDALONE,
        rank: int = 0,
    ) -> None:
        """Let requests arrive that may wait for a second, each with an own name."""
        for _ in range(n_requests):
            self.n_asked += 1
            message = ask(f"{stage.value}{self.n_asked}", stage=stage, rank=rank)
            self._asked_at[message.holder] = self.now
            self.handle(
                replace(
                    message,
                    deadline=self.now + WAIT,
                    caller_deadline=self.now + 2 * WAIT,
                )
            )

    def pass_time(self, n_steps: int, free_every: int = 0) -> None:
        """Let steps pass, and free the slot in each of some steps."""
        for number in range(1, n_steps + 1):
            self.now += STEP
            self.handle(Tick())
            if free_every and number % free_every == 0 and self.granted:
                self.free_slot()

    def free_slot(self) -> None:
        """Free the slot that was taken first."""
        permit = self.granted.pop(0).permit
        self.handle(ReleaseEndpoint(permit, AttemptResult.COMPLETED))

    def handle(self, message: object) -> None:
        """Handle a message and note the answers."""
        for effect in handle(message, self.state, self.now):
            self.n_logged += isinstance(effect, LogOverload)
            if isinstance(effect, SendReply):
                answer = effect.message
                if isinstance(answer, EndpointGranted):
                    self.granted.append(answer)
                if isinstance(answer, EndpointRefused):
                    self.refused.append(answer)
                    waited = self.now - self._asked_at.get(answer.holder, self.now)
                    self.refused_after.append(waited)


def test_queue_that_does_not_drain_refuses_at_once() -> None:
    """Guard against requests that wait out their time behind slots that stay taken."""
    service = Service()
    service.ask(12)
    service.pass_time(OBSERVED_TIME_MIN // STEP)
    assert not service.refused
    service.pass_time(4)
    assert 5 <= service.n_early < 11
    service.ask(8)
    assert service.n_early >= 5 + 6
    assert service.refused_after[-1] == timedelta(0)
    assert service.n_logged == 1


def test_overload_refuses_the_surplus_early_and_nothing_else() -> None:
    """Guard against waits in vain, and against refusals that leave slots unused."""
    service = Service()
    service.ask(1)
    n_served = 0
    for _ in range(100):
        # Sixteen requests for each ten slots.
        service.ask(1)
        service.pass_time(1)
        service.ask(2 if n_served % 5 < 3 else 0)
        service.pass_time(1)
        service.free_slot()
        n_served += 1
        assert service.granted
    n_surplus = service.n_asked - n_served
    assert n_surplus - 12 <= len(service.refused) <= n_surplus
    assert service.refused_after
    mean = sum(service.refused_after, timedelta(0)) / len(service.refused_after)
    assert mean < WAIT / 2


def test_new_programs_are_refused_before_running_ones() -> None:
    """Guard against programs that lose their work while new ones are let in."""
    service = Service()
    service.ask(1)
    for _ in range(20):
        service.ask(6, RequestStage.NEW_PROGRAM)
        service.ask(4, RequestStage.IN_PROGRESS)
        service.pass_time(10, free_every=2)
    assert service.n_early > 60
    names = {refused.holder for refused in service.refused}
    assert not any(name.startswith("in_progress") for name in names)


@pytest.mark.parametrize("pause", [timedelta(seconds=20), timedelta(minutes=5)])
def test_rate_before_a_pause_refuses_nothing(pause: timedelta) -> None:
    """Guard against refusals by a rate that was measured when others took the slots."""
    service = Service()
    service.ask(5)
    service.pass_time(60)
    assert not service.state.has_waiting
    n_before = service.n_early
    service.free_slot()
    service.now += pause
    service.ask(10)
    service.pass_time(OBSERVED_TIME_MIN // STEP - 1, free_every=1)
    assert service.n_early == n_before


def test_few_arrivals_are_no_low_rate() -> None:
    """Guard against the rate of arrivals being taken for that of free slots."""
    service = Service()
    for _ in range(20):
        service.ask(2)
        service.pass_time(1, free_every=1)
        service.pass_time(9)
        service.free_slot()
    service.ask(12)
    service.pass_time(4)
    assert not service.refused


def test_standing_still_is_no_low_rate() -> None:
    """Guard against refusals by a host that granted nothing while it stood still."""
    service = Service()
    service.ask(10)
    service.now += WAIT / 2
    service.handle(Tick())
    assert not service.refused


def test_nothing_is_refused_early_while_a_slot_is_free_or_none_is_known() -> None:
    """Guard against refusals that say nothing about the load of the service."""
    service = Service(n_endpoints=2)
    for number in range(12):
        message = replace(ask(f"r{number}"), tried=("e0",), deadline=NOW + WAIT)
        service.handle(message)
    service.pass_time(18)
    service.handle(EndpointsListed(()))
    service.pass_time(1)
    assert not service.refused


def test_full_queue_refuses_the_least_urgent() -> None:
    """Guard against a flood that fills the memory or keeps urgent requests out."""
    service = Service()
    service.ask(N_WAITING_LIMIT + 1, rank=1)
    service.ask(3)
    waiting = [item.rank for item in service.state.queues.popitem()[1].waiting]
    assert len(waiting) == N_WAITING_LIMIT
    assert waiting.count(0) == 3


def test_refused_callers_come_back_spread_over_the_time_to_drain() -> None:
    """Guard against callers that come back at once, together or never in time."""
    drain = DrainRate(20.0, 2.0)
    random_source = Random(1)

    def list_seconds(n_ahead: int) -> list[float]:
        found = (
            find_retry_after(drain, n_ahead, timedelta(seconds=3), random_source)
            for _ in range(200)
        )
        return [time.total_seconds() for time in found if time is not None]

    for n_ahead, least, most in ((4, 0.5, 0.75), (400, 2 / 3, 1.0)):
        times = list_seconds(n_ahead)
        assert least <= min(times) < 1.1 * least
        assert 0.95 * most < max(times) <= most
    drain = DrainRate(3.0, 0.3)
    assert list_seconds(4) == []
