"""Guard against slots that go to the wrong requests while more wait than fit."""

from datetime import timedelta

from msgspec.structs import replace

from oleanderhitch.process.placement.core import handle
from oleanderhitch.process.placement.effects import (
    AskLeader,
    ReportQueueLength,
    SendReply,
)
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    AttemptResult,
    CacheCapacitiesUpdated,
    EndHolder,
    EndpointGranted,
    EndpointsListed,
    ExhaustedEndpoint,
    GetLoads,
    ReleaseEndpoint,
    RequestStage,
    SendPermitReply,
)
from oleanderhitch.process.placement.ordering import N_GRANTS_PER_AGED
from oleanderhitch.program.ids import AccountId
from oleanderhitch.request.ids import HolderId
from oleanderhitch.version.ids import EndpointId
from tests.process.placement.test_core import (
    NOW,
    REPLY,
    SERVICE,
    acquire,
    make_endpoint,
    make_state,
    make_workload,
)


class Service:
    """One endpoint, and the requests of one entry host that run there."""

    def __init__(self, n_slots: int) -> None:
        self._state = make_state(make_endpoint("e1", n_slots))
        self._running: list[EndpointGranted] = []

    def add(self, *messages: AcquireEndpoint) -> None:
        """Let requests arrive."""
        for message in messages:
            self._note(handle(message, self._state, NOW))

    def free_slot(self) -> str:
        """Free the slot that was taken first; return the request that gets it."""
        permit = self._running.pop(0).permit
        released = ReleaseEndpoint(permit, AttemptResult.COMPLETED)
        self._note(handle(released, self._state, NOW))
        return self._running[-1].holder

    def _note(self, effects: list[object]) -> None:
        for effect in effects:
            assert isinstance(effect, SendReply)
            assert isinstance(effect.message, EndpointGranted)
            self._running.append(effect.message)


def ask(
    name: str,
    account: str | None = None,
    stage: RequestStage = RequestStage.STANDALONE,
    rank: int = 0,
    finish_ms: int | None = None,
) -> AcquireEndpoint:
    """Return a request for 0.1 s of work, of an account and a program."""
    finish_at = None
    if finish_ms is not None:
        finish_at = NOW + timedelta(milliseconds=finish_ms)
    return replace(
        acquire(name, make_workload("a"), rank=rank),
        account=None if account is None else AccountId(account),
        stage=stage,
        finish_at=finish_at,
    )


def test_flood_of_one_account_leaves_the_others_their_share() -> None:
    """Guard against an account that takes all slots by asking for more than others."""
    service = Service(4)
    service.add(*(ask(f"flood{number}", "a") for number in range(30)))
    service.add(*(ask(f"other{number}", "b") for number in range(10)))
    served = [service.free_slot() for _ in range(12)]
    assert served[:2] == ["other0", "other1"]
    assert 5 <= sum(name.startswith("other") for name in served) <= 7


def test_single_slot_is_never_over_the_share() -> None:
    """Guard against a program in progress that waits since its account has one slot."""
    service = Service(3)
    service.add(*(ask(f"{name}0", name) for name in "bac"))
    service.add(ask("new", "d", RequestStage.NEW_PROGRAM))
    service.add(ask("turn", "a", RequestStage.IN_PROGRESS))
    assert service.free_slot() == "turn"


def test_programs_in_progress_go_before_new_ones() -> None:
    """Guard against programs that lose their work to those that have none yet."""
    service = Service(1)
    service.add(ask("running"))
    service.add(ask("new", stage=RequestStage.NEW_PROGRAM, finish_ms=300))
    service.add(ask("turn", stage=RequestStage.IN_PROGRESS, finish_ms=900))
    assert [service.free_slot(), service.free_slot()] == ["turn", "new"]


def test_least_slack_goes_first_and_late_programs_last() -> None:
    """Guard against late programs that make others late."""
    service = Service(1)
    service.add(ask("running"), ask("patient", finish_ms=4_000))
    service.add(ask("late", finish_ms=99), ask("urgent", finish_ms=101))
    served = [service.free_slot() for _ in range(3)]
    assert served == ["urgent", "patient", "late"]


def test_program_with_time_does_not_wait_beyond_its_own_deadline() -> None:
    """Guard against requests that are refused since their programs have much time."""
    service = Service(1)
    service.add(ask("running"), ask("hurried", finish_ms=2_000))
    last_chance = ask("last_chance", finish_ms=60_000)
    service.add(replace(last_chance, deadline=NOW + timedelta(seconds=1)))
    assert service.free_slot() == "last_chance"


def test_request_without_a_send_permit_keeps_its_age() -> None:
    """Guard against starvation of requests that ask the leader again and again."""
    state = make_state(make_endpoint("e1", 9))
    state.endpoints[EndpointId("e1")].rate_limit.requests_per_s = 1.0
    for number, name in enumerate(("old", "young")):
        (asked,) = handle(ask(name), state, NOW + timedelta(milliseconds=number))
        assert isinstance(asked, AskLeader)
    exhausted = (ExhaustedEndpoint(EndpointId("e1"), 1_000),)
    for number in (2, 1):
        reply = SendPermitReply(number, is_leader=True, exhausted=exhausted)
        assert handle(reply, state, NOW + timedelta(milliseconds=5)) == []
    (queue,) = state.queues.values()
    assert [message.holder for message in queue.waiting] == ["old", "young"]


def test_patient_request_is_served_beside_endless_urgent_ones() -> None:
    """Guard against a kind that never gets a slot while a more urgent one is busy."""
    service = Service(1)
    service.add(ask("running"), ask("patient", rank=5))
    served = []
    for number in range(2 * N_GRANTS_PER_AGED):
        service.add(ask(f"urgent{number}"), ask(f"more{number}"))
        served.append(service.free_slot())
    assert served.index("patient") < N_GRANTS_PER_AGED
    assert len(served) - served.count("patient") == 2 * N_GRANTS_PER_AGED - 1


def test_requests_without_a_prompt_leave_engines_to_others() -> None:
    """Guard against callers that take all slots of the engines for good.

    Answers a crowd at an engine service whose requests name no prompt: in a queue of
    their own they took more slots than the engines have, and the others got none.
    """
    state = make_state(make_endpoint("e1", 2))
    handle(CacheCapacitiesUpdated({SERVICE: 1000}), state, NOW)
    for number in range(9):
        handle(acquire(f"crowd{number}"), state, NOW)
    handle(ask("prompt"), state, NOW)
    served = []
    for number in range(20):
        # A caller of the crowd comes back at once.
        permit = next(iter(state.permits))
        released = ReleaseEndpoint(permit, AttemptResult.COMPLETED)
        for effect in handle(released, state, NOW):
            assert isinstance(effect, SendReply)
            assert isinstance(effect.message, EndpointGranted)
            served.append(effect.message.holder)
        handle(acquire(f"again{number}"), state, NOW)
    assert "prompt" in served


def test_service_that_becomes_one_of_engines_keeps_its_waiting_requests() -> None:
    """Guard against a failure of placement when the queue of a service changes.

    The grant of a request that waits in the earlier queue made the new queue, while
    the queues were iterated over.
    """
    state = make_state(make_endpoint("e1", 1))
    for name in ("first", "second", "third"):
        handle(acquire(name), state, NOW)
    handle(CacheCapacitiesUpdated({SERVICE: 1000}), state, NOW)
    permit = next(iter(state.permits))
    handle(ReleaseEndpoint(permit, AttemptResult.COMPLETED), state, NOW)
    assert "second" in [permit.holder for permit in state.permits.values()]


def test_queue_of_a_service_that_has_gone_is_reported_as_empty() -> None:
    """Guard against a metric that shows waiting requests for good."""
    state = make_state(make_endpoint("e1", 1))
    for name in ("first", "second", "third"):
        handle(acquire(name), state, NOW)
    reported = handle(GetLoads(REPLY), state, NOW)
    assert ReportQueueLength(SERVICE, 1) in reported
    for name in ("first", "second", "third"):
        handle(EndHolder(HolderId(name)), state, NOW)
    for _ in range(2):
        handle(EndpointsListed(()), state, NOW)
        reported.extend(handle(GetLoads(REPLY), state, NOW))
    assert ReportQueueLength(SERVICE, 0) in reported
    handle(EndpointsListed(()), state, NOW)
    assert not state.queues
