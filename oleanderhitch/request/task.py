"""Run one request as a task."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatch
from typing import Protocol

import gevent

from oleanderhitch.connection.codec import Codec
from oleanderhitch.process.address import Address, MailboxFullError
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.client.messages import SubmitToGroup
from oleanderhitch.process.ids import GroupId, NodeId
from oleanderhitch.process.intake.messages import CheckRequestOwner, RequestEnded
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.routing.messages import (
    RouteEnqueue,
    RouteRelease,
    RouteWithdraw,
)
from oleanderhitch.process.scheduling.messages import EnqueueRequest, ReleaseSlot
from oleanderhitch.process.task import Task, make_task
from oleanderhitch.process.tracing.tracer import Tracer
from oleanderhitch.program.ids import ProgramId, RunId
from oleanderhitch.program.messages import (
    BeginRequest,
    CloseRequest,
    FailAttempt,
    FinishRequest,
    RecordAttempt,
)
from oleanderhitch.request.core import handle
from oleanderhitch.request.history import make_prompt
from oleanderhitch.request.ids import AttemptNumber
from oleanderhitch.request.messages import (
    AnswerCaller,
    Call,
    CancelAttempt,
    CheckOwner,
    Dispatch,
    EndTask,
    EnqueueCall,
    LookUpCall,
    ModelWork,
    RelayChunk,
    ReleasePermit,
    Start,
    SubmitAttempt,
    SubmitBegin,
    SubmitClose,
    SubmitFailedAttempt,
    SubmitFinish,
    WithdrawCall,
)
from oleanderhitch.request.observer import RequestObserver, make_observer, note
from oleanderhitch.request.results import ShardReplies
from oleanderhitch.request.state import RequestState, find_wake, make_request_state
from oleanderhitch.version.ids import EndpointId

STATE_TIMEOUT = timedelta(seconds=5)
# A caller that reads slowly gets its answer once it has read what waits.
ANSWER_TRIES = 1200
ANSWER_PAUSE = timedelta(milliseconds=100)
MAILBOX_CAPACITY_MESSAGES = 2000
# Text has about four bytes a token; this estimate only orders the queue.
BYTES_PER_TOKEN = 4


class Attempts(Protocol):
    """Start the streams of attempts at endpoints."""

    def start(
        self,
        call: Call,
        attempt: AttemptNumber,
        endpoint: EndpointId,
        prompt: tuple[dict[str, str], ...],
        answered: bytes,
        priority: int,
        trace: dict[str, str],
        reply: Address,
    ) -> Address:
        """Start an attempt; the returned address takes CancelAttempt."""

    def look_up(self, call: Call, endpoint: EndpointId, reply: Address) -> None:
        """Ask an endpoint for a call by idempotency key; LookupAnswered follows."""


@dataclass(frozen=True, slots=True)
class RequestServices:
    """Name the tasks that every request of a process works with."""

    node: NodeId
    clock: Clock
    codec: Codec
    groups: Address
    intake: Address
    router: Address
    attempts: Attempts
    get_group: Callable[[ProgramId], GroupId]
    metrics: Metrics
    tracer: Tracer


@dataclass(slots=True)
class RequestResources:
    """Hold what one request's task alone uses."""

    call: Call
    caller: Address
    services: RequestServices
    run: RunId
    observer: RequestObserver
    is_caller_behind: bool = False
    streams: dict[AttemptNumber, Address] = field(default_factory=dict)
    task: Task[RequestState] | None = None

    def get_task(self) -> Task[RequestState]:
        """Return the task that owns these resources."""
        assert self.task is not None
        return self.task


def make_request_task(
    call: Call, caller: Address, services: RequestServices
) -> Task[RequestState]:
    """Return the task of a request; it starts work when it is sent Start."""
    observer = make_observer(
        call, services.metrics, services.tracer, services.clock.now()
    )
    run = RunId(uuid.uuid4().hex)
    resources = RequestResources(call, caller, services, run, observer)

    def decide(message: object, state: RequestState, now: datetime) -> list[object]:
        note(message, observer, now)
        effects = handle(message, state, now)
        for effect in effects:
            note(effect, observer, now)
        return effects

    def perform(effect: object) -> None:
        perform_effect(effect, resources)

    task = make_task(
        f"request {call.request}",
        make_request_state(call),
        decide,
        perform,
        services.clock,
        capacity_messages=MAILBOX_CAPACITY_MESSAGES,
        find_wake=find_wake,
    )
    resources.task = task
    return task


def start_request(call: Call, caller: Address, services: RequestServices) -> None:
    """Start serving a call."""
    task = make_request_task(call, caller, services)
    task.start()
    task.send(Start())


@singledispatch
def perform_effect(effect: object, resources: RequestResources) -> None:
    """Perform an effect of the request."""
    raise TypeError(f"request has no effect {type(effect).__name__}")


@perform_effect.register
def _(effect: SubmitBegin, resources: RequestResources) -> None:
    call = resources.call
    command = BeginRequest(
        call.program,
        call.request,
        call.sequence,
        resources.services.node,
        call.is_idempotent,
        call.reserved_tokens,
        resources.services.codec.encode(call.work),
        call.digest,
        resources.services.clock.now(),
        resources.run,
        call.account,
        isinstance(call.work, ModelWork),
    )
    _submit(command, resources)


@perform_effect.register
def _(effect: SubmitAttempt, resources: RequestResources) -> None:
    call = resources.call
    command = RecordAttempt(
        call.program,
        call.request,
        effect.attempt,
        effect.endpoint,
        effect.reserved_tokens,
        isinstance(call.work, ModelWork),
        resources.services.clock.now(),
        resources.run,
    )
    _submit(command, resources)


@perform_effect.register
def _(effect: SubmitFailedAttempt, resources: RequestResources) -> None:
    call = resources.call
    command = FailAttempt(
        call.program,
        call.request,
        effect.attempt,
        effect.was_sent,
        effect.spent_tokens,
        resources.services.clock.now(),
        resources.run,
    )
    _submit(command, resources)


@perform_effect.register
def _(effect: SubmitFinish, resources: RequestResources) -> None:
    call = resources.call
    command = FinishRequest(
        call.program,
        call.request,
        effect.outcome,
        effect.answer,
        effect.spent_tokens,
        resources.services.clock.now(),
        resources.run,
        effect.attempt,
        effect.context_tokens,
    )
    _submit(command, resources)


@perform_effect.register
def _(effect: SubmitClose, resources: RequestResources) -> None:
    call = resources.call
    now = resources.services.clock.now()
    _submit(CloseRequest(call.program, call.request, now, effect.run), resources)


@perform_effect.register
def _(effect: CheckOwner, resources: RequestResources) -> None:
    check = CheckRequestOwner(resources.call.request, effect.node, resources.get_task())
    resources.services.intake.send(check)


@perform_effect.register
def _(effect: EnqueueCall, resources: RequestResources) -> None:
    call = resources.call
    now = resources.services.clock.now()
    enqueue = EnqueueRequest(
        call.pool,
        call.request,
        call.program,
        call.account,
        resources.services.node,
        call.is_idempotent,
        effect.n_turns,
        effect.attained_tokens,
        effect.history_bytes // BYTES_PER_TOKEN + call.reserved_tokens // 2,
        call.reserved_tokens,
        effect.holders,
        effect.excluded,
        call.deadline - now,
        timedelta(0),
    )
    resources.services.router.send(RouteEnqueue(enqueue, resources.get_task()))


@perform_effect.register
def _(effect: WithdrawCall, resources: RequestResources) -> None:
    call = resources.call
    resources.services.router.send(RouteWithdraw(call.pool, call.request))


@perform_effect.register
def _(effect: ReleasePermit, resources: RequestResources) -> None:
    release = ReleaseSlot(
        resources.call.pool,
        effect.permit,
        effect.endpoint,
        effect.is_success,
        effect.n_output_tokens,
        effect.n_computed_prompt_tokens,
        effect.first_token,
        effect.duration,
    )
    resources.services.router.send(RouteRelease(release))


@perform_effect.register
def _(effect: Dispatch, resources: RequestResources) -> None:
    services = resources.services
    prompt: tuple[dict[str, str], ...] = ()
    if isinstance(resources.call.work, ModelWork):
        prompt = make_prompt(effect.history, services.codec.decode)
    resources.streams[effect.attempt] = services.attempts.start(
        resources.call,
        effect.attempt,
        effect.endpoint,
        prompt,
        effect.answered,
        effect.priority,
        resources.observer.entry.trace,
        resources.get_task(),
    )


@perform_effect.register
def _(effect: CancelAttempt, resources: RequestResources) -> None:
    stream = resources.streams.pop(effect.attempt, None)
    if stream is not None:
        stream.send(CancelAttempt(effect.attempt))


@perform_effect.register
def _(effect: LookUpCall, resources: RequestResources) -> None:
    resources.services.attempts.look_up(
        resources.call, effect.endpoint, resources.get_task()
    )


@perform_effect.register
def _(effect: RelayChunk, resources: RequestResources) -> None:
    if resources.is_caller_behind:
        return
    try:
        resources.caller.send(effect)
    except MailboxFullError:
        # A later piece behind a lost one would be taken for the lost one; the
        # answer itself brings all that was not relayed.
        resources.is_caller_behind = True


@perform_effect.register
def _(effect: AnswerCaller, resources: RequestResources) -> None:
    _answer(resources.caller, effect, ANSWER_TRIES)


def _answer(caller: Address, answer: AnswerCaller, n_tries: int) -> None:
    try:
        caller.send(answer)
    except MailboxFullError:
        if n_tries > 0:
            pause = ANSWER_PAUSE.total_seconds()
            gevent.spawn_later(pause, _answer, caller, answer, n_tries - 1)


@perform_effect.register
def _(effect: EndTask, resources: RequestResources) -> None:
    resources.services.intake.send(RequestEnded(resources.call.request))
    resources.get_task().stop()


def _submit(command: object, resources: RequestResources) -> None:
    services = resources.services
    services.groups.send(
        SubmitToGroup(
            services.get_group(resources.call.program),
            services.codec.encode(command),
            False,
            STATE_TIMEOUT,
            "command",
            ShardReplies(command, resources.get_task(), services.codec),
            resources.observer.entry.trace,
        )
    )
